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

// Mechanisms that tests can switch off one at a time.
var (
	checkIncarnation = mutant.New("attempt/own-incarnation")
	refuseDuplicates = mutant.New("attempt/refuse-copies")
	keepTombstones   = mutant.New("attempt/tombstones")
)

const (
	shardCount = 32
	// entryRetention is the time without messages from an entry after which its
	// state is removed. It is far longer than the lifetime of any connection that
	// could still deliver an attempt.
	entryRetention = time.Hour
)

// Table records the attempts that reach a target's daemon. The zero value with
// Incarnation set is ready for use.
type Table struct {
	// Incarnation is the incarnation of the daemon that keeps the table.
	Incarnation fleet.Incarnation
	// Now returns the current time; nil means time.Now.
	Now func() time.Time

	override atomic.Uint64 // replaces Incarnation unless 0
	shards   [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	entries map[fleet.DaemonID]*entryState
}

// entryState holds the attempts of one entry daemon.
type entryState struct {
	incarnation fleet.Incarnation
	openFrom    Sequence
	lastSeen    time.Time
	records     map[Sequence]*Record
}

// Record is the record of one attempt at the target's daemon.
type Record struct {
	shard  *shard
	state  State
	cancel func()
}

// SetIncarnation replaces the incarnation of the daemon if that turned out to be
// lower than that of an earlier process. Recorded attempts are kept.
func (t *Table) SetIncarnation(i fleet.Incarnation) { t.override.Store(uint64(i)) }

func (t *Table) ownIncarnation() fleet.Incarnation {
	return currentIncarnation(&t.override, t.Incarnation)
}

// Begin records a new attempt as Queued. It refuses an attempt that addresses
// another incarnation, that was settled before it arrived, or that has already
// arrived. The function cancel, which may be nil, is called if the attempt is
// settled as not run while it is queued. It is called with a lock held and must
// not block.
func (t *Table) Begin(ref Ref, cancel func()) (*Record, error) {
	if ref.Target != t.ownIncarnation() && !checkIncarnation.Off() {
		return nil, staleError(outcome.NotRun, "attempt addresses another incarnation")
	}
	s := t.shard(ref.ID.Daemon)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := t.entryFor(s, ref)
	if e == nil || ref.ID.Sequence < e.openFrom {
		return nil, staleError(outcome.Unknown, "attempt is closed")
	}
	e.advance(ref.OpenFrom)
	if r := e.records[ref.ID.Sequence]; r != nil && !refuseDuplicates.Off() {
		if r.state == NotRun {
			return nil, staleError(outcome.NotRun, "attempt was settled as not run")
		}
		return nil, staleError(outcome.Unknown, "attempt arrived before")
	}
	r := &Record{shard: s, state: Queued, cancel: cancel}
	e.records[ref.ID.Sequence] = r
	return r, nil
}

// Settle returns a binding answer on whether an attempt ran. An attempt that is
// queued or has not arrived is settled as not run: it becomes a tombstone, and is
// refused from then on.
func (t *Table) Settle(ref Ref) Settlement {
	return t.query(ref, func(e *entryState, r *Record) Settlement {
		e.advance(ref.OpenFrom)
		r.cancelQueued()
		return Settlement{Outcome: outcome.Run, Running: r.state == Running}
	})
}

// Check is like Settle, except that an attempt that has arrived continues and is
// answered as Run, even while it is queued.
func (t *Table) Check(ref Ref) Settlement {
	return t.query(ref, func(_ *entryState, r *Record) Settlement {
		return Settlement{Outcome: outcome.Run, Running: r.state != Finished}
	})
}

// query implements Settle and Check. An attempt that has not arrived becomes a
// tombstone; for one that has, known returns the settlement. An attempt that known
// leaves in the state NotRun is always settled as not run.
func (t *Table) query(ref Ref, known func(*entryState, *Record) Settlement) Settlement {
	if ref.Target != t.ownIncarnation() {
		return Settlement{Outcome: outcome.Unknown}
	}
	s := t.shard(ref.ID.Daemon)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := t.entryFor(s, ref)
	if e == nil || ref.ID.Sequence < e.openFrom {
		return Settlement{Outcome: outcome.Unknown}
	}
	r := e.records[ref.ID.Sequence]
	if r == nil {
		e.advance(ref.OpenFrom)
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

// Sweep removes the state of entries from which nothing has arrived for an hour
// and which have no queued or running attempts.
func (t *Table) Sweep() {
	now := t.now()
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for id, e := range s.entries {
			if now.Sub(e.lastSeen) > entryRetention && !e.hasActive() {
				delete(s.entries, id)
			}
		}
		s.mu.Unlock()
	}
}

// Start moves the attempt to Running. It fails if the attempt has been settled as
// not run in the meantime.
func (r *Record) Start() error {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	if r.state == NotRun {
		return staleError(outcome.NotRun, "attempt was settled as not run")
	}
	invariant.Check(r.state == Queued, "attempt-runs-once", "start of a %s attempt", r.state)
	r.state = Running
	r.cancel = nil
	return nil
}

// Finish records the end of the attempt: the state is NotRun if it certainly did
// not run, and Finished for any other outcome.
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

// cancelQueued cancels a queued attempt and turns it into a tombstone.
func (r *Record) cancelQueued() {
	if r.state != Queued {
		return
	}
	r.state = NotRun
	if r.cancel != nil {
		r.cancel()
		r.cancel = nil
	}
}

// entryFor returns the state of the entry daemon in ref, or nil if ref belongs to
// an incarnation that a newer one has replaced.
func (t *Table) entryFor(s *shard, ref Ref) *entryState {
	e := s.entries[ref.ID.Daemon]
	if e != nil && ref.ID.Incarnation < e.incarnation {
		return nil
	}
	if e == nil || ref.ID.Incarnation > e.incarnation {
		e = s.replace(e, ref.ID)
	}
	e.lastSeen = t.now()
	return e
}

func (s *shard) replace(old *entryState, id ID) *entryState {
	if old != nil {
		for _, r := range old.records {
			r.cancelQueued()
		}
	}
	if s.entries == nil {
		s.entries = map[fleet.DaemonID]*entryState{}
	}
	e := &entryState{incarnation: id.Incarnation, records: map[Sequence]*Record{}}
	s.entries[id.Daemon] = e
	return e
}

// advance moves the watermark up to from and removes the records below it.
func (e *entryState) advance(from Sequence) {
	if from <= e.openFrom {
		return
	}
	if from-e.openFrom <= Sequence(len(e.records)) {
		for sequence := e.openFrom; sequence < from; sequence++ {
			e.remove(sequence)
		}
	} else {
		for sequence := range e.records {
			if sequence < from {
				e.remove(sequence)
			}
		}
	}
	e.openFrom = from
}

func (e *entryState) remove(sequence Sequence) {
	if r := e.records[sequence]; r != nil {
		r.cancelQueued()
		delete(e.records, sequence)
	}
}

func (e *entryState) hasActive() bool {
	for _, r := range e.records {
		if r.state == Queued || r.state == Running {
			return true
		}
	}
	return false
}

func (t *Table) shard(id fleet.DaemonID) *shard {
	return &t.shards[xxhash.Sum64String(string(id))%shardCount]
}

func (t *Table) now() time.Time {
	if t.Now != nil {
		return t.Now()
	}
	return time.Now()
}

func staleError(o outcome.Outcome, detail string) error {
	return outcome.New(o, outcome.StaleAttempt, detail)
}
