package commander

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"
)

// settingRow is how OPERATIONS.md documents a setting.
func settingRow(flag cli.DocGenerationFlag) string {
	value := strings.Trim(flag.GetValue(), `[]"`)
	if value != "" {
		value = "`" + value + "`"
	}
	name := "`--" + flag.(cli.Flag).Names()[0] + "`"
	for _, variable := range flag.GetEnvVars() {
		name += " `" + variable + "`"
	}
	usage := strings.ReplaceAll(flag.GetUsage(), "`", "")
	return fmt.Sprintf("| %s | %s | %s |", name, value, usage)
}

// TestEverySettingIsDocumented compares the table in OPERATIONS.md with the
// flags. It prints the rows that are missing, to be copied there.
func TestEverySettingIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	var missing []string
	known := make(map[string]bool)
	for _, flag := range append(entryFlags(), ServerFlags()...) {
		row := settingRow(flag.(cli.DocGenerationFlag))
		known[row] = true
		if !strings.Contains(string(page), row+"\n") {
			missing = append(missing, row)
		}
	}
	assert.Equal(t, len(missing), 0, "\n%s", strings.Join(missing, "\n"))
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| `--") {
			assert.Assert(t, known[line], "no such setting: %s", line)
		}
	}
}
