package choice

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"pollenscale/core/fleet"
)

const (
	// failureWeight is the weight of one attempt in the failure ratio of a target.
	failureWeight = 0.1
	// failingRatio is the failure ratio above which a target gets few requests.
	failingRatio = 0.5
	// trialShare is the share of picks, in 1/2^24, that still considers failing
	// targets, so that their recovery is noticed: one in 100.
	trialShare = (1 << 24) / 100
	// usualOccupancy is the occupancy that is assumed without a recent report.
	usualOccupancy = 0.8
	// paceHalf is the age of a report at which half of the excess that it tells is
	// still expected: targets turn slow for seconds.
	paceHalf = 2 * time.Second
	// defaultService is assumed until a target reports its service time.
	defaultService = 10 * time.Millisecond
)

// node is the state of one target as this entry sees it.
type node struct {
	target *fleet.Target
	tier   tier
	*stats
}

// stats is kept across views. The mutex guards reports; the counters that each
// pick changes are atomic.
type stats struct {
	mu       sync.Mutex
	sequence uint64

	state    atomic.Int32 // 1 when the last report says that work is taken
	slots    atomic.Int64
	load     atomic.Int64  // running and queued at the last report
	service  atomic.Int64  // nanoseconds
	waitLow  atomic.Int64  // nanoseconds
	waitHigh atomic.Int64  // nanoseconds
	reported atomic.Int64  // nanoseconds since 1970
	pace     atomic.Uint64 // bits of the reported pace
	inFlight atomic.Int64
	failures atomic.Int64 // failure ratio in millionths
}

func newNode(t *fleet.Target, distance tier, previous *node) *node {
	n := &node{target: t, tier: distance}
	if previous != nil && previous.target.Incarnation == t.Incarnation {
		n.stats = previous.stats
		if previous.target.State == t.State {
			return n
		}
	} else {
		n.stats = &stats{}
		n.slots.Store(max(1, int64(t.Slots)))
	}
	n.setState(t.State)
	return n
}

func (n *node) setState(s fleet.State) {
	if s.TakesWork() {
		n.state.Store(1)
		return
	}
	n.state.Store(0)
}

func (n *node) takesWork() bool { return n.state.Load() == 1 }

func (n *node) observe(l fleet.Load, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l.Incarnation != n.target.Incarnation || l.Sequence <= n.sequence {
		return
	}
	n.sequence = l.Sequence
	if l.State != "" {
		n.setState(l.State)
	}
	n.slots.Store(max(1, int64(l.Slots)))
	n.load.Store(int64(l.Running) + int64(l.Queued))
	n.service.Store(int64(l.Service))
	n.waitLow.Store(int64(l.WaitLow))
	n.waitHigh.Store(int64(l.WaitUrgent))
	n.pace.Store(math.Float64bits(max(1, l.Pace)))
	n.reported.Store(at.UnixNano())
}

// send counts an attempt and returns the choice of this target.
func (n *node) send(startBy time.Time) Choice {
	n.inFlight.Add(1)
	return Choice{Target: n.target, StartBy: startBy, node: n}
}

func (n *node) done(r Result) {
	n.inFlight.Add(-1)
	if r.Refused {
		return
	}
	ratio := n.failures.Load()
	if r.Failed {
		n.failures.Store(ratio + int64(float64(1e6-ratio)*failureWeight))
		return
	}
	if ratio > 0 {
		n.failures.Store(ratio - int64(float64(ratio)*failureWeight) - 1)
	}
}

func (n *node) failing() bool {
	return n.failures.Load() > failingRatio*1e6
}

// penalty is the cost of the failures expected of the target.
func (n *node) penalty() time.Duration {
	ratio := float64(n.failures.Load()) / 1e6
	return time.Duration(ratio * 10 * float64(n.serviceTime()))
}

func (n *node) serviceTime() time.Duration {
	if s := n.service.Load(); s > 0 {
		return time.Duration(s)
	}
	return defaultService
}

// part returns a multiple of the service time.
func (n *node) part(f float64) time.Duration {
	return time.Duration(f * float64(n.serviceTime()))
}

// occupancy is the expected number of requests per slot. A report loses its
// meaning as the requests that it counted finish, so that the estimate returns
// to the usual occupancy within about one service time, later for longer
// queues. Otherwise all entries with the same stale reports pick the same targets.
func (n *node) occupancy(now time.Time) float64 {
	reported := float64(n.load.Load()) / float64(n.slots.Load())
	age := now.UnixNano() - n.reported.Load()
	decay := float64(n.serviceTime()) * max(1, reported)
	known := math.Exp(-float64(max(0, age)) / decay)
	expected := usualOccupancy + (reported-usualOccupancy)*known
	return expected + float64(n.inFlight.Load())/float64(n.slots.Load())
}

// cost ranks targets: the time that the requests ahead take, what the target's
// pace adds to the request's own work, and penalties.
func (n *node) cost(now time.Time, work time.Duration) time.Duration {
	return time.Duration(n.occupancy(now)*float64(n.serviceTime())) + n.excess(now, work) + n.penalty()
}

// excess is how much longer than usual the work takes at the target, as far as
// its last report still holds.
func (n *node) excess(now time.Time, work time.Duration) time.Duration {
	bits := n.pace.Load()
	if bits == 0 {
		return 0
	}
	if work == 0 {
		work = n.serviceTime()
	}
	age := max(0, now.UnixNano()-n.reported.Load())
	holds := math.Exp2(-float64(age) / float64(paceHalf))
	return time.Duration((math.Float64frombits(bits) - 1) * holds * float64(work))
}

// wait is the reported wait, less the time passed since the report.
func (n *node) wait(urgent bool, now time.Time) time.Duration {
	w := n.waitLow.Load()
	if urgent {
		w = n.waitHigh.Load()
	}
	passed := now.UnixNano() - n.reported.Load()
	return time.Duration(max(0, w-passed))
}
