package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"pollenscale/core/admit"
	"pollenscale/core/fleet"
	"pollenscale/core/limit"
	"pollenscale/core/outcome"
	"pollenscale/core/policy"
)

const (
	failCase  = "one of six fails fast"
	limitCase = "limit of a target that announces no slots"
	trueLimit = "fixed at the true 9"

	// changeAt is when a target restarts or begins to fail.
	changeAt = 5 * time.Second
	// A cold target takes up to 5 times as long for a request. The extra time
	// decays exponentially with the number of requests served.
	coldExtraTime     = 4.0
	coldDecayRequests = 150.0
	coldWindow        = 5 * time.Second
)

// coldModel defines how the extra time of a cold target depends on the fraction
// of its slots in use.
type coldModel struct {
	name      string
	extraTime func(occupancy float64) float64
}

func coldModels() []coldModel {
	return []coldModel{
		{"cold start, each request is slow", func(float64) float64 { return 1 }},
		{"cold start, requests contend", func(o float64) float64 { return o * o }},
	}
}

// measureCold measures the requests that follow the restart of one of six targets.
func measureCold(m coldModel, name string, warmUp bool, seed uint64) []Result {
	cl := newCluster(seed, 10*choiceTargets)
	cl.warmUp = changeAt
	t := cl.targets[0]
	cl.loop.after(changeAt, func() {
		served := t.served
		t.adjustWork = func(w time.Duration) time.Duration {
			extra := coldExtraTime * math.Exp(-float64(t.served-served)/coldDecayRequests)
			extra *= m.extraTime(float64(t.queue.Load(cl.loop.now).Running) / slots)
			return time.Duration(float64(w) * (1 + extra))
		}
		if warmUp {
			t.limit.ResetCold()
		}
	})
	cl.scheduleArrivals(seed, choiceRate(), changeAt+coldWindow, chooserPolicy()(cl))
	cl.loop.run(changeAt + coldWindow + 10*time.Second)
	r := results{caseName: m.name, policy: name, seed: seed}
	r.addLatencies(cl.latencies)
	return r.list
}

// measureFailFast measures requests while one of six targets fails each of its
// requests after 1 ms.
func measureFailFast(b balancer, seed uint64) []Result {
	cl := newCluster(seed, 10*choiceTargets)
	cl.warmUp = changeAt
	cl.targets[0].failFrom = changeAt
	cl.targets[0].ignoresFailures = b.name != ownPolicy
	cl.scheduleArrivals(seed, choiceRate(), changeAt+coldWindow, b.make(cl))
	cl.loop.run(changeAt + coldWindow + 10*time.Second)
	r := results{caseName: failCase, policy: b.name, seed: seed}
	r.add("Failed", 100*float64(cl.failures)/float64(cl.failures+len(cl.latencies)), "%")
	r.addLatencies(cl.latencies)
	return r.list
}

// The limit case overloads a target that announces no slots. The application
// behind the daemon runs as many requests as it has slots and queues the others
// in arrival order, without regard to the worth of their rank.
const (
	limitLength = 20 * time.Second
	limitFrom   = 5 * time.Second
	// limitOfferedTenths is the offered load in tenths of the capacity.
	limitOfferedTenths = 12
	limitTimeout       = time.Second
)

// limiter creates a concurrency limit.
type limiter struct {
	name string
	make func() *limit.Limit
}

func limiters() []limiter {
	fixed := func(n fleet.Slots) func() *limit.Limit {
		return func() *limit.Limit { return limit.NewWarm(n) }
	}
	return []limiter{
		{trueLimit, fixed(slots)},
		{"fixed at 4", fixed(4)},
		{"fixed at 64", fixed(64)},
		{ownPolicy, func() *limit.Limit { return limit.New(0) }},
	}
}

// applicationModel models the application behind a target's daemon: slots and a
// FIFO queue.
type applicationModel struct {
	target  *target
	free    int
	waiting []func()
}

func (a *applicationModel) run(w time.Duration, done func()) {
	start := func() {
		a.free--
		a.target.loop.after(a.target.runTime(w), func() {
			a.free++
			if len(a.waiting) > 0 {
				next := a.waiting[0]
				a.waiting = a.waiting[1:]
				next()
			}
			done()
		})
	}
	if a.free > 0 {
		start()
		return
	}
	a.waiting = append(a.waiting, start)
}

func measureLimit(p limiter, seed uint64) []Result {
	l := newLoop()
	t := newTarget(l, 0, fleet.Place{}, &policy.Service{}, slots)
	t.slowPeriods = drawSlowPeriods(rand.New(rand.NewPCG(seed, 2)), limitLength)
	t.limit = p.make()
	t.queue = admit.New(&policy.Service{}, t.limit)
	t.queue.Now = l.clock
	application := &applicationModel{target: t, free: slots}
	arrive := rand.New(rand.NewPCG(seed, 40))
	var inside sample
	done, values := 0, 0.0
	var next func()
	next = func() {
		w := drawServiceTime(arrive, meanService, heavyTail)
		var ticket *admit.Ticket
		submit(t, admit.Request{Deadline: l.now.Add(limitTimeout)}, &ticket, func(err *outcome.Error) {
			if err != nil {
				return
			}
			granted := l.now
			application.run(w, func() {
				ticket.Release()
				if l.elapsed() >= limitFrom {
					done++
					inside = append(inside, l.now.Sub(granted))
				}
			})
		})
		l.after(drawExponential(arrive, meanService*10/(limitOfferedTenths*slots)), next)
	}
	l.after(0, next)
	l.after(limitFrom, func() { l.every(reportInterval, func() { values += float64(t.limit.Value()) }) })
	l.run(limitLength)
	length := limitLength - limitFrom
	r := results{caseName: limitCase, policy: p.name, seed: seed}
	r.add("Limit", values/float64(length/reportInterval), "requests")
	r.add("Throughput", float64(done)/length.Seconds(), "per s")
	r.add("Inside P50", inside.quantile(0.5), "ms")
	r.add("Inside P99", inside.quantile(0.99), "ms")
	return r.list
}
