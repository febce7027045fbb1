// Package localtarget holds what a daemon believes of the target beside it: its
// incarnation, whether it takes new work, and until when a drain binds.
package localtarget

import (
	"sync"
	"time"

	"pollenscale/core/exchange"
	"pollenscale/core/fleet"
	"pollenscale/internal/mutant"
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

// departure bounds the incarnations of a target that have left.
type departure struct {
	// born is the start of the incarnation that left, if it was known, otherwise
	// the time of the departure: whatever started before it is gone.
	born int64
}

// Mechanisms that tests switch off one at a time.
var (
	rememberDepartures = mutant.New("localtarget/departures")
	orderByBirth       = mutant.New("localtarget/order-of-birth")
	orderBeats         = mutant.New("localtarget/order-of-heartbeats")
)

// State is what is known. The zero value knows no target.
type State struct {
	mu       sync.Mutex
	view     View
	sequence int64
	left     map[exchange.TargetID]departure
}

// View returns the state of the moment.
func (s *State) View() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// Restore takes over what an earlier process of the daemon recorded, unless a
// heartbeat came first. A departure that came first holds.
func (s *State) Restore(v View, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view.ID != "" {
		return false
	}
	if s.gone(v.ID, v.Born) {
		v.State, v.DrainedAt = fleet.Draining, now
	}
	s.view = v
	return true
}

// gone reports whether the incarnation has left.
func (s *State) gone(id exchange.TargetID, born int64) bool {
	d, left := s.left[id]
	return left && d.born >= born && !rememberDepartures.Off()
}

// ApplyHeartbeat applies a heartbeat.
func (s *State) ApplyHeartbeat(h Heartbeat, now time.Time) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	same := h.ID == s.view.ID && h.Born == s.view.Born
	if !same && h.Born < s.view.Born && !orderByBirth.Off() {
		return Stale
	}
	if s.gone(h.ID, h.Born) {
		return Stale
	}
	if same && h.Sequence <= s.sequence && !orderBeats.Off() {
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

// Leave records that an incarnation leaves without a drain of its own. An
// incarnation that is not known, as after a restart of the daemon, is remembered
// too: one of its earlier heartbeats may still be under way.
func (s *State) Leave(id exchange.TargetID, born int64, now time.Time) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left == nil || len(s.left) > maxLeft {
		s.left = make(map[exchange.TargetID]departure)
	}
	current := id == s.view.ID && (born == 0 || born == s.view.Born)
	switch {
	case current:
		s.left[id] = departure{born: s.view.Born}
	case born != 0:
		s.left[id] = departure{born: max(born, s.left[id].born)}
	case id != s.view.ID:
		s.left[id] = departure{born: now.UnixMilli()}
	}
	if !current {
		return Stale
	}
	if !s.view.DrainedAt.IsZero() {
		return Unchanged
	}
	s.view.DrainedAt = now
	s.view.State = fleet.Draining
	return Changed
}

// maxLeft bounds the incarnations that are remembered as gone.
const maxLeft = 64
