package cli

import (
	"context"
	"log/slog"
	"os/signal"
	"syscall"

	"pollenscale/internal/daemon"
	"pollenscale/internal/settings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// codeError is an error with the exit code that it leads to.
type codeError struct {
	error
	code Code
}

var levels = map[string]slog.Level{
	"Debug": slog.LevelDebug,
	"Info":  slog.LevelInfo,
	"Warn":  slog.LevelWarn,
	"Error": slog.LevelError,
}

func newDaemon() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "daemon --settings FILE",
		Short: "Run the daemon beside a target",
		Long: `Runs the daemon beside a target until it receives SIGTERM or SIGINT, and then
stops gracefully: the target takes no new work and work under way completes.

The settings are checked completely before the daemon listens on any port. Bad
settings lead to exit code 2, a failure while running to exit code 1.`,
		Example: "  pollenscale daemon --settings /etc/pollenscale/settings.json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return runDaemon(c, file)
		},
	}
	c.Flags().StringVar(&file, "settings", "", "file with the settings as JSON")
	if err := c.MarkFlagRequired("settings"); err != nil {
		panic(err) // the flag is defined above
	}
	return c
}

func runDaemon(c *cobra.Command, file string) error {
	s, err := settings.Read(file)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(c.ErrOrStderr(), &slog.HandlerOptions{Level: levels[s.LogLevel]}))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.New(s, daemon.WithLog(log))
	if err != nil {
		return failed(err)
	}
	return failed(d.Run(ctx))
}

// failed marks an error of a command that was understood.
func failed(err error) error {
	if err == nil {
		return nil
	}
	return codeError{error: err, code: Failed}
}

// codeOf returns the exit code for err.
func codeOf(err error) Code {
	var e codeError
	if errors.As(err, &e) {
		return e.code
	}
	return Usage
}
