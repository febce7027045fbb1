package daemon

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/policy"
	"pollenscale/internal/settings"
	standin "pollenscale/standin/target"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// node is a daemon with its target, in the process of the test.
type node struct {
	*Daemon
	target  *standin.Target
	server  *http.Server
	address string
	stop    func()
	done    errgroup.Group
}

// testFleet is some daemons that know each other.
type testFleet struct {
	nodes  []*node
	client *http.Client
}

func loadJSON(t *testing.T, name string, v any) {
	t.Helper()
	data, err := os.ReadFile("testdata/" + name)
	is.New(t).NoErr(err)
	is.New(t).NoErr(json.Unmarshal(data, v))
}

// startFleet starts a daemon for each of the services, and stops all at the end
// of the test.
func startFleet(t *testing.T, services ...fleet.Service) *testFleet {
	t.Helper()
	f := &testFleet{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}}
	for i, service := range services {
		f.nodes = append(f.nodes, newNode(t, service, string(rune('a'+i))))
	}
	for _, m := range f.nodes {
		f.introduce(m)
	}
	for _, m := range f.nodes {
		m.start(t)
	}
	f.waitKnown(t)
	t.Cleanup(f.client.CloseIdleConnections)
	return f
}

// introduce makes all daemons the seeds of m.
func (f *testFleet) introduce(m *node) {
	for _, other := range f.nodes {
		if other != m {
			m.Daemon.members.joiner.Seeds = append(m.Daemon.members.joiner.Seeds, other.Own.PeerAddress)
		}
	}
}

func newNode(t *testing.T, service fleet.Service, name string) *node {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	m := &node{address: l.Addr().String(), target: standin.New(standin.Behaviour{Slots: 4})}
	m.server = &http.Server{Handler: m.target}
	m.target.Crash = func() { _ = m.server.Close() }
	m.done.Go(func() error { _ = m.server.Serve(l); return nil })
	var set policy.Set
	loadJSON(t, "policy.json", &set)
	m.Daemon, err = New(&settings.Settings{
		Daemon:        fleet.DaemonID(name),
		CallerAddress: "127.0.0.1:0",
		PeerAddress:   "127.0.0.1:0",
		Target:        settings.Target{Address: m.address, Service: service, Slots: 4, HealthPath: "/health"},
		Policy:        &set,
		Drain:         1200,
		Stop:          5000,
	}, WithLog(slog.New(slog.NewTextHandler(io.Discard, nil))))
	is.NoErr(err)
	return m
}

func (m *node) start(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	m.done.Go(func() error { return m.Run(ctx) })
	t.Cleanup(func() {
		m.Settings.Drain = 0
		m.stop()
		_ = m.server.Close()
		is.New(t).NoErr(m.done.Wait())
	})
}

// waitKnown waits until each daemon knows that all targets take work.
func (f *testFleet) waitKnown(t *testing.T) {
	t.Helper()
	for _, m := range f.nodes {
		for _, other := range f.nodes {
			m.Daemon.members.need(other.Own.Service)
		}
	}
	eventually(t, 3*time.Second, func() bool {
		for _, m := range f.nodes {
			for _, r := range m.Daemon.members.list.All() {
				if !r.State.TakesWork() || r.Slots == 0 {
					return false
				}
			}
			if m.Daemon.members.list.Size() != len(f.nodes) {
				return false
			}
		}
		return true
	})
}

func eventually(t *testing.T, within time.Duration, f func() bool) {
	t.Helper()
	until := time.Now().Add(within)
	for !f() {
		if time.Now().After(until) {
			t.Fatalf("not reached within %v", within)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// ran returns the requests with the id that any target ran.
func (f *testFleet) ran(id string) []standin.Ran {
	var all []standin.Ran
	for _, m := range f.nodes {
		for _, r := range m.target.Log() {
			if r.ID == id {
				all = append(all, r)
			}
		}
	}
	return all
}

// zeros is a body of n zero bytes that cannot be rewound.
func zeros(n int64) io.Reader {
	return io.LimitReader(zeroReader{}, n)
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
