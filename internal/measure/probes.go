package measure

import (
	"fmt"
	"time"

	"pollenscale/core/choice"
	"pollenscale/core/policy"
	"pollenscale/core/probe"
)

// probeShares are the probes per request that are compared; the first sends none.
func probeShares() []float64 { return []float64{0, 0.01, 0.1, 1, 3, 10} }

const (
	probeCase      = "probe budget"
	probePerTarget = 10
	probeBytes     = 120
)

func probeName(name string, perRequest float64) string {
	return fmt.Sprintf("%s, %g probes per request", name, perRequest)
}

// measureProbes measures tail latency against the probe budget. Callers know
// what their own responses and probes told them, nothing else.
func measureProbes(name string, perRequest float64, seed uint64) []Result {
	f := newField(seed, probePerTarget*choiceTargets)
	f.stale = time.Hour // no reports but probes and responses
	f.probeShare = perRequest
	b := balancer{own, probing}
	if name != own {
		b = balancer{name, pooledProbing}
	}
	f.arrivals(seed, choiceRate(), choiceLength, b.make(f))
	f.loop.run(choiceLength + 10*time.Second)
	r := results{name: probeCase, policy: probeName(name, perRequest), seed: seed}
	r.latencies(f.latencies)
	r.add("Redirects", float64(f.redirects)/float64(f.sent), "per request")
	r.add("Probes", float64(f.probed)/float64(f.sent), "per request")
	return r.list
}

// probing is the policy of core/choice with probes under both budgets of
// core/probe.
func probing(f *field) func(*call) {
	now := f.loop.now
	gates := make([]*probe.Limiter, len(f.targets))
	for i := range gates {
		gates[i] = probe.NewLimiter(policy.Share(max(1e-9, f.probeShare)), now)
	}
	perCaller := f.probeShare * choiceRate() / float64(f.callers)
	budgets := make([]*probe.Budget, f.callers)
	for i := range budgets {
		budgets[i] = probe.New(perCaller, 1<<20, now)
	}
	f.onProbe = func(c *call, chooser *choice.Chooser) {
		for range max(1, int(f.probeShare)) {
			i := f.random.IntN(len(f.targets))
			t := f.targets[i]
			if f.probeShare == 0 || !budgets[c.caller].Allow(f.loop.now, probeBytes) {
				return
			}
			f.probed++
			delay := f.delay(c.place, t.place)
			f.loop.after(delay, func() {
				if !gates[i].Allow(f.loop.now) {
					return
				}
				l := t.load()
				f.loop.after(delay, func() { chooser.Observe(l) })
			})
		}
	}
	f.onServed = func(t *target) {
		for i := range f.targets {
			if f.targets[i] == t {
				gates[i].RecordRequest()
			}
		}
	}
	return pollenscale()(f)
}
