// Sidecar is the daemon beside a target on the users' platform.
package main

import (
	"context"
	"log/slog"
	"os"
	"runtime/debug"

	"pollenscale/internal/logs"
	"pollenscale/internal/sidecar"
	"pollenscale/platform"

	"github.com/oklog/run"
)

// gcPercent keeps the heap small: memory is dear, and the live heap is a few MB.
const gcPercent = 50

func main() {
	debug.SetGCPercent(gcPercent)
	lines := logs.NewBounded(os.Stdout)
	log := slog.New(lines.Handler(slog.LevelInfo))
	err := serve(log, lines)
	if err != nil {
		log.Error("daemon: failed.", "error", err)
	}
	if lines.Flush() != nil || err != nil {
		os.Exit(1)
	}
}

func serve(log *slog.Logger, lines *logs.Bounded) error {
	path, err := platform.SettingsPath()
	if err != nil {
		return err
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	daemon := sidecar.New(settings, platform.Protocol(path),
		sidecar.WithLog(log),
		sidecar.WithOmitted(lines.Omitted),
		sidecar.WithTables(platform.NewStoreClient(settings.Store).Tables()),
	)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group run.Group
	group.Add(func() error { return daemon.Run(ctx) }, func(error) { cancel() })
	group.Add(func() error { return lines.Run(ctx) }, func(error) { cancel() })
	return group.Run()
}
