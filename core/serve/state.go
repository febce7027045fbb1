package serve

import (
	"sync"
	"time"

	"pollenscale/core/fleet"
)

// drainFor is how long the target must have shown no sign of draining before a
// report of the same process that it serves is believed. A health endpoint may
// lag behind the signs in answers.
const drainFor = 10 * time.Second

// State is what the target is ready for, joined from all signs. The zero value
// is ready for use.
type State struct {
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Changed, if set, is called after each change, without any lock held.
	Changed func(fleet.State)

	mu       sync.Mutex
	state    fleet.State
	instance string
	// drainUntil is when the last sign of draining loses its effect.
	drainUntil time.Time
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

// ObserveHealth takes the state from the health endpoint, with the name of the
// target's process, which may be empty.
func (s *State) ObserveHealth(state fleet.State, instance string) {
	s.change(func() {
		if instance != s.instance || s.down {
			s.drainUntil = time.Time{}
		}
		s.down = false
		s.state, s.instance = state, instance
		if !state.TakesWork() {
			s.drainUntil = s.now().Add(drainFor)
		}
	})
}

// ObserveAnswer takes a state that the target showed in an answer.
func (s *State) ObserveAnswer(state fleet.State) {
	if state.TakesWork() {
		return
	}
	s.change(func() { s.drainUntil = s.now().Add(drainFor) })
}

// SetUnreachable records that the target accepts no connections.
func (s *State) SetUnreachable() {
	s.change(func() { s.down = true })
}

// SetStopping records that the daemon stops.
func (s *State) SetStopping() {
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
	case s.closing || !s.drainUntil.IsZero() && s.now().Before(s.drainUntil):
		return fleet.Draining
	case s.state == "":
		return fleet.Cold
	}
	return s.state
}

func (s *State) now() time.Time {
	if s.Now != nil {
		return s.Now()
	}
	return time.Now()
}
