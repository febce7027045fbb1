package sidecar

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pollenscale/core/exchange"
	"pollenscale/core/fleet"
	"pollenscale/core/localtarget"
	"pollenscale/core/outcome"
	"pollenscale/core/poison"
	"pollenscale/core/roster"

	"github.com/matryer/is"
)

// crashing is a target that ends at each request for one path.
type crashing struct {
	address string
	runs    atomic.Int64 // of that path
	server  *http.Server
}

func startCrashing(t *testing.T) *crashing {
	t.Helper()
	c := &crashing{address: "127.0.0.1:0"}
	c.start(t)
	t.Cleanup(func() { c.server.Close() })
	return c
}

// start starts the target, once more after a crash.
func (c *crashing) start(t *testing.T) {
	t.Helper()
	listener, err := net.Listen("tcp4", c.address)
	is.New(t).NoErr(err)
	c.address = listener.Addr().String()
	server := &http.Server{}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/poison") {
			c.runs.Add(1)
			server.Close()
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusOK)
	})
	c.server = server
	go server.Serve(listener)
}

// beside returns a daemon beside a target.
func beside(address string, id string) *Sidecar {
	s := New(Settings{ListenPeers: id, Target: address}, Protocol{
		WriteRequest: func(http.Header, exchange.Forward, time.Time) {},
		ReadAnswer:   func(int, http.Header) exchange.Answer { return exchange.Answer{Genuine: true} },
	})
	s.meetTarget(exchange.TargetID(id), 9)
	return s
}

// meetTarget makes a target of the service agenda known to the daemon beside it.
func (s *Sidecar) meetTarget(id exchange.TargetID, slots fleet.Slots) {
	s.local.ApplyHeartbeat(localtarget.Heartbeat{ID: id, Service: "agenda", Born: 1, Sequence: 1, Slots: slots}, time.Now())
	s.limit.SetSlots(slots)
	s.limit.ResetWarm()
	s.asked.Store(true)
}

func (s *Sidecar) runPath(ctx context.Context, path string) verdict {
	return s.runFor(ctx, "agenda", path)
}

// runFor runs a request of a service at the target beside the daemon.
func (s *Sidecar) runFor(ctx context.Context, service fleet.Service, path string) verdict {
	_, v := s.runWork(ctx, &work{
		method: http.MethodGet, target: path, host: "x", header: http.Header{}, start: func() error { return nil },
		terms: terms{
			service: service, deadline: time.Now().Add(time.Second),
			fingerprint: poison.Of(service, http.MethodGet, path, "", nil),
		},
	})
	return v
}

// TestPoison guards against a request that crashes one target after the other,
// sent again by its client, also through a daemon that has heard of the crashes
// from another.
func TestPoison(t *testing.T) {
	is := is.New(t)
	target := startCrashing(t)
	s := beside(target.address, "127.0.0.1:1")
	other := beside(target.address, "127.0.0.1:2")
	sibling := httptest.NewServer(http.HandlerFunc(other.servePeer))
	defer sibling.Close()
	s.roster.Offer(roster.Record{
		Daemon: "127.0.0.1:2", Incarnation: 1, PeerAddress: sibling.Listener.Addr().String(), Service: "agenda", State: fleet.Draining,
	})
	for range 2 {
		v := s.runPath(t.Context(), "/poison/1")
		is.Equal(v.err.Outcome, outcome.Unknown)
		target.start(t)
	}
	for _, daemon := range []*Sidecar{s, other} {
		v := daemon.runPath(t.Context(), "/poison/1")
		is.Equal(v.err.Outcome, outcome.NotRun)
		is.Equal(v.err.Reason, outcome.Poison)
		is.True(daemon.runPath(t.Context(), "/other").err == nil)
	}
	is.Equal(target.runs.Load(), int64(2))
}

// TestLostAnswerIsNoCrash guards against requests that are taken for poison since
// one answer was lost while the target goes on.
func TestLostAnswerIsNoCrash(t *testing.T) {
	is := is.New(t)
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer target.Close()
	s := beside(target.Listener.Addr().String(), "127.0.0.1:1")
	for range 3 {
		is.Equal(s.runPath(t.Context(), "/lost").err.Outcome, outcome.Unknown)
	}
	suspects, condemned := s.poison.Len()
	is.Equal(suspects+condemned, 0)
}

// TestOtherService guards against a request that reaches a target of another
// service, whose address the target of its own service had before.
func TestOtherService(t *testing.T) {
	is := is.New(t)
	target := startCrashing(t)
	s := beside(target.address, "127.0.0.1:1")
	v := s.runFor(t.Context(), "reservas", "/poison/1")
	is.True(v.err != nil)
	is.Equal(v.err.Outcome, outcome.NotRun)
	is.Equal(v.err.Reason, outcome.NoTarget)
	is.Equal(target.runs.Load(), int64(0))
}
