package measure

import (
	"math"
	"slices"
	"time"

	"pollenscale/core/admit"
	"pollenscale/core/outcome"
)

const (
	referencePolicy = "central queue"
	ownPolicy       = "pollenscale"
)

// balancers returns the compared policies for the choice of a target.
func balancers() []balancer {
	return []balancer{
		{referencePolicy, centralQueue(true)},
		{"central queue, speeds unknown", centralQueue(false)},
		{"random", pickOnce(func(cl *cluster, _ []callerState) func(*call) int {
			return func(*call) int { return cl.random.IntN(len(cl.targets)) }
		})},
		{"round robin", pickOnce(roundRobin)},
		{"own in flight", pickOnce(leastInFlight)},
		{"power of two", pickOnce(powerOfTwo)},
		{"latency EWMA", pickOnce(latencyEWMA)},
		{"pooled probing", pooledProbing},
		{"late binding", lateBinding},
		{ownPolicy, chooserPolicy()},
	}
}

// callerState is the state of a simple policy at one caller.
type callerState struct {
	nextTarget int
	inFlight   []int
	ewma       []float64 // seconds
}

// pickOnce makes a policy that picks a target once and queues the call there.
func pickOnce(policy func(*cluster, []callerState) func(*call) int) func(*cluster) func(*call) {
	return func(cl *cluster) func(*call) {
		callers := make([]callerState, cl.nCallers)
		for i := range callers {
			callers[i] = callerState{
				nextTarget: cl.random.IntN(len(cl.targets)),
				inFlight:   make([]int, len(cl.targets)),
				ewma:       make([]float64, len(cl.targets)),
			}
		}
		pick := policy(cl, callers)
		return func(c *call) {
			i := pick(c)
			k := &callers[c.caller]
			k.inFlight[i]++
			c.queueAt(cl.targets[i], func() {
				k.inFlight[i]--
				k.observe(i, cl.loop.now.Sub(c.arrived))
			})
		}
	}
}

// observe updates the latency average of a target as published for peak EWMA: a
// higher latency replaces it, a lower one moves it by a tenth.
func (k *callerState) observe(i int, took time.Duration) {
	if s := took.Seconds(); s > k.ewma[i] {
		k.ewma[i] = s
	} else {
		k.ewma[i] += (s - k.ewma[i]) / 10
	}
}

func roundRobin(cl *cluster, callers []callerState) func(*call) int {
	return func(c *call) int {
		k := &callers[c.caller]
		k.nextTarget = (k.nextTarget + 1) % len(cl.targets)
		return k.nextTarget
	}
}

// leastCost returns the candidate with the lowest cost and breaks ties at random.
func (cl *cluster) leastCost(candidates []int, cost func(int) float64) int {
	best, lowest, equal := -1, math.Inf(1), 0
	for _, i := range candidates {
		v := cost(i)
		switch {
		case best < 0 || v < lowest:
			best, lowest, equal = i, v, 1
		case v <= lowest:
			if equal++; cl.random.IntN(equal) == 0 {
				best = i
			}
		}
	}
	return best
}

func (cl *cluster) allIndexes() []int {
	indexes := make([]int, len(cl.targets))
	for i := range indexes {
		indexes[i] = i
	}
	return indexes
}

// twoAtRandom returns the indexes of two different targets, drawn at random.
func (cl *cluster) twoAtRandom() []int {
	a := cl.random.IntN(len(cl.targets))
	b := cl.random.IntN(len(cl.targets) - 1)
	if b >= a {
		b++
	}
	return []int{a, b}
}

func leastInFlight(cl *cluster, callers []callerState) func(*call) int {
	all := cl.allIndexes()
	return func(c *call) int {
		return cl.leastCost(all, func(i int) float64 { return float64(callers[c.caller].inFlight[i]) })
	}
}

// powerOfTwo picks the less loaded of two random targets by their stale load
// reports.
func powerOfTwo(cl *cluster, _ []callerState) func(*call) int {
	return func(*call) int {
		return cl.leastCost(cl.twoAtRandom(), func(i int) float64 {
			l, _ := cl.targets[i].reportOlderThan(cl.reportAge)
			return float64(l.Running + l.Queued)
		})
	}
}

func latencyEWMA(cl *cluster, callers []callerState) func(*call) int {
	return func(c *call) int {
		k := &callers[c.caller]
		return cl.leastCost(cl.twoAtRandom(), func(i int) float64 { return k.ewma[i] * float64(k.inFlight[i]+1) })
	}
}

// Parameters of pooled probing as published for Prequal: 3 probes per request, a
// pool of 16 replies, one removal per request, the 0.84 quantile of requests in
// flight as the threshold between cold and hot, and expiry after a second. Here
// the pool holds at most as many replies as there are targets, since a larger one
// would only add older replies.
const (
	prequalProbesPerRequest = 3
	prequalPoolSize         = 16
	prequalHotQuantile      = 0.84
	prequalExpiry           = time.Second
)

// probeReply is the reply of a target to a probe.
type probeReply struct {
	target   int
	at       time.Time
	inFlight float64
	latency  time.Duration
	uses     int
}

type probePool struct {
	replies          []probeReply
	recentInFlight   [64]float64 // requests in flight in the most recent replies
	nRecorded        int
	lastRemovedWorst bool // whether the last alternating removal took the worst reply
}

func pooledProbing(cl *cluster) func(*call) {
	if cl.probesPerRequest == 0 {
		cl.probesPerRequest = prequalProbesPerRequest
	}
	pools := make([]probePool, cl.nCallers)
	return func(c *call) {
		p := &pools[c.caller]
		i := p.pick(cl)
		for cl.probesDue += cl.probesPerRequest; cl.probesDue >= 1; cl.probesDue-- {
			cl.probe(c, p)
		}
		c.queueAt(cl.targets[i], func() {})
	}
}

// probe asks a random target for its load and adds the reply to the pool.
func (cl *cluster) probe(c *call, p *probePool) {
	i := cl.random.IntN(len(cl.targets))
	t := cl.targets[i]
	delay := cl.delay(c.place, t.place)
	cl.probesSent++
	cl.loop.after(delay, func() {
		l := t.load()
		latency := t.latencyHistory.median(int(l.Running + l.Queued))
		cl.loop.after(delay, func() {
			if len(p.replies) >= min(prequalPoolSize, len(cl.targets)) {
				p.replies = slices.Delete(p.replies, 0, 1)
			}
			p.recentInFlight[p.nRecorded%len(p.recentInFlight)] = float64(l.Running + l.Queued)
			p.nRecorded++
			p.replies = append(p.replies, probeReply{i, cl.loop.now, float64(l.Running + l.Queued), latency, 0})
		})
	})
}

// pick selects a target from the pool by the hot-cold lexicographic rule.
func (p *probePool) pick(cl *cluster) int {
	p.replies = slices.DeleteFunc(p.replies, func(r probeReply) bool {
		return cl.loop.now.Sub(r.at) > prequalExpiry
	})
	if len(p.replies) < 2 {
		return cl.random.IntN(len(cl.targets))
	}
	threshold := p.hotThreshold()
	best := 0
	for i := range p.replies {
		if p.replies[i].betterThan(&p.replies[best], threshold) {
			best = i
		}
	}
	chosen := p.replies[best].target
	p.replies[best].inFlight++
	p.replies[best].uses++
	p.remove(threshold, best)
	return chosen
}

// hotThreshold returns the number of requests in flight above which a target is
// hot.
func (p *probePool) hotThreshold() float64 {
	values := p.recentInFlight
	known := values[:min(p.nRecorded, len(values))]
	slices.Sort(known)
	return known[min(len(known)-1, int(prequalHotQuantile*float64(len(known))))]
}

// betterThan prefers cold replies to hot ones. It compares cold replies by latency
// and hot ones by requests in flight.
func (r *probeReply) betterThan(o *probeReply, threshold float64) bool {
	hot, otherHot := r.inFlight > threshold, o.inFlight > threshold
	switch {
	case hot != otherHot:
		return !hot
	case hot:
		return r.inFlight < o.inFlight
	}
	return r.latency < o.latency
}

// remove removes the reply just used if it was used twice, otherwise the worst and
// the oldest reply in alternation.
func (p *probePool) remove(threshold float64, used int) {
	if p.replies[used].uses >= 2 {
		p.replies = slices.Delete(p.replies, used, used+1)
		return
	}
	removed := 0
	if p.lastRemovedWorst = !p.lastRemovedWorst; p.lastRemovedWorst {
		for i := range p.replies {
			if p.replies[removed].betterThan(&p.replies[i], threshold) {
				removed = i
			}
		}
	}
	p.replies = slices.Delete(p.replies, removed, removed+1)
}

// lateBinding queues a call at the daemons of three targets. A daemon with a free
// slot offers it to the calling daemon, which accepts the first offer and declines
// the others, so that the request runs once. The slot stays idle while its offer
// is in transit.
func lateBinding(cl *cluster) func(*call) {
	const copies = 3
	return func(c *call) {
		order := cl.random.Perm(len(cl.targets))[:copies]
		tickets := make([]*admit.Ticket, copies)
		bound := false
		for n, i := range order {
			t := cl.targets[i]
			delay := cl.delay(c.place, t.place)
			offer := func(err *outcome.Error) {
				if err != nil {
					return // the queue is full; the other copies stay queued
				}
				cl.loop.after(delay, func() {
					if bound {
						cl.loop.after(delay, tickets[n].ReleaseUnused)
						return
					}
					bound = true
					cl.loop.after(delay, func() { t.run(tickets[n], c, func() { c.finish(delay) }) })
					for m, other := range order {
						if m != n {
							cl.loop.after(cl.delay(c.place, cl.targets[other].place), func() { cancelTicket(tickets[m]) })
						}
					}
				})
			}
			cl.loop.after(delay, func() {
				if bound {
					return
				}
				submit(t, admit.Request{}, &tickets[n], offer)
			})
		}
	}
}

// cancelTicket cancels a copy of a call if it has reached the daemon.
func cancelTicket(t *admit.Ticket) {
	if t != nil {
		t.Cancel()
	}
}

// centralQueue is the reference policy: a single queue for all slots that knows
// their state without delay. With knowSpeeds it prefers targets at full speed.
func centralQueue(knowSpeeds bool) func(*cluster) func(*call) {
	return func(cl *cluster) func(*call) {
		free := make([]int, len(cl.targets))
		for i, t := range cl.targets {
			free[i] = t.slots
		}
		var waiting []*call
		var start func(*call) bool
		start = func(c *call) bool {
			i := cl.bestFreeTarget(c, free, knowSpeeds)
			if i < 0 {
				return false
			}
			free[i]--
			t := cl.targets[i]
			delay := cl.delay(c.place, t.place)
			// A call that has waited is already on its way to the target, so only the
			// rest of the network delay remains.
			remaining := max(0, delay-cl.loop.now.Sub(c.arrived))
			cl.loop.after(remaining, func() {
				c.started = cl.loop.now
				cl.recordStart(c, t)
				cl.loop.after(t.runTime(c.work), func() {
					free[i]++
					c.finish(delay)
					if len(waiting) > 0 && start(waiting[0]) {
						waiting = waiting[1:]
					}
				})
			})
			return true
		}
		return func(c *call) {
			if len(waiting) > 0 || !start(c) {
				waiting = append(waiting, c)
			}
		}
	}
}

// bestFreeTarget returns the index of the best target with a free slot, or -1.
func (cl *cluster) bestFreeTarget(c *call, free []int, knowSpeeds bool) int {
	var candidates []int
	for i := range cl.targets {
		if free[i] > 0 {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return -1
	}
	return cl.leastCost(candidates, func(i int) float64 {
		cost := 2 * cl.delay(c.place, cl.targets[i].place).Seconds()
		if knowSpeeds && cl.targets[i].isSlow() {
			cost++
		}
		return cost
	})
}
