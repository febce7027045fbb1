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

// The metastable failure case is a call chain of 9 services. The last one has a
// single target, which is loaded to two thirds of its capacity and slows down to a
// tenth of its speed for one second.
const (
	chainCase    = "metastable failure, 9 levels"
	naiveRetries = "naive retries"

	chainLevels    = retry.Levels
	chainRate      = 300
	chainTimeout   = 400 * time.Millisecond
	chainBackoff   = 10 * time.Millisecond
	stallFrom      = 2 * time.Second
	stallTo        = 3 * time.Second
	chainLength    = 7 * time.Second
	chainBinLength = 100 * time.Millisecond
	chainAttempts  = 2
	chainShare     = 0.2
	recoveredShare = 0.99
)

// chainPolicy defines how the calls of the chain are retried.
type chainPolicy struct {
	name string
	// budget creates the retry budget of a level; nil for none.
	budget func() *retry.Budget
	// levelShare, if not zero, is the ratio of retries to requests allowed at each
	// level by a token bucket.
	levelShare float64
	// propagateDeadlines passes the deadline downstream, so that a call ends at all
	// levels when it expires.
	propagateDeadlines bool
}

func chainPolicies() []chainPolicy {
	return []chainPolicy{
		{name: naiveRetries},
		{name: "naive retries, deadlines", propagateDeadlines: true},
		{name: "share of 0.2 per level", levelShare: chainShare},
		{name: ownPolicy, propagateDeadlines: true, budget: func() *retry.Budget {
			return retry.New(policy.Retry{Share: chainShare, MaxAttempts: chainAttempts})
		}},
	}
}

type chain struct {
	loop              *loop
	policy            chainPolicy
	target            *target
	random            *rand.Rand
	budgets           [chainLevels + 1]*retry.Budget
	tokens            [chainLevels + 1]float64
	lastLevelAttempts int // attempts at the last level
	sent              []int
	inTime            []int
}

// chainCall is a call at one level. done is called once.
type chainCall struct {
	level    int
	deadline time.Time
	nested   bool
	done     func(ok, exhausted bool)
}

func measureChain(p chainPolicy, seed uint64) []Result {
	c := &chain{loop: newLoop(), policy: p, random: rand.New(rand.NewPCG(seed, 31))}
	c.target = newTarget(c.loop, 0, fleet.Place{}, &policy.Service{}, slots)
	c.target.stalls = []slowPeriod{{stallFrom, stallTo}}
	for i := range c.budgets {
		if p.budget != nil {
			c.budgets[i] = p.budget()
		}
	}
	bins := int(chainLength / chainBinLength)
	c.sent, c.inTime = make([]int, bins+1), make([]int, bins+1)
	c.scheduleArrivals(rand.New(rand.NewPCG(seed, 30)))
	c.loop.run(chainLength)
	r := results{caseName: chainCase, policy: p.name, seed: seed}
	c.report(&r)
	return r.list
}

func (c *chain) scheduleArrivals(r *rand.Rand) {
	var next func()
	next = func() {
		c.startRequest()
		c.loop.after(drawExponential(r, time.Second/chainRate), next)
	}
	c.loop.after(0, next)
}

// startRequest starts a user request, which is in time if it is answered within
// the timeout.
func (c *chain) startRequest() {
	bin := min(int(c.loop.elapsed()/chainBinLength), len(c.sent)-1)
	c.sent[bin]++
	deadline := c.loop.now.Add(chainTimeout)
	c.call(chainCall{level: 1, deadline: deadline, done: func(ok, _ bool) {
		if ok && !c.loop.now.After(deadline) {
			c.inTime[bin]++
		}
	}}, 1)
}

// call makes an attempt and retries it if the policy allows. Each attempt has its
// own timeout unless deadlines are propagated.
func (c *chain) call(k chainCall, attempt int) {
	if attempt == 1 {
		c.recordFirst(k.level)
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
		if c.allowRetry(k, attempt, exhausted) {
			c.loop.after(chainBackoff, func() {
				retried := k
				retried.nested = k.nested || c.policy.budget != nil
				c.call(retried, attempt+1)
			})
			return
		}
		k.done(false, true)
	}
	deadline := c.loop.now.Add(chainTimeout)
	if c.policy.propagateDeadlines {
		deadline = k.deadline
	}
	c.loop.at(deadline, func() { settle(false, c.policy.propagateDeadlines) })
	c.run(chainCall{level: k.level, deadline: deadline, nested: k.nested, done: settle})
}

// run executes the work of a level. The last level uses a slot of the target; the
// others call the next level.
func (c *chain) run(k chainCall) {
	if k.level < chainLevels {
		c.call(chainCall{level: k.level + 1, deadline: k.deadline, nested: k.nested, done: k.done}, 1)
		return
	}
	c.lastLevelAttempts++
	w := drawServiceTime(c.random, meanService, lightTail)
	request := admit.Request{}
	if c.policy.propagateDeadlines {
		request.Deadline = k.deadline
	}
	var ticket *admit.Ticket
	submit(c.target, request, &ticket, func(err *outcome.Error) {
		if err != nil {
			c.loop.after(crossZoneDelay, func() { k.done(false, false) })
			return
		}
		c.loop.after(c.target.runTime(w), func() {
			ticket.Release()
			k.done(true, false)
		})
	})
}

func (c *chain) recordFirst(level int) {
	if b := c.budgets[level]; b != nil {
		b.RecordRequest()
	}
	c.tokens[level] = min(c.tokens[level]+c.policy.levelShare, 10)
}

// allowRetry reports whether a failed attempt may be retried.
func (c *chain) allowRetry(k chainCall, attempt int, exhausted bool) bool {
	if attempt >= chainAttempts || (c.policy.propagateDeadlines && !c.loop.now.Before(k.deadline)) {
		return false
	}
	if b := c.budgets[k.level]; b != nil {
		return b.Allow(retry.Attempt{
			Outcome: outcome.NotRun, Reason: outcome.TargetFailed, Idempotent: true,
			Number: attempt, Nested: k.nested || exhausted,
		})
	}
	if c.policy.levelShare > 0 {
		if c.tokens[k.level] < 1 {
			return false
		}
		c.tokens[k.level]--
	}
	return true
}

// report adds the recovery time: from the end of the stall to the first half
// second in which recoveredShare of the requests were in time.
func (c *chain) report(r *results) {
	const steady = 5
	first := int(stallTo / chainBinLength)
	last := int((chainLength - chainTimeout) / chainBinLength)
	recovered := time.Duration(-1)
	for b := first; b+steady <= last && recovered < 0; b++ {
		sent, inTime := 0, 0
		for i := b; i < b+steady; i++ {
			sent += c.sent[i]
			inTime += c.inTime[i]
		}
		if float64(inTime) >= recoveredShare*float64(sent) {
			recovered = time.Duration(b-first) * chainBinLength
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
	r.add("Attempts at the last level", float64(c.lastLevelAttempts)/float64(total), "per request")
}
