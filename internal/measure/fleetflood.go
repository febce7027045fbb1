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

// fleetTally counts the outcomes of the calls of one class that arrived during the
// flood.
type fleetTally struct {
	offered, inTime, redirects int
	latencies                  sample
}

func fleetFloodName(flooding int) string {
	return floodName(flooding) + ", six targets with choice"
}

// measureFleetFlood floods six targets, with core/choice and a budget for
// redirects, and compares the result with the same arrivals without the flood.
func measureFleetFlood(flooding int, seed uint64) []Result {
	without, during := runFleetFlood(noFlood, seed), runFleetFlood(flooding, seed)
	r := results{caseName: fleetFloodName(flooding), policy: ownPolicy, seed: seed}
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

func runFleetFlood(flooding int, seed uint64) []fleetTally {
	classes := floodClasses()
	cl := newCluster(seed, fleetCallers)
	for i, t := range cl.targets {
		slow := t.slowPeriods
		cl.targets[i] = newTarget(cl.loop, i, t.place, rankService(classes), floodSlots)
		cl.targets[i].slowPeriods = slow
		cl.targets[i].recordReports()
	}
	tallies := make([]fleetTally, len(classes))
	cl.warmUp = 0
	cl.onFinished = func(c *call, took time.Duration) { c.addTo(tallies, classes, took) }
	budgets := make([]*retry.Budget, fleetCallers)
	for i := range budgets {
		budgets[i] = retry.New(policy.Retry{MaxAttempts: 1})
	}
	cl.allowRedirect = func(c *call, err *outcome.Error) bool {
		return budgets[c.caller].Allow(retry.Attempt{
			Outcome: err.Outcome, Reason: err.Reason, Number: 1, Redirects: len(c.tried) - 1, Position: c.rankPosition,
		})
	}
	send := chooserPolicy()(cl)
	for i := range classes {
		k := &classes[i]
		cl.scheduleClassArrivals(k, rand.New(rand.NewPCG(seed, uint64(60+i))), i == flooding, func(c *call) {
			budgets[c.caller].RecordRequest()
			c.urgent = i == 0
			c.rankPosition = i
			send(c)
		})
	}
	cl.loop.run(fleetFloodTo + 5*time.Second)
	return tallies
}

// addTo counts a finished call in the tally of its class.
func (c *call) addTo(tallies []fleetTally, classes []class, took time.Duration) {
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

// scheduleClassArrivals schedules the calls of a class. A class that floods arrives
// at five times the capacity during the flood.
func (cl *cluster) scheduleClassArrivals(k *class, r *rand.Rand, floods bool, send func(*call)) {
	var next func()
	next = func() {
		now := cl.loop.elapsed()
		if now > fleetFloodTo {
			return
		}
		load := k.load
		if floods && now >= fleetFloodFrom {
			load = floodLoad
		}
		caller := r.IntN(cl.nCallers)
		send(&call{
			cluster: cl, caller: caller, place: cl.placeOf(caller), arrived: cl.loop.now, class: k,
			work:    drawServiceTime(r, k.mean, heavyTail),
			request: admit.Request{Rank: k.Name, Deadline: cl.loop.now.Add(k.Timeout.Duration())},
		})
		cl.loop.after(drawExponential(r, time.Duration(float64(k.mean)/(load*floodSlots*choiceTargets))), next)
	}
	cl.loop.after(0, next)
}

func fleetFloodJobs() []job {
	var list []job
	for _, flooding := range []int{len(floodClasses()) - 1, 0} {
		list = append(list, job{fleetFloodName(flooding), ownPolicy, func(s uint64) []Result { return measureFleetFlood(flooding, s) }})
	}
	return list
}

func fleetFloodGoals(t *tables) []goal {
	c := fleetFloodName(len(floodClasses()) - 1)
	if !t.hasCase(c) {
		return nil
	}
	return []goal{
		atMost(fmt.Sprint(c, ": lookup p99 relative to no flood"), t.spread(c, ownPolicy, "lookup P99 ratio"), goalP99Ratio, ""),
		atLeast(fmt.Sprint(c, ": lookups in time"), t.spread(c, ownPolicy, "lookup in time"), goalInTime, "%"),
	}
}
