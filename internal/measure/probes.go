package measure

import (
	"fmt"
	"time"

	"pollenscale/core/choice"
	"pollenscale/core/policy"
	"pollenscale/core/probe"
)

// probeRates returns the compared numbers of probes per request; the first
// disables probing.
func probeRates() []float64 { return []float64{0, 0.01, 0.1, 1, 3, 10} }

const (
	probeCase      = "probe budget"
	probePerTarget = 10
	probeBytes     = 120
)

func probeName(name string, perRequest float64) string {
	return fmt.Sprintf("%s, %g probes per request", name, perRequest)
}

// measureProbes measures tail latency for a probe budget. Callers know the load of
// targets only from their own responses and probes.
func measureProbes(name string, perRequest float64, seed uint64) []Result {
	cl := newCluster(seed, probePerTarget*choiceTargets)
	cl.reportAge = time.Hour // disables load reports other than probes and responses
	cl.probesPerRequest = perRequest
	b := balancer{ownPolicy, chooserWithProbes}
	if name != ownPolicy {
		b = balancer{name, pooledProbing}
	}
	cl.scheduleArrivals(seed, choiceRate(), choiceLength, b.make(cl))
	cl.loop.run(choiceLength + 10*time.Second)
	r := results{caseName: probeCase, policy: probeName(name, perRequest), seed: seed}
	r.addLatencies(cl.latencies)
	r.add("Redirects", float64(cl.redirects)/float64(cl.sent), "per request")
	r.add("Probes", float64(cl.probesSent)/float64(cl.sent), "per request")
	return r.list
}

// chooserWithProbes uses core/choice with probes, which are limited by the budget
// of the caller and the limiter of the target in core/probe.
func chooserWithProbes(cl *cluster) func(*call) {
	now := cl.loop.now
	limiters := make([]*probe.Limiter, len(cl.targets))
	for i := range limiters {
		limiters[i] = probe.NewLimiter(policy.Share(max(1e-9, cl.probesPerRequest)), now)
	}
	perCaller := cl.probesPerRequest * choiceRate() / float64(cl.nCallers)
	budgets := make([]*probe.Budget, cl.nCallers)
	for i := range budgets {
		budgets[i] = probe.New(perCaller, 1<<20, now)
	}
	cl.beforePick = func(c *call, chooser *choice.Chooser) {
		for range max(1, int(cl.probesPerRequest)) {
			i := cl.random.IntN(len(cl.targets))
			t := cl.targets[i]
			if cl.probesPerRequest == 0 || !budgets[c.caller].Allow(cl.loop.now, probeBytes) {
				return
			}
			cl.probesSent++
			delay := cl.delay(c.place, t.place)
			cl.loop.after(delay, func() {
				if !limiters[i].Allow(cl.loop.now) {
					return
				}
				l := t.load()
				cl.loop.after(delay, func() { chooser.Observe(l) })
			})
		}
	}
	cl.onServed = func(t *target) {
		for i := range cl.targets {
			if cl.targets[i] == t {
				limiters[i].RecordRequest()
			}
		}
	}
	return chooserPolicy()(cl)
}
