package limit

import (
	"math"
	"time"
)

const (
	// kneeWeight is the weight of one request in the moving average of its level.
	kneeWeight = 1.0 / 8
	// kneeMinSamples is the number of samples from which a level is considered.
	kneeMinSamples = 8
	// kneeThreshold is the service time, relative to that at low concurrency, above
	// which a level is beyond the knee.
	kneeThreshold = 1.3
	// trialInterval is the time between trials, requests that start beyond the knee to
	// check whether it is still there.
	trialInterval = time.Second
	// trialTolerance is the relative service time up to which a trial succeeds, and
	// trialsToLift the number of successes in a row that lifts the limit.
	trialTolerance = 1.15
	trialsToLift   = 2
	// kneeMinFraction is the lower bound of the knee as a fraction of the announced
	// slots. Targets slow down when they are nearly full; a rise at lower concurrency
	// has another cause, such as slow calls of the target to other services.
	kneeMinFraction = 2.0 / 3
	// kneeMaxRatio bounds the relative service time of one sample, so that a few
	// requests during a short slowdown do not distort the average of their level.
	kneeMaxRatio = 2.5
)

// knee learns the concurrency beyond which requests that start take longer. A request
// keeps the speed at which it starts, so that with all slots taken every request would
// run at the slower speed: a target with 9 slots of which the last two run at 1/1.7 of
// the speed completes 7 requests in the time in which it completes 5.3 with all 9 slots
// in use.
type knee struct {
	minLimit       int // lower bound of the knee
	levels         []level
	trialAt        time.Time // when the next request may start beyond the knee
	trialSuccesses int       // successful trials in a row
}

// level holds the samples of requests that started as the n-th to run.
type level struct {
	samples      int
	meanLogRatio float64 // moving average of the logarithm of actual over expected service time
}

// observe records a request that started as the n-th to run.
func (k *knee) observe(n int, took, expected time.Duration) {
	if n < 1 || n > maxUnannounced || expected <= 0 || took <= 0 {
		return
	}
	for len(k.levels) <= n {
		k.levels = append(k.levels, level{})
	}
	ratio := math.Log(min(took.Seconds()/expected.Seconds(), kneeMaxRatio))
	if k.limit(n) < n && k.observeTrial(n, ratio) {
		return
	}
	l := &k.levels[n]
	l.samples++
	l.meanLogRatio += (ratio - l.meanLogRatio) * max(kneeWeight, 1/float64(l.samples))
}

// observeTrial records a request that started beyond the knee. After trialsToLift
// successes in a row it discards the samples of all levels beyond the knee and returns
// true.
func (k *knee) observeTrial(n int, ratio float64) bool {
	base, known := k.baseline(n)
	if !known || ratio > base+math.Log(trialTolerance) {
		k.trialSuccesses = 0
		return false
	}
	if k.trialSuccesses++; k.trialSuccesses < trialsToLift {
		return false
	}
	k.trialSuccesses = 0
	clear(k.levels[k.limit(n)+1:])
	return true
}

// baseline returns the mean of the lower half of the levels up to n, if there are
// enough samples.
func (k *knee) baseline(n int) (mean float64, known bool) {
	samples, sum := 0, 0.0
	for i := 1; i <= n/2; i++ {
		weight := min(k.levels[i].samples, kneeMinSamples)
		samples += weight
		sum += float64(weight) * k.levels[i].meanLogRatio
	}
	if samples < kneeMinSamples {
		return 0, false
	}
	return sum / float64(samples), true
}

// limit returns the highest concurrency at which requests are not slowed down, at
// least k.minLimit, or most if no knee is known below that.
func (k *knee) limit(most int) int {
	for n := max(2, k.minLimit+1); n < len(k.levels) && n <= most; n++ {
		if k.levels[n].samples < kneeMinSamples {
			continue
		}
		if base, known := k.baseline(n); known && k.levels[n].meanLogRatio > base+math.Log(kneeThreshold) {
			return n - 1
		}
	}
	return most
}
