// Sidecar is the daemon beside a target on the users' platform.
package main

import (
	"context"
	"log/slog"
	"os"
	"runtime/debug"

	"pollenscale/internal/sidecar"
	"pollenscale/platform"
)

// gcPercent keeps the heap small: memory is dear, and the live heap is a few MB.
const gcPercent = 50

func main() {
	debug.SetGCPercent(gcPercent)
	log := slog.New(slog.NewJSONHandler(os.Stdout, &slog.HandlerOptions{Level: slog.LevelInfo}))
	if err := serve(log); err != nil {
		log.Error("daemon: failed.", "error", err)
		os.Exit(1)
	}
}

func serve(log *slog.Logger) error {
	path, err := platform.SettingsPath()
	if err != nil {
		return err
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	return sidecar.New(settings, platform.Protocol(path),
		sidecar.WithLog(log),
		sidecar.WithTables(platform.NewClient(settings.Store).Tables()),
	).Run(context.Background())
}
