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
	// gcPercent makes garbage collections rare: the live heap is only a few
	// megabytes, and each collection delays the calls in progress.
	gcPercent = 800
	// memoryShare and memoryParts are the part of its memory at which the garbage collector runs
	// more often. The rest is the program itself and what the runtime does not count.
	memoryShare = 9
	memoryParts = 16
)

func newDaemon() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "daemon --settings FILE",
		Short: "Run the daemon beside a target",
		Long: `Runs the daemon beside a target until it receives SIGTERM or SIGINT. It then shuts
down gracefully: the target receives no new requests, and requests in progress
complete.

The settings are checked completely before the daemon listens on any port.
Invalid settings lead to exit code 2, a failure while running to exit code 1.`,
		Example: "  pollenscale daemon --settings /etc/pollenscale/settings.json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return runDaemon(c, file)
		},
	}
	c.Flags().StringVar(&file, "settings", "", "JSON file with the settings")
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
	tuneRuntime(s.Memory)
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
		return asFailure(err)
	}
	d, err := daemon.New(s, daemon.WithLog(slog.Default()), daemon.WithVersion(Version))
	if err != nil {
		return asFailure(err)
	}
	err = d.Run(ctx)
	return asFailure(errors.CombineErrors(err, stopTraces(context.Background())))
}

// tuneRuntime configures the garbage collector for a process with a small heap
// and a high rate of short calls. The environment variable GOGC takes
// precedence over gcPercent.
func tuneRuntime(memory fleet.Bytes) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	debug.SetMemoryLimit(int64(memory / memoryParts * memoryShare))
}
