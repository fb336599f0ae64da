package commander

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
)

// table prints aligned columns.
type table struct{ w *tabwriter.Writer }

// newTable returns a table with a header row.
func newTable(w io.Writer, header ...string) *table {
	t := &table{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.addRow(toCells(header)...)
	return t
}

// addRow adds a row. Empty cells are shown as "-".
func (t *table) addRow(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		if texts[i] = fmt.Sprint(cell); texts[i] == "" {
			texts[i] = "-"
		}
	}
	fmt.Fprintln(t.w, strings.Join(texts, "\t"))
}

// flush writes the table.
func (t *table) flush() error { return t.w.Flush() }

// toCells converts texts into cells.
func toCells(texts []string) []any {
	cells := make([]any, len(texts))
	for i, text := range texts {
		cells[i] = text
	}
	return cells
}

// formatTarget formats a target in milliseconds. It returns "" for 0, which means no target.
func formatTarget(ms int64) string {
	if ms == 0 {
		return ""
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

// printAnswer prints the latest response: the JSON of the API with --json, else the output of
// printText.
func (c *operatorClient) printAnswer(cmd *cli.Command, printText func(w io.Writer) error) error {
	w := cmd.Root().Writer
	if cmd.Bool(flagJSON) {
		_, err := fmt.Fprintln(w, strings.TrimSpace(string(c.recorder.body)))
		return err
	}
	return printText(w)
}
