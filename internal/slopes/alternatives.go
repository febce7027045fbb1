package main

import (
	"fmt"
	"math/bits"
	"slices"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/member"
	"pollenscale/internal/fleetsim"
	"pollenscale/io/gossip"

	"github.com/cespare/xxhash/v2"
)

const (
	roleAllToAll = "peer: all-to-all heartbeats"
	roleStore    = "platform: store row per target and poll"
	roleTree     = "peer: non-redundant tree multicast"
)

const udpOverhead = 28

// wireBytes returns the size of a datagram with its IP and UDP headers.
func wireBytes(d member.Datagram) float64 {
	data, err := gossip.Encode(d)
	if err != nil {
		panic(err)
	}
	return float64(len(data) + udpOverhead)
}

// measureAllToAll measures heartbeats that each daemon sends to every other one
// every 500 ms. A daemon has failed after 3 missed heartbeats. Above 400 daemons
// only the traffic is calculated, since the cost of a simulation grows with the
// square of the size.
func measureAllToAll(r *results, n int, seed uint64) {
	const every = 500 * time.Millisecond
	const missed = 3
	s := fleetsim.New(n, seed, fleetsim.ProjectedLayout(n))
	heartbeat := wireBytes(member.Datagram{Kind: member.Gossip, From: s.Nodes[0].Target.Daemon, FromIncarnation: fleet.Incarnation(s.Now().UnixNano()), ConfigVersion: 9200, TableDigest: 1 << 60})
	rate := float64(n-1) / every.Seconds()
	r.add(roleAllToAll, "idle sent", n, rate*heartbeat, "B/s")
	r.add(roleAllToAll, "idle messages", n, 2*rate, "1/s")
	if n > 400 {
		return
	}
	lastHeard := make([]time.Time, n)
	victim := n / 2
	killed := s.Now().Add(5*time.Second + time.Duration(s.Random.Int64N(int64(every))))
	last := time.Time{}
	for from := range s.Nodes {
		var sendHeartbeat func()
		sendHeartbeat = func() {
			if from == victim && s.Now().After(killed) {
				return
			}
			if from == victim {
				for to := range s.Nodes {
					s.After(s.Delay(s.Nodes[from], s.Nodes[to]), func() { lastHeard[to] = s.Now() })
				}
			}
			s.After(every, sendHeartbeat)
		}
		s.After(time.Duration(s.Random.Int64N(int64(every))), sendHeartbeat)
	}
	s.Run(20 * time.Second)
	for to := range s.Nodes {
		if at := lastHeard[to].Add(missed * every); to != victim && at.After(last) {
			last = at
		}
	}
	r.add(roleAllToAll, "detection: all know of a killed daemon", n, last.Sub(killed).Seconds(), "s")
}

// measureStoreRows calculates the traffic of daemons that write a row and read all
// rows of the store every second. A daemon has failed after 3 s without a write.
func measureStoreRows(r *results, n int, seed uint64) {
	s := fleetsim.New(n, seed, fleetsim.ProjectedLayout(n))
	row := wireBytes(member.Datagram{Kind: member.Gossip, From: "x", Updates: []member.Record{{Target: s.Nodes[0].Target, Revision: 1, Health: member.Alive}}})
	r.add(roleStore, "writes of the store", n, float64(n), "1/s")
	r.add(roleStore, "reads of the store", n, float64(n), "1/s")
	r.add(roleStore, "idle received", n, row*float64(n), "B/s")
	// The last write is up to 1 s before the kill, and the poll up to 1 s after the
	// limit.
	r.add(roleStore, "detection: all know of a killed daemon", n, 3+s.Random.Float64(), "s")
}

// measureTree measures reports sent along the multicast tree of the SmartBoa paper.
// In step k a member forwards a report to a member whose id shares the first k bits
// with its own and differs in the next one.
func measureTree(r *results, n int, seed uint64) {
	for _, loss := range []float64{0, 0.01} {
		t := newTree(n, seed, loss)
		const reports = 20
		var took []float64
		missing, sent := 0, 0
		for i := range reports {
			reached, last := t.broadcast((i * 7) % n)
			missing += n - reached
			sent += t.sent
			took = append(took, last.Seconds())
		}
		label := fmt.Sprintf("at %.0f%% loss", loss*100)
		r.add(roleTree, "members that a report misses "+label, n, float64(missing)/reports, "members")
		r.add(roleTree, "copies of a report per member "+label, n, float64(sent)/reports/float64(n), "copies")
		r.add(roleTree, "time of a report "+label, n, slices.Max(took), "s")
	}
	measureGossipLoss(r, n, seed)
}

// measureGossipLoss measures the reach of gossip at 1% loss.
func measureGossipLoss(r *results, n int, seed uint64) {
	s := fleetsim.New(n, seed, fleetsim.ProjectedLayout(n))
	s.Loss = 0.01
	s.StartAll()
	s.Run(3 * time.Second)
	for i := range 3 {
		subject := s.Nodes[i*7]
		subject.List.SetState(fleet.Draining)
		// Gossip sends a report for the last time after 1.5 s; reconciliation, which
		// repairs the rest, runs later.
		s.Run(1500 * time.Millisecond)
		missing := 0
		for _, o := range s.Nodes {
			if rec, ok := o.List.Get(subject.Target.Daemon); o != subject && (!ok || rec.State != fleet.Draining) {
				missing++
			}
		}
		r.add(roleGossip, "members that a report misses in 1.5 s at 1% loss", n, float64(missing), "members")
	}
}

type tree struct {
	sim  *fleetsim.Sim
	ids  []uint64
	loss float64
	sent int
}

func newTree(n int, seed uint64, loss float64) *tree {
	s := fleetsim.New(n, seed, fleetsim.ProjectedLayout(n))
	slices.SortFunc(s.Nodes, func(a, b *fleetsim.Node) int {
		x, y := xxhash.Sum64String(string(a.Target.Daemon)), xxhash.Sum64String(string(b.Target.Daemon))
		if x < y {
			return -1
		}
		return 1
	})
	t := &tree{sim: s, loss: loss}
	for _, node := range s.Nodes {
		t.ids = append(t.ids, xxhash.Sum64String(string(node.Target.Daemon)))
	}
	return t
}

// broadcast sends a report from a member to all others. It returns the number of
// members reached, including the sender, and the time until the last one has it.
func (t *tree) broadcast(origin int) (reached int, last time.Duration) {
	t.sent = 0
	return t.forward(origin, 0, len(t.ids), 0)
}

// forward sends a report from the member self to the other members in the range
// [low, high), whose ids share a prefix.
func (t *tree) forward(self, low, high int, at time.Duration) (reached int, last time.Duration) {
	reached, last = 1, at
	for high-low > 1 {
		// The first bit in which the ids of the range differ splits it in two.
		bit := bits.LeadingZeros64(t.ids[low] ^ t.ids[high-1])
		mask := uint64(1) << (63 - bit)
		split, _ := slices.BinarySearchFunc(t.ids[low:high], mask, func(id, m uint64) int {
			if id&m == 0 {
				return -1
			}
			return 1
		})
		split += low
		otherLow, otherHigh := split, high
		if self >= split {
			otherLow, otherHigh = low, split
			low = split
		} else {
			high = split
		}
		to := otherLow + t.sim.Random.IntN(otherHigh-otherLow)
		t.sent++
		if t.loss > 0 && t.sim.Random.Float64() < t.loss {
			continue
		}
		n, l := t.forward(to, otherLow, otherHigh, at+t.sim.Delay(t.sim.Nodes[self], t.sim.Nodes[to]))
		reached += n
		last = max(last, l)
	}
	return reached, last
}
