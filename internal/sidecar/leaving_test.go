package sidecar

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"pollenscale/core/choice"
	"pollenscale/core/outcome"
	"pollenscale/core/roster"
	"pollenscale/core/route"

	"github.com/matryer/is"
)

// TestLeavingTargetGetsRequests guards against use of a target that states only in responses that it leaves.
func TestLeavingTargetGetsRequests(t *testing.T) {
	is := is.New(t)
	target, start := startStatingTarget(t)
	s := start()
	is.Equal(s.runPath(t.Context(), "/slots/1").err, nil)
	target.set(func() { target.leaving = true })
	is.Equal(s.runPath(t.Context(), "/slots/2").err, nil)
	for _, daemon := range []*Sidecar{s, start()} { // the second one has restarted
		result := daemon.runPath(t.Context(), "/slots/3")
		is.True(result.err != nil)
		is.Equal(result.err.Reason, outcome.Draining)
		is.True(!daemon.ownState().TakesWork())
	}
	is.Equal(target.runs, 2)
}

// TestEntryForgetsLeavingTarget guards against requests after the daemon beside a leaving target has restarted.
func TestEntryForgetsLeavingTarget(t *testing.T) {
	is := is.New(t)
	target, start := startStatingTarget(t)
	target.set(func() { target.leaving, target.mute = true, true })
	var process atomic.Pointer[Sidecar] // of the daemon beside the target
	beside := start()
	process.Store(beside)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { process.Load().servePeer(w, r) }))
	defer server.Close()
	record := roster.Record{
		Daemon: "beside", Incarnation: beside.incarnation(), PeerAddress: server.Listener.Addr().String(), Service: "agenda",
		Target: "i-1", Born: 1, Slots: 9, State: beside.ownState(),
	}
	entry := New(Settings{ListenPeers: "127.0.0.1:1"}, beside.protocol)
	entry.roster.Merge(record)
	now := time.Now()
	q := &request{
		route: &route.Route{Kind: route.Safe, MaxAttempts: 2}, service: "agenda", method: http.MethodGet, uri: "/slots/1",
		host: "x", header: http.Header{}, arrivedAt: now, deadline: now.Add(time.Second),
	}
	picked, err := entry.pickTarget(q, 0)
	is.NoErr(err)
	_, result := entry.attempt(t.Context(), q, picked, 0)
	is.Equal(result.err, nil)

	beside = start()
	process.Store(beside)
	record.Incarnation = beside.incarnation()
	is.True(entry.roster.Merge(record))
	picked, err = entry.pickTarget(q, 0)
	is.Equal(picked, choice.Choice{})
	is.Equal(err.(*outcome.Error).Reason, outcome.NoTarget) //nolint:errorlint // choice returns it unwrapped
}
