package logs_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"pollenscale/internal/logs"

	"github.com/matryer/is"
)

// TestPrefix guards against messages without the prefix of their component, and
// against loggers created before Setup that do not follow it.
func TestPrefix(t *testing.T) {
	is := is.New(t)
	previous := slog.Default()
	defer slog.SetDefault(previous)
	log := logs.For(logs.Peer).With("daemon", "d1")
	var out bytes.Buffer
	is.NoErr(logs.Setup(&out, "warn", logs.Text))
	log.Info("Connection opened.")
	log.Warn("Connection lost.", "reason", "silent")
	is.Equal(strings.Count(out.String(), "\n"), 1)
	is.True(strings.Contains(out.String(), `msg="peer: Connection lost." daemon=d1 reason=silent`))
	out.Reset()
	logs.With(slog.Default(), logs.Lease).Warn("Lease lost.")
	is.True(strings.Contains(out.String(), `msg="lease: Lease lost."`))
	is.True(logs.Setup(&out, "loud", logs.Text) != nil)
	is.True(logs.Setup(&out, "info", "Yaml") != nil)
}
