package retry

import (
	"sync"
	"time"

	"pollenscale/internal/mutant"
)

// FleetLimits bound the retries of all daemons of the fleet together.
type FleetLimits struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// ExtraRetries is the number of retries for one service that the whole fleet
	// may make per window in addition to those of Ratio.
	ExtraRetries float64
	// Window is the period over which both are counted.
	Window time.Duration
}

const (
	// ratioShare and extraShare are the shares of the fleet's limits that daemons
	// spend. The rest covers retries that no daemon counts as such: attempts that
	// targets reject, and nested calls of a retried request.
	ratioShare = 0.8
	extraShare = 0.5
	// windowSlices is the number of slices of a window that are counted
	// separately.
	windowSlices = 10
)

// enforceFleetBudget is a mechanism that tests can switch off.
var enforceFleetBudget = mutant.New("retry/shared-budget")

// FleetBudget bounds the retries of one service at one daemon, so that the daemons
// together keep the fleet's limits without communication between them. Requests
// and retries are counted over a sliding window.
type FleetBudget struct {
	// Now returns the current time, time.Now by default.
	Now func() time.Time
	// Daemons returns the number of daemons among which ExtraRetries is divided.
	Daemons func() int

	limits FleetLimits

	mu         sync.Mutex
	sliceStart time.Time // start of the newest slice
	current    int
	requests   [windowSlices]float64
	retries    [windowSlices]float64
}

// NewFleetBudget returns a budget for one of the given number of daemons.
func NewFleetBudget(limits FleetLimits, daemons func() int) *FleetBudget {
	return &FleetBudget{Now: time.Now, Daemons: daemons, limits: limits}
}

// RecordRequest records a request.
func (b *FleetBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.requests[b.current]++
}

// Allow reports whether an attempt may be retried, and if so counts the retry.
func (b *FleetBudget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	requests, retries := sum(b.requests), sum(b.retries)
	allowed := ratioShare*b.limits.Ratio*requests + extraShare*b.limits.ExtraRetries/float64(max(1, b.Daemons()))
	if retries+1 > allowed && !enforceFleetBudget.Off() {
		return false
	}
	b.retries[b.current]++
	return true
}

// advance moves the window so that the newest slice covers the current time.
func (b *FleetBudget) advance() {
	now := b.Now()
	width := b.limits.Window / windowSlices
	if width <= 0 {
		return
	}
	if now.Sub(b.sliceStart) > b.limits.Window+width {
		b.requests, b.retries = [windowSlices]float64{}, [windowSlices]float64{}
		b.sliceStart = now
		return
	}
	for now.Sub(b.sliceStart) >= width {
		b.current = (b.current + 1) % windowSlices
		b.requests[b.current], b.retries[b.current] = 0, 0
		b.sliceStart = b.sliceStart.Add(width)
	}
}

func sum(v [windowSlices]float64) float64 {
	total := 0.0
	for _, x := range v {
		total += x
	}
	return total
}
