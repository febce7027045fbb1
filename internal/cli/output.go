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

// format is how a command prints its result.
type format string

const (
	formatTable format = "table"
	formatJSON  format = "json"
)

// Set checks the value of the flag.
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
	c.Flags().VarP(&f, "output", "o", "table for people or json for scripts")
	return &f
}

// print writes the value as JSON or calls table.
func (f format) print(w io.Writer, value any, table func(io.Writer)) error {
	if f == formatJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	table(t)
	return t.Flush()
}

// cells writes one line of a table.
func cells(w io.Writer, values ...any) {
	texts := make([]string, len(values))
	for i, v := range values {
		texts[i] = fmt.Sprint(v)
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t")) // reported by Flush
}
