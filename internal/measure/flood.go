package measure

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pollenscale/core/admit"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/policy"
)

// The flood cases run one target of Merrimack. The first cycle is a warm-up.
const (
	floodSlots = 12
	floodLoad  = 5.0
	// organisationCase floods one rank with the requests of one organisation.
	organisationCase = "organisations"
	// shiftBinLength is the resolution at which shiftTime is measured.
	shiftBinLength = 2 * time.Millisecond
)

// class is a rank with its workload.
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

// admission is an admission policy of the flood cases: the configuration of the
// queue and the request attributes that it sees.
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
	unchanged := func(r admit.Request) admit.Request { return r }
	return []admission{
		{"first come, first served", func([]class) *policy.Service { return &policy.Service{} }, func(admit.Request) admit.Request { return admit.Request{} }},
		{"deadlines only", func([]class) *policy.Service { return &policy.Service{} }, unchanged},
		{"ranks without floors", func(classes []class) *policy.Service {
			s := rankService(classes)
			for i := range s.Ranks {
				s.Ranks[i].Floor = 0
			}
			return s
		}, unchanged},
		{"ranks without deadlines", rankService, func(r admit.Request) admit.Request { return admit.Request{Rank: r.Rank} }},
		{ownPolicy, rankService, unchanged},
	}
}

// phase is a part of a flood cycle.
type phase int

const (
	beforeFlood phase = iota
	duringFlood
	afterFlood
	phaseCount
)

// floodSchedule repeats a cycle with a flood between two of its times.
type floodSchedule struct {
	cycle, from, to time.Duration
	cycles          int
}

// longFloods is for measuring the outcomes of requests. shortFloods is for
// measuring how fast the queue reacts, which needs many onsets.
func longFloods() floodSchedule {
	return floodSchedule{5 * time.Second, time.Second, 3 * time.Second, 6}
}

func shortFloods() floodSchedule {
	return floodSchedule{600 * time.Millisecond, 250 * time.Millisecond, 450 * time.Millisecond, 50}
}

func (r floodSchedule) phaseOf(at time.Duration) (phase, time.Duration) {
	offset := at % r.cycle
	switch {
	case offset < r.from:
		return beforeFlood, offset
	case offset < r.to:
		return duringFlood, offset - r.from
	}
	return afterFlood, offset - r.to
}

func (r floodSchedule) length() time.Duration { return r.cycle * time.Duration(r.cycles) }

// tally counts the outcomes of the requests of one class that arrived in one phase.
// Its second part counts the requests that finished in the phase, whenever they
// arrived.
type tally struct {
	offered, inTime, refused int
	offeredWork              time.Duration
	latencies                sample

	finished     int
	finishedWork time.Duration
	usedWork     time.Duration // slot time of all that finished, in time or not
}

// flood is one run of a flood case.
type flood struct {
	loop     *loop
	schedule floodSchedule
	target   *target
	classes  []class
	tallies  [][phaseCount]tally
	// starts counts the starts in a flood by class and time since its onset.
	starts       [][]int
	refusalTimes sample // time from arrival to refusal
}

func newFlood(p admission, classes []class, r floodSchedule) *flood {
	f := &flood{loop: newLoop(), schedule: r, classes: classes, tallies: make([][phaseCount]tally, len(classes))}
	f.target = newTarget(f.loop, 0, zones("boston", 0), p.service(classes), floodSlots)
	f.starts = make([][]int, len(classes))
	for i := range f.starts {
		f.starts[i] = make([]int, int((r.to-r.from)/shiftBinLength))
	}
	return f
}

// offer submits one request of a class to the target.
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
			f.refusalTimes = append(f.refusalTimes, f.loop.now.Sub(arrived))
			return
		}
		f.recordStart(i)
		f.loop.after(f.target.runTime(w), func() {
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

// tally returns the tally of a class for the current phase. In the first cycle it
// returns one that is discarded.
func (f *flood) tally(i int) *tally {
	if f.loop.elapsed() < f.schedule.cycle {
		return &tally{}
	}
	at, _ := f.schedule.phaseOf(f.loop.elapsed())
	return &f.tallies[i][at]
}

func (f *flood) recordStart(i int) {
	if f.loop.elapsed() < f.schedule.cycle {
		return
	}
	if p, since := f.schedule.phaseOf(f.loop.elapsed()); p == duringFlood {
		f.starts[i][int(since/shiftBinLength)]++
	}
}

// scheduleArrivals schedules the requests of a class by thinning a Poisson process
// at the highest rate of the given load.
func (f *flood) scheduleArrivals(p admission, i int, r *rand.Rand, load func(time.Duration) float64, organisation fleet.Organisation) {
	k := f.classes[i]
	var next func()
	highest := max(load(0), load(f.schedule.from))
	gap := time.Duration(float64(k.mean) / (highest * floodSlots))
	next = func() {
		if f.loop.elapsed() > f.schedule.length() {
			return
		}
		keep := r.Float64() < load(f.loop.elapsed())/highest
		w := drawServiceTime(r, k.mean, heavyTail)
		if keep {
			f.offer(p, i, w, organisation)
		}
		f.loop.after(drawExponential(r, gap), next)
	}
	f.loop.after(drawExponential(r, gap), next)
}

func floodName(flooding int) string {
	return fmt.Sprintf("flood of %s at 5x", floodClasses()[flooding].Name)
}

// noFlood in place of a class index selects a run without a flood.
const noFlood = -1

// measureFlood floods one class at five times the capacity of the target and
// compares the result with the same arrivals without the flood.
func measureFlood(p admission, flooding int, seed uint64) []Result {
	without, f := runFlood(p, longFloods(), noFlood, seed), runFlood(p, longFloods(), flooding, seed)
	r := results{caseName: floodName(flooding), policy: p.name, seed: seed}
	f.report(&r, flooding, without)
	r.add("Shift", float64(runFlood(p, shortFloods(), flooding, seed).shiftTime())/float64(time.Millisecond), "ms")
	return r.list
}

func runFlood(p admission, schedule floodSchedule, flooding int, seed uint64) *flood {
	f := newFlood(p, floodClasses(), schedule)
	for i, k := range f.classes {
		r := rand.New(rand.NewPCG(seed, uint64(10+i)))
		f.scheduleArrivals(p, i, r, func(at time.Duration) float64 {
			if now, _ := f.schedule.phaseOf(at); now == duringFlood && i == flooding {
				return floodLoad
			}
			return k.load
		}, "")
	}
	f.loop.run(f.schedule.length() + 20*time.Second)
	return f
}

func (f *flood) report(r *results, flooding int, without *flood) {
	total := float64(f.schedule.cycles-1) * (f.schedule.to - f.schedule.from).Seconds() * floodSlots
	for i, k := range f.classes {
		during, before := &f.tallies[i][duringFlood], &without.tallies[i][duringFlood]
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
	r.add("Goodput of best", 100*f.goodput(duringFlood)/f.bestGoodput(total), "%")
	r.add("Goodput after", 100*f.goodput(afterFlood)/without.goodput(afterFlood), "%")
	r.add("Refusal P99", f.refusalTimes.quantile(0.99), "ms")
}

// goodput returns the total worth of the requests that finished in time in a phase.
func (f *flood) goodput(p phase) float64 {
	var sum float64
	for i, k := range f.classes {
		sum += float64(k.Worth) * float64(f.tallies[i][p].finished)
	}
	return sum
}

// bestGoodput returns the highest goodput possible in a flood with the given slot
// time. Each rank gets its floor, or less if it offers less work, and the remaining
// time goes to the ranks by worth per slot time. Requests that take longer than
// their deadline are not counted.
func (f *flood) bestGoodput(total float64) float64 {
	granted := make([]float64, len(f.classes))
	remaining := total
	for i, k := range f.classes {
		granted[i] = min(f.tallies[i][duringFlood].offeredWork.Seconds(), float64(k.Floor)*total)
		remaining -= granted[i]
	}
	order := make([]int, len(f.classes))
	for i := range order {
		order[i] = i
	}
	density := func(i int) float64 { return float64(f.classes[i].Worth) / f.classes[i].mean.Seconds() }
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(density(b), density(a)) })
	var sum float64
	for _, i := range order {
		t := &f.tallies[i][duringFlood]
		extra := min(remaining, t.offeredWork.Seconds()-granted[i])
		remaining -= extra
		sum += float64(f.classes[i].Worth) * float64(t.offered) * (granted[i] + extra) / t.offeredWork.Seconds()
	}
	return sum
}

// shiftTime returns the time from the onset of a flood until the most urgent class
// reaches the share of starts that it has in the second half of the flood, within
// a tenth or two standard errors.
func (f *flood) shiftTime() time.Duration {
	const window = 3 // bins
	bins := len(f.starts[0])
	steady, _ := f.urgentShare(bins/2, bins)
	for b := range bins / 2 {
		share, count := f.urgentShare(b, b+window)
		noise := 2 * math.Sqrt(steady*(1-steady)/max(1, count))
		if math.Abs(share-steady) <= max(0.1*steady, noise) {
			return time.Duration(b) * shiftBinLength
		}
	}
	return f.schedule.to - f.schedule.from
}

// urgentShare returns the share of the most urgent class among the starts in the
// given bins, and the number of these starts.
func (f *flood) urgentShare(from, to int) (share, count float64) {
	urgent := 0.0
	for i := range f.starts {
		for _, n := range f.starts[i][from:to] {
			count += float64(n)
			if i == 0 {
				urgent += float64(n)
			}
		}
	}
	return urgent / max(1, count), count
}

// measureOrganisations measures a flood of the browse rank by one organisation
// while two others offer a fifth of the capacity each.
func measureOrganisations(p admission, seed uint64) []Result {
	classes := []class{
		{policy.Rank{Name: "browse", Worth: 5, Timeout: 500}, 20 * time.Millisecond, 0.2},
		{policy.Rank{Name: "browse", Worth: 5, Timeout: 500}, 20 * time.Millisecond, 0.2},
		{policy.Rank{Name: "browse", Worth: 5, Timeout: 500}, 20 * time.Millisecond, 0.2},
	}
	names := []fleet.Organisation{"flooding", "second", "third"}
	f := newFlood(p, classes, longFloods())
	for i, k := range classes {
		r := rand.New(rand.NewPCG(seed, uint64(20+i)))
		f.scheduleArrivals(p, i, r, func(at time.Duration) float64 {
			if now, _ := f.schedule.phaseOf(at); now == duringFlood && i == 0 {
				return floodLoad
			}
			return k.load
		}, names[i])
	}
	f.loop.run(f.schedule.length() + 20*time.Second)
	r := results{caseName: organisationCase, policy: p.name, seed: seed}
	for i, name := range names {
		during := &f.tallies[i][duringFlood]
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
		{ownPolicy, func(classes []class) *policy.Service { return rankService(classes[:1]) }, func(r admit.Request) admit.Request { return r }},
	}
}
