// Package localtarget holds what a daemon believes of the target beside it: its
// incarnation, whether it takes new work, and until when a drain binds.
package localtarget

import (
	"sync"
	"time"

	"pollenscale/core/exchange"
	"pollenscale/core/fleet"
)

// Heartbeat is what a target says of itself.
type Heartbeat struct {
	ID      exchange.TargetID
	Service fleet.Service
	Address string
	Version string
	// Born is the start of the target in milliseconds since 1970. It orders the
	// incarnations at one address.
	Born int64
	// Sequence rises with each heartbeat of one incarnation.
	Sequence int64
	Draining bool
	Slots    fleet.Slots
	// ColdUntil is when the target reaches its full speed.
	ColdUntil time.Time
}

// View is the state at one moment.
type View struct {
	ID        exchange.TargetID
	Service   fleet.Service
	Address   string
	Born      int64
	Slots     fleet.Slots
	State     fleet.State
	ColdUntil time.Time
	// DrainedAt is when the drain or leave was acknowledged, zero before.
	DrainedAt time.Time
}

// Verdict is what a message changed.
type Verdict string

// The verdicts.
const (
	Unchanged Verdict = "Unchanged"
	Replaced  Verdict = "Replaced" // a new incarnation took the place of the old one
	Changed   Verdict = "Changed"  // the state of the incarnation changed
	Stale     Verdict = "Stale"    // an older incarnation or an older message
)

// State is what is known. The zero value knows no target.
type State struct {
	mu       sync.Mutex
	view     View
	sequence int64
	left     map[exchange.TargetID]int64 // born of the incarnations that left
}

// View returns the state of the moment.
func (s *State) View() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// Restore takes over what an earlier process of the daemon recorded, unless a
// heartbeat came first.
func (s *State) Restore(v View) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view.ID != "" {
		return false
	}
	s.view = v
	return true
}

// Beat applies a heartbeat.
func (s *State) Beat(h Heartbeat, now time.Time) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	same := h.ID == s.view.ID && h.Born == s.view.Born
	if !same && h.Born < s.view.Born {
		return Stale
	}
	if born, gone := s.left[h.ID]; gone && born >= h.Born {
		return Stale
	}
	if same && h.Sequence <= s.sequence {
		return Stale
	}
	s.sequence = h.Sequence
	old := s.view
	drained := time.Time{}
	if same {
		drained = old.DrainedAt
	}
	s.view = View{
		ID: h.ID, Service: h.Service, Address: h.Address, Born: h.Born, Slots: h.Slots,
		State: fleet.Serving, ColdUntil: h.ColdUntil, DrainedAt: drained,
	}
	if h.Draining && drained.IsZero() {
		s.view.DrainedAt = now
	}
	if !s.view.DrainedAt.IsZero() {
		s.view.State = fleet.Draining
	}
	switch {
	case !same:
		return Replaced
	case old.State != s.view.State || old.Slots != h.Slots:
		return Changed
	}
	return Unchanged
}

// Leave records that an incarnation leaves without a drain of its own.
func (s *State) Leave(id exchange.TargetID, born int64, now time.Time) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id != s.view.ID || (born != 0 && born != s.view.Born) {
		return Stale
	}
	if s.left == nil || len(s.left) > maxLeft {
		s.left = make(map[exchange.TargetID]int64)
	}
	s.left[id] = s.view.Born
	if !s.view.DrainedAt.IsZero() {
		return Unchanged
	}
	s.view.DrainedAt = now
	s.view.State = fleet.Draining
	return Changed
}

// maxLeft bounds the incarnations that are remembered as gone.
const maxLeft = 64
