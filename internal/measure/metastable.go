package measure

import (
	"math/rand/v2"
	"time"

	"pollenscale/core/admit"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/policy"
	"pollenscale/core/retry"
)

// The metastable case is a chain of 9 services. The last one has a single
// target at two thirds of its capacity, which stalls to a tenth of its speed for
// a second.
const (
	chainCase    = "metastable failure, 9 levels"
	naiveRetries = "naive retries"

	levels         = retry.Levels
	chainRate      = 300
	chainTimeout   = 400 * time.Millisecond
	chainBackoff   = 10 * time.Millisecond
	stallFrom      = 2 * time.Second
	stallTo        = 3 * time.Second
	chainLength    = 7 * time.Second
	chainBin       = 100 * time.Millisecond
	chainAttempts  = 2
	chainShare     = 0.2
	recoveredShare = 0.99
)

// chainPolicy says how the calls of the chain are retried.
type chainPolicy struct {
	name string
	// budget makes the budget of a level, nil for none.
	budget func() *retry.Budget
	// share, if set, is the plain retry share of each level.
	share float64
	// deadlines pass downstream, and cancelled calls are cancelled at all levels.
	deadlines bool
}

func chainPolicies() []chainPolicy {
	return []chainPolicy{
		{name: naiveRetries},
		{name: "naive retries, deadlines", deadlines: true},
		{name: "share of 0.2 per level", share: chainShare},
		{name: own, deadlines: true, budget: func() *retry.Budget {
			return retry.New(policy.Retry{Share: chainShare, MaxAttempts: chainAttempts})
		}},
	}
}

type chain struct {
	loop    *loop
	policy  chainPolicy
	target  *target
	work    *rand.Rand
	budgets [levels + 1]*retry.Budget
	tokens  [levels + 1]float64
	bottom  int // attempts at the last level
	sent    []int
	inTime  []int
}

// chainCall is a call at one level. It calls done once.
type chainCall struct {
	level    int
	deadline time.Time
	nested   bool
	done     func(ok, exhausted bool)
}

func measureChain(p chainPolicy, seed uint64) []Result {
	c := &chain{loop: newLoop(), policy: p, work: rand.New(rand.NewPCG(seed, 31))}
	c.target = newTarget(c.loop, 0, fleet.Place{}, &policy.Service{}, slots)
	c.target.tenth = []slowdown{{stallFrom, stallTo}}
	for i := range c.budgets {
		if p.budget != nil {
			c.budgets[i] = p.budget()
		}
	}
	bins := int(chainLength / chainBin)
	c.sent, c.inTime = make([]int, bins+1), make([]int, bins+1)
	c.arrivals(rand.New(rand.NewPCG(seed, 30)))
	c.loop.run(chainLength)
	r := results{name: chainCase, policy: p.name, seed: seed}
	c.report(&r)
	return r.list
}

func (c *chain) arrivals(r *rand.Rand) {
	var next func()
	next = func() {
		c.top()
		c.loop.after(exponential(r, time.Second/chainRate), next)
	}
	c.loop.after(0, next)
}

// top starts a request of a user, who waits for the timeout.
func (c *chain) top() {
	bin := min(int(c.loop.elapsed()/chainBin), len(c.sent)-1)
	c.sent[bin]++
	deadline := c.loop.now.Add(chainTimeout)
	c.call(chainCall{level: 1, deadline: deadline, done: func(ok, _ bool) {
		if ok && !c.loop.now.After(deadline) {
			c.inTime[bin]++
		}
	}}, 1)
}

// call makes an attempt and repeats it when the policy allows. Each attempt has
// a timeout of its own unless deadlines pass downstream.
func (c *chain) call(k chainCall, attempt int) {
	if attempt == 1 {
		c.first(k.level)
	}
	settled := false
	settle := func(ok, exhausted bool) {
		if settled {
			return
		}
		settled = true
		if ok {
			k.done(true, false)
			return
		}
		if c.allow(k, attempt, exhausted) {
			c.loop.after(chainBackoff, func() {
				again := k
				again.nested = k.nested || c.policy.budget != nil
				c.call(again, attempt+1)
			})
			return
		}
		k.done(false, true)
	}
	limit := c.loop.now.Add(chainTimeout)
	if c.policy.deadlines {
		limit = k.deadline
	}
	c.loop.at(limit, func() { settle(false, c.policy.deadlines) })
	c.run(chainCall{level: k.level, deadline: limit, nested: k.nested, done: settle})
}

// run does the work of a level: the last one needs a slot of the target, the
// others call the next level.
func (c *chain) run(k chainCall) {
	if k.level < levels {
		c.call(chainCall{level: k.level + 1, deadline: k.deadline, nested: k.nested, done: k.done}, 1)
		return
	}
	c.bottom++
	w := work(c.work, meanService, lightTail)
	request := admit.Request{}
	if c.policy.deadlines {
		request.Deadline = k.deadline
	}
	var ticket *admit.Ticket
	submit(c.target, request, &ticket, func(err *outcome.Error) {
		if err != nil {
			c.loop.after(regionDelay, func() { k.done(false, false) })
			return
		}
		c.loop.after(c.target.duration(w), func() {
			ticket.Release()
			k.done(true, false)
		})
	})
}

func (c *chain) first(level int) {
	if b := c.budgets[level]; b != nil {
		b.RecordRequest()
	}
	c.tokens[level] = min(c.tokens[level]+c.policy.share, 10)
}

// allow reports whether a failed attempt may be repeated.
func (c *chain) allow(k chainCall, attempt int, exhausted bool) bool {
	if attempt >= chainAttempts || (c.policy.deadlines && !c.loop.now.Before(k.deadline)) {
		return false
	}
	if b := c.budgets[k.level]; b != nil {
		return b.Allow(retry.Attempt{
			Outcome: outcome.NotRun, Reason: outcome.TargetFailed, Idempotent: true,
			Number: attempt, Nested: k.nested || exhausted,
		})
	}
	if c.policy.share > 0 {
		if c.tokens[k.level] < 1 {
			return false
		}
		c.tokens[k.level]--
	}
	return true
}

// report finds the time from the end of the stall until half a second passes
// with nearly all requests in time.
func (c *chain) report(r *results) {
	const steady = 5
	first := int(stallTo / chainBin)
	last := int((chainLength - chainTimeout) / chainBin)
	recovered := time.Duration(-1)
	for b := first; b+steady <= last && recovered < 0; b++ {
		sent, inTime := 0, 0
		for i := b; i < b+steady; i++ {
			sent += c.sent[i]
			inTime += c.inTime[i]
		}
		if float64(inTime) >= recoveredShare*float64(sent) {
			recovered = time.Duration(b-first) * chainBin
		}
	}
	total := 0
	for _, n := range c.sent {
		total += n
	}
	if recovered < 0 {
		r.add("Recovered", 0, "")
		recovered = chainLength - stallTo
	} else {
		r.add("Recovered", 1, "")
	}
	r.add("Recovery", recovered.Seconds(), "s")
	r.add("Attempts at the last level", float64(c.bottom)/float64(total), "per request")
}
