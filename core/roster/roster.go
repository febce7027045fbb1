// Package roster holds the records that daemons publish about themselves and the
// target beside them.
package roster

import (
	"slices"
	"strings"
	"sync"
	"time"

	"pollenscale/core/departure"
	"pollenscale/core/exchange"
	"pollenscale/core/fleet"
	"pollenscale/internal/mutant"
)

// Record describes a daemon and its target. Only the daemon itself changes it.
type Record struct {
	Daemon      fleet.DaemonID
	Incarnation fleet.Incarnation
	// Sequence increases with each change within an incarnation.
	Sequence        uint64
	PeerAddress     string
	AnnounceAddress string
	Place           fleet.Place
	Service         fleet.Service
	Target          exchange.TargetID
	Born            int64
	Slots           fleet.Slots
	// State is the state that other daemons should assume. TargetState is the state
	// of the target alone, regardless of whether the daemon is stopping.
	State       fleet.State
	TargetState fleet.State
	// Departures holds incarnations of targets that the daemon no longer uses. Those of an
	// earlier record remain in effect.
	Departures departure.Set `json:",omitempty"`
}

// Newer reports whether r replaces o, a record of the same daemon.
func (r *Record) Newer(o *Record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	return r.Sequence > o.Sequence
}

// SameTarget reports whether r, of the same process as o, describes the same incarnation of
// the target in the same state and holds all departures in o.
func (r *Record) SameTarget(o *Record) bool {
	same := r.Daemon == o.Daemon && r.Target == o.Target && r.Born == o.Born && r.TargetState == o.TargetState
	return same && r.Departures.Contains(o.Departures)
}

// AllDepartures returns the departures in the record and that of a target that drains, which
// daemons of earlier versions do not list.
func (r *Record) AllDepartures() departure.Set {
	if r.Target == "" || r.TargetState != fleet.Draining {
		return r.Departures
	}
	return r.Departures.Add(departure.Departure{Target: r.Target, Born: r.Born})
}

const (
	// firstProbeInterval is the time after which an unreachable daemon is probed
	// first. The interval doubles up to maxProbeInterval.
	firstProbeInterval = 500 * time.Millisecond
	maxProbeInterval   = 2 * time.Second
	// slowProbeAfter is the time after which the interval between probes of an
	// unreachable daemon grows up to maxSlowProbeInterval: the records of replaced
	// VMs stay until they are forgotten.
	slowProbeAfter       = 30 * time.Second
	maxSlowProbeInterval = time.Minute
	// recordRetention is the time without a message after which the record of a
	// daemon is dropped. In a fleet of 3,400, a daemon outside the zone sends a
	// heartbeat about every half hour.
	recordRetention = 2 * time.Hour
)

// member is a daemon's record with this daemon's view of it.
type member struct {
	record Record
	// unreachable daemons get no requests until a message from them arrives.
	// Requests are not used as probes, because they would be lost if the daemon is
	// still cut off.
	unreachable      bool
	unreachableSince time.Time
	probeAt          time.Time
	probeInterval    time.Duration // between probeAt and the probe after it
	// lastSeen is when a message of the daemon last arrived or its record changed.
	lastSeen time.Time
	// lastWatching is when the daemon last announced that it watches the store for
	// changes, zero if it does not.
	lastWatching time.Time
}

// keepNewest makes Merge ignore records that are not newer. Mutation tests disable
// it.
var keepNewest = mutant.New("roster/newer-records")

// keepDepartures makes Merge keep the departures of earlier records. Mutation tests disable
// it.
var keepDepartures = mutant.New("roster/keep-departures")

// Roster is the set of known records, created by New.
type Roster struct {
	// Now is the clock, time.Now by default.
	Now func() time.Time
	// OnChange is called when the set of usable targets may have changed. It
	// must not call methods of the roster.
	OnChange func()

	own     fleet.DaemonID
	mu      sync.Mutex
	members map[fleet.DaemonID]*member
	// forgotten holds the incarnations of dropped records.
	forgotten map[fleet.DaemonID]fleet.Incarnation
	// enoughWatchersAt is when watchersPerZone watchers of this daemon's zone were
	// last known, initially the time of the first call of ShouldWatch.
	enoughWatchersAt time.Time
}

// New returns an empty roster for the daemon with the given ID.
func New(own fleet.DaemonID) *Roster {
	return &Roster{
		Now: time.Now, OnChange: func() {}, own: own, members: make(map[fleet.DaemonID]*member),
		forgotten: make(map[fleet.DaemonID]fleet.Incarnation),
	}
}

// Merge adds a record or replaces an older one, and reports whether it did so.
// Records of forgotten processes are ignored. The departures of both records are kept,
// whichever is newer: a restarted daemon may not know what it has acknowledged.
func (r *Roster) Merge(rec Record) bool {
	if rec.Daemon == "" || rec.PeerAddress == "" {
		return false
	}
	r.mu.Lock()
	fresh, changed := r.merge(rec, r.Now())
	r.mu.Unlock()
	if changed {
		r.OnChange()
	}
	return fresh
}

// merge implements Merge, and reports whether the record is newer and whether anything has
// changed.
func (r *Roster) merge(rec Record, now time.Time) (fresh, changed bool) {
	m := r.members[rec.Daemon]
	fresh = m == nil && rec.Incarnation > r.forgotten[rec.Daemon] || m != nil && rec.Newer(&m.record) || keepNewest.Off()
	if m == nil && !fresh {
		return false, false
	}
	if m == nil {
		m = &member{}
		r.members[rec.Daemon] = m
	}
	known := m.record.AllDepartures()
	learned := !known.Contains(rec.AllDepartures())
	if fresh {
		delete(r.forgotten, rec.Daemon)
		m.record, m.lastSeen = rec, now
		m.unreachable = false
	}
	if !keepDepartures.Off() {
		m.record.Departures = known.Join(rec.AllDepartures())
	}
	return fresh, fresh || learned
}

// Knows reports whether the known record of a daemon has the given incarnation.
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

// MarkReachable records that a message from a daemon has arrived. It also allows a
// forgotten record of the daemon to be merged again.
func (r *Roster) MarkReachable(id fleet.DaemonID) {
	now := r.Now()
	r.mu.Lock()
	delete(r.forgotten, id)
	m := r.members[id]
	back := m != nil && m.unreachable
	if m != nil {
		m.unreachable, m.lastSeen = false, now
	}
	r.mu.Unlock()
	if back {
		r.OnChange()
	}
}

// SeenSince reports whether a message of a daemon has arrived since a time.
func (r *Roster) SeenSince(id fleet.DaemonID, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[id]
	return m != nil && m.lastSeen.After(at)
}

// MarkUnreachable excludes a daemon from Targets until a message from it or a newer
// record arrives, and reports whether it was known and reachable before. It does
// nothing for this daemon itself.
func (r *Roster) MarkUnreachable(id fleet.DaemonID) bool {
	now := r.Now()
	r.mu.Lock()
	m := r.members[id]
	reachable := m != nil && id != r.own && !m.unreachable
	if reachable {
		m.unreachable, m.unreachableSince, m.probeAt, m.probeInterval = true, now, now.Add(firstProbeInterval), 2*firstProbeInterval
	}
	r.mu.Unlock()
	if reachable {
		r.OnChange()
	}
	return reachable
}

// MarkLeaving records that the target of a process of a daemon has stated that it leaves.
// It gets no more requests, also if the daemon restarts and does not know that.
func (r *Roster) MarkLeaving(id fleet.DaemonID, i fleet.Incarnation) {
	r.mu.Lock()
	m := r.members[id]
	marked := m != nil && m.record.Incarnation == i && m.record.Target != "" && !m.targetLeaves()
	if marked {
		m.record.Departures = m.record.Departures.Add(departure.Departure{Target: m.record.Target, Born: m.record.Born})
	}
	r.mu.Unlock()
	if marked {
		r.OnChange()
	}
}

// targetLeaves reports whether the target in the record has left.
func (m *member) targetLeaves() bool {
	return m.record.Departures.Covers(m.record.Target, m.record.Born)
}

// DueProbes returns the announce addresses of the unreachable daemons that are due
// for a probe, and schedules their next one.
func (r *Roster) DueProbes() []string {
	now := r.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []string
	for _, m := range r.members {
		if !m.unreachable || m.probeAt.After(now) || m.record.AnnounceAddress == "" {
			continue
		}
		due = append(due, m.record.AnnounceAddress)
		limit := maxProbeInterval
		if now.Sub(m.unreachableSince) > slowProbeAfter {
			limit = maxSlowProbeInterval
		}
		m.probeAt, m.probeInterval = now.Add(m.probeInterval), min(2*m.probeInterval, limit)
	}
	return due
}

// Forget drops the records of daemons from which no message has arrived for
// recordRetention, and returns their IDs.
func (r *Roster) Forget() []fleet.DaemonID {
	now := r.Now()
	var gone []fleet.DaemonID
	r.mu.Lock()
	for id, m := range r.members {
		if id != r.own && now.Sub(m.lastSeen) > recordRetention {
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

// Forgotten reports whether a record is of a process whose record was dropped, or of
// an earlier process of that daemon.
func (r *Roster) Forgotten(rec Record) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, ok := r.forgotten[rec.Daemon]
	return ok && rec.Incarnation <= last
}

// Records returns all records in order of daemon ID.
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

// Targets returns the targets of the reachable daemons.
func (r *Roster) Targets() []fleet.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]fleet.Target, 0, len(r.members))
	for _, m := range r.members {
		rec := &m.record
		if rec.Target == "" || m.unreachable {
			continue
		}
		state := rec.State
		if m.targetLeaves() && state.TakesWork() {
			state = fleet.Draining
		}
		out = append(out, fleet.Target{
			Daemon: rec.Daemon, Incarnation: rec.Incarnation, PeerAddress: rec.PeerAddress,
			GossipAddress: rec.AnnounceAddress, Place: rec.Place, Service: rec.Service,
			State: state, Slots: rec.Slots,
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
