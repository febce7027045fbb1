package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pollenscale/core/admit"
	"pollenscale/core/outcome"
	"pollenscale/core/policy"
	"pollenscale/core/retry"
)

const (
	fleetFloodFrom = 2 * time.Second
	fleetFloodTo   = 6 * time.Second
	fleetCallers   = 60
)

// fleetTally counts the calls of one class that arrived during the flood.
type fleetTally struct {
	offered, inTime, redirects int
	latencies                  sample
}

func fleetFloodName(flooding int) string {
	return floodName(flooding) + ", six targets with choice"
}

// measureFleetFlood floods six targets through choosers, with the budget for
// redirects, and compares with the same arrivals without the flood.
func measureFleetFlood(flooding int, seed uint64) []Result {
	without, during := fleetFlood(noFlood, seed), fleetFlood(flooding, seed)
	r := results{name: fleetFloodName(flooding), policy: own, seed: seed}
	for i, k := range floodClasses() {
		name := string(k.Name)
		a, b := &without[i], &during[i]
		r.add(name+" P99 flood", b.latencies.quantile(0.99), "ms")
		r.add(name+" P99 ratio", b.latencies.quantile(0.99)/a.latencies.quantile(0.99), "")
		r.add(name+" in time", 100*float64(b.inTime)/float64(b.offered), "%")
		r.add(name+" redirects", float64(b.redirects)/float64(b.offered), "per request")
	}
	return r.list
}

func fleetFlood(flooding int, seed uint64) []fleetTally {
	classes := floodClasses()
	f := newField(seed, fleetCallers)
	for i, t := range f.targets {
		slow := t.slow
		f.targets[i] = newTarget(f.loop, i, t.place, rankService(classes), floodSlots)
		f.targets[i].slow = slow
		f.targets[i].sample()
	}
	tallies := make([]fleetTally, len(classes))
	f.warmUp = 0
	f.finished = func(c *call, took time.Duration) { c.tally(tallies, classes, took) }
	budgets := make([]*retry.Budget, fleetCallers)
	for i := range budgets {
		budgets[i] = retry.New(policy.Retry{MaxAttempts: 1})
	}
	f.refused = func(c *call, err *outcome.Error) bool {
		return budgets[c.caller].Allow(retry.Attempt{
			Outcome: err.Outcome, Reason: err.Reason, Number: 1, Redirects: len(c.tried) - 1, Position: c.position,
		})
	}
	send := pollenscale()(f)
	for i := range classes {
		k := &classes[i]
		f.classArrivals(k, rand.New(rand.NewPCG(seed, uint64(60+i))), i == flooding, func(c *call) {
			budgets[c.caller].RecordRequest()
			c.urgent = i == 0
			c.position = i
			send(c)
		})
	}
	f.loop.run(fleetFloodTo + 5*time.Second)
	return tallies
}

// tally counts a call that ended.
func (c *call) tally(tallies []fleetTally, classes []class, took time.Duration) {
	at := c.arrived.Sub(time.Unix(0, 0))
	if at < fleetFloodFrom || at >= fleetFloodTo {
		return
	}
	for i := range classes {
		if &classes[i] != c.class {
			continue
		}
		t := &tallies[i]
		t.offered++
		t.redirects += len(c.tried)
		if c.failed {
			return
		}
		t.latencies = append(t.latencies, took)
		if took <= c.class.Timeout.Duration() {
			t.inTime++
		}
	}
}

// classArrivals schedules the calls of a class, at five times the capacity
// during the flood when it floods.
func (f *field) classArrivals(k *class, r *rand.Rand, floods bool, send func(*call)) {
	var next func()
	next = func() {
		now := f.loop.elapsed()
		if now > fleetFloodTo {
			return
		}
		load := k.load
		if floods && now >= fleetFloodFrom {
			load = floodTimes
		}
		caller := r.IntN(f.callers)
		send(&call{
			field: f, caller: caller, place: f.places(caller), arrived: f.loop.now, class: k,
			work:    work(r, k.mean, heavyTail),
			request: admit.Request{Rank: k.Name, Deadline: f.loop.now.Add(k.Timeout.Duration())},
		})
		f.loop.after(exponential(r, time.Duration(float64(k.mean)/(load*floodSlots*choiceTargets))), next)
	}
	f.loop.after(0, next)
}

func fleetFloodJobs() []job {
	var list []job
	for _, flooding := range []int{len(floodClasses()) - 1, 0} {
		list = append(list, job{fleetFloodName(flooding), own, func(s uint64) []Result { return measureFleetFlood(flooding, s) }})
	}
	return list
}

func fleetFloodGoals(t *tables) []goal {
	c := fleetFloodName(len(floodClasses()) - 1)
	if !t.has(c) {
		return nil
	}
	return []goal{
		atMost(fmt.Sprint(c, ": lookup p99 relative to no flood"), t.of(c, own, "lookup P99 ratio"), goalUrgent, ""),
		atLeast(fmt.Sprint(c, ": lookups in time"), t.of(c, own, "lookup in time"), goalInTime, "%"),
	}
}
