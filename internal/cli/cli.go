// Package cli is the command line of pollenscale.
//
// The exit codes of all commands are stable, so that scripts can rely on them.
package cli

import (
	"io"

	"github.com/spf13/cobra"
)

// ExitCode is the exit code of a command.
type ExitCode = int

// The exit codes.
const (
	OK     ExitCode = 0
	Failed ExitCode = 1 // valid command that failed during execution
	Usage  ExitCode = 2 // invalid arguments, settings or declarations
)

// Version is the program version, set at link time.
var Version = "dev"

// Run executes the command with the given arguments and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) ExitCode {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.Execute(); err != nil {
		return exitCode(err)
	}
	return OK
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "pollenscale",
		Short: "Load balancer with one daemon beside each target",
		Long: `One daemon runs beside each target. The other commands publish the configuration
and inspect the daemons.

Exit codes: 0 success, 1 failure during execution, 2 invalid arguments, settings
or declarations.`,
		SilenceUsage: true,
	}
	root.AddCommand(newDaemon(), newConfig(), newStatus(), newTrace(), newVersion())
	return root
}
