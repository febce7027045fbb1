package measure

import (
	"fmt"
	"math"
	"strings"
)

// goal is a goal of section 4 of the design page with its figure.
type goal struct {
	text   string
	met    bool
	figure string
}

// The limits of the goals.
const (
	goalReference  = 1.15
	goalSimple     = 0.5
	goalPick       = 1000.0 // ns
	goalProbes     = 0.01
	goalUrgent     = 1.2
	goalInTime     = 99.9
	goalFloor      = 100.0
	goalShift      = 10.0 // ms
	goalGoodput    = 95.0
	goalRecovery   = 2.0 // s
	goalOthers     = 99.0
	goalThroughput = 0.95
)

// goals judges the medians over the seeds; the figure shows the range.
func goals(t *tables) []goal {
	var list []goal
	for _, c := range choiceCases() {
		if t.has(c.name()) {
			list = append(list, choiceGoals(t, c.name())...)
		}
	}
	for _, part := range []func(*tables) []goal{pickGoals, probeGoals, lowFloodGoals, urgentFloodGoals, fleetFloodGoals, organisationGoals, chainGoals, otherGoals} {
		list = append(list, part(t)...)
	}
	return list
}

func atMost(text string, s spread, most float64, unit string) goal {
	return goal{text, s.median <= most, s.figure(unit) + fmt.Sprintf(", at most %g", most)}
}

func atLeast(text string, s spread, least float64, unit string) goal {
	return goal{text, s.median >= least, s.figure(unit) + fmt.Sprintf(", at least %g", least)}
}

func (s spread) figure(unit string) string {
	return strings.TrimSpace(fmt.Sprintf("%.4g [%.4g..%.4g] %s", s.median, s.least, s.greatest, unit))
}

func choiceGoals(t *tables, c string) []goal {
	best, least := "", math.Inf(1)
	for _, p := range []string{"random", "round robin", "own in flight"} {
		if v := t.of(c, p, "P99").median; v < least {
			best, least = p, v
		}
	}
	return []goal{
		atMost(c+": p99 relative to the central queue", t.ratio(c, own, reference, "P99"), goalReference, ""),
		atMost(c+": p99 relative to "+best, t.ratio(c, own, best, "P99"), goalSimple,
			fmt.Sprintf("(central queue %.2f)", t.ratio(c, reference, best, "P99").median)),
	}
}

func pickGoals(t *tables) []goal {
	var list []goal
	for _, known := range pickSizes() {
		p := fmt.Sprintf("%d known targets", known)
		if t.has(pickCase) {
			list = append(list,
				atMost("a pick among "+p, t.of(pickCase, p, "Time"), goalPick, "ns"),
				atMost("allocations of a pick among "+p, t.of(pickCase, p, "Allocations"), 0, ""))
		}
	}
	return list
}

func probeGoals(t *tables) []goal {
	if !t.has(probeCase) {
		return nil
	}
	p := probeName(own, goalProbes)
	return []goal{atMost("probes per request at the default budget", t.of(probeCase, p, "Probes"), goalProbes, "")}
}

func lowFloodGoals(t *tables) []goal {
	c := floodName(len(floodClasses()) - 1)
	if !t.has(c) {
		return nil
	}
	return []goal{
		atMost(c+": lookup p99 relative to no flood", t.of(c, own, "lookup P99 ratio"), goalUrgent, ""),
		atLeast(c+": lookups in time", t.of(c, own, "lookup in time"), goalInTime, "%"),
		atMost(c+": shift after the onset", t.of(c, own, "Shift"), goalShift, "ms"),
		atLeast(c+": goodput by worth of the best", t.of(c, own, "Goodput of best"), goalGoodput, "%"),
		atLeast(c+": goodput after the flood", t.of(c, own, "Goodput after"), goalGoodput, "%"),
	}
}

func urgentFloodGoals(t *tables) []goal {
	c := floodName(0)
	if !t.has(c) {
		return nil
	}
	var list []goal
	for _, k := range floodClasses()[1:] {
		name := string(k.Name)
		list = append(list, atLeast(c+": "+name+" slot time relative to its floor", t.of(c, own, name+" floor kept"), goalFloor, "%"))
	}
	return append(
		list,
		atMost(c+": shift after the onset", t.of(c, own, "Shift"), goalShift, "ms"),
		atLeast(c+": goodput by worth of the best", t.of(c, own, "Goodput of best"), goalGoodput, "%"),
		atLeast(c+": goodput after the flood", t.of(c, own, "Goodput after"), goalGoodput, "%"),
	)
}

func organisationGoals(t *tables) []goal {
	if !t.has(organisationCase) {
		return nil
	}
	return []goal{
		atLeast("organisation beside a flooding one: in time", t.of(organisationCase, own, "second in time"), goalOthers, "%"),
		atLeast("another one: in time", t.of(organisationCase, own, "third in time"), goalOthers, "%"),
	}
}

func chainGoals(t *tables) []goal {
	if !t.has(chainCase) {
		return nil
	}
	naive := t.of(chainCase, naiveRetries, "Recovered")
	return []goal{
		atMost(chainCase+": recovery", t.of(chainCase, own, "Recovery"), goalRecovery, "s"),
		{chainCase + ": naive retries do not recover", naive.greatest == 0, naive.figure("")},
	}
}

func otherGoals(t *tables) []goal {
	var list []goal
	for _, m := range coldModels() {
		if t.has(m.name) {
			list = append(list, atMost(m.name+": p99 relative to no warm-up", t.ratio(m.name, own, "no warm-up", "P99"), 1, ""))
		}
	}
	if t.has(failCase) {
		list = append(list, atMost(failCase+": failed requests", t.of(failCase, own, "Failed"), 100.0/choiceTargets, "% (the fair share of one target)"))
	}
	if t.has(limitCase) {
		list = append(
			list,
			atLeast(limitCase+": throughput relative to the true limit", t.ratio(limitCase, own, trueLimit, "Throughput"), goalThroughput, ""),
			atMost(limitCase+": p99 inside relative to the true limit", t.ratio(limitCase, own, trueLimit, "Inside P99"), goalUrgent, ""),
		)
	}
	if t.has(regionCase) {
		list = append(
			list,
			atMost(regionCase+": p99 relative to the central queue", t.ratio(regionCase, own, reference, "P99"), goalReference, ""),
			atMost(regionCase+": oscillation relative to the central queue", t.ratio(regionCase, own, reference, "Oscillation"), 1, ""),
		)
	}
	if t.has(linkCase) {
		list = append(list, atMost(linkCase+": lookup p99 relative to plain uploads", t.ratio(linkCase, own, plainUploads, "Lookup P99"), goalSimple, ""))
	}
	return list
}
