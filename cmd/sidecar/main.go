// Command sidecar is the daemon that runs beside each target on the users'
// platform.
package main

import (
	"context"
	"io"
	stdlog "log"
	"log/slog"
	"os"
	"runtime/debug"

	"pollenscale/internal/logs"
	"pollenscale/internal/sidecar"
	"pollenscale/platform"

	"github.com/oklog/run"
)

// gcPercent is below the default of 100 to keep the heap small: memory is scarce,
// and the live heap is only a few MB.
const gcPercent = 50

// The Go runtime keeps its memory below memoryShare/memoryParts of that of the process: the
// rest is the program itself and what the runtime does not count.
const (
	memoryShare = 3
	memoryParts = 4
)

func main() {
	debug.SetGCPercent(gcPercent)
	discardLibraryLog()
	output := logs.NewBounded(os.Stdout)
	log := slog.New(output.Handler(slog.LevelInfo))
	err := serve(log, output)
	if err != nil {
		log.Error("daemon: failed.", "error", err)
	}
	if output.Flush() != nil || err != nil {
		os.Exit(1)
	}
}

// discardLibraryLog drops the lines that net/http writes to the standard logger: they can
// quote a response of the store, which contains the keys of organisations.
func discardLibraryLog() { stdlog.SetOutput(io.Discard) }

func serve(log *slog.Logger, output *logs.Bounded) error {
	path, err := platform.SettingsPath()
	if err != nil {
		return err
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(settings.Memory) / memoryParts * memoryShare)
	}
	daemon := sidecar.New(settings, platform.Protocol(path),
		sidecar.WithLog(log),
		sidecar.WithOmittedLines(output.Omitted),
		sidecar.WithTables(platform.NewStoreClient(settings.Store).Tables()),
	)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group run.Group
	group.Add(func() error { return daemon.Run(ctx) }, func(error) { cancel() })
	group.Add(func() error { return output.Run(ctx) }, func(error) { cancel() })
	return group.Run()
}
