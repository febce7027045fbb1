package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pollenscale/core/admit"
	"pollenscale/core/fleet"
	"pollenscale/core/limit"
	"pollenscale/core/policy"
)

const (
	// slots is that of a Puente target. meanService is assumed for a page that
	// reads a few rows.
	slots       = 9
	meanService = 20 * time.Millisecond
	// sigma of the log-normal service times: p99 is 6.2 times the mean.

	// zoneDelay and regionDelay are one-way delays within a zone and between
	// the zones of a region (section 1 of the design page).
	zoneDelay   = 50 * time.Microsecond
	regionDelay = 500 * time.Microsecond
	farDelay    = 8 * time.Millisecond

	// A neighbour slows a target down to half its speed for 5 to 500 ms
	// (log-uniform, mean 107 ms), with gaps of 900 ms on average.
	neighbourShortest = 5 * time.Millisecond
	neighbourLongest  = 500 * time.Millisecond
	neighbourGap      = 900 * time.Millisecond

	// failureTime is how fast a failing target fails.
	failureTime = time.Millisecond

	sampleEvery = 10 * time.Millisecond
	staleness   = 100 * time.Millisecond
)

// The service times are log-normal. With heavyTail p99 is 6.2 times the mean,
// with lightTail 2.8 times.
const (
	heavyTail = 1.0
	lightTail = 0.5
)

// work draws a service time at full speed.
func work(r *rand.Rand, mean time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(mean) * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2))
}

// exponential draws an exponentially distributed time.
func exponential(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(mean))
}

// slowdown is a period in which a target runs at half speed.
type slowdown struct{ from, to time.Duration }

// neighbour draws the slow periods of one target.
func neighbour(r *rand.Rand, length time.Duration) []slowdown {
	var periods []slowdown
	ratio := math.Log(float64(neighbourLongest) / float64(neighbourShortest))
	for at := exponential(r, neighbourGap); at < length; at += exponential(r, neighbourGap) {
		d := time.Duration(float64(neighbourShortest) * math.Exp(r.Float64()*ratio))
		periods = append(periods, slowdown{at, at + d})
		at += d
	}
	return periods
}

// target is a fake of a target with the real queue of its daemon in front.
type target struct {
	loop    *loop
	id      fleet.DaemonID
	place   fleet.Place
	queue   *admit.Queue
	limit   *limit.Limit
	slow    []slowdown
	tenth   []slowdown // periods at a tenth of the speed
	work    func(time.Duration) time.Duration
	first   int // slow periods before this index are over
	reports []fleet.Load
	slots   int
	served  uint64
	// failsFrom is the time from which each request fails at once, 0 for never.
	failsFrom time.Duration
	blind     bool // the daemon takes failures for answers
	history   history
}

// history holds recent latencies with the requests in flight at their arrival,
// from which pooled probing estimates the latency at the current load.
type history struct {
	ring [64]struct {
		inFlight int
		took     time.Duration
	}
	count int
}

func (h *history) add(inFlight int, took time.Duration) {
	e := &h.ring[h.count%len(h.ring)]
	e.inFlight, e.took = inFlight, took
	h.count++
}

// median returns the median latency of the requests that arrived at a similar load.
func (h *history) median(inFlight int) time.Duration {
	known := h.ring[:min(h.count, len(h.ring))]
	var near sample
	for width := 1; len(near) < min(8, len(known)); width *= 2 {
		near = near[:0]
		for _, e := range known {
			if max(e.inFlight-inFlight, inFlight-e.inFlight) <= width {
				near = append(near, e.took)
			}
		}
	}
	if len(near) == 0 {
		return 0
	}
	slices.Sort(near)
	return near[len(near)/2]
}

func newTarget(l *loop, i int, place fleet.Place, service *policy.Service, n int) *target {
	t := &target{
		loop: l, id: fleet.DaemonID(fmt.Sprint("target-", i)), place: place,
		limit: limit.NewWarm(fleet.Slots(n)), slots: n,
	}
	t.queue = admit.New(service, t.limit)
	t.queue.Now = l.clock
	return t
}

// record returns the target's member record.
func (t *target) record() fleet.Target {
	return fleet.Target{Daemon: t.id, Place: t.place, Service: service, State: fleet.Serving, Slots: fleet.Slots(t.slots)}
}

// load returns the exact load of the target.
func (t *target) load() fleet.Load {
	l := t.queue.Load(t.loop.now)
	l.Daemon = t.id
	l.State = fleet.Serving
	return l
}

// sample records load reports for the stale views of callers.
func (t *target) sample() {
	t.loop.every(sampleEvery, func() { t.reports = append(t.reports, t.load()) })
}

// stale returns the latest report that is at least the given time old.
func (t *target) stale(age time.Duration) (fleet.Load, bool) {
	i := int((t.loop.elapsed()-age)/sampleEvery) - 1
	if i < 0 || i >= len(t.reports) {
		return fleet.Load{}, false
	}
	return t.reports[i], true
}

// slowed reports whether the target runs at half speed now.
func (t *target) slowed() bool {
	now := t.loop.elapsed()
	t.forget(now)
	return t.first < len(t.slow) && t.slow[t.first].from <= now
}

func (t *target) forget(now time.Duration) {
	for t.first < len(t.slow) && t.slow[t.first].to <= now {
		t.first++
	}
}

// duration returns how long work that starts now takes.
func (t *target) duration(w time.Duration) time.Duration {
	if t.work != nil {
		w = t.work(w)
	}
	if len(t.tenth) > 0 {
		return t.stretch(w, t.tenth, 10)
	}
	t.forget(t.loop.elapsed())
	return t.stretch(w, t.slow[t.first:], 2)
}

// stretch returns how long work that starts now takes when it runs slower by a
// factor in the given periods.
func (t *target) stretch(w time.Duration, slow []slowdown, factor time.Duration) time.Duration {
	start := t.loop.elapsed()
	at := start
	for _, s := range slow {
		if at >= s.to {
			continue
		}
		if at < s.from {
			if w <= s.from-at {
				break
			}
			w -= s.from - at
			at = s.from
		}
		if w <= (s.to-at)/factor {
			return at + factor*w - start
		}
		w -= (s.to - at) / factor
		at = s.to
	}
	return at + w - start
}

// run runs a call in a granted slot and calls done when it is complete.
func (t *target) run(ticket *admit.Ticket, c *call, done func()) {
	c.started = t.loop.now
	c.field.began(c, t)
	if t.failsFrom > 0 && t.loop.elapsed() >= t.failsFrom {
		t.loop.after(failureTime, func() {
			c.failed = true
			if t.blind {
				ticket.Release()
			} else {
				ticket.Fail()
			}
			done()
		})
		return
	}
	t.loop.after(t.duration(c.work), func() {
		t.served++
		ticket.Release()
		done()
	})
}
