// Package limit adapts the concurrency limit of a target, the number of requests that
// it runs at the same time.
//
// A Limit starts low and doubles as long as service times do not rise, so that a cold
// target warms up on load that it can handle. From then on the service time of each
// window of requests is compared with the long-term service time: a target that slows
// down as concurrency rises is beyond its capacity, and the limit falls. If a target
// announces a number of slots, that is an upper bound, and once the target is warm the
// limit stays at it unless a knee is found below: the concurrency beyond which new
// requests run slower. A target that fails is limited to a single request at a time
// until it succeeds again, so that failing fast attracts no traffic.
package limit

import (
	"math"
	"sync"
	"time"

	"pollenscale/core/fleet"
)

const (
	// initialLimit is the limit of a target about which nothing is known. A target
	// that announces slots starts at a third of them: with a lower start, the other
	// targets would have to take over more load than they can at 80% utilisation.
	initialLimit   = 2
	initialDivisor = 3
	// maxUnannounced bounds the limit of a target that announces no slots.
	maxUnannounced = 1024
	// minWindow is the minimum number of samples in a window. The mean logarithm of
	// 32 heavy-tailed service times has a standard error of about 0.18.
	minWindow = 32
	// warmupWindow is the minimum number of samples in a window during the warm-up.
	warmupWindow = 4
	// tolerance is the ratio up to which a rise of the service time counts as noise.
	tolerance = 1.3
	// fallWeight and riseWeight are the weights of one window in the long-term service
	// time when the window is shorter or longer. The long-term value rises slowly,
	// since service times beyond the capacity stay long for as long as the limit is
	// too high: with equal weights of 0.05, the limit of a target with 9 slots went
	// to 42.
	fallWeight = 0.05
	riseWeight = 0.002
	// failureWeight is the weight of one answer in the failure ratio.
	failureWeight = 0.1
	// failingRatio is the failure ratio from which a target is limited to one request
	// at a time.
	failingRatio = 0.5
)

// Limit is the concurrency limit of one target. It is safe for concurrent use.
type Limit struct {
	mu    sync.Mutex
	slots float64 // announced by the target, 0 if unknown
	state
}

// state is what has been learned about one process of the target.
type state struct {
	value        float64
	warming      bool
	longTerm     float64 // long-term mean of the logarithm of service times
	sum          float64 // sum of the logarithms of service times in the current window
	samples      int
	windows      int
	peak         int // highest concurrency in the current window
	failureRatio float64
	knee         knee
}

// New returns a limit for a target that announces the given number of slots,
// or 0 if it announces none.
func New(slots fleet.Slots) *Limit {
	l := &Limit{slots: float64(slots)}
	l.reset()
	return l
}

// NewWarm returns a limit for a target that needs no warm-up.
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
	l.knee.minLimit = l.minKnee()
}

// minKnee returns the lower bound of the knee.
func (l *Limit) minKnee() int { return int(kneeMinFraction * l.slots) }

// ResetCold discards what was learned and begins a new warm-up, for a target that was
// restarted.
func (l *Limit) ResetCold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reset()
}

func (l *Limit) reset() {
	l.state = state{value: max(initialLimit, l.slots/initialDivisor), warming: true, knee: knee{minLimit: l.minKnee()}}
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
	return l.failureRatio >= failingRatio
}

// Observe records the answer to a request that took the given time while the
// given number of requests ran, itself included.
func (l *Limit) Observe(took time.Duration, running int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok {
		l.failureRatio += (1 - l.failureRatio) * failureWeight
		return
	}
	l.failureRatio -= l.failureRatio * failureWeight
	l.peak = max(l.peak, running)
	l.sum += math.Log(max(took.Seconds(), 1e-6))
	l.samples++
	window := max(minWindow, int(l.value))
	if l.warming {
		window = max(warmupWindow, int(l.value))
	}
	if l.samples >= window {
		l.closeWindow()
	}
}

func (l *Limit) current() int {
	if l.failureRatio >= failingRatio {
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

// AllowTrial reports whether a request may start beyond the knee now, to check whether
// the knee is still there. Trials are at least trialInterval apart, and the first call
// only starts the interval. The caller asks when all slots up to the knee are taken.
func (l *Limit) AllowTrial(running int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	within := l.knee.limit(int(l.value))
	if running != within || within >= int(l.value) || now.Before(l.knee.trialAt) {
		return false
	}
	first := l.knee.trialAt.IsZero()
	l.knee.trialAt = now.Add(trialInterval)
	return !first
}

// closeWindow adjusts the limit according to the samples of the current window and
// begins the next one.
func (l *Limit) closeWindow() {
	short := l.sum / float64(l.samples)
	saturated := l.peak >= l.current()
	l.sum, l.samples, l.peak = 0, 0, 0
	if l.longTerm == 0 {
		l.longTerm = short
	}
	ratio := tolerance * math.Exp(l.longTerm-short)
	l.updateLongTerm(short)
	switch {
	case ratio < 1:
		l.warming = false
		l.value *= max(0.5, ratio)
	case saturated && l.warming:
		l.value *= 2
	case saturated:
		l.value += math.Sqrt(l.value)
	}
	l.value = min(max(l.value, l.lowerBound()), l.upperBound())
}

// updateLongTerm updates the long-term service time. The first windows have equal
// weights, since those of the warm-up are short and noisy.
func (l *Limit) updateLongTerm(short float64) {
	l.windows++
	weight := riseWeight
	if short < l.longTerm {
		weight = fallWeight
	}
	l.longTerm += (short - l.longTerm) * max(weight, 1/float64(l.windows+1))
}

// lowerBound returns the lower bound of the limit. A warm target keeps the slots that
// it announces: if a noisy neighbour slows it down, a lower concurrency would only
// reduce its throughput.
func (l *Limit) lowerBound() float64 {
	if l.warming {
		return initialLimit
	}
	return max(1, l.slots)
}

func (l *Limit) upperBound() float64 {
	if l.slots > 0 {
		return l.slots
	}
	return maxUnannounced
}

// ResetWarm discards what was learned and sets the limit to the announced slots.
func (l *Limit) ResetWarm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state{value: max(1, l.slots), knee: knee{minLimit: l.minKnee()}}
}
