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

	changeAt = 5 * time.Second // a target restarts or begins to fail
	// A cold target needs up to 5 times as long for a request; the excess fades
	// with the requests that it has served.
	coldExcess = 4.0
	coldFade   = 150.0
	coldWindow = 5 * time.Second
)

// coldModel says how the excess of a cold target depends on its occupancy.
type coldModel struct {
	name   string
	excess func(occupancy float64) float64
}

func coldModels() []coldModel {
	return []coldModel{
		{"cold start, each request is slow", func(float64) float64 { return 1 }},
		{"cold start, requests contend", func(o float64) float64 { return o * o }},
	}
}

// measureCold restarts one of six targets and measures the requests that follow.
func measureCold(m coldModel, name string, warmUp bool, seed uint64) []Result {
	f := newField(seed, 10*choiceTargets)
	f.warmUp = changeAt
	t := f.targets[0]
	f.loop.after(changeAt, func() {
		served := t.served
		t.work = func(w time.Duration) time.Duration {
			excess := coldExcess * math.Exp(-float64(t.served-served)/coldFade)
			excess *= m.excess(float64(t.queue.Load(f.loop.now).Running) / slots)
			return time.Duration(float64(w) * (1 + excess))
		}
		if warmUp {
			t.limit.ResetCold()
		}
	})
	f.arrivals(seed, choiceRate(), changeAt+coldWindow, pollenscale()(f))
	f.loop.run(changeAt + coldWindow + 10*time.Second)
	r := results{name: m.name, policy: name, seed: seed}
	r.latencies(f.latencies)
	return r.list
}

// measureFailFast lets one of six targets fail each request after 1 ms.
func measureFailFast(b balancer, seed uint64) []Result {
	f := newField(seed, 10*choiceTargets)
	f.warmUp = changeAt
	f.targets[0].failsFrom = changeAt
	f.targets[0].blind = b.name != own
	f.arrivals(seed, choiceRate(), changeAt+coldWindow, b.make(f))
	f.loop.run(changeAt + coldWindow + 10*time.Second)
	r := results{name: failCase, policy: b.name, seed: seed}
	r.add("Failed", 100*float64(f.failures)/float64(f.failures+len(f.latencies)), "%")
	r.latencies(f.latencies)
	return r.list
}

// The limit case offers more than its capacity to a target that announces no
// slots. Inside, the target runs as many requests as it has slots and queues the
// others without regard to worth.
const (
	limitLength = 20 * time.Second
	limitFrom   = 5 * time.Second
	// limitOfferedTenths is the offered load in tenths of the capacity.
	limitOfferedTenths = 12
	limitTimeout       = time.Second
)

// limiter is a way to bound concurrency.
type limiter struct {
	name string
	make func() *limit.Limit
}

func limits() []limiter {
	fixed := func(n fleet.Slots) func() *limit.Limit {
		return func() *limit.Limit { return limit.NewWarm(n) }
	}
	return []limiter{
		{trueLimit, fixed(slots)},
		{"fixed at 4", fixed(4)},
		{"fixed at 64", fixed(64)},
		{own, func() *limit.Limit { return limit.New(0) }},
	}
}

// inner is the part of a target behind its daemon: slots and a queue.
type inner struct {
	target  *target
	free    int
	waiting []func()
}

func (n *inner) run(w time.Duration, done func()) {
	start := func() {
		n.free--
		n.target.loop.after(n.target.duration(w), func() {
			n.free++
			if len(n.waiting) > 0 {
				next := n.waiting[0]
				n.waiting = n.waiting[1:]
				next()
			}
			done()
		})
	}
	if n.free > 0 {
		start()
		return
	}
	n.waiting = append(n.waiting, start)
}

func measureLimit(p limiter, seed uint64) []Result {
	l := newLoop()
	t := newTarget(l, 0, fleet.Place{}, &policy.Service{}, slots)
	t.slow = neighbour(rand.New(rand.NewPCG(seed, 2)), limitLength)
	t.limit = p.make()
	t.queue = admit.New(&policy.Service{}, t.limit)
	t.queue.Now = l.clock
	in := &inner{target: t, free: slots}
	arrive := rand.New(rand.NewPCG(seed, 40))
	var inside sample
	done, values := 0, 0.0
	var next func()
	next = func() {
		w := work(arrive, meanService, heavyTail)
		var ticket *admit.Ticket
		submit(t, admit.Request{Deadline: l.now.Add(limitTimeout)}, &ticket, func(err *outcome.Error) {
			if err != nil {
				return
			}
			granted := l.now
			in.run(w, func() {
				ticket.Release()
				if l.elapsed() >= limitFrom {
					done++
					inside = append(inside, l.now.Sub(granted))
				}
			})
		})
		l.after(exponential(arrive, meanService*10/(limitOfferedTenths*slots)), next)
	}
	l.after(0, next)
	l.after(limitFrom, func() { l.every(sampleEvery, func() { values += float64(t.limit.Value()) }) })
	l.run(limitLength)
	length := limitLength - limitFrom
	r := results{name: limitCase, policy: p.name, seed: seed}
	r.add("Limit", values/float64(length/sampleEvery), "requests")
	r.add("Throughput", float64(done)/length.Seconds(), "per s")
	r.add("Inside P50", inside.quantile(0.5), "ms")
	r.add("Inside P99", inside.quantile(0.99), "ms")
	return r.list
}
