package cli

import (
	"io"
	"runtime"

	"github.com/spf13/cobra"
)

// versionResult is the output of the version command.
type versionResult struct {
	Version string
	Go      string
}

func newVersion() *cobra.Command {
	c := &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  pollenscale version\n  pollenscale version --output json",
		Args:    cobra.NoArgs,
	}
	output := outputFlag(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		v := versionResult{Version: Version, Go: runtime.Version()}
		return asFailure(output.print(c.OutOrStdout(), v, func(w io.Writer) { writeRow(w, "pollenscale "+v.Version) }))
	}
	return c
}
