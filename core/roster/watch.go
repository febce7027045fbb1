package roster

import (
	"time"

	"pollenscale/core/fleet"
)

const (
	// watchersPerZone is the number of daemons of an availability zone that watch
	// the store for changes and notify the others. With two, the loss of one does
	// no harm.
	watchersPerZone = 2
	// watchTimeout is the time without a heartbeat after which a watcher counts as
	// lost. It tolerates two lost heartbeats.
	watchTimeout = 2500 * time.Millisecond
)

// SetWatching records that a daemon has announced whether it watches the store.
func (r *Roster) SetWatching(id fleet.DaemonID, watching bool) {
	now := r.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[id]
	switch {
	case m == nil:
	case watching:
		m.lastWatching = now
	default:
		m.lastWatching = time.Time{}
	}
}

// ShouldWatch reports whether this daemon has to watch the store for changes. It has
// to if it is among the first of its zone in order of ID, or if too few of those
// before it have recently announced that they watch.
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
		at := m.lastWatching
		for i := range latest {
			if at.After(latest[i]) {
				at, latest[i] = latest[i], at
			}
		}
	}
	if r.enoughWatchersAt.IsZero() {
		r.enoughWatchersAt = now
	}
	if enough := latest[watchersPerZone-1]; enough.After(r.enoughWatchersAt) {
		r.enoughWatchersAt = enough
	}
	return before < watchersPerZone || now.Sub(r.enoughWatchersAt) > watchTimeout
}

// WatcherAddresses returns the announce addresses of the daemons of a zone that have
// recently announced that they watch the store.
func (r *Roster) WatcherAddresses(zone fleet.Place) []string {
	now := r.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for id, m := range r.members {
		watches := !m.lastWatching.IsZero() && now.Sub(m.lastWatching) <= watchTimeout
		if id != r.own && m.record.Place == zone && m.record.AnnounceAddress != "" && watches {
			out = append(out, m.record.AnnounceAddress)
		}
	}
	return out
}
