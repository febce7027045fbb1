package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pollenscale/core/admit"
	"pollenscale/core/choice"
	"pollenscale/core/fleet"
	"pollenscale/core/link"
	"pollenscale/core/outcome"
	"pollenscale/core/policy"
)

const (
	service = "agenda"
	// maxAttempts is where a call that all targets refuse fails.
	maxAttempts = 16

	choiceTargets = 6
	choiceLength  = 20 * time.Second
	choiceWarmUp  = time.Second
	choiceLoad    = 0.8
)

// field is a set of targets with their callers, and the requests sent so far.
type field struct {
	loop    *loop
	random  *rand.Rand // choices of the policy
	targets []*target
	callers int
	places  func(int) fleet.Place
	caller  func(*rand.Rand) int // draws the caller of a request, uniform by default
	sigma   float64
	stale   time.Duration
	// probeShare is the number of probes per request, for policies that probe.
	probeShare float64
	owed       float64 // probes not sent yet, a fraction
	onProbe    func(*call, *choice.Chooser)
	onServed   func(*target)
	links      []*link.Budgets // by caller
	// refused reports whether the budget allows a redirect; nil means always.
	refused  func(*call, *outcome.Error) bool
	finished func(*call, time.Duration)

	sent      int
	redirects int
	failures  int
	remote    int // requests that ran in another region
	bins      []bin
	probed    int
	latencies sample
	added     sample // latency beyond the time in the slot
	warmUp    time.Duration
}

// call is one request under way.
type call struct {
	field    *field
	caller   int
	place    fleet.Place
	arrived  time.Time
	started  time.Time
	failed   bool
	final    bool // the budget for redirects is used up
	class    *class
	urgent   bool
	position int           // of the rank
	request  admit.Request // rank and deadline, if any
	work     time.Duration
	tried    []fleet.DaemonID
}

// balancer is a policy under measurement: send sees to it that the call runs
// and finishes.
type balancer struct {
	name string
	make func(*field) (send func(*call))
}

// zones returns the place of the i-th process of a region with two zones.
func zones(region fleet.Region, i int) fleet.Place {
	return fleet.Place{Region: region, AvailabilityZone: fleet.AvailabilityZone(fmt.Sprint(region, "-", i%2+1))}
}

// bin counts requests by the time of their start.
type bin struct{ all, remote int }

func (f *field) delay(a, b fleet.Place) time.Duration {
	switch {
	case a == b:
		return zoneDelay
	case a.Region == b.Region:
		return regionDelay
	}
	return farDelay
}

// finish records the answer to a call that arrives at its caller after a delay.
func (c *call) finish(back time.Duration) {
	f := c.field
	if c.arrived.Sub(time.Unix(0, 0)) < f.warmUp {
		return
	}
	if f.finished != nil {
		f.finished(c, f.loop.now.Add(back).Sub(c.arrived))
	}
	if c.failed {
		f.failures++
	} else {
		took := f.loop.now.Add(back).Sub(c.arrived)
		f.latencies = append(f.latencies, took)
		f.added = append(f.added, took-f.loop.now.Sub(c.started))
	}
}

// queueAt sends the call to a target, where it waits as long as needed. A full
// queue sends it to a random one.
func (c *call) queueAt(t *target, done func()) {
	delay := c.field.delay(c.place, t.place)
	c.field.loop.after(delay, func() {
		var ticket *admit.Ticket
		arrived := c.field.loop.now
		l := t.queue.Load(arrived)
		inFlight := int(l.Running + l.Queued)
		granted := func() {
			t.run(ticket, c, func() {
				t.history.add(inFlight, c.field.loop.now.Sub(arrived))
				c.finish(delay)
				c.field.loop.after(delay, done)
			})
		}
		submit(t, admit.Request{}, &ticket, func(err *outcome.Error) {
			if err == nil {
				granted()
				return
			}
			c.field.redirects++
			done()
			c.queueAt(c.field.targets[c.field.random.IntN(len(c.field.targets))], func() {})
		})
	})
}

// submit submits a request so that its ticket is set when decide runs.
func submit(t *target, r admit.Request, ticket **admit.Ticket, decide func(*outcome.Error)) {
	returned := false
	var early *outcome.Error
	decided := false
	*ticket = t.queue.Submit(r, func(err *outcome.Error) {
		if !returned {
			early, decided = err, true
			return
		}
		decide(err)
	})
	returned = true
	if decided {
		decide(early)
	}
}

// newField builds the targets of one region with noisy neighbours.
func newField(seed uint64, callers int) *field {
	f := &field{
		loop: newLoop(), random: rand.New(rand.NewPCG(seed, 1)), callers: callers,
		sigma: heavyTail, stale: staleness, warmUp: choiceWarmUp,
		places: func(i int) fleet.Place { return zones("scl", i) },
	}
	noise := rand.New(rand.NewPCG(seed, 2))
	for i := range choiceTargets {
		t := newTarget(f.loop, i, zones("scl", i), &policy.Service{}, slots)
		t.slow = neighbour(noise, choiceLength+10*time.Second)
		t.sample()
		f.targets = append(f.targets, t)
	}
	return f
}

// arrivals schedules Poisson arrivals from random callers.
func (f *field) arrivals(seed uint64, perSecond float64, length time.Duration, send func(*call)) {
	arrive := rand.New(rand.NewPCG(seed, 3))
	gap := time.Duration(float64(time.Second) / perSecond)
	var next func()
	next = func() {
		if f.loop.elapsed() > length {
			return
		}
		caller := arrive.IntN(f.callers)
		if f.caller != nil {
			caller = f.caller(arrive)
		}
		c := &call{
			field: f, caller: caller, place: f.places(caller), arrived: f.loop.now,
			work: work(arrive, meanService, f.sigma),
		}
		f.sent++
		send(c)
		f.loop.after(exponential(arrive, gap), next)
	}
	f.loop.after(exponential(arrive, gap), next)
}

// choiceCase is one setting of the choice measurement.
type choiceCase struct {
	perTarget int // callers per target
	tail      string
	sigma     float64
}

func choiceCases() []choiceCase {
	return []choiceCase{
		{10, "heavy tail", heavyTail},
		{1000, "heavy tail", heavyTail},
		{10, "light tail", lightTail},
		{1000, "light tail", lightTail},
	}
}

func (c choiceCase) name() string {
	return fmt.Sprintf("choice, %d callers per target, %s", c.perTarget, c.tail)
}

// rate is the number of requests per second at the measured load.
func choiceRate() float64 {
	return choiceLoad * float64(choiceTargets*slots) / meanService.Seconds()
}

// run measures one policy under load with stale reports.
func (c choiceCase) run(b balancer, seed uint64) []Result {
	f := newField(seed, c.perTarget*choiceTargets)
	f.sigma = c.sigma
	f.arrivals(seed, choiceRate(), choiceLength, b.make(f))
	f.loop.run(choiceLength + 10*time.Second)
	r := results{name: c.name(), policy: b.name, seed: seed}
	r.latencies(f.latencies)
	r.add("AddedP99", f.added.quantile(0.99), "ms")
	r.add("Redirects", float64(f.redirects)/float64(f.sent), "per request")
	r.add("Probes", float64(f.probed)/float64(f.sent), "per request")
	return r.list
}

// pollenscale is the policy of core/choice with refusals by the target's daemon.
func pollenscale() func(*field) func(*call) {
	return func(f *field) func(*call) {
		delays := choice.WithDelays(choice.Delays{SameZone: zoneDelay, SameRegion: regionDelay, OtherRegion: farDelay})
		records := make([]fleet.Target, len(f.targets))
		byID := make(map[fleet.DaemonID]*target)
		for i, t := range f.targets {
			records[i] = t.record()
			byID[t.id] = t
		}
		choosers := make([]*choice.Chooser, f.callers)
		for i := range choosers {
			c := choice.New(f.places(i), delays)
			c.Now = f.loop.clock
			c.Rand = f.random.Uint64
			f.limitBytes(i, c)
			c.SetTargets(records)
			choosers[i] = c
		}
		return func(c *call) {
			for _, t := range f.targets {
				if l, ok := t.stale(f.stale); ok {
					choosers[c.caller].ObserveAt(l, f.loop.now.Add(-f.stale))
				}
			}
			if f.onProbe != nil {
				f.onProbe(c, choosers[c.caller])
			}
			c.attempt(choosers[c.caller], byID)
		}
	}
}

// attempt sends the call to the target that the chooser picks, and again to
// another one when its daemon refuses.
func (c *call) attempt(chooser *choice.Chooser, byID map[fleet.DaemonID]*target) {
	l := c.field.loop
	picked, err := chooser.Pick(choice.Request{Service: service, Tried: c.tried, Urgent: c.urgent, Final: c.final})
	if err != nil {
		panic(err)
	}
	t := byID[picked.Target.Daemon]
	c.field.spend(c, t)
	delay := c.field.delay(c.place, t.place)
	l.after(delay, func() {
		var ticket *admit.Ticket
		request := c.request
		request.StartBy = picked.StartBy
		submit(t, request, &ticket, func(err *outcome.Error) {
			if err == nil {
				t.run(ticket, c, func() {
					c.finish(delay)
					if c.field.onServed != nil {
						c.field.onServed(t)
					}
					hint := t.load()
					l.after(delay, func() {
						chooser.Observe(hint)
						chooser.Done(picked, choice.Result{Failed: c.failed})
					})
				})
				return
			}
			hint := t.load()
			l.after(delay, func() {
				c.field.redirects++
				chooser.Observe(hint)
				chooser.Done(picked, choice.Result{Refused: true})
				c.tried = append(c.tried, t.id)
				c.final = c.field.refused != nil && !c.field.refused(c, err)
				last := picked.StartBy.IsZero() && c.class != nil
				if last || len(c.tried) >= maxAttempts {
					c.failed = true
					c.finish(0)
					return
				}
				c.attempt(chooser, byID)
			})
		})
	})
}
