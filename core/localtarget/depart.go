package localtarget

import (
	"time"

	"pollenscale/core/departure"
	"pollenscale/core/exchange"
	"pollenscale/core/fleet"
)

// Leave records that an incarnation leaves without having announced a drain in a
// heartbeat. A born of 0 means that its start is not known. Departures of incarnations
// that the daemon does not know, for example after its restart, are recorded too, since
// an earlier heartbeat may still arrive.
func (s *State) Leave(id exchange.TargetID, born int64, now time.Time) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.isCurrent(id, born, now)
	changed := s.depart(id, born, now)
	switch {
	case changed:
		return Changed
	case current:
		return Unchanged
	}
	return Stale
}

// depart records a departure, and reports whether it ends the use of the current incarnation.
func (s *State) depart(id exchange.TargetID, born int64, now time.Time) bool {
	switch {
	case s.isCurrent(id, born, now):
		born = s.currentDeparture().Born
	case born == 0:
		born = now.UnixMilli() // all incarnations that have started up to now have left
	}
	s.departures = s.departures.Add(departure.Departure{Target: id, Born: born})
	return s.applyDepartures(now)
}

// isCurrent reports whether a departure with the given ID and start time, 0 if not known, is
// that of the current incarnation.
func (s *State) isCurrent(id exchange.TargetID, born int64, now time.Time) bool {
	return id == s.view.ID && (born == 0 || born == s.view.Born || born < s.view.Born && !s.isEarlier(born, now))
}

// InUse reports whether an incarnation with the given ID takes requests. A departure with that
// ID must not be acknowledged then: the target in use may be the one that leaves, if the time
// of day has stepped back before its start.
func (s *State) InUse(id exchange.TargetID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.ID == id && s.view.DrainedAt.IsZero()
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
	return s.departures.Add(s.currentDeparture())
}

// currentDeparture returns the departure of the current incarnation and of the one that it has
// superseded, whose late heartbeats would seem to be of a next life.
func (s *State) currentDeparture() departure.Departure {
	d := departure.Departure{Target: s.view.ID, Born: s.view.Born}
	if s.superseded.Target == d.Target {
		d.Born = max(d.Born, s.superseded.Born)
	}
	return d
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
