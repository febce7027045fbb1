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
	"pollenscale/standin/memstore"
	standin "pollenscale/standin/target"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// node is a daemon with its target, both in the test process.
type node struct {
	*Daemon
	target  *standin.Target
	server  *http.Server
	address string
	// prepare, if set, modifies the daemon before each start.
	prepare func(*node)
	stop    func()
	stopped chan struct{}
	done    errgroup.Group
}

// testFleet is a fleet of daemons that are seeds of each other.
type testFleet struct {
	nodes   []*node
	client  *http.Client
	options []Option
}

func loadJSON(t testing.TB, name string, v any) {
	t.Helper()
	data, err := os.ReadFile("testdata/" + name)
	is.New(t).NoErr(err)
	is.New(t).NoErr(json.Unmarshal(data, v))
}

// startFleet starts one daemon for each of the services, and stops all at the end of the
// test.
func startFleet(t testing.TB, services ...fleet.Service) *testFleet {
	t.Helper()
	return startStoreFleet(t, nil, services...)
}

// startStoreFleet starts daemons that share a store, or have none if s is nil.
func startStoreFleet(t testing.TB, s *memstore.Store, services ...fleet.Service) *testFleet {
	t.Helper()
	var options []Option
	if s != nil {
		options = append(options, WithStore(s.Tables(), s.Objects()))
	}
	return startFleetWith(t, options, services...)
}

// startFleetWith starts daemons that are built with the given options.
func startFleetWith(t testing.TB, options []Option, services ...fleet.Service) *testFleet {
	t.Helper()
	f := &testFleet{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}}
	f.options = append(f.options, WithLog(slog.New(slog.NewTextHandler(io.Discard, nil))))
	f.options = append(f.options, options...)
	for i, service := range services {
		f.nodes = append(f.nodes, newNode(t, service, string(rune('a'+i)), f.options...))
	}
	for _, m := range f.nodes {
		f.addSeeds(m)
	}
	for _, m := range f.nodes {
		m.start(t)
	}
	t.Cleanup(func() { f.stopAll(t) })
	t.Cleanup(f.client.CloseIdleConnections)
	f.waitMembership(t)
	return f
}

// addSeeds makes all other daemons seeds of m.
func (f *testFleet) addSeeds(m *node) {
	for _, other := range f.nodes {
		if other != m {
			m.members.joiner.Seeds = append(m.members.joiner.Seeds, other.Self.PeerAddress)
		}
	}
}

func newNode(t testing.TB, service fleet.Service, name string, options ...Option) *node {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	m := &node{address: l.Addr().String(), target: standin.New(standin.Behaviour{Slots: 4})}
	m.server = &http.Server{Handler: m.target}
	m.target.Crash = func() { _ = m.server.Close() }
	m.done.Go(func() error { _ = m.server.Serve(l); return nil })
	m.build(t, fleet.DaemonID(name), service, "127.0.0.1:0", "127.0.0.1:0", options...)
	return m
}

// build creates the daemon of m.
func (m *node) build(t testing.TB, id fleet.DaemonID, service fleet.Service, callers, peers string, options ...Option) {
	t.Helper()
	var set policy.Set
	loadJSON(t, "policy.json", &set)
	s := &settings.Settings{
		Daemon:        id,
		CallerAddress: callers,
		PeerAddress:   peers,
		Target:        settings.Target{Address: m.address, Service: service, Slots: 4, HealthPath: "/health"},
		Policy:        &set,
		Drain:         600,
		Stop:          5000,
	}
	// While a daemon restarts, another process may briefly use its port as the local
	// port of an outgoing connection.
	eventually(t, 10*time.Second, func() bool {
		var err error
		m.Daemon, err = New(s, options...)
		return err == nil
	})
}

// restart replaces the daemon of m by a new one on the same ports, with the others as its
// seeds. With kill, the old daemon closes its connections at once.
func (f *testFleet) restart(t testing.TB, m *node, kill bool) {
	t.Helper()
	if kill {
		_ = m.PeerServer.Close()
		_ = m.Caller.Close()
	}
	m.stop()
	<-m.stopped
	m.build(t, m.Self.Daemon, m.Self.Service, m.CallerAddress(), m.Self.PeerAddress, f.options...)
	f.addSeeds(m)
	m.start(t)
}

func (m *node) start(t testing.TB) {
	if m.prepare != nil {
		m.prepare(m)
	}
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	m.stopped = make(chan struct{})
	m.done.Go(func() error {
		defer close(m.stopped)
		return m.Run(ctx)
	})
}

// stopAll stops all daemons at the same time.
func (f *testFleet) stopAll(t testing.TB) {
	for _, m := range f.nodes {
		m.stop()
	}
	for _, m := range f.nodes {
		<-m.stopped
		_ = m.server.Close()
		is.New(t).NoErr(m.done.Wait())
	}
}

// waitMembership waits until each daemon sees all targets ready.
func (f *testFleet) waitMembership(t testing.TB) {
	t.Helper()
	for _, m := range f.nodes {
		for _, other := range f.nodes {
			m.members.subscribe(other.Self.Service)
		}
	}
	eventually(t, 3*time.Second, func() bool {
		for _, m := range f.nodes {
			if !m.seesAllReady(len(f.nodes)) {
				return false
			}
		}
		return true
	})
}

// seesAllReady reports whether the daemon has n members and sees that all of their
// targets take requests.
func (m *node) seesAllReady(n int) bool {
	for _, r := range m.members.list.All() {
		if !r.State.TakesWork() || r.Slots == 0 {
			return false
		}
	}
	return m.members.list.Size() == n
}

func eventually(t testing.TB, within time.Duration, f func() bool) {
	t.Helper()
	until := time.Now().Add(within)
	for !f() {
		if time.Now().After(until) {
			t.Fatalf("condition not met within %v", within)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// executions returns the log entries of all targets for the request with the given ID.
func (f *testFleet) executions(id string) []standin.LogEntry {
	var all []standin.LogEntry
	for _, m := range f.nodes {
		for _, r := range m.target.Log() {
			if r.ID == id {
				all = append(all, r)
			}
		}
	}
	return all
}

// zeros returns a reader of n zero bytes that cannot seek.
func zeros(n int64) io.Reader {
	return io.LimitReader(zeroReader{}, n)
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
