package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// format is the output format of a command.
type format string

const (
	formatTable format = "table"
	formatJSON  format = "json"
)

// Set parses the value of the flag.
func (f *format) Set(value string) error {
	if v := format(value); v == formatTable || v == formatJSON {
		*f = v
		return nil
	}
	return errors.Newf("must be one of %s, %s", formatTable, formatJSON)
}

// String returns the value of the flag.
func (f *format) String() string { return string(*f) }

// Type names the flag's value in help texts.
func (f *format) Type() string { return "format" }

func outputFlag(c *cobra.Command) *format {
	f := formatTable
	c.Flags().VarP(&f, "output", "o", "output format: table or json")
	return &f
}

// print writes value as JSON, or calls writeTable with a writer that aligns
// columns.
func (f format) print(w io.Writer, value any, writeTable func(io.Writer)) error {
	if f == formatJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	writeTable(t)
	return t.Flush()
}

// writeRow writes one row of a table.
func writeRow(w io.Writer, values ...any) {
	texts := make([]string, len(values))
	for i, v := range values {
		texts[i] = fmt.Sprint(v)
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t")) // Flush returns the error
}
