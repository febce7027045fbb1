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
	// maxAttempts is the number of refusals after which a call fails.
	maxAttempts = 16

	choiceTargets = 6
	choiceLength  = 20 * time.Second
	choiceWarmUp  = time.Second
	choiceLoad    = 0.8
)

// cluster simulates a set of targets with their callers and counts what became of
// the requests.
type cluster struct {
	loop       *loop
	random     *rand.Rand // random source of the policy
	targets    []*target
	nCallers   int
	placeOf    func(int) fleet.Place
	drawCaller func(*rand.Rand) int // draws the caller of a request; nil for uniform
	sigma      float64
	reportAge  time.Duration
	// probesPerRequest is used by policies that send probes.
	probesPerRequest float64
	probesDue        float64 // fractional number of probes still to be sent
	beforePick       func(*call, *choice.Chooser)
	onServed         func(*target)
	links            []*link.Budgets // by caller
	// allowRedirect reports whether the retry budget allows a redirect after a
	// refusal; nil allows all. Without it the next attempt queues at its target.
	allowRedirect func(*call, *outcome.Error) bool
	onFinished    func(*call, time.Duration)

	sent           int
	redirects      int
	failures       int
	crossRegion    int // requests that ran outside the region of their caller
	startBins      []startBin
	probesSent     int
	latencies      sample
	addedLatencies sample // latency less the time in a slot
	warmUp         time.Duration
}

// call is a request in progress.
type call struct {
	cluster      *cluster
	caller       int
	place        fleet.Place
	arrived      time.Time
	started      time.Time
	failed       bool
	final        bool // the next attempt is the last, since the retry budget is used up
	class        *class
	urgent       bool
	rankPosition int           // index of the rank
	request      admit.Request // rank and deadline, if any
	work         time.Duration
	tried        []fleet.DaemonID
}

// balancer is a policy under measurement. The send function that make returns
// runs a call to completion.
type balancer struct {
	name string
	make func(*cluster) (send func(*call))
}

// zones returns the place of the i-th process in a region with two availability
// zones.
func zones(region fleet.Region, i int) fleet.Place {
	return fleet.Place{Region: region, AvailabilityZone: fleet.AvailabilityZone(fmt.Sprint(region, "-", i%2+1))}
}

// startBin counts the requests that started in one time interval.
type startBin struct{ all, crossRegion int }

func (cl *cluster) delay(a, b fleet.Place) time.Duration {
	switch {
	case a == b:
		return sameZoneDelay
	case a.Region == b.Region:
		return crossZoneDelay
	}
	return crossRegionDelay
}

// finish records the outcome of a call. The answer reaches the caller after the
// delay back.
func (c *call) finish(back time.Duration) {
	cl := c.cluster
	if c.arrived.Sub(time.Unix(0, 0)) < cl.warmUp {
		return
	}
	if cl.onFinished != nil {
		cl.onFinished(c, cl.loop.now.Add(back).Sub(c.arrived))
	}
	if c.failed {
		cl.failures++
	} else {
		took := cl.loop.now.Add(back).Sub(c.arrived)
		cl.latencies = append(cl.latencies, took)
		cl.addedLatencies = append(cl.addedLatencies, took-cl.loop.now.Sub(c.started))
	}
}

// queueAt sends the call to a target, where it queues without a time limit. If the
// queue is full, the call is redirected to a random target.
func (c *call) queueAt(t *target, done func()) {
	delay := c.cluster.delay(c.place, t.place)
	c.cluster.loop.after(delay, func() {
		var ticket *admit.Ticket
		arrived := c.cluster.loop.now
		l := t.queue.Load(arrived)
		inFlight := int(l.Running + l.Queued)
		granted := func() {
			t.run(ticket, c, func() {
				t.latencyHistory.add(inFlight, c.cluster.loop.now.Sub(arrived))
				c.finish(delay)
				c.cluster.loop.after(delay, done)
			})
		}
		submit(t, admit.Request{}, &ticket, func(err *outcome.Error) {
			if err == nil {
				granted()
				return
			}
			c.cluster.redirects++
			done()
			c.queueAt(c.cluster.targets[c.cluster.random.IntN(len(c.cluster.targets))], func() {})
		})
	})
}

// submit submits a request and sets its ticket before decide runs, even when the
// queue decides at once.
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

// newCluster creates the targets of one region with noisy neighbours.
func newCluster(seed uint64, callers int) *cluster {
	cl := &cluster{
		loop: newLoop(), random: rand.New(rand.NewPCG(seed, 1)), nCallers: callers,
		sigma: heavyTail, reportAge: defaultReportAge, warmUp: choiceWarmUp,
		placeOf: func(i int) fleet.Place { return zones("scl", i) },
	}
	noise := rand.New(rand.NewPCG(seed, 2))
	for i := range choiceTargets {
		t := newTarget(cl.loop, i, zones("scl", i), &policy.Service{}, slots)
		t.slowPeriods = drawSlowPeriods(noise, choiceLength+10*time.Second)
		t.recordReports()
		cl.targets = append(cl.targets, t)
	}
	return cl
}

// scheduleArrivals schedules Poisson arrivals from random callers.
func (cl *cluster) scheduleArrivals(seed uint64, perSecond float64, length time.Duration, send func(*call)) {
	arrive := rand.New(rand.NewPCG(seed, 3))
	gap := time.Duration(float64(time.Second) / perSecond)
	var next func()
	next = func() {
		if cl.loop.elapsed() > length {
			return
		}
		caller := arrive.IntN(cl.nCallers)
		if cl.drawCaller != nil {
			caller = cl.drawCaller(arrive)
		}
		c := &call{
			cluster: cl, caller: caller, place: cl.placeOf(caller), arrived: cl.loop.now,
			work: drawServiceTime(arrive, meanService, cl.sigma),
		}
		cl.sent++
		send(c)
		cl.loop.after(drawExponential(arrive, gap), next)
	}
	cl.loop.after(drawExponential(arrive, gap), next)
}

// choiceCase is one configuration of the choice measurement.
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

// choiceRate returns the number of requests per second at the measured load.
func choiceRate() float64 {
	return choiceLoad * float64(choiceTargets*slots) / meanService.Seconds()
}

// run measures a policy under load with stale load reports.
func (c choiceCase) run(b balancer, seed uint64) []Result {
	cl := newCluster(seed, c.perTarget*choiceTargets)
	cl.sigma = c.sigma
	cl.scheduleArrivals(seed, choiceRate(), choiceLength, b.make(cl))
	cl.loop.run(choiceLength + 10*time.Second)
	r := results{caseName: c.name(), policy: b.name, seed: seed}
	r.addLatencies(cl.latencies)
	r.add("AddedP99", cl.addedLatencies.quantile(0.99), "ms")
	r.add("Redirects", float64(cl.redirects)/float64(cl.sent), "per request")
	r.add("Probes", float64(cl.probesSent)/float64(cl.sent), "per request")
	return r.list
}

// chooserPolicy uses core/choice, with redirects when the daemon of a target
// refuses a call.
func chooserPolicy() func(*cluster) func(*call) {
	return func(cl *cluster) func(*call) {
		delays := choice.WithDelays(choice.Delays{SameZone: sameZoneDelay, SameRegion: crossZoneDelay, OtherRegion: crossRegionDelay})
		records := make([]fleet.Target, len(cl.targets))
		byID := make(map[fleet.DaemonID]*target)
		for i, t := range cl.targets {
			records[i] = t.record()
			byID[t.id] = t
		}
		choosers := make([]*choice.Chooser, cl.nCallers)
		for i := range choosers {
			c := choice.New(cl.placeOf(i), delays)
			c.Now = cl.loop.clock
			c.Rand = cl.random.Uint64
			cl.setLinkBudget(i, c)
			c.SetTargets(records)
			choosers[i] = c
		}
		return func(c *call) {
			for _, t := range cl.targets {
				if l, ok := t.reportOlderThan(cl.reportAge); ok {
					choosers[c.caller].ObserveAt(l, cl.loop.now.Add(-cl.reportAge))
				}
			}
			if cl.beforePick != nil {
				cl.beforePick(c, choosers[c.caller])
			}
			c.attempt(choosers[c.caller], byID)
		}
	}
}

// attempt sends the call to the target that the chooser picks, and to another one
// if the target's daemon refuses it.
func (c *call) attempt(chooser *choice.Chooser, byID map[fleet.DaemonID]*target) {
	l := c.cluster.loop
	picked, err := chooser.Pick(choice.Request{Service: service, Tried: c.tried, Urgent: c.urgent, Final: c.final})
	if err != nil {
		panic(err)
	}
	t := byID[picked.Target.Daemon]
	c.cluster.spendLinkBudget(c, t)
	delay := c.cluster.delay(c.place, t.place)
	l.after(delay, func() {
		var ticket *admit.Ticket
		request := c.request
		request.StartBy = picked.StartBy
		submit(t, request, &ticket, func(err *outcome.Error) {
			if err == nil {
				t.run(ticket, c, func() {
					c.finish(delay)
					if c.cluster.onServed != nil {
						c.cluster.onServed(t)
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
				c.cluster.redirects++
				chooser.Observe(hint)
				chooser.Done(picked, choice.Result{Refused: true})
				c.tried = append(c.tried, t.id)
				c.final = c.cluster.allowRedirect != nil && !c.cluster.allowRedirect(c, err)
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
