// Package cli is the command line of pollenscale.
//
// Each command returns a stable exit code, so that scripts can rely on it.
package cli

import (
	"io"

	"github.com/spf13/cobra"
)

// Code is the exit code of a command.
type Code = int

// The exit codes.
const (
	OK     Code = 0
	Failed Code = 1 // the command was understood and failed
	Usage  Code = 2 // bad arguments or settings
)

// Version is the version of the program, set at link time.
var Version = "dev"

// Run executes the command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) Code {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.Execute(); err != nil {
		return codeOf(err)
	}
	return OK
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "pollenscale",
		Short: "Load balancer with one daemon beside each target",
		Long: `One daemon runs beside each target. Operators publish the configuration and look
at the daemons with the other commands.

Exit codes: 0 done, 1 understood and failed, 2 bad arguments, settings or
declarations.`,
		SilenceUsage: true,
	}
	root.AddCommand(newDaemon(), newConfig(), newStatus(), newTrace(), newVersion())
	return root
}
