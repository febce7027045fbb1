package measure

import (
	"math"
	"slices"
	"time"

	"pollenscale/core/admit"
	"pollenscale/core/outcome"
)

const (
	reference = "central queue"
	own       = "pollenscale"
)

// balancers are the alternatives weighed for the choice of a target.
func balancers() []balancer {
	return []balancer{
		{reference, central(true)},
		{"central queue, speeds unknown", central(false)},
		{"random", simple(func(f *field, _ []caller) func(*call) int {
			return func(*call) int { return f.random.IntN(len(f.targets)) }
		})},
		{"round robin", simple(roundRobin)},
		{"own in flight", simple(leastInFlight)},
		{"power of two", simple(powerOfTwo)},
		{"latency EWMA", simple(latencyEWMA)},
		{"pooled probing", pooledProbing},
		{"late binding", lateBinding},
		{own, pollenscale()},
	}
}

// caller is what a simple policy knows at one caller.
type caller struct {
	next     int
	inFlight []int
	ewma     []float64 // seconds
}

// simple builds a policy that picks once and queues at the pick.
func simple(policy func(*field, []caller) func(*call) int) func(*field) func(*call) {
	return func(f *field) func(*call) {
		callers := make([]caller, f.callers)
		for i := range callers {
			callers[i] = caller{
				next:     f.random.IntN(len(f.targets)),
				inFlight: make([]int, len(f.targets)),
				ewma:     make([]float64, len(f.targets)),
			}
		}
		pick := policy(f, callers)
		return func(c *call) {
			i := pick(c)
			k := &callers[c.caller]
			k.inFlight[i]++
			c.queueAt(f.targets[i], func() {
				k.inFlight[i]--
				k.observe(i, f.loop.now.Sub(c.arrived))
			})
		}
	}
}

// observe moves the latency average: up at once, down by a tenth, as published
// for peak EWMA.
func (k *caller) observe(i int, took time.Duration) {
	if s := took.Seconds(); s > k.ewma[i] {
		k.ewma[i] = s
	} else {
		k.ewma[i] += (s - k.ewma[i]) / 10
	}
}

func roundRobin(f *field, callers []caller) func(*call) int {
	return func(c *call) int {
		k := &callers[c.caller]
		k.next = (k.next + 1) % len(f.targets)
		return k.next
	}
}

// least returns the index with the least cost, at random among equals.
func (f *field) least(candidates []int, cost func(int) float64) int {
	best, lowest, equal := -1, math.Inf(1), 0
	for _, i := range candidates {
		v := cost(i)
		switch {
		case best < 0 || v < lowest:
			best, lowest, equal = i, v, 1
		case v <= lowest:
			if equal++; f.random.IntN(equal) == 0 {
				best = i
			}
		}
	}
	return best
}

func (f *field) all() []int {
	indexes := make([]int, len(f.targets))
	for i := range indexes {
		indexes[i] = i
	}
	return indexes
}

// two returns two different random targets.
func (f *field) two() []int {
	a := f.random.IntN(len(f.targets))
	b := f.random.IntN(len(f.targets) - 1)
	if b >= a {
		b++
	}
	return []int{a, b}
}

func leastInFlight(f *field, callers []caller) func(*call) int {
	all := f.all()
	return func(c *call) int {
		return f.least(all, func(i int) float64 { return float64(callers[c.caller].inFlight[i]) })
	}
}

// powerOfTwo compares the stale reports of two random targets.
func powerOfTwo(f *field, _ []caller) func(*call) int {
	return func(*call) int {
		return f.least(f.two(), func(i int) float64 {
			l, _ := f.targets[i].stale(f.stale)
			return float64(l.Running + l.Queued)
		})
	}
}

func latencyEWMA(f *field, callers []caller) func(*call) int {
	return func(c *call) int {
		k := &callers[c.caller]
		return f.least(f.two(), func(i int) float64 { return k.ewma[i] * float64(k.inFlight[i]+1) })
	}
}

// The parameters of pooled probing as published for Prequal: 3 probes per
// request, a pool of 16 (at most one reply per target here, since a larger pool
// only holds older replies), one removal per request, and the 0.84 quantile of
// requests in flight as the border between hot and cold. Probes expire after a
// second.
const (
	prequalProbes  = 3
	prequalPool    = 16
	prequalHot     = 0.84
	prequalExpires = time.Second
)

// probeReply is a pooled answer of a target.
type probeReply struct {
	target   int
	at       time.Time
	inFlight float64
	latency  time.Duration
	uses     int
}

type probePool struct {
	replies []probeReply
	recent  [64]float64 // requests in flight of the last replies
	count   int
	removed bool // alternates between the oldest and the worst
}

func pooledProbing(f *field) func(*call) {
	if f.probeShare == 0 {
		f.probeShare = prequalProbes
	}
	pools := make([]probePool, f.callers)
	return func(c *call) {
		p := &pools[c.caller]
		i := p.pick(f)
		for f.owed += f.probeShare; f.owed >= 1; f.owed-- {
			f.probe(c, p)
		}
		c.queueAt(f.targets[i], func() {})
	}
}

// probe asks a random target for its load and pools the answer.
func (f *field) probe(c *call, p *probePool) {
	i := f.random.IntN(len(f.targets))
	t := f.targets[i]
	delay := f.delay(c.place, t.place)
	f.probed++
	f.loop.after(delay, func() {
		l := t.load()
		latency := t.history.median(int(l.Running + l.Queued))
		f.loop.after(delay, func() {
			if len(p.replies) >= min(prequalPool, len(f.targets)) {
				p.replies = slices.Delete(p.replies, 0, 1)
			}
			p.recent[p.count%len(p.recent)] = float64(l.Running + l.Queued)
			p.count++
			p.replies = append(p.replies, probeReply{i, f.loop.now, float64(l.Running + l.Queued), latency, 0})
		})
	})
}

// pick applies the hot-cold lexicographic rule to the pool.
func (p *probePool) pick(f *field) int {
	p.replies = slices.DeleteFunc(p.replies, func(r probeReply) bool {
		return f.loop.now.Sub(r.at) > prequalExpires
	})
	if len(p.replies) < 2 {
		return f.random.IntN(len(f.targets))
	}
	border := p.border()
	best := 0
	for i := range p.replies {
		if p.replies[i].better(&p.replies[best], border) {
			best = i
		}
	}
	chosen := p.replies[best].target
	p.replies[best].inFlight++
	p.replies[best].uses++
	p.remove(border, best)
	return chosen
}

// border is the number of requests in flight above which a target is hot.
func (p *probePool) border() float64 {
	values := p.recent
	known := values[:min(p.count, len(values))]
	slices.Sort(known)
	return known[min(len(known)-1, int(prequalHot*float64(len(known))))]
}

// better prefers cold replies by latency, and hot ones by requests in flight.
func (r *probeReply) better(o *probeReply, border float64) bool {
	hot, otherHot := r.inFlight > border, o.inFlight > border
	switch {
	case hot != otherHot:
		return !hot
	case hot:
		return r.inFlight < o.inFlight
	}
	return r.latency < o.latency
}

// remove drops the oldest or the worst reply in turn, and a reply used twice.
func (p *probePool) remove(border float64, used int) {
	if p.replies[used].uses >= 2 {
		p.replies = slices.Delete(p.replies, used, used+1)
		return
	}
	victim := 0
	if p.removed = !p.removed; p.removed {
		for i := range p.replies {
			if p.replies[victim].better(&p.replies[i], border) {
				victim = i
			}
		}
	}
	p.replies = slices.Delete(p.replies, victim, victim+1)
}

// lateBinding queues at three daemons. The first free slot is offered to the
// entry, which takes the first offer and declines the others, so that the
// request runs once; a slot is held idle while its offer is under way.
func lateBinding(f *field) func(*call) {
	const copies = 3
	return func(c *call) {
		order := f.random.Perm(len(f.targets))[:copies]
		tickets := make([]*admit.Ticket, copies)
		bound := false
		for n, i := range order {
			t := f.targets[i]
			delay := f.delay(c.place, t.place)
			offer := func(err *outcome.Error) {
				if err != nil {
					return // the queue is full; the other copies remain
				}
				f.loop.after(delay, func() {
					if bound {
						f.loop.after(delay, tickets[n].ReleaseUnused)
						return
					}
					bound = true
					f.loop.after(delay, func() { t.run(tickets[n], c, func() { c.finish(delay) }) })
					for m, other := range order {
						if m != n {
							f.loop.after(f.delay(c.place, f.targets[other].place), func() { withdraw(tickets[m]) })
						}
					}
				})
			}
			f.loop.after(delay, func() {
				if bound {
					return
				}
				submit(t, admit.Request{}, &tickets[n], offer)
			})
		}
	}
}

// withdraw cancels a copy that reached its daemon.
func withdraw(t *admit.Ticket) {
	if t != nil {
		t.Cancel()
	}
}

// central is the all-knowing reference: one queue for all slots without any
// delay of information. With known speeds it prefers targets at full speed.
func central(speeds bool) func(*field) func(*call) {
	return func(f *field) func(*call) {
		free := make([]int, len(f.targets))
		for i, t := range f.targets {
			free[i] = t.slots
		}
		var waiting []*call
		var start func(*call) bool
		start = func(c *call) bool {
			i := f.free(c, free, speeds)
			if i < 0 {
				return false
			}
			free[i]--
			t := f.targets[i]
			delay := f.delay(c.place, t.place)
			// A call that waited is sent ahead, so that it arrives with the slot.
			ahead := max(0, delay-f.loop.now.Sub(c.arrived))
			f.loop.after(ahead, func() {
				c.started = f.loop.now
				f.began(c, t)
				f.loop.after(t.duration(c.work), func() {
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

// free returns the best target with a free slot, or -1.
func (f *field) free(c *call, free []int, speeds bool) int {
	var candidates []int
	for i := range f.targets {
		if free[i] > 0 {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return -1
	}
	return f.least(candidates, func(i int) float64 {
		cost := 2 * f.delay(c.place, f.targets[i].place).Seconds()
		if speeds && f.targets[i].slowed() {
			cost++
		}
		return cost
	})
}
