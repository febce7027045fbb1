package sidecar

import (
	"encoding/json"
	"testing"

	"pollenscale/core/fleet"
	"pollenscale/core/roster"
	"pollenscale/core/store"

	"github.com/matryer/is"
)

// TestRestoreIsNews guards against daemons that go on taking a restarted daemon
// for one without a target: they have heard of the new process before it read
// what the earlier one had recorded.
func TestRestoreIsNews(t *testing.T) {
	is := is.New(t)
	s := New(Settings{Peers: "127.0.0.1:1", Target: "127.0.0.1:2"}, Protocol{})
	before := s.ownRecord()
	is.Equal(before.State, fleet.Leaving)
	value, err := json.Marshal(roster.Record{
		Daemon: s.id, Incarnation: s.incarnation - 1, PeerAddress: "127.0.0.1:1", Service: "agenda",
		Target: "i-1", Born: 5, Slots: 9, State: fleet.Leaving, TargetState: fleet.Serving,
	})
	is.NoErr(err)
	s.meetConflict([]store.Row{{Table: membersTable, Key: string(s.id), Value: value, Version: 7}})
	after := s.ownRecord()
	is.Equal(after.State, fleet.Serving)
	is.True(after.Newer(&before))
}

// TestRestoreKeepsDrain guards against a restarted daemon that gives work to a
// target whose drain the earlier process acknowledged.
func TestRestoreKeepsDrain(t *testing.T) {
	is := is.New(t)
	s := New(Settings{Peers: "127.0.0.1:1"}, Protocol{})
	value, err := json.Marshal(roster.Record{
		Daemon: s.id, PeerAddress: "127.0.0.1:1", Service: "agenda", Target: "i-1", Slots: 9, TargetState: fleet.Draining,
	})
	is.NoErr(err)
	s.meetConflict([]store.Row{{Table: membersTable, Key: string(s.id), Value: value, Version: 7}})
	v := s.turnAway(s.local.View(), &work{terms: terms{service: "agenda"}})
	is.True(v.err != nil)
}
