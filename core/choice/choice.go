// Package choice picks the target of each attempt.
//
// Load reports are stale when they arrive, so the entry's view only narrows the
// choice; the target's daemon, which knows its slots exactly, confirms it. Pick
// samples a few targets, prefers near ones, and returns the one with the least
// expected delay together with the time by which the target's daemon must have a
// slot. A daemon without a slot refuses the attempt as not run and reports its
// load, and the entry picks again among the others. When the tries are used up,
// the attempt queues at the target whose report promises the shortest wait.
//
// Traffic leaves the own region only when the reported wait at home exceeds the
// extra delay there and back. The decision is made per request on the report
// that came with the refusal, so that it does not oscillate with stale reports.
package choice

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
)

const (
	// sampled is the number of targets compared per tier in one pick.
	sampled = 2
	// margin is how much less a later candidate must cost than an earlier one,
	// in service times. Without it all entries with the same stale reports pick
	// the same targets for reasons that are noise.
	margin = 0.5
	// patience is the wait that the first attempt accepts at a target instead of a
	// redirect, in mean times between two free slots. With 1 it would depend on
	// rounding whether the first in the queue is accepted. It doubles with each
	// refusal: the more targets are busy, the less another one helps.
	patience = 1.5
	// DefaultImmediateAttempts is the number of attempts that must find a free slot before
	// an attempt queues.
	DefaultImmediateAttempts = 5
	// maxTried bounds the targets that one request can exclude.
	maxTried = 16
)

// tier orders targets by distance.
type tier int

const (
	ownZone tier = iota
	ownRegion
	elsewhere
	tiers
)

// Delays are the one-way delays to a target by distance.
type Delays struct {
	SameZone, SameRegion, OtherRegion time.Duration
}

// Request describes what is to be sent.
type Request struct {
	Service fleet.Service
	// Urgent requests are compared by the wait of the most urgent rank.
	Urgent bool
	// SoftDeadline is when the answer should be there, zero if that is not known. As
	// long as a target at home promises it, the request stays at home.
	SoftDeadline time.Time
	// ServiceTime is how long the request is expected to take at a target, zero if that
	// is not known.
	ServiceTime time.Duration
	// Bulk requests carry long bodies, which make distance expensive: they leave
	// the zone as others leave the region, and the region only when no target
	// there takes work.
	Bulk bool
	// Tried are the targets that refused the request, in order.
	Tried []fleet.DaemonID
	// Hint is a target that a refusal named, if any.
	Hint fleet.DaemonID
	// Final asks for a target at which to queue, as when the budget for
	// redirects is used up.
	Final bool

	// failing considers targets that fail most requests, when no other takes work.
	failing bool
}

// Choice is a picked target. The caller ends it with Done.
type Choice struct {
	Target *fleet.Target
	// StartBy is the time by which the target's daemon must give a slot or
	// refuse; zero when the attempt may queue until its deadline.
	StartBy time.Time
	node    *node
}

// Result is what became of an attempt.
type Result struct {
	// Refused attempts were answered 'not run' by the target's daemon.
	Refused bool
	// Failed attempts ended in an error of the target or its connection.
	Failed bool
}

// Chooser picks targets. It is safe for concurrent use. Targets are kept in an
// immutable view that SetTargets replaces; the state of each target is a shard
// of its own.
type Chooser struct {
	// Now is the clock, time.Now by default.
	Now func() time.Time
	// Rand returns uniform random bits, rand.Uint64 by default.
	Rand func() uint64
	// HasLinkBudget reports whether the byte budget to another region has room, always
	// by default. Without room no request leaves for that region as long as a
	// target at home takes work.
	HasLinkBudget func(fleet.Region) bool

	place  fleet.Place
	delays Delays
	tries  int

	mu   sync.Mutex // serialises SetTargets
	view atomic.Pointer[view]
}

// view is the set of known targets. It is never changed.
type view struct {
	groups map[fleet.Service]*group
	nodes  map[fleet.DaemonID]*node
}

type group struct {
	tiers [tiers][]*node
	count int
}

// Option sets a property of a new Chooser.
type Option func(*Chooser)

// WithDelays sets the one-way delays by distance.
func WithDelays(d Delays) Option { return func(c *Chooser) { c.delays = d } }

// WithImmediateAttempts sets the number of attempts that must find a free slot before an
// attempt queues.
func WithImmediateAttempts(n int) Option { return func(c *Chooser) { c.tries = min(n, maxTried) } }

// New returns a Chooser for an entry at the given place.
func New(place fleet.Place, options ...Option) *Chooser {
	c := &Chooser{
		Now:           time.Now,
		Rand:          rand.Uint64,
		HasLinkBudget: func(fleet.Region) bool { return true },
		place:         place,
		delays: Delays{
			SameRegion:  500 * time.Microsecond,
			OtherRegion: 8 * time.Millisecond,
		},
		tries: DefaultImmediateAttempts,
	}
	c.view.Store(&view{})
	for _, o := range options {
		o(c)
	}
	return c
}

// SetTargets replaces the set of known targets. The state of a target is kept
// as long as its incarnation stays the same.
func (c *Chooser) SetTargets(targets []fleet.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.view.Load()
	next := &view{
		groups: make(map[fleet.Service]*group),
		nodes:  make(map[fleet.DaemonID]*node, len(targets)),
	}
	for i := range targets {
		t := targets[i]
		n := newNode(&t, c.tier(t.Place), previous.nodes[t.Daemon])
		next.nodes[t.Daemon] = n
		if !t.State.TakesWork() {
			continue
		}
		g := next.groups[t.Service]
		if g == nil {
			g = &group{}
			next.groups[t.Service] = g
		}
		g.tiers[n.tier] = append(g.tiers[n.tier], n)
		g.count++
	}
	c.view.Store(next)
}

func (c *Chooser) tier(p fleet.Place) tier {
	switch {
	case p.Region != c.place.Region:
		return elsewhere
	case p.AvailabilityZone != c.place.AvailabilityZone:
		return ownRegion
	}
	return ownZone
}

func (c *Chooser) delay(t tier) time.Duration {
	switch t {
	case ownZone:
		return c.delays.SameZone
	case ownRegion:
		return c.delays.SameRegion
	case elsewhere, tiers:
	}
	return c.delays.OtherRegion
}

// Observe records a load report that has just been made. Reports of other
// incarnations and reports older than the last one are ignored.
func (c *Chooser) Observe(l fleet.Load) { c.ObserveAt(l, c.Now()) }

// ObserveAt records a load report that was made at a known earlier time.
func (c *Chooser) ObserveAt(l fleet.Load, at time.Time) {
	if n := c.view.Load().nodes[l.Daemon]; n != nil {
		n.observe(l, at)
	}
}

// Pick returns the target for the next attempt of a request, or an
// *outcome.Error with NotRun when no target takes work.
func (c *Chooser) Pick(r Request) (Choice, error) {
	g := c.view.Load().groups[r.Service]
	if g == nil {
		return Choice{}, errNoTarget
	}
	now := c.Now()
	if n := c.hinted(r); n != nil && !r.Final {
		return n.send(now.Add(c.delay(n.tier))), nil
	}
	n, startBy := c.pick(g, r, now)
	if n == nil {
		// Where all targets fail most requests, the rest is still served.
		r.failing = true
		n, startBy = c.pick(g, r, now)
	}
	if n == nil {
		return Choice{}, errNoTarget
	}
	return n.send(startBy), nil
}

// pick returns a target and the time by which it must give a slot, or the
// target at which to queue and no time.
func (c *Chooser) pick(g *group, r Request, now time.Time) (*node, time.Time) {
	if len(r.Tried) < c.tries && !r.Final {
		if n := c.sample(g, r, now); n != nil {
			accepted := patience * float64(int(1)<<len(r.Tried)) / float64(n.slots.Load())
			return n, now.Add(c.delay(n.tier) + n.part(accepted))
		}
	}
	return c.shortest(g, r, now), time.Time{}
}

// Done ends a choice.
func (c *Chooser) Done(choice Choice, r Result) {
	if choice.node != nil {
		choice.node.done(r)
	}
}

var errNoTarget = outcome.New(outcome.NotRun, outcome.NoTarget, "no known target of the service takes work")

// hinted returns the hinted target when it is worth an attempt.
func (c *Chooser) hinted(r Request) *node {
	if r.Hint == "" || len(r.Tried) >= c.tries || tried(r.Tried, r.Hint) {
		return nil
	}
	n := c.view.Load().nodes[r.Hint]
	if n == nil || n.target.Service != r.Service || !n.takesWork() || n.failing() {
		return nil
	}
	return n
}

// sample returns the best of a few targets that were not tried yet, nearest
// tiers first, or nil when it is better to queue.
func (c *Chooser) sample(g *group, r Request, now time.Time) *node {
	var best *node
	var least time.Duration
	failing := r.failing || c.Rand()>>40 < trialShare
	for t := ownZone; t < tiers; t++ {
		if t == elsewhere && (best != nil || !c.spills(g, r, now)) {
			break
		}
		if t == ownRegion && r.Bulk && c.late(c.shortestOf(g, r, now, ownZone, ownZone), r, now) == stays {
			continue
		}
		nodes := g.tiers[t]
		for range min(sampled, len(nodes)) {
			n := c.untried(nodes, r.Tried, failing)
			if n == nil {
				break
			}
			if t == elsewhere && !c.HasLinkBudget(n.target.Place.Region) {
				continue
			}
			cost := n.cost(now, r.ServiceTime) + 2*c.delay(t)
			if best == nil || cost < least-best.part(margin) {
				best, least = n, cost
			}
		}
	}
	return best
}

// untried returns a random target that takes work and was not tried yet, and
// that does not fail most requests unless failing ones are asked for.
func (c *Chooser) untried(nodes []*node, exclude []fleet.DaemonID, failing bool) *node {
	if len(nodes) == 0 {
		return nil
	}
	at := int(c.Rand() % uint64(len(nodes)))
	for range min(len(nodes), len(exclude)+sampled) {
		n := nodes[at]
		if n.takesWork() && !tried(exclude, n.target.Daemon) && (failing || !n.failing()) {
			return n
		}
		if at++; at == len(nodes) {
			at = 0
		}
	}
	return nil
}

// leave says whether a request should go farther than to a target.
type leave bool

const (
	stays leave = false
	goes  leave = true
)

// spills reports whether a request should leave the region.
func (c *Chooser) spills(g *group, r Request, now time.Time) bool {
	n := c.shortestOf(g, r, now, ownZone, ownRegion)
	if r.Bulk {
		return n == nil
	}
	return c.late(n, r, now) == goes
}

// late reports whether a request should go farther than to n, the target with
// the shortest wait so far: there is none, or it would answer too late. Without
// a time by which the answer should be there, the request goes when the wait
// exceeds the way to another region and back.
func (c *Chooser) late(n *node, r Request, now time.Time) leave {
	switch {
	case n == nil:
		return goes
	case r.SoftDeadline.IsZero():
		return leave(n.wait(r.Urgent, now) > 2*c.delays.OtherRegion)
	}
	work := r.ServiceTime
	if work == 0 {
		work = n.serviceTime()
	}
	return leave(now.Add(n.wait(r.Urgent, now) + work + n.excess(now, work)).After(r.SoftDeadline))
}

// shortest returns the target at which to queue.
func (c *Chooser) shortest(g *group, r Request, now time.Time) *node {
	return c.shortestOf(g, r, now, ownZone, elsewhere)
}

// shortestOf returns, of the targets tried and a few others in a range of
// tiers, the one with the least wait and delay.
func (c *Chooser) shortestOf(g *group, r Request, now time.Time, from, to tier) *node {
	var best *node
	var least time.Duration
	consider := func(n *node) {
		if best != nil && n.tier == elsewhere && !c.HasLinkBudget(n.target.Place.Region) {
			return
		}
		cost := n.wait(r.Urgent, now) + 2*c.delay(n.tier) + n.excess(now, r.ServiceTime) + n.penalty()
		if best == nil || cost < least {
			best, least = n, cost
		}
	}
	nodes := c.view.Load().nodes
	for _, id := range r.Tried {
		if n := nodes[id]; n != nil && n.tier >= from && n.tier <= to && n.takesWork() {
			consider(n)
		}
	}
	if best != nil {
		return best
	}
	for t := from; t <= to; t++ {
		for range min(sampled, len(g.tiers[t])) {
			if n := c.untried(g.tiers[t], nil, r.failing); n != nil {
				consider(n)
			}
		}
	}
	return best
}

func tried(exclude []fleet.DaemonID, id fleet.DaemonID) bool {
	for _, t := range exclude {
		if t == id {
			return true
		}
	}
	return false
}
