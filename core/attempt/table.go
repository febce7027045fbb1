package attempt

import (
	"sync"
	"sync/atomic"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/invariant"
	"pollenscale/core/outcome"
	"pollenscale/internal/mutant"

	"github.com/cespare/xxhash/v2"
)

// Mechanisms that tests switch off one at a time.
var (
	checkIncarnation = mutant.New("attempt/own-incarnation")
	refuseCopies     = mutant.New("attempt/refuse-copies")
	keepTombstones   = mutant.New("attempt/tombstones")
)

const (
	shards = 32
	// forgetAfter is how long an entry may be silent before its state is
	// removed. It is far above the life of any connection that could still
	// deliver an attempt.
	forgetAfter = time.Hour
)

// Table records the attempts that reach a target's daemon. The zero value with
// Own set is ready for use.
type Table struct {
	// Incarnation is the incarnation of the daemon that keeps the table.
	Incarnation fleet.Incarnation
	// Now returns the current time; nil means time.Now.
	Now func() time.Time

	renewed atomic.Uint64 // replaces Own unless 0
	shards  [shards]shard
}

type shard struct {
	mu      sync.Mutex
	entries map[fleet.DaemonID]*entry
}

// entry is the state of one entry daemon.
type entry struct {
	incarnation fleet.Incarnation
	openFrom    Sequence
	heardAt     time.Time
	records     map[Sequence]*Record
}

// Record is one attempt at the target's daemon.
type Record struct {
	shard  *shard
	state  State
	cancel func()
}

// SetIncarnation replaces the incarnation of the daemon, which was found to be lower than
// that of an earlier process. Recorded attempts stay.
func (t *Table) SetIncarnation(i fleet.Incarnation) { t.renewed.Store(uint64(i)) }

func (t *Table) own() fleet.Incarnation { return renewedOr(&t.renewed, t.Incarnation) }

// Begin records a new attempt as Queued. It refuses an attempt that addresses
// another incarnation, that was settled before it arrived, or that arrived
// already. The function cancel, which may be nil, is called without waiting
// when the attempt is settled as not run while it is queued.
func (t *Table) Begin(ref Ref, cancel func()) (*Record, error) {
	if ref.Target != t.own() && !checkIncarnation.Off() {
		return nil, stale(outcome.NotRun, "attempt addresses another incarnation")
	}
	s := t.shard(ref.ID.Daemon)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := t.entry(s, ref)
	if e == nil || ref.ID.Sequence < e.openFrom {
		return nil, stale(outcome.Unknown, "attempt is closed")
	}
	e.raise(ref.OpenFrom)
	if r := e.records[ref.ID.Sequence]; r != nil && !refuseCopies.Off() {
		if r.state == NotRun {
			return nil, stale(outcome.NotRun, "attempt was settled as not run")
		}
		return nil, stale(outcome.Unknown, "attempt arrived before")
	}
	r := &Record{shard: s, state: Queued, cancel: cancel}
	e.records[ref.ID.Sequence] = r
	return r, nil
}

// Settle returns a binding answer about an attempt. An attempt that is queued
// or has not arrived becomes a tombstone, which refuses it from then on.
func (t *Table) Settle(ref Ref) Settlement {
	return t.ask(ref, func(e *entry, r *Record) Settlement {
		e.raise(ref.OpenFrom)
		r.abandon()
		return Settlement{Outcome: outcome.Run, Running: r.state == Running}
	})
}

// Check returns a binding answer about an attempt that may not have arrived: one
// that has not becomes a tombstone. An attempt that arrived goes on, and the
// answer says Run also while it is queued.
func (t *Table) Check(ref Ref) Settlement {
	return t.ask(ref, func(_ *entry, r *Record) Settlement {
		return Settlement{Outcome: outcome.Run, Running: r.state != Finished}
	})
}

// ask answers a question about an attempt: an unknown one becomes a tombstone,
// and known says what is done with one that arrived. Whatever known does, an
// attempt that did not run is answered so.
func (t *Table) ask(ref Ref, known func(*entry, *Record) Settlement) Settlement {
	if ref.Target != t.own() {
		return Settlement{Outcome: outcome.Unknown}
	}
	s := t.shard(ref.ID.Daemon)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := t.entry(s, ref)
	if e == nil || ref.ID.Sequence < e.openFrom {
		return Settlement{Outcome: outcome.Unknown}
	}
	r := e.records[ref.ID.Sequence]
	if r == nil {
		e.raise(ref.OpenFrom)
		if !keepTombstones.Off() {
			e.records[ref.ID.Sequence] = &Record{shard: s, state: NotRun}
		}
		return Settlement{Outcome: outcome.NotRun}
	}
	settlement := known(e, r)
	if r.state == NotRun {
		return Settlement{Outcome: outcome.NotRun}
	}
	return settlement
}

// Len returns the number of recorded attempts and tombstones.
func (t *Table) Len() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			n += len(e.records)
		}
		s.mu.Unlock()
	}
	return n
}

// Sweep removes the state of entries that have been silent for an hour and
// have nothing under way.
func (t *Table) Sweep() {
	now := t.now()
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for id, e := range s.entries {
			if now.Sub(e.heardAt) > forgetAfter && !e.busy() {
				delete(s.entries, id)
			}
		}
		s.mu.Unlock()
	}
}

// Start moves the attempt to Running. It fails when the attempt was settled as
// not run in the meantime.
func (r *Record) Start() error {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	if r.state == NotRun {
		return stale(outcome.NotRun, "attempt was settled as not run")
	}
	invariant.Check(r.state == Queued, "attempt-runs-once", "start of a %s attempt", r.state)
	r.state = Running
	r.cancel = nil
	return nil
}

// Finish records how the attempt ended: NotRun when it surely did not run,
// any other outcome as Finished.
func (r *Record) Finish(o outcome.Outcome) {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	if o == outcome.NotRun {
		invariant.Check(r.state != Finished, "not-run-never-ran", "finished attempt reported as not run")
		r.state = NotRun
		return
	}
	invariant.Check(r.state != NotRun, "tombstone-never-runs", "attempt settled as not run ended as %s", o)
	r.state = Finished
}

// abandon turns a queued attempt into a tombstone.
func (r *Record) abandon() {
	if r.state != Queued {
		return
	}
	r.state = NotRun
	if r.cancel != nil {
		r.cancel()
		r.cancel = nil
	}
}

// entry returns the state for the entry daemon of ref, or nil when ref is of an
// incarnation that a newer one replaced.
func (t *Table) entry(s *shard, ref Ref) *entry {
	e := s.entries[ref.ID.Daemon]
	if e != nil && ref.ID.Incarnation < e.incarnation {
		return nil
	}
	if e == nil || ref.ID.Incarnation > e.incarnation {
		e = s.replace(e, ref.ID)
	}
	e.heardAt = t.now()
	return e
}

func (s *shard) replace(old *entry, id ID) *entry {
	if old != nil {
		for _, r := range old.records {
			r.abandon()
		}
	}
	if s.entries == nil {
		s.entries = map[fleet.DaemonID]*entry{}
	}
	e := &entry{incarnation: id.Incarnation, records: map[Sequence]*Record{}}
	s.entries[id.Daemon] = e
	return e
}

// raise moves the watermark up to from and removes what is below it.
func (e *entry) raise(from Sequence) {
	if from <= e.openFrom {
		return
	}
	if from-e.openFrom <= Sequence(len(e.records)) {
		for q := e.openFrom; q < from; q++ {
			e.remove(q)
		}
	} else {
		for q := range e.records {
			if q < from {
				e.remove(q)
			}
		}
	}
	e.openFrom = from
}

func (e *entry) remove(q Sequence) {
	if r := e.records[q]; r != nil {
		r.abandon()
		delete(e.records, q)
	}
}

func (e *entry) busy() bool {
	for _, r := range e.records {
		if r.state == Queued || r.state == Running {
			return true
		}
	}
	return false
}

func (t *Table) shard(id fleet.DaemonID) *shard {
	return &t.shards[xxhash.Sum64String(string(id))%shards]
}

func (t *Table) now() time.Time {
	if t.Now != nil {
		return t.Now()
	}
	return time.Now()
}

func stale(o outcome.Outcome, detail string) error {
	return outcome.New(o, outcome.StaleAttempt, detail)
}
