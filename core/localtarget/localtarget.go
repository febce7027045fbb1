// Package localtarget holds the state of the target beside a daemon: its incarnation,
// whether it accepts new requests, and when its drain was acknowledged. A drain is
// final for the incarnation.
package localtarget

import (
	"sync"
	"time"

	"pollenscale/core/departure"
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
	// Unconfirmed means that the incarnation may have left, which earlier processes would know.
	Unconfirmed Result = "Unconfirmed"
)

// confirmationDelay is the least time between two heartbeats that confirm an incarnation.
// Heartbeats that were delayed by a partition arrive together.
const confirmationDelay = time.Second

// candidate is an incarnation that is not used until a later heartbeat confirms it.
type candidate struct {
	heartbeat Heartbeat
	// confirmAt is when a heartbeat confirms it at the earliest.
	confirmAt time.Time
}

// confirmedBy reports whether a heartbeat shows that the incarnation still runs.
func (c *candidate) confirmedBy(h Heartbeat, now time.Time) bool {
	return c.isSame(h) && h.Sequence > c.heartbeat.Sequence && !now.Before(c.confirmAt)
}

func (c *candidate) isSame(h Heartbeat) bool {
	return c.heartbeat.ID == h.ID && c.heartbeat.Born == h.Born
}

// Memory is what earlier processes of the daemon knew of the target, as the store and
// other daemons have kept it.
type Memory struct {
	// View is the last known state, zero if only departures were kept.
	View View
	// Departures are those that earlier processes may have acknowledged.
	Departures departure.Set
}

// Mechanisms that mutation tests switch off one at a time.
var (
	rejectDeparted    = mutant.New("localtarget/departures")
	joinDepartures    = mutant.New("localtarget/join-departures")
	awaitMemory       = mutant.New("localtarget/await-memory")
	orderIncarnations = mutant.New("localtarget/order-of-birth")
	orderHeartbeats   = mutant.New("localtarget/order-of-heartbeats")
)

// State is the state of the target as known to the daemon. It is safe for concurrent
// use; the zero value knows no target.
type State struct {
	mu       sync.Mutex
	view     View
	sequence int64
	// departures holds incarnations that have left, except for one that drains in view.
	departures departure.Set
	// awaiting is set until it is known what earlier processes have stored.
	awaiting  bool
	candidate candidate
}

// AwaitMemory makes heartbeats wait for MemoryKnown: the target may have left, and its last
// heartbeats may arrive late. An incarnation that goes on sending heartbeats does not wait.
func (s *State) AwaitMemory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaiting = !awaitMemory.Off()
}

// MemoryKnown ends the wait, after Recall has been called with all that is stored, and
// applies the heartbeat that has waited.
func (s *State) MemoryKnown(now time.Time) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	waited := s.awaiting && s.candidate.heartbeat.ID != ""
	s.awaiting = false
	if !waited {
		return Unchanged
	}
	return s.applyHeartbeat(s.candidate.heartbeat, now)
}

// View returns the current state.
func (s *State) View() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// Departures returns the incarnations that get no more requests, those that drain included.
func (s *State) Departures() departure.Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allDepartures()
}

func (s *State) allDepartures() departure.Set {
	if s.view.DrainedAt.IsZero() {
		return s.departures
	}
	return s.departures.Add(departure.Departure{Target: s.view.ID, Born: s.view.Born})
}

// Recall applies what earlier processes knew. Their departures remain in effect, whether
// they are learned before or after heartbeats. Their target is the current one only until
// a heartbeat has told which one is.
func (s *State) Recall(m Memory, now time.Time) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !joinDepartures.Off() {
		s.departures = s.departures.Join(m.Departures)
	}
	adopted := s.view.ID == "" && m.View.ID != ""
	switch {
	case adopted:
		s.view = m.View
	case !m.View.DrainedAt.IsZero() && !joinDepartures.Off():
		s.departures = s.departures.Add(departure.Departure{Target: m.View.ID, Born: m.View.Born})
	}
	changed := s.applyDepartures(now)
	switch {
	case adopted:
		return Replaced
	case changed:
		return Changed
	}
	return Unchanged
}

// applyDepartures ends the use of the current incarnation if it has left, and reports
// whether it was in use before.
func (s *State) applyDepartures(now time.Time) bool {
	if !s.view.DrainedAt.IsZero() || !s.hasLeft(s.view.ID, s.view.Born) {
		return false
	}
	s.view.State, s.view.DrainedAt = fleet.Draining, now
	return true
}

// hasLeft reports whether an incarnation has left.
func (s *State) hasLeft(id exchange.TargetID, born int64) bool {
	return s.departures.Covers(id, born) && !rejectDeparted.Off()
}

// ApplyHeartbeat applies a heartbeat. One that reports a drain is never ignored: it is
// acknowledged also if it arrives late.
func (s *State) ApplyHeartbeat(h Heartbeat, now time.Time) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applyHeartbeat(h, now)
}

func (s *State) applyHeartbeat(h Heartbeat, now time.Time) Result {
	same := h.ID == s.view.ID && h.Born == s.view.Born
	if s.isStale(h, same) {
		if h.Draining {
			s.departures = s.departures.Add(departure.Departure{Target: h.ID, Born: h.Born})
		}
		if s.applyDepartures(now) {
			return Changed
		}
		return Stale
	}
	if !same && !s.mayReplace(h, now) {
		return Unconfirmed
	}
	if !same {
		s.departures = s.allDepartures() // a late heartbeat of the previous incarnation may follow
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

// mayReplace reports whether the incarnation in a heartbeat may become the current one. While
// the memory is awaited, it may if an earlier heartbeat of it is confirmed. Incarnations that
// start after that have nothing that an earlier process could know.
func (s *State) mayReplace(h Heartbeat, now time.Time) bool {
	if s.awaiting && !h.Draining && !s.candidate.confirmedBy(h, now) {
		if !s.candidate.isSame(h) {
			s.candidate = candidate{heartbeat: h, confirmAt: now.Add(confirmationDelay)}
		}
		return false
	}
	s.awaiting = false
	return true
}

// isStale reports whether a heartbeat comes from an earlier incarnation or one that has
// left, or is older than the latest one.
func (s *State) isStale(h Heartbeat, same bool) bool {
	switch {
	case !same && h.Born < s.view.Born && !orderIncarnations.Off():
		return true
	case s.hasLeft(h.ID, h.Born):
		return true
	}
	return same && h.Sequence <= s.sequence && !orderHeartbeats.Off()
}

// Leave records that an incarnation leaves without having announced a drain in a
// heartbeat. A born of 0 means that its start is not known. Departures of incarnations
// that the daemon does not know, for example after its restart, are recorded too, since
// an earlier heartbeat may still arrive.
func (s *State) Leave(id exchange.TargetID, born int64, now time.Time) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := id == s.view.ID && (born == 0 || born == s.view.Born)
	switch {
	case current:
		born = s.view.Born
	case born == 0:
		born = now.UnixMilli() // all incarnations that have started up to now have left
	}
	s.departures = s.departures.Add(departure.Departure{Target: id, Born: born})
	changed := s.applyDepartures(now)
	switch {
	case changed:
		return Changed
	case current:
		return Unchanged
	}
	return Stale
}
