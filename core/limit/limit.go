// Package limit adapts the number of requests that a target runs at the same
// time.
//
// A Limit starts low and doubles while the target keeps its speed, so that a
// cold target is warmed up by work that it can serve. From then on it compares
// the service time of each window of requests with the long-term service time:
// a target that slows down as concurrency rises is beyond its capacity, and the
// limit falls. The number of slots that a target announces, when it announces
// any, is an upper bound. A target that fails is reduced to a single request at
// a time until it succeeds again, so that failing fast attracts no traffic.
package limit

import (
	"math"
	"sync"
	"time"

	"pollenscale/core/fleet"
)

const (
	// start is the limit of a target about which nothing is known. A target that
	// announces slots starts at a third of them: lower starts take capacity that
	// the others do not have to spare at 80% load.
	start     = 2
	startPart = 3
	// unannounced bounds the limit of a target that announces no slots.
	unannounced = 1024
	// minWindow is the least number of samples in a window. The mean logarithm
	// of 32 heavy-tailed service times has a standard error near 0.18.
	minWindow = 32
	// warmWindow is the number of samples in a window of the warm-up.
	warmWindow = 4
	// tolerance is the rise of service time that is taken as noise.
	tolerance = 1.3
	// fallWeight and riseWeight are the weights of one window in the long-term
	// service time. It rises slowly, since a target that runs beyond its capacity
	// shows long service times for as long as the limit is too high: with equal
	// weights of 0.05 the limit of a target with 9 slots went to 42.
	fallWeight = 0.05
	riseWeight = 0.002
	// failureWeight is the weight of one answer in the failure ratio.
	failureWeight = 0.1
	// failing is the failure ratio from which a target is reduced to one request.
	failing = 0.5
)

// Limit is the concurrency limit of one target. It is safe for concurrent use.
type Limit struct {
	mu    sync.Mutex
	slots float64 // announced by the target, 0 when unknown
	state
}

// state is what is learned about one process of the target.
type state struct {
	value    float64
	warming  bool
	long     float64 // long-term mean of the logarithm of service times
	sum      float64 // logarithms of the current window
	samples  int
	windows  int
	peak     int // highest concurrency in the current window
	failures float64
	knee     knee
}

// New returns a limit for a target that announces the given number of slots,
// or 0 when it announces none.
func New(slots fleet.Slots) *Limit {
	l := &Limit{slots: float64(slots)}
	l.reset()
	return l
}

// NewWarm returns a limit for a target that is already at full speed.
func NewWarm(slots fleet.Slots) *Limit {
	l := New(slots)
	if slots > 0 {
		l.value = float64(slots)
		l.warming = false
	}
	return l
}

// SetSlots records the number of slots that the target announces.
func (l *Limit) SetSlots(slots fleet.Slots) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slots = float64(slots)
	l.knee.least = l.leastKnee()
}

func (l *Limit) leastKnee() int { return int(kneeLeast * l.slots) }

// ResetCold restarts the warm-up, for a target that was restarted.
func (l *Limit) ResetCold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reset()
}

func (l *Limit) reset() {
	l.state = state{value: max(start, l.slots/startPart), warming: true, knee: knee{least: l.leastKnee()}}
}

// Value returns the number of requests that may run at the same time, at least 1.
func (l *Limit) Value() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current()
}

// Failing reports whether the target fails most of its requests.
func (l *Limit) Failing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failures >= failing
}

// Observe records the answer to a request that took the given time while the
// given number of requests ran, itself included.
func (l *Limit) Observe(took time.Duration, running int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok {
		l.failures += (1 - l.failures) * failureWeight
		return
	}
	l.failures -= l.failures * failureWeight
	l.peak = max(l.peak, running)
	l.sum += math.Log(max(took.Seconds(), 1e-6))
	l.samples++
	window := max(minWindow, int(l.value))
	if l.warming {
		window = max(warmWindow, int(l.value))
	}
	if l.samples >= window {
		l.closeWindow()
	}
}

func (l *Limit) current() int {
	if l.failures >= failing {
		return 1
	}
	return max(1, l.knee.limit(int(l.value)))
}

// ObserveConcurrency records how long a request took that started as the n-th to run,
// and how long it was expected to take.
func (l *Limit) ObserveConcurrency(n int, took, expected time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.knee.observe(n, took, expected)
}

// AllowTrial reports whether a request may start beyond the knee now, to see whether
// it is still there. It is asked when all slots up to the knee are taken.
func (l *Limit) AllowTrial(running int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	within := l.knee.limit(int(l.value))
	if running != within || within >= int(l.value) || now.Before(l.knee.trialAt) {
		return false
	}
	first := l.knee.trialAt.IsZero()
	l.knee.trialAt = now.Add(kneeTrial)
	return !first
}

// closeWindow moves the limit by the samples of one window.
func (l *Limit) closeWindow() {
	short := l.sum / float64(l.samples)
	saturated := l.peak >= l.current()
	l.sum, l.samples, l.peak = 0, 0, 0
	if l.long == 0 {
		l.long = short
	}
	ratio := tolerance * math.Exp(l.long-short)
	l.learn(short)
	switch {
	case ratio < 1:
		l.warming = false
		l.value *= max(0.5, ratio)
	case saturated && l.warming:
		l.value *= 2
	case saturated:
		l.value += math.Sqrt(l.value)
	}
	l.value = min(max(l.value, l.least()), l.most())
}

// learn moves the long-term service time. The first windows count alike, since
// those of the warm-up are short and noisy.
func (l *Limit) learn(short float64) {
	l.windows++
	weight := riseWeight
	if short < l.long {
		weight = fallWeight
	}
	l.long += (short - l.long) * max(weight, 1/float64(l.windows+1))
}

// least is the lower bound of the limit. A warm target keeps the slots that it
// announces: when a neighbour slows it down, fewer requests at a time would only
// lower its throughput.
func (l *Limit) least() float64 {
	if l.warming {
		return start
	}
	return max(1, l.slots)
}

func (l *Limit) most() float64 {
	if l.slots > 0 {
		return l.slots
	}
	return unannounced
}

// ResetWarm forgets what was learned and takes the announced slots as the limit.
func (l *Limit) ResetWarm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state{value: max(1, l.slots), knee: knee{least: l.leastKnee()}}
}
