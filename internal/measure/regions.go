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

// The region case has three regions of two zones with one target each. The first
// region is offered 1.3 times its capacity, the others half of theirs.
const (
	regionCase   = "regions"
	linkCase     = "uploads and lookups on a link"
	plainUploads = "plain uploads"

	regionLoad      = 1.3
	otherLoad       = 0.5
	regionLength    = 20 * time.Second
	regionBinLength = 100 * time.Millisecond
	requestBytes    = 20 << 10
	regionCallers   = 60
)

func regionNames() []fleet.Region { return []fleet.Region{"scl", "gru", "bog"} }

func regionPlace(i int) fleet.Place { return zones(regionNames()[i/2%3], i) }

// regionPolicy is a policy with a budget of bytes per second for each caller and
// pair of regions; zero means unlimited.
type regionPolicy struct {
	balancer
	budget fleet.Bytes
}

func regionPolicies() []regionPolicy {
	list := []regionPolicy{
		{balancer{referencePolicy, centralQueue(true)}, 0},
		{balancer{"own region only", pickOnce(ownRegionOnly)}, 0},
		{balancer{"any region at random", pickOnce(anyRegion)}, 0},
		{balancer{"threshold on stale reports", pickOnce(staleThreshold)}, 0},
	}
	for _, budget := range []fleet.Bytes{0, 200_000, 50_000, 10_000} {
		b := balancer{ownPolicy, chooserPolicy()}
		if budget > 0 {
			b.name = fmt.Sprintf("%s, %d KB/s per caller and pair", ownPolicy, budget/1000)
		}
		list = append(list, regionPolicy{b, budget})
	}
	return list
}

func (cl *cluster) homeTargets(c *call) []int {
	var list []int
	for i, t := range cl.targets {
		if t.place.Region == c.place.Region {
			list = append(list, i)
		}
	}
	return list
}

func ownRegionOnly(cl *cluster, _ []callerState) func(*call) int {
	return func(c *call) int {
		local := cl.homeTargets(c)
		return local[cl.random.IntN(len(local))]
	}
}

func anyRegion(cl *cluster, _ []callerState) func(*call) int {
	return func(*call) int { return cl.random.IntN(len(cl.targets)) }
}

// staleThreshold picks a target in another region when the reported wait in the
// caller's region exceeds the round trip between regions.
func staleThreshold(cl *cluster, _ []callerState) func(*call) int {
	all := cl.allIndexes()
	return func(c *call) int {
		cost := func(i int) float64 {
			l, _ := cl.targets[i].reportOlderThan(cl.reportAge)
			return l.WaitLow.Seconds()
		}
		best := cl.leastCost(cl.homeTargets(c), cost)
		if cost(best) <= (2 * crossRegionDelay).Seconds() {
			return best
		}
		return cl.leastCost(all, cost)
	}
}

func measureRegions(p regionPolicy, seed uint64) []Result {
	cl := newCluster(seed, regionCallers)
	cl.placeOf = regionPlace
	for i, t := range cl.targets {
		t.place = regionPlace(i)
	}
	if p.budget > 0 {
		cl.links = make([]*link.Budgets, regionCallers)
		for i := range cl.links {
			cl.links[i] = link.New(p.budget)
		}
	}
	cl.startBins = make([]startBin, int((regionLength+10*time.Second)/regionBinLength)+1)
	// Callers of the first region send more requests than the others.
	total := regionLoad + 2*otherLoad
	cl.drawCaller = func(r *rand.Rand) int {
		region := 0
		if x := r.Float64() * total; x > regionLoad {
			region = 1 + int(min(1, (x-regionLoad)/otherLoad))
		}
		n := r.IntN(regionCallers / 3)
		return n/2*6 + region*2 + n%2
	}
	rate := total * 2 * slots / meanService.Seconds()
	cl.scheduleArrivals(seed, rate, regionLength, p.make(cl))
	cl.loop.run(regionLength + 10*time.Second)
	r := results{caseName: regionCase, policy: p.name, seed: seed}
	r.addLatencies(cl.latencies)
	r.add("Between regions", 100*float64(cl.crossRegion)/float64(cl.sent), "% of requests")
	r.add("Bytes between regions", float64(cl.crossRegion)*requestBytes/regionLength.Seconds()/1e6, "MB/s")
	r.add("Failed", 100*float64(cl.failures)/float64(cl.sent), "%")
	r.add("Oscillation", cl.oscillation(), "")
	return r.list
}

// oscillation returns the standard deviation of the share of requests that leave
// their region, over bins of 100 ms, relative to that of independent requests with
// the same share.
func (cl *cluster) oscillation() float64 {
	from, to := int(2*time.Second/regionBinLength), int(regionLength/regionBinLength)
	all, remote := 0, 0
	for _, b := range cl.startBins[from:to] {
		all += b.all
		remote += b.crossRegion
	}
	p := float64(remote) / float64(all)
	if p == 0 {
		return 0
	}
	var sum, expected float64
	for _, b := range cl.startBins[from:to] {
		if b.all > 0 {
			d := float64(b.crossRegion)/float64(b.all) - p
			sum += d * d
			expected += p * (1 - p) / float64(b.all)
		}
	}
	return math.Sqrt(sum / expected)
}

// recordStart counts a call that starts on a target, by time and by whether it is
// remote.
func (cl *cluster) recordStart(c *call, t *target) {
	remote := c.place.Region != t.place.Region
	if remote {
		cl.crossRegion++
	}
	if i := int(cl.loop.elapsed() / regionBinLength); i < len(cl.startBins) {
		cl.startBins[i].all++
		if remote {
			cl.startBins[i].crossRegion++
		}
	}
}

// setLinkBudget applies the link budgets of a caller to its chooser.
func (cl *cluster) setLinkBudget(i int, c *choice.Chooser) {
	if cl.links == nil {
		return
	}
	c.HasLinkBudget = func(to fleet.Region) bool {
		return cl.links[i].Spare(link.Pair{From: cl.placeOf(i).Region, To: to}, cl.loop.now)
	}
}

// spendLinkBudget charges the bytes of an attempt to another region to the link
// budget of the caller.
func (cl *cluster) spendLinkBudget(c *call, t *target) {
	if cl.links != nil && c.place.Region != t.place.Region {
		p := link.Pair{From: c.place.Region, To: t.place.Region}
		cl.links[c.caller].Spend(p, requestBytes, cl.loop.now)
	}
}

// The link case has continuous uploads and small lookups on one link.
const (
	linkRate      = 50 << 20 // bytes per second, a tenth of 4,000 Mbit/s
	linkLookups   = 500      // per second
	linkUploads   = 3
	linkLength    = 10 * time.Second
	uploadWindow  = 4 << 20 // bytes that a plain upload has in transit
	lookupPayload = 20 << 10
)

// measureLink measures lookups beside plain uploads, which fill the link, or beside
// uploads limited by the budget of core/link.
func measureLink(name string, seed uint64) []Result {
	l := newLoop()
	r := rand.New(rand.NewPCG(seed, 50))
	budgets := link.New(linkRate)
	pair := link.Pair{From: "scl", To: "gru"}
	var idleAt time.Time // when the link has sent all queued bytes
	send := func(bytes int, done func()) {
		if idleAt.Before(l.now) {
			idleAt = l.now
		}
		idleAt = idleAt.Add(time.Duration(float64(bytes) / linkRate * float64(time.Second)))
		l.at(idleAt, done)
	}
	uploaded := 0
	var upload func()
	upload = func() {
		if name != ownPolicy {
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
		l.after(drawExponential(r, time.Second/linkLookups), lookup)
	}
	l.after(0, lookup)
	l.run(linkLength)
	out := results{caseName: linkCase, policy: name, seed: seed}
	out.add("Lookup P50", took.quantile(0.5), "ms")
	out.add("Lookup P99", took.quantile(0.99), "ms")
	out.add("Uploads", float64(uploaded)/linkLength.Seconds()/1e6, "MB/s")
	return out.list
}
