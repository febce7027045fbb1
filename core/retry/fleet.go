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
	// spentShare is the share of the fleet's limits that daemons spend. The rest covers
	// retries that arrive at their targets later than they were granted, so that those
	// of more than one window arrive within one.
	spentShare = 0.95
	// repeatShare is the part of the budget up to which runs that make calls are repeated.
	// The rest is left for retries of the calls themselves: one of them saves the run that
	// made the call, and costs less than a repeat of it.
	repeatShare = 0.6
	// windowSlices is the number of slices of a window that are counted separately. One
	// more is kept, so that the slices together always cover a whole window.
	windowSlices = 20
)

// enforceFleetBudget is a mechanism that tests can switch off.
var enforceFleetBudget = mutant.New("retry/shared-budget")

// slice holds what was counted in one part of the window.
type slice struct {
	requests float64
	retries  float64
	daemons  int // the largest number of daemons
}

// FleetBudget bounds the retries of one service at one daemon, so that the daemons
// together keep the fleet's limits without communication between them. Requests
// and retries are counted over a sliding window. A retry is an arrival at a target beyond
// the first one of its request; each arrival of a call of a repeated run is one too.
type FleetBudget struct {
	// Now returns the current time, time.Now by default.
	Now func() time.Time
	// Daemons returns the number of daemons among which ExtraRetries is divided, 0 if it is
	// not known.
	Daemons func() int
	// ExtraFrom is when this daemon may spend its part of ExtraRetries. The process before
	// it may have spent that part within the same window.
	ExtraFrom time.Time

	limits FleetLimits

	mu         sync.Mutex
	sliceStart time.Time // start of the newest slice
	current    int
	slices     [windowSlices + 1]slice
	counts     FleetCounts
}

// FleetCounts are totals since the start, for metrics.
type FleetCounts struct {
	Granted, Refused, Returned uint64
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
	b.slices[b.current].requests++
}

// Allow reports whether an attempt may be retried, or a call of a repeated run be sent, and
// if so counts the retry.
func (b *FleetBudget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if retries, allowed := b.totals(); retries+1 > allowed && !enforceFleetBudget.Off() {
		b.counts.Refused++
		return false
	}
	b.counts.Granted++
	b.slices[b.current].retries++
	return true
}

// Affords reports whether the budget has room for the n calls of a run that would be
// repeated.
func (b *FleetBudget) Affords(n float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	retries, allowed := b.totals()
	return retries+n <= repeatShare*allowed || enforceFleetBudget.Off()
}

// giveBack returns a retry that was granted and has not been sent to a target. The slice in
// which it was granted is not known: taking it from the oldest one that holds a retry
// makes the others expire late rather than early.
func (b *FleetBudget) giveBack() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.counts.Returned++
	for i := range b.slices {
		s := &b.slices[(b.current+1+i)%len(b.slices)]
		if s.retries >= 1 {
			s.retries--
			return
		}
	}
}

// Counts returns the totals since the start.
func (b *FleetBudget) Counts() FleetCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

// totals returns the retries within the window and the number that is allowed. The
// requests are those of less than a window, the retries those of more.
func (b *FleetBudget) totals() (retries, allowed float64) {
	b.advance()
	known := b.Daemons()
	daemons := known
	b.slices[b.current].daemons = max(b.slices[b.current].daemons, daemons)
	oldest := (b.current + 1) % len(b.slices)
	requests := 0.0
	for i, s := range b.slices {
		retries += s.retries
		// Daemons that have left may have spent their part within the window.
		daemons = max(daemons, s.daemons)
		if i != oldest {
			requests += s.requests
		}
	}
	allowed = b.limits.Ratio * requests
	if known > 0 && !b.Now().Before(b.ExtraFrom) {
		allowed += b.limits.ExtraRetries / float64(daemons)
	}
	return retries, spentShare * allowed
}

// advance moves the window so that the newest slice covers the current time.
func (b *FleetBudget) advance() {
	now := b.Now()
	width := b.limits.Window / windowSlices
	if width <= 0 {
		return
	}
	if now.Sub(b.sliceStart) > b.limits.Window+2*width {
		b.slices = [windowSlices + 1]slice{}
		b.sliceStart = now
		return
	}
	for now.Sub(b.sliceStart) >= width {
		b.current = (b.current + 1) % len(b.slices)
		b.slices[b.current] = slice{}
		b.sliceStart = b.sliceStart.Add(width)
	}
}
