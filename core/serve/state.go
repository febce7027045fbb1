package serve

import (
	"sync"
	"time"

	"pollenscale/core/fleet"
)

// drainHold is how long a sign of draining overrides later reports of the same process
// that it is serving. The health endpoint may lag behind the state shown in answers.
const drainHold = 10 * time.Second

// State combines what is known about the state of the target from its health endpoint,
// its answers and its connections. The zero value is ready for use. A State is safe for
// concurrent use.
type State struct {
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// OnChange, if set, is called after each change, without holding a lock.
	OnChange func(fleet.State)

	mu       sync.Mutex
	state    fleet.State
	instance string
	// drainHoldUntil is when the last sign of draining expires.
	drainHoldUntil time.Time
	// stopping is set when the daemon itself is stopping.
	stopping bool
	// unreachable is set while the target does not accept connections.
	unreachable bool
}

// Get returns the current state. Before the first report it is Cold.
func (s *State) Get() fleet.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current()
}

// ObserveHealth records the state from the health endpoint and the name of the target's
// process, which may be empty.
func (s *State) ObserveHealth(state fleet.State, instance string) {
	s.update(func() {
		if instance != s.instance || s.unreachable {
			s.drainHoldUntil = time.Time{}
		}
		s.unreachable = false
		s.state, s.instance = state, instance
		if !state.TakesWork() {
			s.drainHoldUntil = s.now().Add(drainHold)
		}
	})
}

// ObserveAnswer records the state that the target showed in an answer. Only states in
// which it takes no new requests have an effect.
func (s *State) ObserveAnswer(state fleet.State) {
	if state.TakesWork() {
		return
	}
	s.update(func() { s.drainHoldUntil = s.now().Add(drainHold) })
}

// SetUnreachable records that the target does not accept connections.
func (s *State) SetUnreachable() {
	s.update(func() { s.unreachable = true })
}

// SetStopping records that the daemon is stopping.
func (s *State) SetStopping() {
	s.update(func() { s.stopping = true })
}

// update applies f and calls Changed if the state is then a different one.
func (s *State) update(f func()) {
	s.mu.Lock()
	before := s.current()
	f()
	after := s.current()
	s.mu.Unlock()
	if before != after && s.OnChange != nil {
		s.OnChange(after)
	}
}

// current returns the combined state. s.mu must be held.
func (s *State) current() fleet.State {
	switch {
	case s.unreachable:
		return fleet.Leaving
	case s.stopping || !s.drainHoldUntil.IsZero() && s.now().Before(s.drainHoldUntil):
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
