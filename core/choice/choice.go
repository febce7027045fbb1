// Package choice picks the target of each attempt.
//
// Load reports are stale when they arrive, so the entry's view only narrows the
// choice; the target's daemon, which knows its slots exactly, confirms it. Pick
// samples a few targets, prefers near ones, and returns the one with the lowest
// expected delay together with the time by which the target's daemon must have a
// free slot. A daemon without a free slot refuses the attempt as not run and
// reports its load, and the entry picks again among the others. When the
// immediate attempts are used up, the request queues at the target with the
// shortest reported wait.
//
// Traffic leaves the local region only when the reported wait there exceeds the
// extra round trip to another region. The decision is made per request on the
// report that came with the refusal, so that it does not oscillate with stale
// reports.
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
	// sampleSize is the number of random targets compared per tier in one pick,
	// as in "power of two choices".
	sampleSize = 2
	// hysteresis is the cost difference, in service times, by which a later
	// candidate must beat an earlier one. Without it, all entries that hold the
	// same stale reports pick the same targets because of noise.
	hysteresis = 0.5
	// acceptedWaitFactor is the wait that the first attempt accepts at a target
	// before it is redirected, in mean times between two slots becoming free.
	// With 1, rounding would decide whether the first request in the queue is
	// accepted. The wait doubles with each refusal: the more targets are busy,
	// the less a redirect helps.
	acceptedWaitFactor = 1.5
	// DefaultImmediateAttempts is the number of attempts that must find a free
	// slot at once before an attempt queues.
	DefaultImmediateAttempts = 5
	// maxTried bounds the number of targets that one request can exclude.
	maxTried = 16
)

// tier is the distance of a target from the entry.
type tier int

const (
	sameZone tier = iota
	sameRegion
	otherRegion
	tierCount
)

// Delays are the one-way delays to a target by distance.
type Delays struct {
	SameZone, SameRegion, OtherRegion time.Duration
}

// Request describes the request to be sent.
type Request struct {
	Service fleet.Service
	// Urgent selects targets by the reported wait of the most urgent rank.
	Urgent bool
	// SoftDeadline is the time by which the answer should arrive, zero if unknown.
	// The request stays in its region as long as a target there is expected to
	// meet it.
	SoftDeadline time.Time
	// ServiceTime is the expected service time of the request, zero if unknown.
	ServiceTime time.Duration
	// Bulk marks a request with a long body, which makes distance expensive: it
	// leaves the zone under the conditions under which other requests leave the
	// region, and leaves the region only when no target there takes work.
	Bulk bool
	// Tried lists the targets that refused the request, in order.
	Tried []fleet.DaemonID
	// Hint is the target that the last refusal suggested, or "".
	Hint fleet.DaemonID
	// Final asks for a target at which to queue, for example because the redirect
	// budget is used up.
	Final bool
	// Regions are the only regions in which the request may be served.
	Regions Regions

	// includeFailing also considers targets that fail most requests. It is set
	// when no other target takes work.
	includeFailing bool
}

// Choice is a picked target. The caller releases it with Done.
type Choice struct {
	Target *fleet.Target
	// StartBy is the time by which the target's daemon must assign a slot or
	// refuse the attempt; zero when the attempt may queue until its deadline.
	StartBy time.Time
	state   *targetState
}

// Result is the result of an attempt.
type Result struct {
	// Refused is set if the target's daemon answered 'not run'.
	Refused bool
	// Failed is set if the target or its connection failed.
	Failed bool
	// Suspected is set if Suspect has counted the failure already.
	Suspected bool
}

// Chooser picks targets. It is safe for concurrent use. Targets are kept in an
// immutable view that SetTargets replaces; each target has its own lock and
// counters.
type Chooser struct {
	// Now is the clock, time.Now by default.
	Now func() time.Time
	// Rand returns uniform random bits, rand.Uint64 by default.
	Rand func() uint64
	// HasLinkBudget reports whether the byte budget of the link to another region
	// is not exhausted. By default it always returns true. While the budget is
	// exhausted, no request goes to that region if a target in the local region
	// takes work.
	HasLinkBudget func(fleet.Region) bool

	place             fleet.Place
	delays            Delays
	immediateAttempts int

	mu   sync.Mutex // serialises SetTargets
	view atomic.Pointer[view]
}

// view is the immutable set of known targets.
type view struct {
	services map[fleet.Service]*serviceTargets
	targets  map[fleet.DaemonID]*targetState
}

// serviceTargets holds the targets of one service that take work.
type serviceTargets struct {
	tiers [tierCount][]*targetState
	// remote holds the targets of the tier otherRegion by region.
	remote []regionTargets
	count  int
}

// Option sets a property of a new Chooser.
type Option func(*Chooser)

// WithDelays sets the one-way delays by distance.
func WithDelays(d Delays) Option { return func(c *Chooser) { c.delays = d } }

// WithImmediateAttempts sets the number of attempts that must find a free slot
// at once before an attempt queues.
func WithImmediateAttempts(n int) Option {
	return func(c *Chooser) { c.immediateAttempts = min(n, maxTried) }
}

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
		immediateAttempts: DefaultImmediateAttempts,
	}
	c.view.Store(&view{})
	for _, o := range options {
		o(c)
	}
	return c
}

// SetTargets replaces the set of known targets. The statistics of a target are
// kept as long as its incarnation stays the same.
func (c *Chooser) SetTargets(targets []fleet.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.view.Load()
	next := &view{
		services: make(map[fleet.Service]*serviceTargets),
		targets:  make(map[fleet.DaemonID]*targetState, len(targets)),
	}
	for i := range targets {
		t := targets[i]
		s := newTargetState(&t, c.tier(t.Place), previous.targets[t.Daemon])
		next.targets[t.Daemon] = s
		if !t.State.TakesWork() {
			continue
		}
		svc := next.services[t.Service]
		if svc == nil {
			svc = &serviceTargets{}
			next.services[t.Service] = svc
		}
		svc.add(s)
	}
	c.view.Store(next)
}

func (c *Chooser) tier(p fleet.Place) tier {
	switch {
	case p.Region != c.place.Region:
		return otherRegion
	case p.AvailabilityZone != c.place.AvailabilityZone:
		return sameRegion
	}
	return sameZone
}

func (c *Chooser) delay(t tier) time.Duration {
	switch t {
	case sameZone:
		return c.delays.SameZone
	case sameRegion:
		return c.delays.SameRegion
	case otherRegion, tierCount:
	}
	return c.delays.OtherRegion
}

// Observe records a load report made at the current time. Reports of other
// incarnations and reports older than the last one are ignored.
func (c *Chooser) Observe(l fleet.Load) { c.ObserveAt(l, c.Now()) }

// ObserveAt is like Observe for a load report made at the given earlier time.
func (c *Chooser) ObserveAt(l fleet.Load, at time.Time) {
	if s := c.view.Load().targets[l.Daemon]; s != nil {
		s.observe(l, at)
	}
}

// Pick returns the target for the next attempt of a request, or an
// *outcome.Error with NotRun when no target takes work.
func (c *Chooser) Pick(r Request) (Choice, error) {
	svc := c.view.Load().services[r.Service]
	if svc == nil {
		return Choice{}, errNoTarget
	}
	now := c.Now()
	if s := c.hinted(r); s != nil && !r.Final {
		return s.newChoice(now.Add(c.delay(s.tier))), nil
	}
	s, startBy := c.pick(svc, r, now)
	if s == nil {
		// If all targets fail most requests, use them for the requests that they
		// still serve.
		r.includeFailing = true
		s, startBy = c.pick(svc, r, now)
	}
	if s == nil {
		return Choice{}, errNoTarget
	}
	return s.newChoice(startBy), nil
}

// pick returns a target and the time by which it must assign a slot, or the
// target at which to queue and the zero time.
func (c *Chooser) pick(svc *serviceTargets, r Request, now time.Time) (*targetState, time.Time) {
	if len(r.Tried) < c.immediateAttempts && !r.Final {
		if s := c.sample(svc, r, now); s != nil {
			accepted := acceptedWaitFactor * float64(int(1)<<len(r.Tried)) / float64(s.slots.Load())
			return s, now.Add(c.delay(s.tier) + s.serviceTimeMultiple(accepted))
		}
	}
	return c.shortestWait(svc, r, now), time.Time{}
}

// Done releases a choice and records the result of the attempt.
func (c *Chooser) Done(choice Choice, r Result) {
	if choice.state != nil {
		choice.state.done(r)
	}
}

var errNoTarget = outcome.New(outcome.NotRun, outcome.NoTarget, "no known target of the service takes work")

// hinted returns the hinted target if it is known, serves the service, takes
// work, is in an allowed region, was not tried yet and does not fail most requests.
func (c *Chooser) hinted(r Request) *targetState {
	if r.Hint == "" || len(r.Tried) >= c.immediateAttempts || tried(r.Tried, r.Hint) {
		return nil
	}
	s := c.view.Load().targets[r.Hint]
	if s == nil || s.target.Service != r.Service || !s.takesWork() || s.failing() || !r.Regions.Contains(s.target.Place.Region) {
		return nil
	}
	return s
}

// sample returns the lowest-cost target of a random sample of untried ones,
// nearest tiers first, or nil when it is better to queue.
func (c *Chooser) sample(svc *serviceTargets, r Request, now time.Time) *targetState {
	var best *targetState
	var lowest time.Duration
	failing := r.includeFailing || c.Rand()>>40 < failingTargetShare
	for t := sameZone; t < tierCount; t++ {
		if t == otherRegion && (best != nil || !c.leavesRegion(svc, r, now)) {
			break
		}
		if t == sameRegion && r.Bulk && c.shouldSpill(c.shortestWaitIn(svc, r, now, sameZone, sameZone), r, now) == stayLocal {
			continue
		}
		for range min(sampleSize, len(svc.tiers[t])) {
			s := c.randomAllowed(svc, t, r.Regions, r.Tried, failing)
			if s == nil {
				break
			}
			if t == otherRegion && !c.HasLinkBudget(s.target.Place.Region) {
				continue
			}
			cost := s.cost(now, r.ServiceTime) + 2*c.delay(t)
			if best == nil || cost < lowest-best.serviceTimeMultiple(hysteresis) {
				best, lowest = s, cost
			}
		}
	}
	return best
}

// randomUntried returns a random target that takes work and is not excluded.
// Targets that fail most requests are considered only if failing is set.
// It examines a few candidates in addition to the excluded ones.
func (c *Chooser) randomUntried(candidates []*targetState, exclude []fleet.DaemonID, failing bool, few int) *targetState {
	if len(candidates) == 0 {
		return nil
	}
	at := int(c.Rand() % uint64(len(candidates)))
	for range min(len(candidates), len(exclude)+few) {
		s := candidates[at]
		if s.takesWork() && !tried(exclude, s.target.Daemon) && (failing || !s.failing()) {
			return s
		}
		if at++; at == len(candidates) {
			at = 0
		}
	}
	return nil
}

// spillover says whether a request should go to a more distant tier.
type spillover bool

const (
	stayLocal spillover = false
	spillOver spillover = true
)

// leavesRegion reports whether a request may go to another region.
func (c *Chooser) leavesRegion(svc *serviceTargets, r Request, now time.Time) bool {
	s := c.shortestWaitIn(svc, r, now, sameZone, sameRegion)
	if r.Bulk {
		return s == nil
	}
	return c.shouldSpill(s, r, now) == spillOver
}

// shouldSpill decides whether a request should go to a more distant tier than
// that of s, the target with the shortest wait so far. It should if s is nil or
// would answer after the soft deadline. Without a soft deadline, it should if
// the wait at s exceeds the round trip to another region.
func (c *Chooser) shouldSpill(s *targetState, r Request, now time.Time) spillover {
	switch {
	case s == nil:
		return spillOver
	case r.SoftDeadline.IsZero():
		return spillover(s.remainingWait(r.Urgent, now) > 2*c.delays.OtherRegion)
	}
	serviceTime := r.ServiceTime
	if serviceTime == 0 {
		serviceTime = s.serviceTime()
	}
	return spillover(now.Add(s.remainingWait(r.Urgent, now) + serviceTime + s.extraServiceTime(now, serviceTime)).After(r.SoftDeadline))
}

// shortestWait returns the target at which to queue, in any tier.
func (c *Chooser) shortestWait(svc *serviceTargets, r Request, now time.Time) *targetState {
	return c.shortestWaitIn(svc, r, now, sameZone, otherRegion)
}

// shortestWaitIn returns the target with the lowest sum of wait and delay among
// the tried targets in a range of tiers, or among a random sample if none of the
// tried ones takes work.
func (c *Chooser) shortestWaitIn(svc *serviceTargets, r Request, now time.Time, from, to tier) *targetState {
	var best *targetState
	var lowest time.Duration
	consider := func(s *targetState) {
		if best != nil && s.tier == otherRegion && !c.HasLinkBudget(s.target.Place.Region) {
			return
		}
		cost := s.remainingWait(r.Urgent, now) + 2*c.delay(s.tier) + s.extraServiceTime(now, r.ServiceTime) + s.failurePenalty()
		if best == nil || cost < lowest {
			best, lowest = s, cost
		}
	}
	known := c.view.Load().targets
	for _, id := range r.Tried {
		if s := known[id]; s != nil && s.tier >= from && s.tier <= to && s.takesWork() && r.Regions.Contains(s.target.Place.Region) {
			consider(s)
		}
	}
	if best != nil {
		return best
	}
	for t := from; t <= to; t++ {
		for range min(sampleSize, len(svc.tiers[t])) {
			if s := c.randomAllowed(svc, t, r.Regions, nil, r.includeFailing); s != nil {
				consider(s)
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
