package measure

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pollenscale/core/admit"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/policy"
)

// The flood cases run one target of Merrimack with a flood in the middle of
// each cycle. The first cycle warms up.
const (
	floodSlots  = 12
	floodCycle  = 5 * time.Second
	floodFrom   = 1 * time.Second
	floodTo     = 3 * time.Second
	floodCycles = 6
	floodTimes  = 5.0
	// shiftBin is the resolution of the reaction to a flood.
	shiftBin = 2 * time.Millisecond
)

// class is a rank with the work that it brings.
type class struct {
	policy.Rank
	mean time.Duration
	load float64 // share of the target's capacity without a flood
}

func floodClasses() []class {
	return []class{
		{policy.Rank{Name: "lookup", Worth: 100, Timeout: 100, Floor: 0.10}, 5 * time.Millisecond, 0.15},
		{policy.Rank{Name: "booking", Worth: 60, Timeout: 1000, Floor: 0.15}, 20 * time.Millisecond, 0.25},
		{policy.Rank{Name: "browse", Worth: 5, Timeout: 2000, Floor: 0.05}, 20 * time.Millisecond, 0.20},
		{policy.Rank{Name: "report", Worth: 1, Timeout: 1000, Floor: 0.03}, 40 * time.Millisecond, 0.10},
	}
}

// admission is a policy of the flood cases: how the queue is set up and what a
// request tells it.
type admission struct {
	name    string
	service func([]class) *policy.Service
	request func(admit.Request) admit.Request
}

func rankService(classes []class) *policy.Service {
	s := &policy.Service{}
	for _, c := range classes {
		s.Ranks = append(s.Ranks, c.Rank)
	}
	return s
}

func admissions() []admission {
	same := func(r admit.Request) admit.Request { return r }
	return []admission{
		{"first come, first served", func([]class) *policy.Service { return &policy.Service{} }, func(admit.Request) admit.Request { return admit.Request{} }},
		{"deadlines only", func([]class) *policy.Service { return &policy.Service{} }, same},
		{"ranks without floors", func(classes []class) *policy.Service {
			s := rankService(classes)
			for i := range s.Ranks {
				s.Ranks[i].Floor = 0
			}
			return s
		}, same},
		{"ranks without deadlines", rankService, func(r admit.Request) admit.Request { return admit.Request{Rank: r.Rank} }},
		{own, rankService, same},
	}
}

// phase is a part of a cycle.
type phase int

const (
	calm phase = iota
	flooded
	after
	phases
)

func phaseOf(at time.Duration) (phase, time.Duration) {
	in := at % floodCycle
	switch {
	case in < floodFrom:
		return calm, in
	case in < floodTo:
		return flooded, in - floodFrom
	}
	return after, in - floodTo
}

// tally counts what became of the requests of one class that arrived in one
// phase, and what finished in time in the phase, whenever it arrived.
type tally struct {
	offered, inTime, refused int
	offeredWork              time.Duration
	latencies                sample

	finished     int
	finishedWork time.Duration
	usedWork     time.Duration // slot time, in time or not
}

// flood is one run of a flood case.
type flood struct {
	loop    *loop
	target  *target
	classes []class
	tallies [][phases]tally
	// starts counts starts by class and time since the onset.
	starts  [][]int
	refusal sample // time from arrival to refusal
}

func newFlood(p admission, classes []class) *flood {
	f := &flood{loop: newLoop(), classes: classes, tallies: make([][phases]tally, len(classes))}
	f.target = newTarget(f.loop, 0, zones("boston", 0), p.service(classes), floodSlots)
	f.starts = make([][]int, len(classes))
	for i := range f.starts {
		f.starts[i] = make([]int, int((floodTo-floodFrom)/shiftBin))
	}
	return f
}

// offer sends one request of a class to the target.
func (f *flood) offer(p admission, i int, w time.Duration, organisation fleet.Organisation) {
	k := f.classes[i]
	arrived := f.loop.now
	deadline := arrived.Add(k.Timeout.Duration())
	t := f.tally(i)
	t.offered++
	if w <= k.Timeout.Duration() {
		t.offeredWork += w
	}
	var ticket *admit.Ticket
	request := p.request(admit.Request{Rank: k.Name, Deadline: deadline, Organisation: organisation})
	submit(f.target, request, &ticket, func(err *outcome.Error) {
		if err != nil {
			t.refused++
			f.refusal = append(f.refusal, f.loop.now.Sub(arrived))
			return
		}
		f.started(i)
		f.loop.after(f.target.duration(w), func() {
			ticket.Release()
			t.latencies = append(t.latencies, f.loop.now.Sub(arrived))
			now := f.tally(i)
			now.usedWork += w
			if !f.loop.now.After(deadline) {
				t.inTime++
				now.finished++
				now.finishedWork += w
			}
		})
	})
}

// tally returns the counts of a class in the present phase. Those of the first
// cycle are ignored.
func (f *flood) tally(i int) *tally {
	if f.loop.elapsed() < floodCycle {
		return &tally{}
	}
	at, _ := phaseOf(f.loop.elapsed())
	return &f.tallies[i][at]
}

func (f *flood) started(i int) {
	if f.loop.elapsed() < floodCycle {
		return
	}
	if p, since := phaseOf(f.loop.elapsed()); p == flooded {
		f.starts[i][int(since/shiftBin)]++
	}
}

// arrivals schedules the requests of a class, at a multiple of its rate during
// floods.
func (f *flood) arrivals(p admission, i int, r *rand.Rand, load func(time.Duration) float64, organisation fleet.Organisation) {
	k := f.classes[i]
	var next func()
	// Thinning: candidates come at the highest rate.
	most := max(load(0), load(floodFrom))
	gap := time.Duration(float64(k.mean) / (most * floodSlots))
	next = func() {
		if f.loop.elapsed() > floodCycle*floodCycles {
			return
		}
		keep := r.Float64() < load(f.loop.elapsed())/most
		w := work(r, k.mean, heavyTail)
		if keep {
			f.offer(p, i, w, organisation)
		}
		f.loop.after(exponential(r, gap), next)
	}
	f.loop.after(exponential(r, gap), next)
}

// noFlood stands for the run without a flood.
const noFlood = -1

// measureFlood floods one class at five times the capacity, and compares with
// the same arrivals without the flood.
func measureFlood(p admission, flooding int, seed uint64) []Result {
	calm, f := runFlood(p, noFlood, seed), runFlood(p, flooding, seed)
	r := results{name: fmt.Sprintf("flood of %s at 5x", f.classes[flooding].Name), policy: p.name, seed: seed}
	f.report(&r, flooding, calm)
	return r.list
}

func runFlood(p admission, flooding int, seed uint64) *flood {
	f := newFlood(p, floodClasses())
	for i, k := range f.classes {
		r := rand.New(rand.NewPCG(seed, uint64(10+i)))
		f.arrivals(p, i, r, func(at time.Duration) float64 {
			if now, _ := phaseOf(at); now == flooded && i == flooding {
				return floodTimes
			}
			return k.load
		}, "")
	}
	f.loop.run(floodCycle*floodCycles + 20*time.Second)
	return f
}

func (f *flood) report(r *results, flooding int, without *flood) {
	total := float64(floodCycles-1) * (floodTo - floodFrom).Seconds() * floodSlots
	for i, k := range f.classes {
		during, before := &f.tallies[i][flooded], &without.tallies[i][flooded]
		name := string(k.Name)
		r.add(name+" P99 without", before.latencies.quantile(0.99), "ms")
		r.add(name+" P99 flood", during.latencies.quantile(0.99), "ms")
		r.add(name+" P99 ratio", during.latencies.quantile(0.99)/before.latencies.quantile(0.99), "")
		r.add(name+" in time", 100*float64(during.inTime)/float64(during.offered), "%")
		r.add(name+" in time without", 100*float64(before.inTime)/float64(before.offered), "%")
		r.add(name+" slot time", 100*during.finishedWork.Seconds()/total, "%")
		if i != flooding {
			kept := during.usedWork.Seconds() / min(during.offeredWork.Seconds(), float64(k.Floor)*total)
			r.add(name+" floor kept", 100*kept, "%")
		}
	}
	r.add("Goodput of best", 100*f.goodput(flooded)/f.best(total), "%")
	r.add("Goodput after", 100*f.goodput(after)/without.goodput(after), "%")
	r.add("Shift", float64(f.shift())/float64(time.Millisecond), "ms")
	r.add("Refusal P99", f.refusal.quantile(0.99), "ms")
}

// goodput is the worth of the requests that finished in time in a phase.
func (f *flood) goodput(p phase) float64 {
	var sum float64
	for i, k := range f.classes {
		sum += float64(k.Worth) * float64(f.tallies[i][p].finished)
	}
	return sum
}

// best is the greatest worth possible in a flood with the given slot time: each
// rank gets its floor, or less when it asks for less, and the rest goes by worth
// per slot time. Requests that take longer than their deadline cannot count.
func (f *flood) best(total float64) float64 {
	given := make([]float64, len(f.classes))
	left := total
	for i, k := range f.classes {
		given[i] = min(f.tallies[i][flooded].offeredWork.Seconds(), float64(k.Floor)*total)
		left -= given[i]
	}
	order := make([]int, len(f.classes))
	for i := range order {
		order[i] = i
	}
	density := func(i int) float64 { return float64(f.classes[i].Worth) / f.classes[i].mean.Seconds() }
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(density(b), density(a)) })
	var sum float64
	for _, i := range order {
		t := &f.tallies[i][flooded]
		more := min(left, t.offeredWork.Seconds()-given[i])
		left -= more
		sum += float64(f.classes[i].Worth) * float64(t.offered) * (given[i] + more) / t.offeredWork.Seconds()
	}
	return sum
}

// shift is the time from the onset until the most urgent class has the share of
// starts that it has in the whole flood, within a tenth.
func (f *flood) shift() time.Duration {
	bins := len(f.starts[0])
	share := func(from, to int) float64 {
		mine, all := 0, 0
		for i := range f.starts {
			for _, n := range f.starts[i][from:to] {
				all += n
				if i == 0 {
					mine += n
				}
			}
		}
		return float64(mine) / max(1, float64(all))
	}
	steady := share(bins/2, bins)
	for b := range bins / 2 {
		// Five bins smooth the small counts of a single one.
		if s := share(b, b+5); s >= 0.9*steady && s <= 1.1*steady+0.05 {
			return time.Duration(b) * shiftBin
		}
	}
	return floodTo - floodFrom
}

// measureOrganisations lets one organisation flood the browse rank while two
// others ask for a fifth of the capacity each.
func measureOrganisations(p admission, seed uint64) []Result {
	classes := []class{
		{policy.Rank{Name: "browse", Worth: 5, Timeout: 500}, 20 * time.Millisecond, 0.2},
		{policy.Rank{Name: "browse", Worth: 5, Timeout: 500}, 20 * time.Millisecond, 0.2},
		{policy.Rank{Name: "browse", Worth: 5, Timeout: 500}, 20 * time.Millisecond, 0.2},
	}
	names := []fleet.Organisation{"flooding", "second", "third"}
	f := newFlood(p, classes)
	for i, k := range classes {
		r := rand.New(rand.NewPCG(seed, uint64(20+i)))
		f.arrivals(p, i, r, func(at time.Duration) float64 {
			if now, _ := phaseOf(at); now == flooded && i == 0 {
				return floodTimes
			}
			return k.load
		}, names[i])
	}
	f.loop.run(floodCycle*floodCycles + 20*time.Second)
	r := results{name: "organisations", policy: p.name, seed: seed}
	for i, name := range names {
		during := &f.tallies[i][flooded]
		r.add(string(name)+" in time", 100*float64(during.inTime)/float64(during.offered), "%")
		r.add(string(name)+" P99", during.latencies.quantile(0.99), "ms")
	}
	return r.list
}

func organisationAdmissions() []admission {
	return []admission{
		{"one queue", func([]class) *policy.Service { return &policy.Service{} }, func(r admit.Request) admit.Request {
			return admit.Request{Deadline: r.Deadline}
		}},
		{own, func(classes []class) *policy.Service { return rankService(classes[:1]) }, func(r admit.Request) admit.Request { return r }},
	}
}
