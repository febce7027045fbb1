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

// BenchmarkLog measures the CPU time of a request along the entire path with the log
// off, with each line written, and with more lines than the limit. The difference is
// the cost of the log.
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
			entry := startEntry(b, c.handler)
			client := &http.Client{}
			before := cpuTime(b)
			for b.Loop() {
				r, err := http.NewRequestWithContext(b.Context(), http.MethodGet, entry+"/slots/1", nil)
				is.NoErr(err)
				r.Host = "x"
				r.Header.Set("Id", "42")
				resp, err := client.Do(r)
				is.NoErr(err)
				_, err = io.Copy(io.Discard, resp.Body)
				is.NoErr(err)
				is.NoErr(resp.Body.Close())
				is.Equal(resp.StatusCode, http.StatusOK)
			}
			b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// startEntry returns the address of a daemon with a target beside it.
func startEntry(b *testing.B, handler slog.Handler) string {
	b.Helper()
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	b.Cleanup(target.Close)
	s := New(Settings{ListenPeers: "127.0.0.1:1", Target: target.Listener.Addr().String()}, testProtocol(),
		WithLog(slog.New(handler)))
	s.config.SetIfNewer(slotsConfig(b, route.Safe), nil)
	s.registerTarget("i-1", 9)
	s.roster.Merge(s.ownRecord())
	entry := httptest.NewServer(http.HandlerFunc(s.serveCaller))
	b.Cleanup(entry.Close)
	return entry.URL
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	is.New(b).NoErr(syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
