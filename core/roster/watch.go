package roster

import (
	"time"

	"pollenscale/core/fleet"
)

const (
	// watchersPerZone is the number of daemons of an availability zone that wait
	// for changes at the store; they tell the others. Two make the loss of one
	// harmless.
	watchersPerZone = 2
	// watchTimeout is the time without a greeting after which a watcher counts as
	// lost: two greetings may fail to arrive.
	watchTimeout = 2500 * time.Millisecond
)

// SetWatching records whether a daemon waits for changes at the store.
func (r *Roster) SetWatching(id fleet.DaemonID, watching bool) {
	now := r.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[id]
	switch {
	case m == nil:
	case watching:
		m.watchingAt = now
	default:
		m.watchingAt = time.Time{}
	}
}

// ShouldWatch reports whether this daemon has to wait for changes at the store:
// it is one of the first of its zone, or too few of those before it have been
// heard to do so. The order is that of the ids.
func (r *Roster) ShouldWatch(own fleet.Place) bool {
	now := r.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	before := 0
	var latest [watchersPerZone]time.Time // descending
	for id, m := range r.members {
		if id >= r.own || m.record.Place != own {
			continue
		}
		before++
		at := m.watchingAt
		for i := range latest {
			if at.After(latest[i]) {
				at, latest[i] = latest[i], at
			}
		}
	}
	if r.enoughAt.IsZero() {
		r.enoughAt = now
	}
	if enough := latest[watchersPerZone-1]; enough.After(r.enoughAt) {
		r.enoughAt = enough
	}
	return before < watchersPerZone || now.Sub(r.enoughAt) > watchTimeout
}
