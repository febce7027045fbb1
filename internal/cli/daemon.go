package cli

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"pollenscale/core/fleet"
	"pollenscale/internal/daemon"
	"pollenscale/internal/logs"
	"pollenscale/internal/settings"
	"pollenscale/io/otlp"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

const (
	// gcPercent lets the heap grow well beyond its few live megabytes between
	// collections, each of which delays the calls under way.
	gcPercent = 800
	// memoryLimit makes the collector work harder before the process reaches
	// its budget of 64 MB.
	memoryLimit = 36 << 20
)

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
	if err := logs.Setup(c.ErrOrStderr(), s.LogLevel, s.LogFormat); err != nil {
		return err
	}
	tuneRuntime()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	stopTraces, err := otlp.Setup(ctx, otlp.Settings{
		Endpoint:    s.TraceEndpoint,
		SampleShare: s.TraceShare,
		Daemon:      s.Daemon,
		Place:       fleet.Place{Region: s.Region, AvailabilityZone: s.AvailabilityZone},
		Version:     Version,
	})
	if err != nil {
		return failed(err)
	}
	d, err := daemon.New(s, daemon.WithLog(slog.Default()), daemon.WithVersion(Version))
	if err != nil {
		return failed(err)
	}
	err = d.Run(ctx)
	return failed(errors.CombineErrors(err, stopTraces(context.Background())))
}

// tuneRuntime sets the garbage collector for a small process with a high rate
// of short calls. The environment variable GOGC has precedence.
func tuneRuntime() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	debug.SetMemoryLimit(memoryLimit)
}
