// Package slowdown tracks whether a target is temporarily slowed down, so that requests
// start only while it is not.
//
// Noisy neighbours on shared hosts slow a target down several-fold for about 100 ms at
// a time, and a request keeps the speed at which it starts. A request that
// waits for the end of such a phase, or runs on another target, finishes long before
// one that starts during the phase. Targets report their slowdown with each answer; a
// report that is more than a few milliseconds old is of little use.
package slowdown

import (
	"sync"
	"time"
)

const (
	// freshFor is the age up to which a report is used without a new probe. Phases of
	// usual speed last about 400 ms, so that 1 in 100 reports of this age is wrong.
	freshFor = 4 * time.Millisecond
	// slowFactor is the slowdown, relative to the recent minimum, above which requests
	// wait.
	slowFactor = 1.6
	// windowCount is the number of windows over which the minimum is kept. A target
	// that is slow for all of them is no longer considered slowed down.
	windowCount = 4
	// windowLength is the length of one window.
	windowLength = 400 * time.Millisecond
)

// Level is the ratio of the service time to the usual service time; 1 is usual.
type Level float64

// Tracker evaluates the reports of one target. The zero value has no reports and is
// ready for use. A Tracker is safe for concurrent use.
type Tracker struct {
	mu          sync.Mutex
	level       Level
	reportedAt  time.Time          // time of the latest report
	windowStart time.Time          // start of the current window
	minima      [windowCount]Level // minimum of each window, the current one first; 0 without a report
}

// Observe records a report that was made at the given time.
func (t *Tracker) Observe(level Level, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.Before(t.reportedAt) || level <= 0 {
		return
	}
	t.level, t.reportedAt = level, at
	if at.Sub(t.windowStart) > windowCount*windowLength {
		t.minima = [windowCount]Level{}
		t.windowStart = at
	}
	for at.Sub(t.windowStart) >= windowLength {
		copy(t.minima[1:], t.minima[:windowCount-1])
		t.minima[0] = 0
		t.windowStart = t.windowStart.Add(windowLength)
	}
	if t.minima[0] == 0 || level < t.minima[0] {
		t.minima[0] = level
	}
}

// Reported reports whether the target has reported its slowdown at all.
func (t *Tracker) Reported() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.reportedAt.IsZero()
}

// Fresh reports whether the latest report is recent enough to predict how a request
// would run now.
func (t *Tracker) Fresh(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.reportedAt) <= freshFor
}

// Slow reports whether, according to the latest report, requests should wait.
func (t *Tracker) Slow() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.level > slowFactor*t.baseline()
}

// Level returns the latest report, 0 if there is none.
func (t *Tracker) Level() Level {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.level
}

// baseline returns the recent minimum of the slowdown, but at least 1.
func (t *Tracker) baseline() Level {
	base := Level(0)
	for _, l := range t.minima {
		if l > 0 && (base == 0 || l < base) {
			base = l
		}
	}
	return max(base, 1)
}

// Reset discards all reports, for another incarnation of the target.
func (t *Tracker) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.level, t.reportedAt, t.windowStart, t.minima = 0, time.Time{}, time.Time{}, [windowCount]Level{}
}
