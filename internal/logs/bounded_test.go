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

// TestBoundedFlood guards against a log that grows without bound in a flood,
// that drops failures before successes, or that hides what it left out.
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
		is.Equal(uint64(written)+b.Omitted(), uint64(flood)) // each line is written or counted
		is.True(strings.Contains(out.String(), "log: lines left out."))
	})
}

// TestBoundedReader guards against callers that block while nobody reads the log.
func TestBoundedReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBounded(stuck{})
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

// stuck is a reader that has stopped reading.
type stuck struct{}

func (stuck) Write(p []byte) (int, error) {
	time.Sleep(time.Hour)
	return len(p), nil
}
