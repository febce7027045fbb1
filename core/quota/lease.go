package quota

import (
	"maps"
	"sync"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/store"
)

const (
	// leaseTTL is how long other daemons must have seen the same version of a row before they
	// take the slot over. With renewals every 2 s, an owner survives outages of 4.75 s in which
	// the store rejects calls, and of 3.9 s in which calls get no response.
	leaseTTL = 7500 * time.Millisecond
	// leaseMargin is how long before the expiry an owner stops granting tokens.
	leaseMargin = 250 * time.Millisecond
	// renewInterval is how often an owner renews its leases, all in one call.
	renewInterval = 2 * time.Second
	// renewRetryInterval is the time between two failed calls.
	renewRetryInterval = 250 * time.Millisecond
	// listInterval is how often the rows are read while an owner is suspected to be lost.
	listInterval = time.Second
	// suspicionTime is how long an owner is suspected after a daemon could not reach it.
	suspicionTime = 3 * time.Second
	// secondDelay is how much longer than the first the second candidate waits, unless the first
	// is the owner that is lost.
	secondDelay = time.Second
)

// Row is the lease of a slot in the store.
type Row struct {
	Owner   fleet.DaemonID
	Process fleet.Incarnation
	// Token increases with each new owner.
	Token uint64
	// Era is that of the store when the row was written.
	Era store.Era
	// Released is set if the owner has given up the slot. Levels are the tokens that were left
	// then; the buckets of other organisations had been filling for Idle.
	Released bool                           `json:",omitempty"`
	Levels   map[fleet.Organisation]float64 `json:",omitempty"`
	Idle     time.Duration                  `json:",omitempty"`
}

// fullAge is a time in which any bucket is filled.
const fullAge = 365 * 24 * time.Hour

// Step is what a daemon has to do next about its leases.
type Step string

// The steps.
const (
	Nothing Step = ""
	List    Step = "List"    // read all rows
	Renew   Step = "Renew"   // write the rows of slots that this daemon owns
	Acquire Step = "Acquire" // write the rows of slots without an owner
	Release Step = "Release" // write the rows of slots that this daemon gives up
)

// Action is a step with the rows to be written. All are written in one transaction, on
// condition that their versions are unchanged.
type Action struct {
	Step Step
	Rows []SlotRow
	// sentAt is when the action was returned by Next.
	sentAt Instant
	era    store.Era
}

// SlotRow is the row of a slot with its version. Version 0 stands for a row that does not exist.
type SlotRow struct {
	Slot    Slot
	Row     Row
	Version store.Version
}

// Situation is what Next decides on.
type Situation struct {
	// Used are the slots with a limited organisation.
	Used map[Slot]bool
	// Ranks are the ranks of this daemon as a candidate for slots, from 1.
	Ranks map[Slot]int
	// First are the first candidates of the slots in Ranks.
	First map[Slot]fleet.DaemonID
	// Lost reports whether a daemon is known to be out of reach.
	Lost func(fleet.DaemonID) bool
	// Era is the newest known era of the store.
	Era store.Era
	// Stopping is set if the daemon gives up all slots.
	Stopping bool
}

// Change is a slot with a new owner, empty if the slot is released or its owner is not known.
type Change struct {
	Slot   Slot
	Owner  fleet.DaemonID
	Token  uint64
	Reason string
}

type slotState struct {
	row     Row
	version store.Version
	seenAt  Instant // when this version was first seen

	held       bool
	validUntil Instant
	// since is from when the buckets without a request have been filling.
	since   Instant
	buckets map[fleet.Organisation]*bucket

	suspectedUntil Instant
}

// Leases are the slots of organisations as one process sees them. Use NewLeases. It is safe
// for concurrent use.
type Leases struct {
	self    fleet.DaemonID
	process fleet.Incarnation

	mu       sync.Mutex
	slots    map[Slot]*slotState
	listed   bool
	relist   bool // a write had another result than expected
	listAt   Instant
	renewAt  Instant
	writeAt  Instant // no acquisition before
	era      store.Era
	eraKnown bool
	// risenAt is when the store was last seen to have come back from an older copy.
	risen   bool
	risenAt Instant
}

// NewLeases returns the state of a process that owns no slot.
func NewLeases(self fleet.DaemonID, process fleet.Incarnation) *Leases {
	return &Leases{self: self, process: process, slots: make(map[Slot]*slotState)}
}

func (l *Leases) slot(s Slot) *slotState {
	v := l.slots[s]
	if v == nil {
		v = &slotState{}
		l.slots[s] = v
	}
	return v
}

func (v *slotState) owned(now Instant) bool {
	return v.held && (now < v.validUntil || checkLease.Off())
}

// Owner returns the daemon that is believed to own a slot, empty if it is not known. A daemon
// whose own lease has expired is not the owner.
func (l *Leases) Owner(s Slot, now Instant) fleet.DaemonID {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.slots[s]
	switch {
	case v == nil:
		return ""
	case v.held && v.owned(now):
		return l.self
	case v.held || v.row.Released || v.row.Owner == l.self:
		return ""
	}
	return v.row.Owner
}

// Owned returns the number of slots that this daemon owns.
func (l *Leases) Owned(now Instant) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, v := range l.slots {
		if v.owned(now) {
			n++
		}
	}
	return n
}

// Suspect records that another daemon could not get tokens from the owner of a slot: failed is
// the daemon that it tried, empty if it knew none. It reports whether the owner is now suspected
// and was not before.
func (l *Leases) Suspect(s Slot, failed fleet.DaemonID, now Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.slot(s)
	if v.held || failed == "" && v.row.Owner != "" && !v.row.Released || failed != "" && v.row.Owner != "" && failed != v.row.Owner {
		return false
	}
	fresh := now >= v.suspectedUntil
	v.suspectedUntil = now.Add(suspicionTime)
	return fresh
}

// Grant is the answer to a question for tokens.
type Grant struct {
	// Owned is false if this daemon does not own the slot; nothing is granted then.
	Owned  bool
	Tokens int
	// Wait is the time until the next token, if fewer than needed were granted.
	Wait time.Duration
}

// Take grants tokens of an organisation if this daemon owns its slot.
func (l *Leases) Take(o fleet.Organisation, t Terms, need, ahead int, now Instant) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.slots[SlotOf(o)]
	if v == nil || !v.owned(now) {
		return Grant{}
	}
	b := v.buckets[o]
	if b == nil {
		b = &bucket{updated: v.since}
		v.buckets[o] = b
	}
	n, wait := b.take(t, need, ahead, now)
	return Grant{Owned: true, Tokens: n, Wait: wait}
}

// Next returns what to do now. The caller reports the result to Listed, Committed, Conflicted or
// Failed before it calls Next again.
func (l *Leases) Next(s *Situation, now Instant) Action {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observeEra(s.Era, now)
	if l.relist && now >= l.listAt {
		return Action{Step: List, sentAt: now}
	}
	for _, step := range []struct {
		step Step
		pick func(Slot, *slotState) bool
	}{
		{Release, func(k Slot, v *slotState) bool { return v.held && (s.Stopping || !s.Used[k]) && now >= l.writeAt }},
		{Renew, func(k Slot, v *slotState) bool { return v.held && !s.Stopping && s.Used[k] && now >= l.renewAt }},
	} {
		if a := l.write(step.step, step.pick, now); len(a.Rows) > 0 {
			return a
		}
	}
	if s.Stopping || len(s.Ranks) == 0 {
		return Action{}
	}
	if l.mustList(s, now) {
		return Action{Step: List, sentAt: now}
	}
	if now < l.writeAt {
		return Action{}
	}
	return l.write(Acquire, func(k Slot, v *slotState) bool { return s.Used[k] && l.mayAcquire(s, k, v, now) }, now)
}

func (l *Leases) observeEra(era store.Era, now Instant) {
	if l.eraKnown && era > l.era {
		l.risen, l.risenAt = true, now
	}
	if era > 0 {
		l.eraKnown, l.era = true, max(l.era, era)
	}
}

// mustList reports whether the rows have to be read: at first, and while the owner of a slot
// for which this daemon is a candidate is suspected to be lost.
func (l *Leases) mustList(s *Situation, now Instant) bool {
	if now < l.listAt {
		return false
	}
	for k := range s.Ranks {
		l.slot(k) // all of them, so that the rows that do not exist are known too once listed
	}
	for k := range s.Ranks {
		if !s.Used[k] {
			continue
		}
		v := l.slot(k)
		if !l.listed || !v.held && l.suspects(s, v, now) {
			return true
		}
	}
	return false
}

func (l *Leases) suspects(s *Situation, v *slotState, now Instant) bool {
	return now < v.suspectedUntil || v.row.Owner != "" && v.row.Owner != l.self && !v.row.Released && s.Lost(v.row.Owner)
}

// mayAcquire reports whether this daemon may take a slot over.
func (l *Leases) mayAcquire(s *Situation, k Slot, v *slotState, now Instant) bool {
	rank := s.Ranks[k]
	if v.held || !l.listed || rank == 0 && v.row.Owner != l.self {
		return false
	}
	wanted := rank == 1 || l.suspects(s, v, now)
	unseen := now.Sub(v.seenAt)
	switch {
	case v.row.Owner == "":
		// A restored store may have lost the row of an owner that is not aware of it yet.
		return wanted && (!l.risen || now.Sub(l.risenAt) >= leaseTTL)
	case v.row.Released && v.row.Era == l.era:
		return wanted
	case v.row.Owner == l.self && v.row.Era == l.era:
		// Tokens of the earlier process expire before this one has granted as many.
		return true
	}
	ttl := leaseTTL
	if rank == candidatesPerGroup && s.First[k] != v.row.Owner {
		ttl += secondDelay
	}
	return (l.suspects(s, v, now) || v.row.Owner == l.self || v.row.Released) && (unseen >= ttl || awaitOwnerExpiry.Off())
}

// write returns the action that writes the rows of the picked slots.
func (l *Leases) write(step Step, pick func(Slot, *slotState) bool, now Instant) Action {
	a := Action{Step: step, sentAt: now, era: l.era}
	for k, v := range l.slots {
		if !pick(k, v) {
			continue
		}
		row := Row{Owner: l.self, Process: l.process, Token: v.row.Token, Era: l.era}
		if step == Acquire {
			row.Token++
		}
		if step == Release {
			// From here on this daemon grants nothing, whatever the store answers.
			row.Released = true
			row.Levels, row.Idle = v.levels(now)
			v.validUntil = min(v.validUntil, now)
		}
		a.Rows = append(a.Rows, SlotRow{Slot: k, Row: row, Version: v.version})
	}
	if len(a.Rows) == 0 {
		return Action{}
	}
	return a
}

// levels returns the tokens that are left, and for how long the buckets without a request have
// been filling.
func (v *slotState) levels(now Instant) (map[fleet.Organisation]float64, time.Duration) {
	if !v.owned(now) {
		return nil, 0
	}
	out := make(map[fleet.Organisation]float64, len(v.buckets))
	for o, b := range v.buckets {
		b.refill(b.terms, now)
		out[o] = b.level
	}
	return out, min(fullAge, now.Sub(v.since))
}

// Committed records that an action was carried out. The versions are those of its rows, 0 if
// the store does not report them; they are read then.
func (l *Leases) Committed(a Action, versions []store.Version, era store.Era, now Instant) []Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observeEra(era, now)
	stale := a.Step == Acquire && a.era > 0 && l.era > a.era
	var changes []Change
	for i, r := range a.Rows {
		v := l.slot(r.Slot)
		before := v.row
		v.row, v.version, v.seenAt = r.Row, 0, now
		if i < len(versions) {
			v.version = versions[i]
		}
		l.relist = l.relist || v.version == 0
		switch a.Step {
		case Renew:
			v.validUntil = a.sentAt.Add(leaseTTL - leaseMargin)
		case Release:
			v.held, v.buckets = false, nil
			changes = append(changes, Change{Slot: r.Slot, Token: r.Row.Token, Reason: "released"})
		case Nothing, List:
		case Acquire:
			if stale {
				l.relist = true
				continue
			}
			v.hold(before, a.sentAt, now)
			changes = append(changes, Change{Slot: r.Slot, Owner: l.self, Token: r.Row.Token, Reason: acquireReason(before, l.self)})
		}
	}
	if a.Step != Release {
		l.renewAt = a.sentAt.Add(renewInterval)
	}
	return changes
}

// hold starts to own a slot. The buckets of the first owner are full. Those of a later one are
// empty, unless the owner before has released the slot and stated what was left.
func (v *slotState) hold(before Row, sentAt, now Instant) {
	v.held, v.validUntil = true, sentAt.Add(leaseTTL-leaseMargin)
	v.since = now
	if before.Owner == "" || startEmpty.Off() {
		v.since = now.Add(-fullAge)
	}
	v.suspectedUntil = 0
	v.buckets = make(map[fleet.Organisation]*bucket)
	if before.Released {
		v.since = now.Add(-before.Idle)
		for o, level := range before.Levels {
			v.buckets[o] = &bucket{level: level, updated: now}
		}
	}
}

func acquireReason(before Row, self fleet.DaemonID) string {
	switch {
	case before.Owner == "":
		return "first owner"
	case before.Released:
		return "released by the owner before"
	case before.Owner == self:
		return "restarted"
	}
	return "owner lost"
}

// Conflicted records that an action was not carried out since a row has changed.
func (l *Leases) Conflicted(_ Action, era store.Era, now Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observeEra(era, now)
	l.relist, l.listAt = true, 0
}

// Failed records that an action had no result. A write may have taken effect nevertheless; the
// next one finds out.
func (l *Leases) Failed(a Action, now Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch a.Step {
	case Renew:
		l.renewAt = max(now, a.sentAt.Add(renewRetryInterval))
	case List:
		l.listAt = now.Add(renewRetryInterval)
	case Nothing:
	case Acquire, Release:
		l.writeAt = now.Add(renewRetryInterval)
	}
}

// Listed records all rows. The call that read them was sent at sentAt.
func (l *Leases) Listed(rows []SlotRow, sentAt, now Instant) []Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listed, l.relist, l.listAt = true, false, sentAt.Add(listInterval)
	found := make(map[Slot]SlotRow, len(rows))
	for _, r := range rows {
		found[r.Slot] = r
		l.slot(r.Slot)
	}
	var changes []Change
	for k, v := range l.slots {
		r := found[k] // the zero value if the row does not exist
		own := r.Row.Owner == l.self && r.Row.Process == l.process && !r.Row.Released
		switch {
		case v.held && (own || r.Row.Owner == "") && v.owned(now):
			// A write whose answer was lost, or a row that a restored store lacks: no other
			// daemon can have owned the slot while this lease is valid.
			v.version = r.Version
			l.renewAt = min(l.renewAt, now)
			continue
		case v.held && own && r.Row.Token == v.row.Token && r.Row.Era == l.era:
			v.version = r.Version // nobody else has owned the slot since the lease expired
			continue
		case v.held:
			v.held, v.buckets = false, nil
		}
		if r.Row.Owner != v.row.Owner || r.Row.Released != v.row.Released {
			owner := r.Row.Owner
			if r.Row.Released {
				owner = ""
			}
			changes = append(changes, Change{Slot: k, Owner: owner, Token: r.Row.Token, Reason: "read from the store"})
		}
		if r.Version != v.version || !sameRow(r.Row, v.row) {
			v.row, v.version, v.seenAt = r.Row, r.Version, now
		}
	}
	return changes
}

func sameRow(a, b Row) bool {
	return a.Owner == b.Owner && a.Process == b.Process && a.Token == b.Token && a.Era == b.Era &&
		a.Released == b.Released && a.Idle == b.Idle && maps.Equal(a.Levels, b.Levels)
}
