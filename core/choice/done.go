package choice

import "pollenscale/core/fleet"

// DoneByID is like Done for callers that have only the id and incarnation of the
// target. It does nothing if the target has been replaced since.
func (c *Chooser) DoneByID(id fleet.DaemonID, incarnation fleet.Incarnation, r Result) {
	s := c.view.Load().targets[id]
	if s == nil || s.target.Incarnation != incarnation {
		return
	}
	s.done(r)
}
