package logs

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestBoundedFlood guards against a log that grows without bound under a flood
// of lines, that omits warnings before info lines, or that does not report what
// it omitted.
func TestBoundedFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		b := NewBounded(&out)
		log := slog.New(b.Handler(slog.LevelInfo))
		const flood = 100_000
		for range flood {
			log.Info("entry: answered.", "request", "0123456789abcdef", "waited", time.Second)
		}
		for range 100 {
			log.Warn("entry: failed.", "request", "0123456789abcdef")
		}
		is.NoErr(b.Flush())
		is.True(out.Len() < defaultBurst+4096)
		is.Equal(strings.Count(out.String(), "entry: failed."), 100)
		written := strings.Count(out.String(), "entry: answered.")
		is.Equal(uint64(written)+b.Omitted(), uint64(flood)) // each line is written or counted as omitted
		is.True(strings.Contains(out.String(), "log: lines left out."))
	})
}

// TestBoundedBlockedOutput guards against callers that block when the reader of
// the log has stopped reading.
func TestBoundedBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBounded(blockedWriter{})
		log := slog.New(b.Handler(slog.LevelInfo))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { is.New(t).NoErr(b.Run(ctx)) }()
		start := time.Now()
		for range 10_000 {
			log.Error("entry: failed.")
		}
		is.New(t).Equal(time.Since(start), time.Duration(0))
	})
}

// blockedWriter is an output whose reader has stopped reading.
type blockedWriter struct{}

func (blockedWriter) Write(p []byte) (int, error) {
	time.Sleep(time.Hour)
	return len(p), nil
}
