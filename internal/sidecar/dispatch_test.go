package sidecar

import (
	"context"
	"net/http"
	"testing"
	"time"

	"pollenscale/core/exchange"
	"pollenscale/core/fleet"
	"pollenscale/core/localtarget"
	"pollenscale/core/outcome"
	"pollenscale/core/retry"
	"pollenscale/core/roster"
	"pollenscale/core/route"

	"github.com/matryer/is"
)

// newPausedSidecar returns a daemon whose own target is paused, with another target in
// a distant region.
func newPausedSidecar(t *testing.T) *Sidecar {
	t.Helper()
	home := fleet.Place{Region: "scl", AvailabilityZone: "scl-a"}
	s := New(Settings{ListenPeers: "127.0.0.1:1", Place: home}, Protocol{})
	s.localTarget.ApplyHeartbeat(localtarget.Heartbeat{ID: "i-1", Service: "agenda", Born: 1, Sequence: 1, Slots: 4}, time.Now())
	s.roster.Merge(s.ownRecord())
	s.roster.Merge(roster.Record{
		Daemon: "far", Incarnation: 1, PeerAddress: "127.0.0.2:1", Service: "agenda", Target: "i-2",
		Place: fleet.Place{Region: "bog", AvailabilityZone: "bog-a"}, Slots: 4, State: fleet.Serving,
	})
	s.queue.Pause()
	return s
}

// TestOwnLoadObservedAfterRefusal guards against an entry that queues a request at its
// own target, whose load it does not know, although another target can respond in time.
func TestOwnLoadObservedAfterRefusal(t *testing.T) {
	is := is.New(t)
	s := newPausedSidecar(t)
	now := time.Now()
	q := &request{
		route: &route.Route{Kind: route.Safe, Objective: 60 * time.Millisecond, MaxAttempts: 2}, service: "agenda",
		method: http.MethodGet, header: http.Header{}, arrivedAt: now, deadline: now.Add(time.Second),
	}
	const serviceTime = 50 * time.Millisecond
	first, err := s.pickTarget(q, serviceTime)
	is.NoErr(err)
	is.Equal(first.Target.Daemon, s.id)
	s.slowdown.Observe(5, time.Now()) // recent, so that the pause remains in effect
	_, result := s.attempt(t.Context(), q, first, serviceTime)
	is.Equal(result.err.Outcome, outcome.NotRun)
	q.tried = append(q.tried, first.Target.Daemon)
	second, err := s.pickTarget(q, serviceTime)
	is.NoErr(err)
	is.Equal(second.Target.Daemon, fleet.DaemonID("far"))
}

// TestExtraRetriesWithoutRecords guards against daemons that take themselves for the only one.
func TestExtraRetriesWithoutRecords(t *testing.T) {
	is := is.New(t)
	s := New(Settings{ListenPeers: "127.0.0.1:1", RetryBudget: retry.FleetLimits{Ratio: 0.2, ExtraRetries: 58, Window: 10 * time.Second}}, Protocol{})
	now := s.startedAt
	s.now = func() time.Time { return now }
	s.roster.Merge(s.ownRecord())
	is.True(!s.retryBudget("agenda").Allow())
	for range 10 {
		s.retryBudget("agenda").RecordRequest()
	}
	is.True(s.retryBudget("agenda").Allow()) // by the ratio
	is.True(!s.retryBudget("agenda").Allow())
	s.joined.Store(true)
	is.True(!s.retryBudget("agenda").Allow()) // the process before may have spent the extra retries
	now = now.Add(12 * time.Second)
	s.joined.Store(false)
	is.True(!s.retryBudget("agenda").Allow())
	s.joined.Store(true)
	is.True(s.retryBudget("agenda").Allow())
}

// TestMayRetry guards against a request that is sent again after it may have run
// although it is not idempotent, and against more attempts than the route allows.
func TestMayRetry(t *testing.T) {
	s := New(Settings{ListenPeers: "127.0.0.1:1"}, Protocol{})
	unknown := attemptResult{err: outcome.New(outcome.Unknown, outcome.TargetFailed, "")}
	daemon := attemptResult{err: outcome.New(outcome.NotRun, outcome.Overloaded, "")}
	target := attemptResult{err: outcome.New(outcome.NotRun, outcome.Overloaded, ""), refusedByTarget: true}
	failed := &response{status: http.StatusInternalServerError}
	cases := []struct {
		name    string
		kind    route.Kind
		reached int
		resp    *response
		result  attemptResult
		final   bool
		want    bool
	}{
		{"unsafe, outcome unknown", route.Unsafe, 0, nil, unknown, false, false},
		{"upload, outcome unknown", route.Upload, 0, nil, unknown, false, false},
		{"safe, outcome unknown", route.Safe, 0, nil, unknown, false, true},
		{"safe, outcome unknown, attempts used up", route.Safe, 1, nil, unknown, false, false},
		{"unsafe, refused by a daemon", route.Unsafe, 1, nil, daemon, false, true},
		{"unsafe, refused in the queue of the final attempt", route.Unsafe, 0, nil, daemon, true, false},
		{"unsafe, refused by the target", route.Unsafe, 0, nil, target, false, true},
		{"unsafe, refused by the target, attempts used up", route.Unsafe, 1, nil, target, false, false},
		{"safe, failed by the target", route.Safe, 0, failed, attemptResult{}, false, true},
		{"unsafe, failed by the target", route.Unsafe, 0, failed, attemptResult{}, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := &request{
				Request: exchange.Request{ID: "1"}, route: &route.Route{Kind: c.kind, MaxAttempts: 2},
				reached: c.reached, deadline: time.Now().Add(time.Second),
			}
			is.New(t).Equal(s.mayRetry(context.Background(), q, c.resp, c.result, c.final), c.want)
		})
	}
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	q := &request{route: &route.Route{Kind: route.Safe, MaxAttempts: 2}, deadline: time.Now().Add(time.Second)}
	is.New(t).True(!s.mayRetry(gone, q, nil, daemon, false)) // the client has gone
}
