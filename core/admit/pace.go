package admit

import (
	"math"
	"slices"
	"time"
)

const (
	// paceWeight is the weight of one request in the moving average of the pace.
	paceWeight = 1.0 / 8
	// paceThreshold is the pace below which the target counts as running at its usual
	// speed, since service times vary by about a third.
	paceThreshold = 1.3
	// maxPace bounds the pace, so that a target whose requests hang soon gets
	// requests again.
	maxPace = 10
	// paceHalfLife is the half-life of the pace, on the logarithmic scale, while no
	// request ends. The decay lets a slow target get requests again that show its
	// current speed.
	paceHalfLife = time.Second
	// minRunningForAges is the number of running requests from which the pace is
	// also estimated from their ages, which shows a slow target before the first
	// slow answer. Estimates up to agePaceThreshold are ignored.
	minRunningForAges = 3
	agePaceThreshold  = 2
	// maxAgeSamples bounds the number of running requests in that estimate.
	maxAgeSamples = 32
)

// pace estimates the ratio of the actual to the expected service time, to detect
// targets that become slow for seconds. It is 1 at the usual speed.
type pace struct {
	logRatio   float64   // moving average of the logarithm of the ratio
	answeredAt time.Time // when the last request that changed logRatio ended
	running    []run     // in the order of their start
}

// run is a running request whose expected service time is known.
type run struct {
	startedAt time.Time
	work      time.Duration
}

func (p *pace) start(now time.Time, work time.Duration) {
	if work > 0 {
		p.running = append(p.running, run{now, work})
	}
}

// end records the end of a request. A failure counts only if it took at least the
// expected service time.
func (p *pace) end(startedAt, now time.Time, work time.Duration, ok bool) {
	if work <= 0 {
		return
	}
	if i := slices.Index(p.running, run{startedAt, work}); i >= 0 {
		p.running = slices.Delete(p.running, i, i+1)
	}
	ratio := now.Sub(startedAt).Seconds() / work.Seconds()
	if !ok && ratio < 1 {
		return
	}
	value := math.Log(min(max(ratio, 1/paceThreshold), maxPace))
	p.logRatio = p.decayed(now)
	p.logRatio += (value - p.logRatio) * paceWeight
	p.answeredAt = now
}

// decayed returns logRatio after the decay since the last request ended.
func (p *pace) decayed(now time.Time) float64 {
	if p.logRatio <= 0 {
		return p.logRatio
	}
	return p.logRatio * math.Exp2(-float64(now.Sub(p.answeredAt))/float64(paceHalfLife))
}

// value returns the current pace.
func (p *pace) value(now time.Time) float64 {
	v := math.Exp(p.decayed(now))
	if old := p.fromAges(now); old > agePaceThreshold {
		v = max(v, old)
	}
	if v < paceThreshold {
		return 1
	}
	return min(v, maxPace)
}

// fromAges estimates the pace from the ages of the running requests: at the usual
// speed, half of them have run for less than half of their expected service time. It
// returns 0 if there are too few. The median is robust against single requests that
// were slowed down by a noisy neighbour.
func (p *pace) fromAges(now time.Time) float64 {
	n := min(len(p.running), maxAgeSamples)
	if n < minRunningForAges {
		return 0
	}
	var ratios [maxAgeSamples]float64
	for i, r := range p.running[:n] {
		ratios[i] = float64(now.Sub(r.startedAt)) / float64(r.work)
	}
	slices.Sort(ratios[:n])
	return 2 * ratios[(n-1)/2]
}
