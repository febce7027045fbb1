// Package hang decides when a request at a target counts as hanging, and how much of the
// load that a target reports is work that its daemon does not know of.
//
// Some targets never answer a request that they cannot queue, and others hang on some of
// their requests while their health check passes. A request that hangs cannot be told from
// a slow one, so the bound is wide: it depends on the expected service time, on the
// slowdown that the target reports, and on how long the slowest of the recent answers took.
package hang

import (
	"math"
	"sync"
	"time"

	"pollenscale/internal/mutant"
)

// Mechanisms that mutation tests switch off one at a time.
var (
	learnSlow  = mutant.New("hang/learn-slow-answers")
	limitBlind = mutant.New("hang/limit-without-answers")
)

const (
	// factor is the age, in expected service times, from which a request may count as
	// hanging. 3 in 100 requests take 7 times the mean, and targets above 0.8 of their
	// slots are 1.7 times slower: 11.9 times the mean.
	factor = 12
	// shortFactor replaces factor as far as the deadline leaves no time for another
	// attempt otherwise. It exceeds the 7 times of the slow requests.
	shortFactor = 8
	// minBound is the lower bound of the age. A noisy neighbour slows a target down for
	// 150 ms at a time.
	minBound = 300 * time.Millisecond
	// nextAttempt is the time that another attempt needs, in expected service times, and
	// minNextAttempt its lower bound.
	nextAttempt    = 3
	minNextAttempt = 50 * time.Millisecond
	// peakMargin times the ratio of the slowest recent answer to its expected service time
	// is a lower bound of the factor. That ratio halves every peakHalfLife.
	peakMargin   = 1.5
	peakHalfLife = 10 * time.Second
	// maxBlind is how many requests in a row may count as hanging without an answer of the
	// target. Beyond that, it may as well be slow: its requests are left to their
	// deadlines until an answer arrives, from which the bound is learned.
	maxBlind = 4
)

// Detector decides about the requests at one target. The zero value is ready for use. It is
// safe for concurrent use.
type Detector struct {
	mu     sync.Mutex
	peak   float64 // ratio of the slowest answer to its expected service time, at peakAt
	peakAt time.Time
	blind  int // requests that counted as hanging since the last answer
}

// Request is a request that is about to be sent to the target.
type Request struct {
	// ServiceTime is the expected service time, 0 if unknown.
	ServiceTime time.Duration
	// Slowdown is the processing time that the target reports, relative to the usual one; 0
	// if it reports none.
	Slowdown float64
	// Left is the time to the deadline.
	Left time.Duration
}

// Bound returns the age from which the request may count as hanging. It reports false if the
// service time is unknown, or if no time for another attempt would be left.
func (d *Detector) Bound(r Request, now time.Time) (time.Duration, bool) {
	if r.ServiceTime <= 0 {
		return 0, false
	}
	d.mu.Lock()
	learned := peakMargin * d.peakAtTime(now)
	d.mu.Unlock()
	need := max(nextAttempt*r.ServiceTime, minNextAttempt)
	expected := float64(r.ServiceTime) * max(1, r.Slowdown)
	bound := max(time.Duration(max(factor, learned)*expected), minBound)
	lowest := max(time.Duration(max(shortFactor, learned)*expected), minBound)
	bound = max(min(bound, r.Left-need), lowest)
	return bound, bound+need <= r.Left
}

// Hangs decides whether a request that has reached its bound counts as hanging, and records
// that.
func (d *Detector) Hangs() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.blind >= maxBlind && !limitBlind.Off() {
		return false
	}
	d.blind++
	return true
}

// Answered records an answer of the target, and how long it took. The expected service time
// may be 0 if it is unknown.
func (d *Detector) Answered(took, expected time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.blind = 0
	if expected <= 0 || learnSlow.Off() {
		return
	}
	if ratio := float64(took) / float64(expected); ratio > d.peakAtTime(now) {
		d.peak, d.peakAt = ratio, now
	}
}

// peakAtTime returns the peak, reduced by its age.
func (d *Detector) peakAtTime(now time.Time) float64 {
	if d.peak == 0 {
		return 0
	}
	return d.peak / math.Exp2(now.Sub(d.peakAt).Seconds()/peakHalfLife.Seconds())
}

// Reset forgets what was learned, for another incarnation of the target.
func (d *Detector) Reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peak, d.peakAt, d.blind = 0, time.Time{}, 0
}
