// Package slowdown decides whether a target is slow at the moment, so that work
// starts when it is not.
//
// Neighbours on shared hosts slow a target down for a tenth of a second or so at
// a time, several times over, and work keeps the speed with which it starts. A
// request that waits for the end of such a phase, or runs elsewhere, is finished
// long before one that starts in it. Targets report their slowdown with each
// answer; a report that is more than a few milliseconds old says little.
package slowdown

import (
	"sync"
	"time"
)

const (
	// freshFor is the age up to which a report decides without a probe. Phases of
	// usual speed last about 400 ms, so that 1 in 100 reports of this age is wrong.
	freshFor = 4 * time.Millisecond
	// slowFactor is the slowdown, relative to the least of the recent past, from
	// which work waits.
	slowFactor = 1.6
	// windows is the number of spans over which the least slowdown is kept; a
	// target that is slow for all of them is taken as it is.
	windows = 4
	// windowLength is the length of one span.
	windowLength = 400 * time.Millisecond
)

// Level is how long work takes relative to the usual time; 1 is usual.
type Level float64

// Tracker follows the reports of one target. The zero value knows none.
type Tracker struct {
	mu      sync.Mutex
	level   Level
	at      time.Time // when the latest report was made
	started time.Time // start of the newest span
	least   [windows]Level
}

// Observe records a report that was made at the given time.
func (t *Tracker) Observe(level Level, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.Before(t.at) || level <= 0 {
		return
	}
	t.level, t.at = level, at
	if at.Sub(t.started) > windows*windowLength {
		t.least = [windows]Level{}
		t.started = at
	}
	for at.Sub(t.started) >= windowLength {
		copy(t.least[1:], t.least[:windows-1])
		t.least[0] = 0
		t.started = t.started.Add(windowLength)
	}
	if t.least[0] == 0 || level < t.least[0] {
		t.least[0] = level
	}
}

// Reported reports whether the target reports its slowdown at all.
func (t *Tracker) Reported() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.at.IsZero()
}

// Fresh reports whether the latest report still says how work would run now.
func (t *Tracker) Fresh(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.at) <= freshFor
}

// Slow reports whether work that starts now should wait, as far as the latest
// report says.
func (t *Tracker) Slow() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.level > slowFactor*t.base()
}

// base is the least slowdown of the recent past, at least the usual speed.
func (t *Tracker) base() Level {
	base := Level(0)
	for _, l := range t.least {
		if l > 0 && (base == 0 || l < base) {
			base = l
		}
	}
	return max(base, 1)
}

// Reset forgets all reports, for another incarnation of the target.
func (t *Tracker) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.level, t.at, t.started, t.least = 0, time.Time{}, time.Time{}, [windows]Level{}
}
