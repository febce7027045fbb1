package choice

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"pollenscale/core/fleet"
)

const (
	// failureWeight is the weight of one attempt in the moving average of a
	// target's failure ratio.
	failureWeight = 0.1
	// failingRatio is the failure ratio above which a target gets few requests.
	failingRatio = 0.5
	// failingTargetShare is the share of picks, in 1/2^24, that also consider
	// failing targets, so that their recovery is noticed: one in 100.
	failingTargetShare = (1 << 24) / 100
	// typicalOccupancy is the occupancy assumed without a recent report.
	typicalOccupancy = 0.8
	// paceHalfLife is the age of a report at which half of the slowdown that it
	// reports is still expected. Slowdowns of targets last for seconds.
	paceHalfLife = 2 * time.Second
	// defaultServiceTime is the mean service time assumed until a target reports
	// its own.
	defaultServiceTime = 10 * time.Millisecond
)

// targetState is this entry's view of one target.
type targetState struct {
	target *fleet.Target
	tier   tier
	*stats
}

// stats holds the statistics of a target, which outlive a view. The mutex
// serialises load reports; fields that picks read or change are atomic.
type stats struct {
	mu       sync.Mutex
	sequence uint64

	available       atomic.Int32 // 1 if the target takes work by its record or last report
	cold            atomic.Bool  // the target is cold by its record or last report
	slots           atomic.Int64
	load            atomic.Int64  // running and queued at the last report
	meanServiceTime atomic.Int64  // nanoseconds
	waitLow         atomic.Int64  // nanoseconds
	waitUrgent      atomic.Int64  // nanoseconds
	reportedAt      atomic.Int64  // nanoseconds since 1970
	pace            atomic.Uint64 // bits of the reported pace
	inFlight        atomic.Int64
	failureRatio    atomic.Int64 // failure ratio in millionths
}

func newTargetState(t *fleet.Target, distance tier, previous *targetState) *targetState {
	s := &targetState{target: t, tier: distance}
	if previous != nil && previous.target.Incarnation == t.Incarnation {
		s.stats = previous.stats
		if previous.target.State == t.State {
			return s
		}
	} else {
		s.stats = &stats{}
		s.slots.Store(max(1, int64(t.Slots)))
	}
	s.setAvailability(t.State)
	return s
}

func (s *targetState) setAvailability(state fleet.State) {
	s.cold.Store(state == fleet.Cold)
	if state.TakesWork() {
		s.available.Store(1)
		return
	}
	s.available.Store(0)
}

// takesWork reports whether both the record of the target and the latest report say so. A report
// does not overrule the record: the target may be excluded for another reason than its state.
func (s *targetState) takesWork() bool { return s.available.Load() == 1 && s.target.State.TakesWork() }

func (s *targetState) observe(l fleet.Load, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Incarnation != s.target.Incarnation || l.Sequence <= s.sequence {
		return
	}
	s.sequence = l.Sequence
	if l.State != "" {
		s.setAvailability(l.State)
	}
	s.slots.Store(max(1, int64(l.Slots)))
	s.load.Store(int64(l.Running) + int64(l.Queued))
	s.meanServiceTime.Store(int64(l.Service))
	s.waitLow.Store(int64(l.WaitLow))
	s.waitUrgent.Store(int64(l.WaitUrgent))
	s.pace.Store(math.Float64bits(max(1, l.Pace)))
	s.reportedAt.Store(at.UnixNano())
}

// newChoice counts an attempt in flight and returns the choice of this target.
func (s *targetState) newChoice(startBy time.Time) Choice {
	s.inFlight.Add(1)
	return Choice{Target: s.target, StartBy: startBy, state: s}
}

func (s *targetState) done(r Result) {
	s.inFlight.Add(-1)
	if r.Refused || r.Failed && r.Suspected {
		return
	}
	if r.Failed {
		s.addFailure()
		return
	}
	if ratio := s.failureRatio.Load(); ratio > 0 {
		s.failureRatio.Store(ratio - int64(float64(ratio)*failureWeight) - 1)
	}
}

func (s *targetState) addFailure() {
	ratio := s.failureRatio.Load()
	s.failureRatio.Store(ratio + int64(float64(1e6-ratio)*failureWeight))
}

func (s *targetState) failing() bool {
	return s.failureRatio.Load() > failingRatio*1e6
}

// failurePenalty returns the cost of the target's expected failures: 10 service
// times at a failure ratio of 1.
func (s *targetState) failurePenalty() time.Duration {
	ratio := float64(s.failureRatio.Load()) / 1e6
	return time.Duration(ratio * 10 * float64(s.serviceTime()))
}

func (s *targetState) serviceTime() time.Duration {
	if mean := s.meanServiceTime.Load(); mean > 0 {
		return time.Duration(mean)
	}
	return defaultServiceTime
}

// serviceTimeMultiple returns f times the mean service time.
func (s *targetState) serviceTimeMultiple(f float64) time.Duration {
	return time.Duration(f * float64(s.serviceTime()))
}

// occupancy returns the expected number of requests per slot. A report becomes
// outdated as the requests that it counted finish, so the estimate decays to the
// typical occupancy within about one service time, or more slowly for longer
// queues. Otherwise all entries with the same stale reports would pick the same
// targets.
func (s *targetState) occupancy(now time.Time) float64 {
	reported := float64(s.load.Load()) / float64(s.slots.Load())
	age := now.UnixNano() - s.reportedAt.Load()
	timeConstant := float64(s.serviceTime()) * max(1, reported)
	decayFactor := math.Exp(-float64(max(0, age)) / timeConstant)
	expected := typicalOccupancy + (reported-typicalOccupancy)*decayFactor
	return expected + float64(s.inFlight.Load())/float64(s.slots.Load())
}

// cost returns the cost by which targets are compared: the service time of the
// requests ahead, the extra service time of the request at the target's pace,
// and the penalties for failures and for a cold target.
func (s *targetState) cost(now time.Time, serviceTime time.Duration) time.Duration {
	return time.Duration(s.occupancy(now)*float64(s.serviceTime())) + s.extraServiceTime(now, serviceTime) + s.failurePenalty() + s.coldPenalty(now)
}

// coldPenalty returns the cost of a cold target. It takes few requests, and its wait does not
// depend on the requests ahead.
func (s *targetState) coldPenalty(now time.Time) time.Duration {
	if !s.cold.Load() {
		return 0
	}
	return s.serviceTime() + s.remainingWait(false, now)
}

// extraServiceTime returns how much longer than usual a request with the given
// service time is expected to take, from the pace in the last report, decayed by
// the report's age.
func (s *targetState) extraServiceTime(now time.Time, serviceTime time.Duration) time.Duration {
	bits := s.pace.Load()
	if bits == 0 {
		return 0
	}
	if serviceTime == 0 {
		serviceTime = s.serviceTime()
	}
	age := max(0, now.UnixNano()-s.reportedAt.Load())
	decayFactor := math.Exp2(-float64(age) / float64(paceHalfLife))
	return time.Duration((math.Float64frombits(bits) - 1) * decayFactor * float64(serviceTime))
}

// remainingWait returns the reported wait less the time since the report, and at
// least 0.
func (s *targetState) remainingWait(urgent bool, now time.Time) time.Duration {
	w := s.waitLow.Load()
	if urgent {
		w = s.waitUrgent.Load()
	}
	elapsed := now.UnixNano() - s.reportedAt.Load()
	return time.Duration(max(0, w-elapsed))
}
