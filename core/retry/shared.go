package retry

import (
	"sync"
	"time"

	"pollenscale/internal/mutant"
)

// FleetLimits are the bounds that the retries of all daemons keep together.
type FleetLimits struct {
	// Ratio is the number of repeated arrivals allowed for each request.
	Ratio float64
	// ExtraRetries is the number of repeated arrivals of one service that the whole
	// fleet may add in each window.
	ExtraRetries float64
	// Window is the length over which both are counted.
	Window time.Duration
}

const (
	// ratioPart and extraPart are the parts of the fleet's bounds that daemons
	// spend. The rest covers repeats that are not known to be any: arrivals that
	// targets reject, and nested calls of a repeated request.
	ratioPart = 0.8
	extraPart = 0.5
	// slices is the number of parts of a window that are counted apart.
	slices = 10
)

// boundRepeats is a mechanism that tests switch off.
var boundRepeats = mutant.New("retry/shared-budget")

// FleetBudget bounds the repeated arrivals of one service at one daemon, so that the
// daemons together keep the fleet's bounds without knowing of each other.
// Requests and repeats are counted over a sliding window.
type FleetBudget struct {
	// Now is the clock.
	Now func() time.Time
	// Daemons returns the number of daemons among which Extra is divided.
	Daemons func() int

	terms FleetLimits

	mu       sync.Mutex
	first    time.Time // start of the newest slice
	at       int
	requests [slices]float64
	repeats  [slices]float64
}

// NewFleetBudget returns a budget with the given terms.
func NewFleetBudget(t FleetLimits, daemons func() int) *FleetBudget {
	return &FleetBudget{Now: time.Now, Daemons: daemons, terms: t}
}

// RecordRequest records a request.
func (s *FleetBudget) RecordRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn()
	s.requests[s.at]++
}

// Allow reports whether an attempt may be repeated, and counts it if so.
func (s *FleetBudget) Allow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn()
	requests, repeats := sum(s.requests), sum(s.repeats)
	allowed := ratioPart*s.terms.Ratio*requests + extraPart*s.terms.ExtraRetries/float64(max(1, s.Daemons()))
	if repeats+1 > allowed && !boundRepeats.Off() {
		return false
	}
	s.repeats[s.at]++
	return true
}

// turn moves to the slice of the present.
func (s *FleetBudget) turn() {
	now := s.Now()
	width := s.terms.Window / slices
	if width <= 0 {
		return
	}
	if now.Sub(s.first) > s.terms.Window+width {
		s.requests, s.repeats = [slices]float64{}, [slices]float64{}
		s.first = now
		return
	}
	for now.Sub(s.first) >= width {
		s.at = (s.at + 1) % slices
		s.requests[s.at], s.repeats[s.at] = 0, 0
		s.first = s.first.Add(width)
	}
}

func sum(v [slices]float64) float64 {
	total := 0.0
	for _, x := range v {
		total += x
	}
	return total
}
