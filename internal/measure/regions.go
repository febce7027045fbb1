package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"pollenscale/core/choice"
	"pollenscale/core/fleet"
	"pollenscale/core/link"
)

// The region cases have one target in each of two zones of three regions. One
// region is offered more than its capacity, the others half of theirs.
const (
	regionCase   = "regions"
	linkCase     = "uploads and lookups on a link"
	plainUploads = "plain uploads"

	regionLoad    = 1.3
	otherLoad     = 0.5
	regionLength  = 20 * time.Second
	regionBin     = 100 * time.Millisecond
	requestBytes  = 20 << 10
	regionCallers = 60
)

func regionNames() []fleet.Region { return []fleet.Region{"scl", "gru", "bog"} }

func regionPlace(i int) fleet.Place { return zones(regionNames()[i/2%3], i) }

// regionPolicy is a policy with a budget of bytes per second between regions;
// zero means no bound.
type regionPolicy struct {
	balancer
	budget fleet.Bytes
}

func regionPolicies() []regionPolicy {
	list := []regionPolicy{
		{balancer{reference, central(true)}, 0},
		{balancer{"own region only", simple(homeOnly)}, 0},
		{balancer{"any region at random", simple(anywhere)}, 0},
		{balancer{"threshold on stale reports", simple(staleThreshold)}, 0},
	}
	for _, budget := range []fleet.Bytes{0, 200_000, 50_000, 10_000} {
		b := balancer{own, pollenscale()}
		if budget > 0 {
			b.name = fmt.Sprintf("%s, %d KB/s per caller and pair", own, budget/1000)
		}
		list = append(list, regionPolicy{b, budget})
	}
	return list
}

func (f *field) home(c *call) []int {
	var list []int
	for i, t := range f.targets {
		if t.place.Region == c.place.Region {
			list = append(list, i)
		}
	}
	return list
}

func homeOnly(f *field, _ []caller) func(*call) int {
	return func(c *call) int {
		home := f.home(c)
		return home[f.random.IntN(len(home))]
	}
}

func anywhere(f *field, _ []caller) func(*call) int {
	return func(*call) int { return f.random.IntN(len(f.targets)) }
}

// staleThreshold leaves the region when the reported wait at home exceeds the
// way there and back.
func staleThreshold(f *field, _ []caller) func(*call) int {
	all := f.all()
	return func(c *call) int {
		cost := func(i int) float64 {
			l, _ := f.targets[i].stale(f.stale)
			return l.WaitLow.Seconds()
		}
		best := f.least(f.home(c), cost)
		if cost(best) <= (2 * farDelay).Seconds() {
			return best
		}
		return f.least(all, cost)
	}
}

func measureRegions(p regionPolicy, seed uint64) []Result {
	f := newField(seed, regionCallers)
	f.places = regionPlace
	for i, t := range f.targets {
		t.place = regionPlace(i)
	}
	if p.budget > 0 {
		f.links = make([]*link.Budgets, regionCallers)
		for i := range f.links {
			f.links[i] = link.New(p.budget)
		}
	}
	f.bins = make([]bin, int((regionLength+10*time.Second)/regionBin)+1)
	// The callers of the first region send more than the others.
	total := regionLoad + 2*otherLoad
	f.caller = func(r *rand.Rand) int {
		region := 0
		if x := r.Float64() * total; x > regionLoad {
			region = 1 + int(min(1, (x-regionLoad)/otherLoad))
		}
		n := r.IntN(regionCallers / 3)
		return n/2*6 + region*2 + n%2
	}
	rate := total * 2 * slots / meanService.Seconds()
	f.arrivals(seed, rate, regionLength, p.make(f))
	f.loop.run(regionLength + 10*time.Second)
	r := results{name: regionCase, policy: p.name, seed: seed}
	r.latencies(f.latencies)
	r.add("Between regions", 100*float64(f.remote)/float64(f.sent), "% of requests")
	r.add("Bytes between regions", float64(f.remote)*requestBytes/regionLength.Seconds()/1e6, "MB/s")
	r.add("Failed", 100*float64(f.failures)/float64(f.sent), "%")
	r.add("Oscillation", f.oscillation(), "")
	return r.list
}

// oscillation is the standard deviation of the share of requests that leave
// their region, over bins of 100 ms, relative to what independent requests with
// the same share would show.
func (f *field) oscillation() float64 {
	from, to := int(2*time.Second/regionBin), int(regionLength/regionBin)
	all, remote := 0, 0
	for _, b := range f.bins[from:to] {
		all += b.all
		remote += b.remote
	}
	p := float64(remote) / float64(all)
	if p == 0 {
		return 0
	}
	var sum, expected float64
	for _, b := range f.bins[from:to] {
		if b.all > 0 {
			d := float64(b.remote)/float64(b.all) - p
			sum += d * d
			expected += p * (1 - p) / float64(b.all)
		}
	}
	return math.Sqrt(sum / expected)
}

// began records where a call runs.
func (f *field) began(c *call, t *target) {
	remote := c.place.Region != t.place.Region
	if remote {
		f.remote++
	}
	if i := int(f.loop.elapsed() / regionBin); i < len(f.bins) {
		f.bins[i].all++
		if remote {
			f.bins[i].remote++
		}
	}
}

// limitBytes makes the chooser of a caller respect its byte budgets.
func (f *field) limitBytes(i int, c *choice.Chooser) {
	if f.links == nil {
		return
	}
	c.HasLinkBudget = func(to fleet.Region) bool {
		return f.links[i].Spare(link.Pair{From: f.places(i).Region, To: to}, f.loop.now)
	}
}

// spend takes the bytes of an attempt from the budget.
func (f *field) spend(c *call, t *target) {
	if f.links != nil && c.place.Region != t.place.Region {
		p := link.Pair{From: c.place.Region, To: t.place.Region}
		f.links[c.caller].Spend(p, requestBytes, f.loop.now)
	}
}

// The link case has uploads without end and lookups on one link.
const (
	linkRate      = 50 << 20 // bytes per second, a tenth of 4,000 Mbit/s
	linkLookups   = 500      // per second
	linkUploads   = 3
	linkLength    = 10 * time.Second
	uploadWindow  = 4 << 20 // bytes that a plain upload keeps on the link
	lookupPayload = 20 << 10
)

// measureLink compares plain uploads, which fill the link, with uploads under
// the budget of core/link.
func measureLink(name string, seed uint64) []Result {
	l := newLoop()
	r := rand.New(rand.NewPCG(seed, 50))
	budgets := link.New(linkRate)
	pair := link.Pair{From: "scl", To: "gru"}
	var idle time.Time // when the link has sent what it was given
	send := func(bytes int, done func()) {
		if idle.Before(l.now) {
			idle = l.now
		}
		idle = idle.Add(time.Duration(float64(bytes) / linkRate * float64(time.Second)))
		l.at(idle, done)
	}
	uploaded := 0
	var upload func()
	upload = func() {
		if name != own {
			send(uploadWindow, func() { uploaded += uploadWindow; upload() })
			return
		}
		if retryAt := budgets.Reserve(pair, link.ChunkBytes, l.now); !retryAt.IsZero() {
			l.at(retryAt, upload)
			return
		}
		send(int(link.ChunkBytes), func() { uploaded += int(link.ChunkBytes); upload() })
	}
	for range linkUploads {
		l.after(0, upload)
	}
	var took sample
	var lookup func()
	lookup = func() {
		began := l.now
		budgets.Spend(pair, lookupPayload, l.now)
		send(lookupPayload, func() { took = append(took, l.now.Sub(began)) })
		l.after(exponential(r, time.Second/linkLookups), lookup)
	}
	l.after(0, lookup)
	l.run(linkLength)
	out := results{name: linkCase, policy: name, seed: seed}
	out.add("Lookup P50", took.quantile(0.5), "ms")
	out.add("Lookup P99", took.quantile(0.99), "ms")
	out.add("Uploads", float64(uploaded)/linkLength.Seconds()/1e6, "MB/s")
	return out.list
}
