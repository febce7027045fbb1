package sidecar

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pollenscale/core/store"
	"pollenscale/standin/memstore"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer l.Close()
	return l.Addr().String()
}

// TestMetricsPortTaken guards against a daemon that does not serve because another
// process uses its metrics port, and against metrics that cannot be read.
func TestMetricsPortTaken(t *testing.T) {
	is := is.New(t)
	taken, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer taken.Close()
	for _, metrics := range []string{taken.Addr().String(), freeAddress(t)} {
		settings := Settings{
			ListenCallers: freeAddress(t), ListenPeers: freeAddress(t), ListenReady: freeAddress(t), ListenControl: freeAddress(t), ListenAnnounce: "127.0.0.1:0", ListenMetrics: metrics,
		}
		tables := memstore.New().Tables()
		tables.Snapshot = func(ctx context.Context, table store.Table, key string) (store.Snapshot, error) {
			row, _, err := tables.Read(ctx, table, key)
			return store.Snapshot{Row: row, Version: row.Version}, err
		}
		tables.Watch = func(ctx context.Context, _ store.Table, _ store.Version, _ time.Time) (store.Changes, error) {
			<-ctx.Done()
			return store.Changes{}, ctx.Err()
		}
		s := New(settings, Protocol{ReadyPath: "/ready", ReadSettings: func() (Settings, error) { return settings, nil }}, WithTables(tables))
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return s.Run(ctx) })
		var resp *http.Response
		for range 100 {
			if resp, err = http.Get("http://" + settings.ListenReady + "/ready"); err == nil {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		if metrics != taken.Addr().String() {
			resp, err = http.Get("http://" + metrics + "/metrics")
			is.NoErr(err)
			var text strings.Builder
			is.NoErr(resp.Write(&text))
			is.NoErr(resp.Body.Close())
			is.True(strings.Contains(text.String(), "pollenscale_members"))
		}
		cancel()
		is.NoErr(group.Wait())
	}
}
