package sidecar

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"pollenscale/core/route"
	"pollenscale/internal/logs"

	"github.com/matryer/is"
)

// BenchmarkLog measures the processor time of a request over the whole path with
// the log off, with each line written, and with a flood that exceeds the budget of
// lines. The difference is the cost of the log.
func BenchmarkLog(b *testing.B) {
	bounded := logs.NewBounded(io.Discard)
	for _, c := range []struct {
		name    string
		handler slog.Handler
	}{
		{"off", slog.DiscardHandler},
		{"written", slog.NewJSONHandler(io.Discard, nil)},
		{"flood", bounded.Handler(slog.LevelInfo)},
	} {
		b.Run(c.name, func(b *testing.B) {
			is := is.New(b)
			entry := loggedEntry(b, c.handler)
			client := &http.Client{}
			before := processorTime(b)
			for b.Loop() {
				r, err := http.NewRequestWithContext(b.Context(), http.MethodGet, entry+"/slots/1", nil)
				is.NoErr(err)
				r.Host = "x"
				r.Header.Set("Id", "42")
				answer, err := client.Do(r)
				is.NoErr(err)
				_, err = io.Copy(io.Discard, answer.Body)
				is.NoErr(err)
				is.NoErr(answer.Body.Close())
				is.Equal(answer.StatusCode, http.StatusOK)
			}
			b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// loggedEntry returns the address of an entry with a target beside it.
func loggedEntry(b *testing.B, handler slog.Handler) string {
	b.Helper()
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	b.Cleanup(target.Close)
	s := New(Settings{ListenPeers: "127.0.0.1:1", Target: target.Listener.Addr().String()}, plainProtocol(),
		WithLog(slog.New(handler)))
	s.holder.Offer(slotsConfig(b, route.Safe), nil)
	s.meetTarget("i-1", 9)
	s.roster.Offer(s.ownRecord())
	entry := httptest.NewServer(http.HandlerFunc(s.serveCaller))
	b.Cleanup(entry.Close)
	return entry.URL
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	is.New(b).NoErr(syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
