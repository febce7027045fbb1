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
	"pollenscale/internal/mutant"
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

const (
	// firstProbe is the time after which an unreachable daemon is asked for a sign
	// of life; it doubles up to maxProbe.
	firstProbe = 500 * time.Millisecond
	maxProbe   = 2 * time.Second
	// longAside is the time aside after which a daemon is asked less often, up to
	// once in maxLongProbe: VMs that are replaced leave their records behind.
	longAside    = 30 * time.Second
	maxLongProbe = time.Minute
	// forgetAfter is the time without a sign of life after which a record is
	// dropped. In a fleet of 3,400 a distant daemon greets about every half hour.
	forgetAfter = 2 * time.Hour
)

// member is a record with what this daemon knows of it.
type member struct {
	record Record
	// aside daemons get no requests until they give a sign of life. A request as
	// a trial would be lost where the daemon is still cut off.
	aside   bool
	asideAt time.Time
	probeAt time.Time
	probing time.Duration // until the probe after that
	// heardAt is when the daemon last gave a sign of life or its record changed.
	heardAt time.Time
	// watchingAt is when the daemon last said that it waits for changes at the store.
	watchingAt time.Time
}

// keepNewest is a mechanism that tests switch off.
var keepNewest = mutant.New("roster/newer-records")

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
	// forgotten are the processes whose records were dropped.
	forgotten map[fleet.DaemonID]fleet.Incarnation
	// enoughAt is when enough watchers of the own zone were last heard, at first
	// when this daemon began to listen.
	enoughAt time.Time
}

// New returns a roster of the daemon with the given id.
func New(own fleet.DaemonID) *Roster {
	return &Roster{
		Now: time.Now, OnChange: func() {}, own: own, members: make(map[fleet.DaemonID]*member),
		forgotten: make(map[fleet.DaemonID]fleet.Incarnation),
	}
}

// Merge merges a record and reports whether it was news.
func (r *Roster) Merge(rec Record) bool {
	if rec.Daemon == "" || rec.PeerAddress == "" {
		return false
	}
	now := r.Now()
	r.mu.Lock()
	m := r.members[rec.Daemon]
	fresh := m == nil && rec.Incarnation > r.forgotten[rec.Daemon] || m != nil && rec.Newer(&m.record) || keepNewest.Off()
	if fresh {
		delete(r.forgotten, rec.Daemon)
		if m == nil {
			m = &member{}
			r.members[rec.Daemon] = m
		}
		m.record, m.heardAt = rec, now
		m.aside = false
	}
	r.mu.Unlock()
	if fresh {
		r.OnChange()
	}
	return fresh
}

// Knows reports whether a process of a daemon is known.
func (r *Roster) Knows(id fleet.DaemonID, i fleet.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[id]
	return m != nil && m.record.Incarnation == i
}

// Record returns the known record of a daemon.
func (r *Roster) Record(id fleet.DaemonID) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[id]
	if m == nil {
		return Record{}, false
	}
	return m.record, true
}

// MarkReachable records a sign of life of a daemon.
func (r *Roster) MarkReachable(id fleet.DaemonID) {
	now := r.Now()
	r.mu.Lock()
	delete(r.forgotten, id)
	m := r.members[id]
	back := m != nil && m.aside
	if m != nil {
		m.aside, m.heardAt = false, now
	}
	r.mu.Unlock()
	if back {
		r.OnChange()
	}
}

// MarkUnreachable sets a daemon aside until it is heard of, and reports whether it
// was in use.
func (r *Roster) MarkUnreachable(id fleet.DaemonID) bool {
	now := r.Now()
	r.mu.Lock()
	m := r.members[id]
	used := m != nil && id != r.own && !m.aside
	if used {
		m.aside, m.asideAt, m.probeAt, m.probing = true, now, now.Add(firstProbe), 2*firstProbe
	}
	r.mu.Unlock()
	if used {
		r.OnChange()
	}
	return used
}

// DueProbes returns the announce addresses of the daemons that are due to be asked
// for a sign of life.
func (r *Roster) DueProbes() []string {
	now := r.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []string
	for _, m := range r.members {
		if !m.aside || m.probeAt.After(now) || m.record.AnnounceAddress == "" {
			continue
		}
		due = append(due, m.record.AnnounceAddress)
		most := maxProbe
		if now.Sub(m.asideAt) > longAside {
			most = maxLongProbe
		}
		m.probeAt, m.probing = now.Add(m.probing), min(2*m.probing, most)
	}
	return due
}

// Forget drops the records of daemons that have given no sign of life for long,
// and returns their ids.
func (r *Roster) Forget() []fleet.DaemonID {
	now := r.Now()
	var gone []fleet.DaemonID
	r.mu.Lock()
	for id, m := range r.members {
		if id != r.own && now.Sub(m.heardAt) > forgetAfter {
			r.forgotten[id] = m.record.Incarnation
			delete(r.members, id)
			gone = append(gone, id)
		}
	}
	r.mu.Unlock()
	if len(gone) > 0 {
		r.OnChange()
	}
	return gone
}

// Forgotten reports whether a record is that of a process that was dropped.
func (r *Roster) Forgotten(rec Record) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, ok := r.forgotten[rec.Daemon]
	return ok && rec.Incarnation <= last
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
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]fleet.Target, 0, len(r.members))
	for _, m := range r.members {
		rec := &m.record
		if rec.Target == "" || m.aside {
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
