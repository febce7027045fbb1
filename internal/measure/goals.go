package measure

import (
	"fmt"
	"math"
	"strings"
)

// goal is a goal of section 4 of the design document with its measured value.
type goal struct {
	text   string
	met    bool
	figure string
}

// Thresholds of the goals.
const (
	goalVsCentralQueue     = 1.15
	goalVsSimplePolicy     = 0.5
	goalPickTime           = 1000.0 // ns
	goalProbesPerRequest   = 0.01
	goalP99Ratio           = 1.2
	goalInTime             = 99.9
	goalFloorKept          = 100.0
	goalShift              = 10.0 // ms
	goalGoodput            = 95.0
	goalRecovery           = 2.0 // s
	goalOtherOrganisations = 99.0
	goalThroughput         = 0.95
)

// goals evaluates the goals by the median over the seeds; figures show the range
// too.
func goals(t *tables) []goal {
	var list []goal
	for _, c := range choiceCases() {
		if t.hasCase(c.name()) {
			list = append(list, choiceGoals(t, c.name())...)
		}
	}
	for _, part := range []func(*tables) []goal{pickGoals, probeGoals, lowFloodGoals, urgentFloodGoals, fleetFloodGoals, organisationGoals, chainGoals, otherGoals} {
		list = append(list, part(t)...)
	}
	return list
}

func atMost(text string, s spread, most float64, unit string) goal {
	return goal{text, s.median <= most, s.format(unit) + fmt.Sprintf(", at most %g", most)}
}

func atLeast(text string, s spread, least float64, unit string) goal {
	return goal{text, s.median >= least, s.format(unit) + fmt.Sprintf(", at least %g", least)}
}

func (s spread) format(unit string) string {
	return strings.TrimSpace(fmt.Sprintf("%.4g [%.4g..%.4g] %s", s.median, s.least, s.greatest, unit))
}

func choiceGoals(t *tables, c string) []goal {
	best, least := "", math.Inf(1)
	for _, p := range []string{"random", "round robin", "own in flight"} {
		if v := t.spread(c, p, "P99").median; v < least {
			best, least = p, v
		}
	}
	return []goal{
		atMost(c+": p99 relative to the central queue", t.ratio(c, ownPolicy, referencePolicy, "P99"), goalVsCentralQueue, ""),
		atMost(c+": p99 relative to "+best, t.ratio(c, ownPolicy, best, "P99"), goalVsSimplePolicy,
			fmt.Sprintf("(central queue %.2f)", t.ratio(c, referencePolicy, best, "P99").median)),
	}
}

func pickGoals(t *tables) []goal {
	var list []goal
	for _, known := range pickSizes() {
		p := fmt.Sprintf("%d known targets", known)
		if t.hasCase(pickCase) {
			list = append(list,
				atMost("a pick among "+p, t.spread(pickCase, p, "Time"), goalPickTime, "ns"),
				atMost("allocations of a pick among "+p, t.spread(pickCase, p, "Allocations"), 0, ""))
		}
	}
	return list
}

func probeGoals(t *tables) []goal {
	if !t.hasCase(probeCase) {
		return nil
	}
	p := probeName(ownPolicy, goalProbesPerRequest)
	return []goal{atMost("probes per request at the default budget", t.spread(probeCase, p, "Probes"), goalProbesPerRequest, "")}
}

func lowFloodGoals(t *tables) []goal {
	c := floodName(len(floodClasses()) - 1)
	if !t.hasCase(c) {
		return nil
	}
	return []goal{
		atMost(c+": lookup p99 relative to no flood", t.spread(c, ownPolicy, "lookup P99 ratio"), goalP99Ratio, ""),
		atLeast(c+": lookups in time", t.spread(c, ownPolicy, "lookup in time"), goalInTime, "%"),
		atMost(c+": shift after the onset", t.spread(c, ownPolicy, "Shift"), goalShift, "ms"),
		atLeast(c+": goodput by worth of the best", t.spread(c, ownPolicy, "Goodput of best"), goalGoodput, "%"),
		atLeast(c+": goodput after the flood", t.spread(c, ownPolicy, "Goodput after"), goalGoodput, "%"),
	}
}

func urgentFloodGoals(t *tables) []goal {
	c := floodName(0)
	if !t.hasCase(c) {
		return nil
	}
	var list []goal
	for _, k := range floodClasses()[1:] {
		name := string(k.Name)
		list = append(list, atLeast(c+": "+name+" slot time relative to its floor", t.spread(c, ownPolicy, name+" floor kept"), goalFloorKept, "%"))
	}
	return append(
		list,
		atMost(c+": shift after the onset", t.spread(c, ownPolicy, "Shift"), goalShift, "ms"),
		atLeast(c+": goodput by worth of the best", t.spread(c, ownPolicy, "Goodput of best"), goalGoodput, "%"),
		atLeast(c+": goodput after the flood", t.spread(c, ownPolicy, "Goodput after"), goalGoodput, "%"),
	)
}

func organisationGoals(t *tables) []goal {
	if !t.hasCase(organisationCase) {
		return nil
	}
	return []goal{
		atLeast("organisation beside a flooding one: in time", t.spread(organisationCase, ownPolicy, "second in time"), goalOtherOrganisations, "%"),
		atLeast("another one: in time", t.spread(organisationCase, ownPolicy, "third in time"), goalOtherOrganisations, "%"),
	}
}

func chainGoals(t *tables) []goal {
	if !t.hasCase(chainCase) {
		return nil
	}
	naive := t.spread(chainCase, naiveRetries, "Recovered")
	return []goal{
		atMost(chainCase+": recovery", t.spread(chainCase, ownPolicy, "Recovery"), goalRecovery, "s"),
		{chainCase + ": naive retries do not recover", naive.greatest == 0, naive.format("")},
	}
}

func otherGoals(t *tables) []goal {
	var list []goal
	for _, m := range coldModels() {
		if t.hasCase(m.name) {
			list = append(list, atMost(m.name+": p99 relative to no warm-up", t.ratio(m.name, ownPolicy, "no warm-up", "P99"), 1, ""))
		}
	}
	if t.hasCase(failCase) {
		list = append(list, atMost(failCase+": failed requests", t.spread(failCase, ownPolicy, "Failed"), 100.0/choiceTargets, "% (the fair share of one target)"))
	}
	if t.hasCase(limitCase) {
		list = append(
			list,
			atLeast(limitCase+": throughput relative to the true limit", t.ratio(limitCase, ownPolicy, trueLimit, "Throughput"), goalThroughput, ""),
			atMost(limitCase+": p99 inside relative to the true limit", t.ratio(limitCase, ownPolicy, trueLimit, "Inside P99"), goalP99Ratio, ""),
		)
	}
	if t.hasCase(regionCase) {
		list = append(
			list,
			atMost(regionCase+": p99 relative to the central queue", t.ratio(regionCase, ownPolicy, referencePolicy, "P99"), goalVsCentralQueue, ""),
			atMost(regionCase+": oscillation relative to the central queue", t.ratio(regionCase, ownPolicy, referencePolicy, "Oscillation"), 1, ""),
		)
	}
	if t.hasCase(linkCase) {
		list = append(list, atMost(linkCase+": lookup p99 relative to plain uploads", t.ratio(linkCase, ownPolicy, plainUploads, "Lookup P99"), goalVsSimplePolicy, ""))
	}
	return list
}
