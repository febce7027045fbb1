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
	// slots is the slot count of a Puente target. meanService is an assumed value
	// for a page that reads a few rows.
	slots       = 9
	meanService = 20 * time.Millisecond

	// One-way network delays within an availability zone, between the zones of a
	// region (both from section 1 of the design document) and between regions.
	sameZoneDelay    = 50 * time.Microsecond
	crossZoneDelay   = 500 * time.Microsecond
	crossRegionDelay = 8 * time.Millisecond

	// A noisy neighbour halves the speed of a target for 5 to 500 ms (log-uniform,
	// mean 107 ms), with gaps of 900 ms on average.
	neighbourShortest = 5 * time.Millisecond
	neighbourLongest  = 500 * time.Millisecond
	neighbourGap      = 900 * time.Millisecond

	// failureLatency is the time that a failing target takes for each request.
	failureLatency = time.Millisecond

	reportInterval   = 10 * time.Millisecond
	defaultReportAge = 100 * time.Millisecond
)

// Values of sigma of the log-normal service times. p99 is 6.2 times the mean with
// heavyTail and 2.8 times with lightTail.
const (
	heavyTail = 1.0
	lightTail = 0.5
)

// drawServiceTime draws a log-normal service time for a target at full speed.
func drawServiceTime(r *rand.Rand, mean time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(mean) * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2))
}

// drawExponential draws an exponentially distributed duration.
func drawExponential(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(mean))
}

// slowPeriod is a period in which a target runs at reduced speed.
type slowPeriod struct{ from, to time.Duration }

// drawSlowPeriods draws the periods in which a noisy neighbour slows a target
// down.
func drawSlowPeriods(r *rand.Rand, length time.Duration) []slowPeriod {
	var periods []slowPeriod
	ratio := math.Log(float64(neighbourLongest) / float64(neighbourShortest))
	for at := drawExponential(r, neighbourGap); at < length; at += drawExponential(r, neighbourGap) {
		d := time.Duration(float64(neighbourShortest) * math.Exp(r.Float64()*ratio))
		periods = append(periods, slowPeriod{at, at + d})
		at += d
	}
	return periods
}

// target simulates a target behind the real admission queue of its daemon.
type target struct {
	loop        *loop
	id          fleet.DaemonID
	place       fleet.Place
	queue       *admit.Queue
	limit       *limit.Limit
	slowPeriods []slowPeriod
	stalls      []slowPeriod // periods at a tenth of the speed; they replace slowPeriods
	adjustWork  func(time.Duration) time.Duration
	nextSlow    int // index of the first slow period that is not over
	reports     []fleet.Load
	slots       int
	served      uint64
	// failFrom is when the target begins to fail each request; zero means never.
	failFrom        time.Duration
	ignoresFailures bool // the daemon counts failures as answers
	latencyHistory  loadHistory
}

// loadHistory records recent latencies with the number of requests in flight at
// arrival. Pooled probing estimates the latency at the current load from it.
type loadHistory struct {
	ring [64]struct {
		inFlight int
		took     time.Duration
	}
	count int
}

func (h *loadHistory) add(inFlight int, took time.Duration) {
	e := &h.ring[h.count%len(h.ring)]
	e.inFlight, e.took = inFlight, took
	h.count++
}

// median returns the median latency of requests that arrived at a similar load.
func (h *loadHistory) median(inFlight int) time.Duration {
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

// load returns a load report of the current state.
func (t *target) load() fleet.Load {
	l := t.queue.Load(t.loop.now)
	l.Daemon = t.id
	l.State = fleet.Serving
	return l
}

// recordReports records load reports periodically, from which callers get stale
// ones.
func (t *target) recordReports() {
	t.loop.every(reportInterval, func() { t.reports = append(t.reports, t.load()) })
}

// reportOlderThan returns the latest recorded report of at least the given age.
func (t *target) reportOlderThan(age time.Duration) (fleet.Load, bool) {
	i := int((t.loop.elapsed()-age)/reportInterval) - 1
	if i < 0 || i >= len(t.reports) {
		return fleet.Load{}, false
	}
	return t.reports[i], true
}

// isSlow reports whether a noisy neighbour slows the target down now.
func (t *target) isSlow() bool {
	now := t.loop.elapsed()
	t.skipPastPeriods(now)
	return t.nextSlow < len(t.slowPeriods) && t.slowPeriods[t.nextSlow].from <= now
}

func (t *target) skipPastPeriods(now time.Duration) {
	for t.nextSlow < len(t.slowPeriods) && t.slowPeriods[t.nextSlow].to <= now {
		t.nextSlow++
	}
}

// runTime returns how long work with service time w takes when it starts now.
func (t *target) runTime(w time.Duration) time.Duration {
	if t.adjustWork != nil {
		w = t.adjustWork(w)
	}
	if len(t.stalls) > 0 {
		return t.stretch(w, t.stalls, 10)
	}
	t.skipPastPeriods(t.loop.elapsed())
	return t.stretch(w, t.slowPeriods[t.nextSlow:], 2)
}

// stretch returns how long work that starts now takes when it is slowed down by
// the given factor during the given periods.
func (t *target) stretch(w time.Duration, slow []slowPeriod, factor time.Duration) time.Duration {
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

// run executes a call that holds a slot and calls done on completion.
func (t *target) run(ticket *admit.Ticket, c *call, done func()) {
	c.started = t.loop.now
	c.cluster.recordStart(c, t)
	if t.failFrom > 0 && t.loop.elapsed() >= t.failFrom {
		t.loop.after(failureLatency, func() {
			c.failed = true
			if t.ignoresFailures {
				ticket.Release()
			} else {
				ticket.Fail()
			}
			done()
		})
		return
	}
	t.loop.after(t.runTime(c.work), func() {
		t.served++
		ticket.Release()
		done()
	})
}
