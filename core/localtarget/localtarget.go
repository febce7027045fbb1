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
	outliveClockSteps = mutant.New("localtarget/outlive-clock-steps")
	orderHeartbeats   = mutant.New("localtarget/order-of-heartbeats")
)

// silenceLimit is the time without a heartbeat of the current incarnation after which one with
// an earlier start is taken for the later one: the time of day has stepped back between their
// starts. Targets send heartbeats every 1.5 s.
const silenceLimit = 4 * time.Second

// State is the state of the target as known to the daemon. It is safe for concurrent
// use; the zero value knows no target.
type State struct {
	mu       sync.Mutex
	view     View
	sequence int64
	// silentAt is when the current incarnation counts as silent, unless it sends a heartbeat.
	silentAt time.Time
	// superseded is the incarnation with a later start that the current one has replaced after
	// its silence, zero if there is none.
	superseded departure.Departure
	// departures holds incarnations that have left, except for one that drains in view.
	departures departure.Set
	// awaiting is set until it is known what earlier processes have stored.
	awaiting  bool
	candidate candidate
}

// View returns the current state.
func (s *State) View() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// supersede records that the incarnation in a heartbeat replaces one with a later start.
func (s *State) supersede(h Heartbeat) {
	s.superseded = departure.Departure{}
	if h.Born < s.view.Born {
		s.superseded = departure.Departure{Target: s.view.ID, Born: s.view.Born}
	}
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
		s.view, s.silentAt = m.View, now.Add(silenceLimit)
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

// ApplyHeartbeat applies a heartbeat. One that reports a drain is never ignored: it is
// acknowledged also if it arrives late.
func (s *State) ApplyHeartbeat(h Heartbeat, now time.Time) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applyHeartbeat(h, now)
}

func (s *State) applyHeartbeat(h Heartbeat, now time.Time) Result {
	same := h.ID == s.view.ID && h.Born == s.view.Born
	if s.isStale(h, same, now) {
		if h.Draining && s.depart(h.ID, h.Born, now) {
			return Changed
		}
		return Stale
	}
	if !same && !s.mayReplace(h, now) {
		return Unconfirmed
	}
	if !same {
		s.departures = s.allDepartures() // a late heartbeat of the previous incarnation may follow
		s.supersede(h)
	}
	s.sequence, s.silentAt = h.Sequence, now.Add(silenceLimit)
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

// isStale reports whether a heartbeat comes from an earlier incarnation or one that has
// left, or is older than the latest one.
func (s *State) isStale(h Heartbeat, same bool, now time.Time) bool {
	switch {
	case !same && s.isEarlier(h.Born, now):
		return true
	case s.hasLeft(h.ID, h.Born):
		return true
	case !same && !s.view.DrainedAt.IsZero() && s.currentDeparture() == (departure.Departure{Target: h.ID, Born: h.Born}):
		return true // superseded by the incarnation that drains
	}
	return same && h.Sequence <= s.sequence && !orderHeartbeats.Off()
}

// isEarlier reports whether an incarnation that started at the given time precedes the current
// one.
func (s *State) isEarlier(born int64, now time.Time) bool {
	if born >= s.view.Born || orderIncarnations.Off() {
		return false
	}
	return now.Before(s.silentAt) || outliveClockSteps.Off()
}
