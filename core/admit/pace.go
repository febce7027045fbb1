package admit

import (
	"math"
	"slices"
	"time"
)

const (
	// paceWeight is the weight of one request in the smoothed pace.
	paceWeight = 1.0 / 8
	// paceLeast is the pace below which requests take as long as expected: their
	// times differ by a third or so.
	paceLeast = 1.3
	// paceMost bounds the pace, so that a target whose requests hang is asked
	// again soon.
	paceMost = 10
	// paceHalf is the time without an answer in which the excess of the pace
	// halves, so that a slow target gets requests again that show its speed.
	paceHalf = time.Second
	// paceRunning is the number of running requests from which their ages say how
	// slow the target is, before the first of them is answered, and paceOld the
	// pace from which they do.
	paceRunning = 3
	paceOld     = 2
	// paceLooked bounds the running requests that are looked at.
	paceLooked = 32
)

// pace follows how long requests take relative to what is expected of them, for
// targets that turn slow for seconds. It is 1 at the usual speed.
type pace struct {
	mean       float64   // smoothed logarithm of the ratio
	answeredAt time.Time // when the last request ended
	running    []run
}

// run is a running request with an expected time.
type run struct {
	startedAt time.Time
	work      time.Duration
}

func (p *pace) start(now time.Time, work time.Duration) {
	if work > 0 {
		p.running = append(p.running, run{now, work})
	}
}

// end records the end of a request. Failures count when they took longer than an
// answer should.
func (p *pace) end(startedAt, now time.Time, work time.Duration, counts bool) {
	if work <= 0 {
		return
	}
	if i := slices.Index(p.running, run{startedAt, work}); i >= 0 {
		p.running = slices.Delete(p.running, i, i+1)
	}
	ratio := now.Sub(startedAt).Seconds() / work.Seconds()
	if !counts && ratio < 1 {
		return
	}
	value := math.Log(min(max(ratio, 1/paceLeast), paceMost))
	p.mean = p.decayed(now)
	p.mean += (value - p.mean) * paceWeight
	p.answeredAt = now
}

func (p *pace) decayed(now time.Time) float64 {
	if p.mean <= 0 {
		return p.mean
	}
	return p.mean * math.Exp2(-float64(now.Sub(p.answeredAt))/float64(paceHalf))
}

// value returns the pace at the moment.
func (p *pace) value(now time.Time) float64 {
	v := math.Exp(p.decayed(now))
	if old := p.ages(now); old > paceOld {
		v = max(v, old)
	}
	if v < paceLeast {
		return 1
	}
	return min(v, paceMost)
}

// ages returns the pace that the ages of the running requests show, 0 if there
// are few: at the usual speed, half of them have run for less than half of their
// time. The median leaves out single requests that met a busy neighbour.
func (p *pace) ages(now time.Time) float64 {
	n := min(len(p.running), paceLooked)
	if n < paceRunning {
		return 0
	}
	var ratios [paceLooked]float64
	for i, r := range p.running[:n] {
		ratios[i] = float64(now.Sub(r.startedAt)) / float64(r.work)
	}
	slices.Sort(ratios[:n])
	return 2 * ratios[(n-1)/2]
}
