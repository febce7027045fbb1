// Package roster holds the records that daemons publish of themselves and of
// the target beside them.
package roster

import (
	"slices"
	"strings"
	"sync"
	"time"

	"pollenscale/core/exchange"
	"pollenscale/core/fleet"
)

// Record is what a daemon publishes. Only its owner writes it.
type Record struct {
	Daemon      fleet.DaemonID
	Incarnation fleet.Incarnation
	// Sequence rises with each change of one incarnation.
	Sequence        uint64
	PeerAddress     string
	AnnounceAddress string
	Place           fleet.Place
	Service         fleet.Service
	Target          exchange.TargetID
	Born            int64
	Slots           fleet.Slots
	// State is what other daemons should expect; TargetState leaves out that the
	// daemon itself is stopping.
	State       fleet.State
	TargetState fleet.State
}

// Newer reports whether r replaces o, a record of the same daemon.
func (r *Record) Newer(o *Record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	return r.Sequence > o.Sequence
}

// trialDelay is how long an unreachable daemon gets no requests before it is
// tried again. Its datagrams end the delay at once.
const trialDelay = 1500 * time.Millisecond

// member is a record with what this daemon knows of it.
type member struct {
	record     Record
	asideUntil time.Time
}

// Roster is the set of known records. Use New.
type Roster struct {
	// Now is the clock, time.Now by default.
	Now func() time.Time
	// OnChange is called when the set of usable targets may have changed. It
	// must not call back into the roster.
	OnChange func()

	own     fleet.DaemonID
	mu      sync.Mutex
	members map[fleet.DaemonID]*member
}

// New returns a roster of the daemon with the given id.
func New(own fleet.DaemonID) *Roster {
	return &Roster{Now: time.Now, OnChange: func() {}, own: own, members: make(map[fleet.DaemonID]*member)}
}

// Offer merges a record and reports whether it was news.
func (r *Roster) Offer(rec Record) bool {
	if rec.Daemon == "" || rec.PeerAddress == "" {
		return false
	}
	r.mu.Lock()
	m := r.members[rec.Daemon]
	fresh := m == nil || rec.Newer(&m.record)
	if fresh {
		if m == nil {
			m = &member{}
			r.members[rec.Daemon] = m
		}
		m.record = rec
		m.asideUntil = time.Time{}
	}
	r.mu.Unlock()
	if fresh {
		r.OnChange()
	}
	return fresh
}

// Heard records a sign of life of a daemon's current incarnation.
func (r *Roster) Heard(id fleet.DaemonID) {
	now := r.Now()
	r.mu.Lock()
	m := r.members[id]
	back := m != nil && m.asideUntil.After(now)
	if m != nil {
		m.asideUntil = time.Time{}
	}
	r.mu.Unlock()
	if back {
		r.OnChange()
	}
}

// Unreachable sets a daemon aside for a while and reports whether it was in use.
func (r *Roster) Unreachable(id fleet.DaemonID) bool {
	now := r.Now()
	r.mu.Lock()
	m := r.members[id]
	used := m != nil && id != r.own && !m.asideUntil.After(now)
	if used {
		m.asideUntil = now.Add(trialDelay)
	}
	r.mu.Unlock()
	if used {
		r.OnChange()
	}
	return used
}

// Returning reports whether the delay of a daemon that was set aside has ended
// since the last call.
func (r *Roster) Returning() bool {
	now := r.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	back := false
	for _, m := range r.members {
		if !m.asideUntil.IsZero() && !m.asideUntil.After(now) {
			m.asideUntil = time.Time{}
			back = true
		}
	}
	return back
}

// Records returns all records, by daemon.
func (r *Roster) Records() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Record, 0, len(r.members))
	for _, m := range r.members {
		out = append(out, m.record)
	}
	slices.SortFunc(out, func(a, b Record) int { return strings.Compare(string(a.Daemon), string(b.Daemon)) })
	return out
}

// Targets returns the targets that may be sent requests.
func (r *Roster) Targets() []fleet.Target {
	now := r.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]fleet.Target, 0, len(r.members))
	for _, m := range r.members {
		rec := &m.record
		if rec.Target == "" || m.asideUntil.After(now) {
			continue
		}
		out = append(out, fleet.Target{
			Daemon: rec.Daemon, Incarnation: rec.Incarnation, PeerAddress: rec.PeerAddress,
			GossipAddress: rec.AnnounceAddress, Place: rec.Place, Service: rec.Service,
			State: rec.State, Slots: rec.Slots,
		})
	}
	return out
}

// Len returns the number of known daemons.
func (r *Roster) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.members)
}
