package commander

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
)

// table prints rows in columns.
type table struct{ w *tabwriter.Writer }

// newTable begins a table with its head.
func newTable(w io.Writer, head ...string) *table {
	t := &table{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.row(toAny(head)...)
	return t
}

// row adds a row.
func (t *table) row(cells ...any) {
	words := make([]string, len(cells))
	for i, cell := range cells {
		if words[i] = fmt.Sprint(cell); words[i] == "" {
			words[i] = "-"
		}
	}
	fmt.Fprintln(t.w, strings.Join(words, "\t"))
}

// end prints the table.
func (t *table) end() error { return t.w.Flush() }

// toAny turns words into cells.
func toAny(words []string) []any {
	cells := make([]any, len(words))
	for i, word := range words {
		cells[i] = word
	}
	return cells
}

// target is a target in milliseconds in words.
func target(ms int64) string {
	if ms == 0 {
		return ""
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

// printAnswer prints the last answer: as the API gave it, or by the function.
func (c *operatorClient) printAnswer(cmd *cli.Command, people func(w io.Writer) error) error {
	w := cmd.Root().Writer
	if cmd.Bool(flagJSON) {
		_, err := fmt.Fprintln(w, strings.TrimSpace(string(c.recorder.body)))
		return err
	}
	return people(w)
}
