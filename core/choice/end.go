package choice

import "pollenscale/core/fleet"

// DoneByID ends the choice of a target that is known by its id and incarnation. It
// does nothing if the target was replaced since.
func (c *Chooser) DoneByID(id fleet.DaemonID, incarnation fleet.Incarnation, r Result) {
	n := c.view.Load().nodes[id]
	if n == nil || n.target.Incarnation != incarnation {
		return
	}
	n.done(r)
}
