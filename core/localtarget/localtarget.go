// Package localtarget holds the state of the target beside a daemon: its incarnation,
// whether it accepts new requests, and when its drain was acknowledged. A drain is
// final for the incarnation.
package localtarget

import (
	"sync"
	"time"

	"pollenscale/core/exchange"
	"pollenscale/core/fleet"
	"pollenscale/internal/mutant"
)

// Heartbeat is what a target reports about itself.
type Heartbeat struct {
	ID      exchange.TargetID
	Service fleet.Service
	Address string
	Version string
	// Born is the start time of the target in Unix milliseconds. It orders the
	// incarnations at one address.
	Born int64
	// Sequence increases with each heartbeat of an incarnation.
	Sequence int64
	Draining bool
	Slots    fleet.Slots
	// ColdUntil is when the target reaches its full speed.
	ColdUntil time.Time
}

// View is a copy of the state at one moment.
type View struct {
	ID        exchange.TargetID
	Service   fleet.Service
	Address   string
	Born      int64
	Slots     fleet.Slots
	State     fleet.State
	ColdUntil time.Time
	// DrainedAt is when the drain or departure was acknowledged, zero before.
	DrainedAt time.Time
}

// Result is the effect of a message on the state.
type Result string

// The results of applying a message.
const (
	Unchanged Result = "Unchanged"
	Replaced  Result = "Replaced" // a new incarnation replaced the previous one
	Changed   Result = "Changed"  // the state of the incarnation changed
	Stale     Result = "Stale"    // an older incarnation or an older message
)

// departure records that incarnations of a target have left.
type departure struct {
	// born is the start of the latest incarnation that has left or, if that was
	// not known, the time of the departure. All incarnations that started up to
	// then have left.
	born int64
}

// Mechanisms that mutation tests switch off one at a time.
var (
	rejectDeparted    = mutant.New("localtarget/departures")
	orderIncarnations = mutant.New("localtarget/order-of-birth")
	orderHeartbeats   = mutant.New("localtarget/order-of-heartbeats")
)

// State is the state of the target as known to the daemon. It is safe for concurrent
// use; the zero value knows no target.
type State struct {
	mu         sync.Mutex
	view       View
	sequence   int64
	departures map[exchange.TargetID]departure
}

// View returns the current state.
func (s *State) View() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// Restore applies the state that an earlier process of the daemon recorded, unless a
// heartbeat was received before, and reports whether it did. A departure that was
// received before remains in effect.
func (s *State) Restore(v View, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view.ID != "" {
		return false
	}
	if s.hasLeft(v.ID, v.Born) {
		v.State, v.DrainedAt = fleet.Draining, now
	}
	s.view = v
	return true
}

// hasLeft reports whether an incarnation has left.
func (s *State) hasLeft(id exchange.TargetID, born int64) bool {
	d, left := s.departures[id]
	return left && d.born >= born && !rejectDeparted.Off()
}

// ApplyHeartbeat applies a heartbeat.
func (s *State) ApplyHeartbeat(h Heartbeat, now time.Time) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	same := h.ID == s.view.ID && h.Born == s.view.Born
	if !same && h.Born < s.view.Born && !orderIncarnations.Off() {
		return Stale
	}
	if s.hasLeft(h.ID, h.Born) {
		return Stale
	}
	if same && h.Sequence <= s.sequence && !orderHeartbeats.Off() {
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

// Leave records that an incarnation leaves without having announced a drain in a
// heartbeat. A born of 0 means that its start is not known. Departures of incarnations
// that the daemon does not know, for example after its restart, are recorded too, since
// an earlier heartbeat may still arrive.
func (s *State) Leave(id exchange.TargetID, born int64, now time.Time) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.departures == nil || len(s.departures) > maxDepartures {
		s.departures = make(map[exchange.TargetID]departure)
	}
	current := id == s.view.ID && (born == 0 || born == s.view.Born)
	switch {
	case current:
		s.departures[id] = departure{born: s.view.Born}
	case born != 0:
		s.departures[id] = departure{born: max(born, s.departures[id].born)}
	case id != s.view.ID:
		s.departures[id] = departure{born: now.UnixMilli()}
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

// maxDepartures bounds the number of recorded departures.
const maxDepartures = 64
