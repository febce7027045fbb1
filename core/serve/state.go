package serve

import (
	"sync"

	"pollenscale/core/fleet"
)

// State is what the target is ready for, joined from all signs. The first sign
// of draining holds until the target is seen as a new instance, so that a
// health endpoint that lags cannot bring work back.
type State struct {
	// Changed, if set, is called after each change, without any lock held.
	Changed func(fleet.State)

	mu       sync.Mutex
	state    fleet.State
	instance string
	// draining is the instance that showed a sign of draining.
	draining bool
	// closing is set when the daemon itself stops.
	closing bool
	// down is set while the target cannot be reached.
	down bool
}

// Get returns the state. Before the first report it is Cold.
func (s *State) Get() fleet.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.get()
}

// Report takes the state from the health endpoint, with the name of the
// target's process, which may be empty.
func (s *State) Report(state fleet.State, instance string) {
	s.change(func() {
		if instance != s.instance || s.down {
			s.draining = false
		}
		s.down = false
		s.state, s.instance = state, instance
		if !state.TakesWork() {
			s.draining = true
		}
	})
}

// Sign takes a state that the target showed in an answer.
func (s *State) Sign(state fleet.State) {
	if state.TakesWork() {
		return
	}
	s.change(func() { s.draining = true })
}

// Unreachable records that the target accepts no connections.
func (s *State) Unreachable() {
	s.change(func() { s.down = true })
}

// Close records that the daemon stops.
func (s *State) Close() {
	s.change(func() { s.closing = true })
}

func (s *State) change(f func()) {
	s.mu.Lock()
	before := s.get()
	f()
	after := s.get()
	s.mu.Unlock()
	if before != after && s.Changed != nil {
		s.Changed(after)
	}
}

func (s *State) get() fleet.State {
	switch {
	case s.down:
		return fleet.Leaving
	case s.closing || s.draining:
		return fleet.Draining
	case s.state == "":
		return fleet.Cold
	}
	return s.state
}
