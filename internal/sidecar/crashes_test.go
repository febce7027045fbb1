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

// crashingTarget is a target that stops at each request for one path.
type crashingTarget struct {
	address string
	runs    atomic.Int64 // requests for that path
	server  *http.Server
}

func startCrashingTarget(t *testing.T) *crashingTarget {
	t.Helper()
	c := &crashingTarget{address: "127.0.0.1:0"}
	c.start(t)
	t.Cleanup(func() { c.server.Close() })
	return c
}

// start starts the target, also again after a crash.
func (c *crashingTarget) start(t *testing.T) {
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

// newTestSidecar returns a daemon beside the target at the address.
func newTestSidecar(address string, id string) *Sidecar {
	s := New(Settings{ListenPeers: id, Target: address}, Protocol{
		WriteRequest: func(http.Header, exchange.ForwardedRequest, time.Time) {},
		RemoveKey:    func(http.Header) {},
		ReadAnswer:   func(int, http.Header) exchange.Response { return exchange.Response{FromTarget: true} },
	})
	s.registerTarget(exchange.TargetID(id), 9)
	return s
}

// registerTarget applies a heartbeat of a target of the service agenda.
func (s *Sidecar) registerTarget(id exchange.TargetID, slots fleet.Slots) {
	s.localTarget.ApplyHeartbeat(localtarget.Heartbeat{ID: id, Service: "agenda", Born: 1, Sequence: 1, Slots: slots}, time.Now())
	s.limit.SetSlots(slots)
	s.limit.ResetWarm()
	s.targetReport.answered.Store(true)
}

func (s *Sidecar) runPath(ctx context.Context, path string) attemptResult {
	return s.runRequest(ctx, "agenda", path)
}

// runRequest runs a request for a service at the target beside the daemon.
func (s *Sidecar) runRequest(ctx context.Context, service fleet.Service, path string) attemptResult {
	_, result := s.runAttempt(ctx, &localAttempt{
		method: http.MethodGet, uri: path, host: "x", header: http.Header{}, start: func() error { return nil },
		params: attemptParams{
			service: service, deadline: time.Now().Add(time.Second),
			fingerprint: poison.FingerprintOf(service, http.MethodGet, path, "", nil),
		},
	})
	return result
}

// TestPoison guards against a request that crashes one target after another because its
// client sends it again, also through a daemon that learned of the crashes only from
// another daemon's report.
func TestPoison(t *testing.T) {
	is := is.New(t)
	target := startCrashingTarget(t)
	s := newTestSidecar(target.address, "127.0.0.1:1")
	other := newTestSidecar(target.address, "127.0.0.1:2")
	sibling := httptest.NewServer(http.HandlerFunc(other.servePeer))
	defer sibling.Close()
	s.roster.Merge(roster.Record{
		Daemon: "127.0.0.1:2", Incarnation: 1, PeerAddress: sibling.Listener.Addr().String(), Service: "agenda", State: fleet.Draining,
	})
	for range 2 {
		result := s.runPath(t.Context(), "/poison/1")
		is.Equal(result.err.Outcome, outcome.Unknown)
		target.start(t)
	}
	for _, daemon := range []*Sidecar{s, other} {
		result := daemon.runPath(t.Context(), "/poison/1")
		is.Equal(result.err.Outcome, outcome.NotRun)
		is.Equal(result.err.Reason, outcome.Poison)
		is.True(daemon.runPath(t.Context(), "/other").err == nil)
	}
	is.Equal(target.runs.Load(), int64(2))
}

// TestMarksForgottenAfterRestart guards against a restarted daemon that runs requests which have
// crashed the targets of others.
func TestMarksForgottenAfterRestart(t *testing.T) {
	is := is.New(t)
	target := startCrashingTarget(t)
	other := newTestSidecar(target.address, "127.0.0.1:2")
	sibling := httptest.NewServer(http.HandlerFunc(other.servePeer))
	defer sibling.Close()
	for range 2 {
		is.Equal(other.runPath(t.Context(), "/poison/1").err.Outcome, outcome.Unknown)
		target.start(t)
	}
	restarted := newTestSidecar(target.address, "127.0.0.1:1")
	restarted.requestMarks()
	is.Equal(len(restarted.fetchRequests), 0) // no other daemon is known yet
	gone := roster.Record{Daemon: "127.0.0.1:3", Incarnation: 1, PeerAddress: "127.0.0.1:1", Service: "agenda", State: fleet.Serving}
	known := roster.Record{
		Daemon: "127.0.0.1:2", Incarnation: 2, PeerAddress: sibling.Listener.Addr().String(), Service: "agenda", State: fleet.Serving,
	}
	restarted.roster.Merge(gone)
	restarted.roster.Merge(known)
	restarted.requestMarks()
	is.True(restarted.fetch(t.Context(), <-restarted.fetchRequests) != nil) // one of them cannot be reached
	result := restarted.runPath(t.Context(), "/poison/1")
	is.Equal(result.err.Outcome, outcome.NotRun)
	is.Equal(result.err.Reason, outcome.Poison)
	is.True(restarted.runPath(t.Context(), "/other").err == nil)
	restarted.requestMarks()
	is.Equal(len(restarted.fetchRequests), 0) // they are known now
	is.Equal(target.runs.Load(), int64(2))
}

// TestLostResponseIsNoCrash guards against requests that count as poison because their
// responses were lost, although the target still accepts connections.
func TestLostResponseIsNoCrash(t *testing.T) {
	is := is.New(t)
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer target.Close()
	s := newTestSidecar(target.Listener.Addr().String(), "127.0.0.1:1")
	for range 3 {
		is.Equal(s.runPath(t.Context(), "/lost").err.Outcome, outcome.Unknown)
	}
	suspects, condemned := s.poison.Len()
	is.Equal(suspects+condemned, 0)
}

// TestRefuseOtherService guards against a request that runs at a target of another
// service. This happens when that target has taken over the address of one of the right
// service.
func TestRefuseOtherService(t *testing.T) {
	is := is.New(t)
	target := startCrashingTarget(t)
	s := newTestSidecar(target.address, "127.0.0.1:1")
	result := s.runRequest(t.Context(), "reservas", "/poison/1")
	is.True(result.err != nil)
	is.Equal(result.err.Outcome, outcome.NotRun)
	is.Equal(result.err.Reason, outcome.NoTarget)
	is.Equal(target.runs.Load(), int64(0))
}
