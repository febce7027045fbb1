package main

import (
	"runtime"
	"slices"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/member"
	"pollenscale/core/spread"
	"pollenscale/internal/fleetsim"
)

// Load projected for the fleet in two years.
const (
	changesPerDay      = 9200
	burst              = 50
	memberEventsPerDay = 228
	secondsPerDay      = 86400
	documentBytes      = 1500
	kills              = 3
)

const (
	roleGossip    = "peer: gossip with suspicion, ring probes"
	roleAnyRegion = "peer: configuration fetched from any region"
	roleRandom    = "peer: gossip with suspicion, random probes"
)

// measureAlternatives measures the alternative protocols.
func measureAlternatives(r *results, n int, seed uint64) {
	measureRandomProbes(r, n, seed)
	measureAnyRegion(r, n, seed)
	measureAllToAll(r, n, seed)
	measureStoreRows(r, n, seed)
	measureTree(r, n, seed)
}

// usage holds the cost counters summed over all daemons.
type usage struct {
	sent, received, messages, config, region int
	cpu                                      time.Duration
}

func readUsage(s *fleetsim.Sim) usage {
	var u usage
	for _, n := range s.Nodes {
		u.sent += n.Traffic.SentBytes
		u.received += n.Traffic.ReceivedBytes
		u.messages += n.Traffic.Sent + n.Traffic.Received
		u.config += n.Traffic.ConfigBytes
		u.region += n.Traffic.RegionBytes
	}
	u.cpu = cpuTime()
	return u
}

// bytesOver returns the bytes per daemon, sent and received, since a reading.
func bytesOver(s *fleetsim.Sim, before usage) float64 {
	now := readUsage(s)
	return float64(now.sent+now.received-before.sent-before.received) / float64(len(s.Nodes))
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func measureGossip(r *results, n int, seed uint64) {
	before := heapBytes()
	s := fleetsim.New(n, seed, fleetsim.ProjectedLayout(n))
	s.StartAll()
	config := s.EnableConfig()
	s.Run(5 * time.Second)
	r.add(roleGossip, "memory per daemon", n, float64(heapBytes()-before)/float64(n)/1024, "KB")

	idle, regionRate := measureIdle(r, s, n)
	burstBytes := measureConfigBurst(r, roleGossip, s, config, idle, regionRate)
	measureDetection(r, roleGossip, s)
	eventBytes := measureRestart(r, s, idle)
	measureDrain(r, s)
	if n <= 400 && seed == 1 {
		measurePartition(r, s)
	}
	measureZoneLoss(r, s, idle)

	daily := 2*idle + burstBytes*changesPerDay/burst/secondsPerDay + eventBytes*memberEventsPerDay/secondsPerDay
	r.add(roleGossip, "bytes/s at the daily load, sent and received", n, daily, "B/s")
}

// measureIdle returns the bytes per second that one daemon sends while nothing
// changes, and the part of them sent to other regions.
func measureIdle(r *results, s *fleetsim.Sim, n int) (sent, region float64) {
	const seconds = 10
	a := readUsage(s)
	s.Run(seconds * time.Second)
	b := readUsage(s)
	per := func(v int) float64 { return float64(v) / float64(n) / seconds }
	r.add(roleGossip, "idle sent", n, per(b.sent-a.sent), "B/s")
	r.add(roleGossip, "idle received", n, per(b.received-a.received), "B/s")
	r.add(roleGossip, "idle messages", n, per(b.messages-a.messages), "1/s")
	r.add(roleGossip, "idle CPU", n, 100*(b.cpu-a.cpu).Seconds()/float64(n)/seconds, "% of a core")
	r.add(roleGossip, "idle sent to other regions", n, per(b.region-a.region), "B/s")
	return per(b.sent - a.sent), per(b.region - a.region)
}

// measureConfigBurst publishes a burst of versions and returns the bytes per daemon
// beyond the idle traffic.
func measureConfigBurst(r *results, role string, s *fleetsim.Sim, c *fleetsim.ConfigStore, idle, regionRate float64) float64 {
	const seconds = 8
	before := readUsage(s)
	published := s.Now()
	c.Publish(burst, documentBytes)
	s.Run(seconds * time.Second)
	cost := bytesOver(s, before) - 2*idle*seconds
	crossed := float64(readUsage(s).region-before.region)/float64(len(s.Nodes)) - regionRate*seconds
	version := spread.Version(len(c.Changes))
	var took []float64
	for _, n := range s.Nodes {
		if at, ok := n.Config.AppliedAt[version]; ok {
			took = append(took, at.Sub(published).Seconds())
		}
	}
	slices.Sort(took)
	size := len(s.Nodes)
	r.add(role, "configuration: daemons without the version after 8 s", size, float64(size-len(took)), "daemons")
	if len(took) == 0 {
		return cost
	}
	r.add(role, "configuration: first daemon reads it", size, took[0], "s")
	r.add(role, "configuration: 99% have it", size, took[len(took)*99/100], "s")
	r.add(role, "configuration: all have it", size, took[len(took)-1], "s")
	r.add(role, "configuration: bytes of a burst of 50, sent and received", size, cost/1024, "KB")
	r.add(role, "configuration: bytes of a burst of 50 that leave the region, per daemon", size, crossed/1024, "KB")
	most := 0
	for _, n := range s.Nodes {
		most = max(most, n.Traffic.SentBytes)
	}
	r.add(role, "configuration: most sent by one daemon since the start", size, float64(most)/1024, "KB")
	return cost
}

// measureDetection measures the time until all know of a killed daemon.
func measureDetection(r *results, role string, s *fleetsim.Sim) {
	for k := range kills {
		victim := s.Nodes[(k*37+11)%len(s.Nodes)]
		s.Kill(victim)
		all := awaitAll(s, victim, 10*time.Second, func(rec member.Record, ok bool) bool {
			return !ok || rec.Health == member.Unreachable
		})
		r.add(role, "detection: all know of a killed daemon", len(s.Nodes), all.Seconds(), "s")
		s.Run(2 * time.Second)
		s.Start(victim, s.Nodes[(victim.Index+1)%len(s.Nodes)])
		s.Run(12 * time.Second)
	}
}

// awaitAll runs until seen holds for the subject's record at all other daemons, or
// until the limit, and returns the elapsed time.
func awaitAll(s *fleetsim.Sim, subject *fleetsim.Node, limit time.Duration, seen func(member.Record, bool) bool) time.Duration {
	started := s.Now()
	unaware := slices.Clone(s.Nodes)
	for s.Now().Sub(started) < limit {
		s.Run(10 * time.Millisecond)
		unaware = slices.DeleteFunc(unaware, func(n *fleetsim.Node) bool {
			return n == subject || !n.Up || seen(n.List.Get(subject.Target.Daemon))
		})
		if len(unaware) == 0 {
			break
		}
	}
	return s.Now().Sub(started)
}

// measureRestart returns the bytes per daemon for one planned restart.
func measureRestart(r *results, s *fleetsim.Sim, idle float64) float64 {
	const seconds = 12
	before := readUsage(s)
	n := s.Nodes[3]
	n.List.SetState(fleet.Leaving)
	s.Run(2 * time.Second)
	s.Kill(n)
	s.Run(2 * time.Second)
	s.Start(n, s.Nodes[4])
	s.Run((seconds - 4) * time.Second)
	cost := bytesOver(s, before) - 2*idle*seconds
	r.add(roleGossip, "bytes of one restart, sent and received", len(s.Nodes), cost, "B")
	return cost
}

func measureDrain(r *results, s *fleetsim.Sim) {
	for k := range 3 {
		n := s.Nodes[(k*53+7)%len(s.Nodes)]
		n.List.SetState(fleet.Draining)
		all := awaitAll(s, n, 10*time.Second, func(rec member.Record, ok bool) bool {
			return ok && rec.State == fleet.Draining
		})
		r.add(roleGossip, "drain: all know", len(s.Nodes), all.Seconds(), "s")
		s.Run(2 * time.Second)
	}
}

// measurePartition isolates a region for 20 s and measures the time until all
// daemons see each other again.
func measurePartition(r *results, s *fleetsim.Sim) {
	inside := func(n *fleetsim.Node) bool { return n.Target.Place.Region == "region-2" }
	s.Blocked = func(a, b *fleetsim.Node) bool { return inside(a) != inside(b) }
	before := readUsage(s)
	s.Run(20 * time.Second)
	s.Blocked = func(_, _ *fleetsim.Node) bool { return false }
	healed := s.Now()
	allAlive := func() bool {
		for _, n := range s.Nodes {
			if n.List.Counts()[member.Alive] < len(s.Nodes) {
				return false
			}
		}
		return true
	}
	for !allAlive() && s.Now().Sub(healed) < 120*time.Second {
		s.Run(100 * time.Millisecond)
	}
	took := s.Now().Sub(healed).Seconds()
	r.add(roleGossip, "region split for 20 s: all see all after healing", len(s.Nodes), took, "s")
	r.add(roleGossip, "region split for 20 s: bytes/s until healed, sent and received", len(s.Nodes), bytesOver(s, before)/(20+took), "B/s")
	s.Run(15 * time.Second)
}

// measureZoneLoss kills all daemons of one availability zone.
func measureZoneLoss(r *results, s *fleetsim.Sim, idle float64) {
	zone := s.Nodes[1].Target.Place.AvailabilityZone
	var lost []*fleetsim.Node
	for _, n := range s.Nodes {
		if n.Target.Place.AvailabilityZone == zone {
			s.Kill(n)
			lost = append(lost, n)
		}
	}
	started, before := s.Now(), readUsage(s)
	aware := func() bool {
		for _, n := range s.Nodes {
			if n.Up && n.List.Counts()[member.Unreachable] < len(lost) {
				return false
			}
		}
		return true
	}
	for !aware() && s.Now().Sub(started) < 30*time.Second {
		s.Run(100 * time.Millisecond)
	}
	size := len(s.Nodes)
	took := s.Now().Sub(started).Seconds()
	r.add(roleGossip, "zone lost: all know of all", size, took, "s")
	s.Run(10*time.Second - min(10*time.Second, s.Now().Sub(started)))
	r.add(roleGossip, "zone lost: bytes in 10 s beyond idle, sent and received", size,
		(bytesOver(s, before)-2*idle*max(10, took))/1024, "KB")
}

// measureRandomProbes measures detection with random probes instead of ring probes.
func measureRandomProbes(r *results, n int, seed uint64) {
	s := fleetsim.New(n, seed, fleetsim.ProjectedLayout(n))
	s.Options = []member.Option{member.WithRandomProbes()}
	s.StartAll()
	s.Run(5 * time.Second)
	a := readUsage(s)
	s.Run(5 * time.Second)
	r.add(roleRandom, "idle sent", n, float64(readUsage(s).sent-a.sent)/float64(n)/5, "B/s")
	measureDetection(r, roleRandom, s)
}

// measureAnyRegion measures a burst when daemons don't prefer to fetch from their
// own region.
func measureAnyRegion(r *results, n int, seed uint64) {
	s := fleetsim.New(n, seed, fleetsim.ProjectedLayout(n))
	s.FetchFromAnyRegion = true
	s.StartAll()
	config := s.EnableConfig()
	s.Run(5 * time.Second)
	const seconds = 5
	a := readUsage(s)
	s.Run(seconds * time.Second)
	b := readUsage(s)
	per := func(v int) float64 { return float64(v) / float64(n) / seconds }
	measureConfigBurst(r, roleAnyRegion, s, config, per(b.sent-a.sent), per(b.region-a.region))
}

// measureDetectionTail measures the tail of the detection time over many kills.
// They are further apart than member.LossWindow, so that they do not count as a
// bulk loss.
func measureDetectionTail(r *results, role string, seed uint64, options ...member.Option) {
	const n, losses = 200, 30
	s := fleetsim.New(n, seed, fleetsim.ProjectedLayout(n))
	s.Options = options
	s.StartAll()
	s.Run(5 * time.Second)
	var took []float64
	for _, i := range s.Random.Perm(n)[:losses] {
		s.Run(member.LossWindow + time.Duration(s.Random.Int64N(int64(time.Second))))
		s.Kill(s.Nodes[i])
		took = append(took, awaitAll(s, s.Nodes[i], 10*time.Second, func(rec member.Record, ok bool) bool {
			return !ok || rec.Health == member.Unreachable
		}).Seconds())
	}
	slices.Sort(took)
	r.add(role, "detection of 30 kills: median", n, took[losses/2], "s")
	r.add(role, "detection of 30 kills: slowest", n, took[losses-1], "s")
}

// measureTableMemory measures the memory of one full member list, up to the fleet
// size projected for two years.
func measureTableMemory(r *results) {
	for _, n := range []int{400, 1600, 3400} {
		before := heapBytes()
		s := fleetsim.New(n, 1, fleetsim.ProjectedLayout(n))
		list := s.FullList()
		after := heapBytes()
		r.add("entry: member table", "memory of one whole table", n, float64(after-before)/1024, "KB")
		runtime.KeepAlive(list)
		runtime.KeepAlive(s)
	}
}
