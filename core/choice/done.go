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

// Suspect counts an attempt in progress as a failure of its target, because it takes too long.
// The caller reports that to Done. A success at the end counts as such.
func (c *Chooser) Suspect(choice Choice) {
	if choice.state != nil {
		choice.state.addFailure()
	}
}
