package roster

import "pollenscale/core/fleet"

// Reachable returns the records of the daemons that are not known to be out of reach, in no
// particular order.
func (r *Roster) Reachable() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Record, 0, len(r.members))
	for _, m := range r.members {
		if !m.unreachable {
			out = append(out, m.record)
		}
	}
	return out
}

// IsReachable reports whether a daemon is known and not out of reach.
func (r *Roster) IsReachable(id fleet.DaemonID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[id]
	return m != nil && !m.unreachable
}
