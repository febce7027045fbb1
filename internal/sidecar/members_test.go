package sidecar

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"pollenscale/core/attempt"
	"pollenscale/core/fleet"
	"pollenscale/core/localtarget"
	"pollenscale/core/roster"
	"pollenscale/core/store"
	"pollenscale/standin/memstore"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// TestRestoredRecordIsNewer guards against daemons that keep treating a restarted
// daemon as one without a target: they received a record of the new process before it
// restored the state that the earlier one had recorded.
func TestRestoredRecordIsNewer(t *testing.T) {
	is := is.New(t)
	s := New(Settings{ListenPeers: "127.0.0.1:1", Target: "127.0.0.1:2"}, Protocol{})
	before := s.ownRecord()
	is.Equal(before.State, fleet.Leaving)
	value, err := json.Marshal(roster.Record{
		Daemon: s.id, Incarnation: s.incarnation() - 1, PeerAddress: "127.0.0.1:1", Service: "agenda",
		Target: "i-1", Born: 5, Slots: 9, State: fleet.Leaving, TargetState: fleet.Serving,
	})
	is.NoErr(err)
	s.resolveConflict([]store.Row{{Table: membersTable, Key: string(s.id), Value: value, Version: 7}})
	after := s.ownRecord()
	is.Equal(after.State, fleet.Serving)
	is.True(after.Newer(&before))
}

// TestRestoreKeepsDrain guards against a restarted daemon that sends requests to a
// target whose drain the earlier process acknowledged.
func TestRestoreKeepsDrain(t *testing.T) {
	is := is.New(t)
	s := New(Settings{ListenPeers: "127.0.0.1:1"}, Protocol{})
	value, err := json.Marshal(roster.Record{
		Daemon: s.id, PeerAddress: "127.0.0.1:1", Service: "agenda", Target: "i-1", Slots: 9, TargetState: fleet.Draining,
	})
	is.NoErr(err)
	s.resolveConflict([]store.Row{{Table: membersTable, Key: string(s.id), Value: value, Version: 7}})
	a := &localAttempt{params: attemptParams{service: "agenda"}}
	is.True(s.checkTarget(s.localTarget.View(), a) != nil)
	s.applyHeartbeat(&localtarget.Heartbeat{ID: "i-1", Service: "agenda", Sequence: 3, Slots: 9}, time.Now())
	is.True(s.checkTarget(s.localTarget.View(), a) != nil) // although the heartbeat does not report the drain
}

// TestClockStepsBack guards against a daemon that other daemons take for its earlier
// process because the system clock stepped back in between: its records would be
// ignored, its attempts refused as closed, and a drain forgotten.
func TestClockStepsBack(t *testing.T) {
	is := is.New(t)
	s := New(Settings{ListenPeers: "127.0.0.1:1"}, Protocol{})
	earlier := roster.Record{
		Daemon: s.id, Incarnation: s.incarnation() + fleet.Incarnation(time.Hour), Sequence: 9, PeerAddress: "127.0.0.1:1",
		Service: "agenda", Target: "i-1", Slots: 9, TargetState: fleet.Draining,
	}
	others := roster.New("other")
	others.Merge(earlier)
	value, err := json.Marshal(earlier)
	is.NoErr(err)
	s.resolveConflict([]store.Row{{Table: membersTable, Key: string(s.id), Value: value, Version: 7}})
	is.True(others.Merge(s.ownRecord()))
	is.Equal(s.localTarget.View().State, fleet.Draining)

	target := attempt.Table{Incarnation: 1}
	before := attempt.Sequencer{Daemon: s.id, Incarnation: earlier.Incarnation}
	for _, o := range []*attempt.Sequencer{&before, &s.sentAttempts} {
		_, err := target.Begin(o.Open(fleet.Target{Daemon: "other", Incarnation: 1}).Ref, nil)
		is.NoErr(err)
	}
	_, err = s.receivedAttempts.Begin(attempt.Ref{ID: attempt.ID{Daemon: "other", Sequence: 1}, Target: s.incarnation()}, nil)
	is.NoErr(err)
}

// TestDrainIgnoredAfterClockStep guards against a drain that is acknowledged and has no effect,
// since the start time of the target has gone back with the time of day.
func TestDrainIgnoredAfterClockStep(t *testing.T) {
	is := is.New(t)
	s := New(Settings{ListenPeers: "127.0.0.1:1"}, Protocol{})
	now := time.Now()
	call := func(born, sequence int64, draining bool, at time.Time) error {
		return s.applyTargetCall(t.Context(), TargetCall{Heartbeat: &localtarget.Heartbeat{
			ID: "i-1", Service: "agenda", Born: born, Sequence: sequence, Draining: draining, Slots: 9,
		}}, at)
	}
	is.NoErr(call(5000, 3, false, now))
	is.Equal(call(3000, 1, true, now.Add(time.Second)), errLaterInUse) // not acknowledged
	is.True(s.localTarget.View().State.TakesWork())
	is.Equal(call(3000, 2, true, now.Add(6*time.Second)), errNotRecorded) // until the store has it
	is.True(!s.localTarget.View().State.TakesWork())
	is.True(s.ownRecord().Departures.Covers("i-1", 5000))
}

// TestRemoveRow guards against rows of replaced VMs that are never removed from the
// store, and against the removal of a row that has changed.
func TestRemoveRow(t *testing.T) {
	is := is.New(t)
	tables := memstore.New().Tables()
	s := New(Settings{ListenPeers: "127.0.0.1:1"}, Protocol{}, WithTables(tables))
	s.watching.Store(true)
	gone := roster.Record{Daemon: "gone", Incarnation: 5, PeerAddress: "127.0.0.1:9"}
	write := func(r roster.Record, version store.Version) store.Version {
		value, err := json.Marshal(r)
		is.NoErr(err)
		result, err := tables.Transact(t.Context(), store.Transaction{
			Conditions: []store.Condition{{Table: membersTable, Key: "gone", Version: version}},
			Writes:     []store.Write{{Table: membersTable, Key: "gone", Value: value}},
		})
		is.NoErr(err)
		is.True(result.Committed)
		return result.Versions[0]
	}
	version := write(gone, 0)
	is.True(s.readMembers(t.Context()))
	s.roster.Now = func() time.Time { return time.Now().Add(3 * time.Hour) }
	is.Equal(len(s.roster.Forget()), 1)
	gone.Incarnation++ // the daemon has restarted
	version = write(gone, version)
	is.True(s.readMembers(t.Context()))
	row, _, err := tables.Read(t.Context(), membersTable, "gone")
	is.NoErr(err)
	is.Equal(row.Version, version)
	s.roster.Now = func() time.Time { return time.Now().Add(9 * time.Hour) }
	is.Equal(len(s.roster.Forget()), 1)
	is.True(s.readMembers(t.Context()))
	row, _, err = tables.Read(t.Context(), membersTable, "gone")
	is.NoErr(err)
	is.Equal(row.Version, store.Version(0))
}

// TestAcknowledgementOfEarlierEra guards against a lost record that counts as written.
func TestAcknowledgementOfEarlierEra(t *testing.T) {
	is := is.New(t)
	tables := memstore.New().Tables()
	s := New(Settings{ListenPeers: "127.0.0.1:1"}, Protocol{})
	s.observeEra(1)
	transact, writes := tables.Transact, 0
	tables.Transact = func(ctx context.Context, t store.Transaction) (store.Result, error) {
		writes++
		result, err := transact(ctx, t)
		result.Era = store.Era(writes)
		s.observeEra(2) // another daemon has learned of it
		return result, err
	}
	s.tables = tables
	written := s.recordChanged()
	is.True(!s.tryWriteRecord(t.Context()))
	select {
	case <-written:
		t.Error("acknowledged in an earlier era")
	default:
	}
	is.True(s.writeRecord(t.Context())) // after a conflict with the lost write
	<-written
}

// TestResponseWithoutEra guards against a record that is written again and again.
func TestResponseWithoutEra(t *testing.T) {
	is := is.New(t)
	s := New(Settings{ListenPeers: "127.0.0.1:1"}, Protocol{}, WithTables(memstore.New().Tables()))
	s.observeEra(2)
	written := s.recordChanged()
	is.True(s.writeRecord(t.Context()))
	<-written
}

// TestPublishOnce guards against two concurrent writers of the own record, one at the
// start and one after a change, that both report the same changes as written.
func TestPublishOnce(t *testing.T) {
	is := is.New(t)
	for range 50 {
		tables := memstore.New().Tables()
		transact := tables.Transact
		tables.Transact = func(ctx context.Context, t store.Transaction) (store.Result, error) {
			t.Conditions = nil // as if each writer knew the latest version
			result, err := transact(ctx, t)
			time.Sleep(time.Millisecond)
			return result, err
		}
		s := New(Settings{ListenPeers: "127.0.0.1:1"}, Protocol{}, WithTables(tables))
		var written []<-chan struct{}
		for range 4 {
			written = append(written, s.recordChanged())
		}
		var writers sync.WaitGroup
		for range 4 {
			writers.Go(func() {
				for !s.writeRecord(t.Context()) {
					time.Sleep(time.Millisecond)
				}
			})
		}
		writers.Wait()
		for _, w := range written {
			<-w
		}
		is.Equal(len(s.publisher.waiters), 0)
	}
}

// TestOwnRecordReplaced guards against a daemon that new daemons never find since another
// writer has replaced or removed its record in the store.
func TestOwnRecordReplaced(t *testing.T) {
	is := is.New(t)
	tables := memstore.New().Tables()
	s := New(Settings{ListenPeers: "127.0.0.1:1"}, Protocol{}, WithTables(tables))
	is.True(s.writeRecord(t.Context()))
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return s.publishChanges(ctx) })
	defer func() {
		cancel()
		is.NoErr(group.Wait())
	}()
	key := string(s.id)
	for _, odd := range []store.Write{
		{Table: membersTable, Key: key, Value: []byte("[[[[")},
		{Table: membersTable, Key: key, Value: []byte(`{"Daemon":"127.0.0.1:1","Incarnation":7,"PeerAddress":"127.0.0.1:70000"}`)},
		{Table: membersTable, Key: key, Delete: true},
	} {
		_, err := tables.Transact(t.Context(), store.Transaction{Writes: []store.Write{odd}})
		is.NoErr(err)
		is.True(s.readMembers(t.Context()))
		is.True(becomesTrue(2*time.Second, func() bool {
			row, _, err := tables.Read(t.Context(), membersTable, key)
			return err == nil && s.isOwnRow(row)
		})) // the record is written again
	}
}

// becomesTrue reports whether f returns true within the time.
func becomesTrue(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}
