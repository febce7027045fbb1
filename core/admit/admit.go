// Package admit implements admission control and scheduling for one target: which
// requests it runs, in which order, and which are refused.
//
// A Queue holds the requests that wait for a slot of the target. Ranks are served
// in descending order of worth. Each rank has a floor, the share of the target's
// slot time that is reserved for it when other ranks overload the target. Within a
// rank, organisations share slot time by weight, and the requests of one
// organisation are ordered by deadline. A request that cannot finish by its
// deadline is refused immediately as not run, and queued requests of lower worth
// are refused as soon as requests of higher worth leave them too little time.
package admit

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"pollenscale/core/coldlimit"
	"pollenscale/core/fleet"
	"pollenscale/core/invariant"
	"pollenscale/core/limit"
	"pollenscale/core/outcome"
	"pollenscale/core/policy"
)

const (
	// serviceTimeWeight is the weight of one request in the moving average of the
	// service time.
	serviceTimeWeight = 1.0 / 32
	// shareWeight is the weight of one start in the moving average of the ranks'
	// shares of starts. A target with 9 slots and requests of 20 ms starts 16
	// requests in 36 ms.
	shareWeight = 1.0 / 16
	// maxCredit bounds the floor credit of a rank, in requests, so that an idle
	// rank does not accumulate credit for a burst.
	maxCredit = 2
	// deviationMargin is the number of mean deviations, on top of the mean service
	// time, that a request must have left when it is expected to start. With
	// heavy-tailed service times, requests that start with just the mean left miss
	// their deadline in two of five cases.
	deviationMargin = 2
	// queueFraction is the fraction of the time to its deadline that a request may
	// spend in the queue. A longer queue does not raise throughput, and requests
	// that start close to their deadline finish late: under overload by the most
	// urgent rank, 20% of the slot time is wasted with 1 and 5% with 0.5.
	queueFraction = 0.5
	// workMargin and knownQueueFraction replace deviationMargin and queueFraction
	// for requests whose own expected service time is known. workMargin is the time
	// that a request must have left when it is expected to start, as a multiple of
	// its expected service time; knownQueueFraction is the fraction of the time to
	// its deadline that it may spend in the queue.
	workMargin         = 1.5
	knownQueueFraction = 0.75
	// lateTolerance is how long requests of a rank may start too late for their
	// latency objective before the rank counts as overloaded, and requests that are
	// likely to miss their objective are refused.
	lateTolerance = 300 * time.Millisecond
	// overloadedFraction is the fraction of its slack to the latency objective that
	// a request may wait in an overloaded rank. It is below 1 because expected waits
	// are off by about a tenth.
	overloadedFraction = 0.85
	// pauseWeight is the weight of one pause in the moving average of their length.
	pauseWeight = 1.0 / 8
	// minPause is the lower bound of the expected length of a pause, in seconds.
	minPause = 0.02
	// maxQueuedPerSlot bounds the queue, in requests per slot.
	maxQueuedPerSlot = 64
)

// Request is a request for a slot.
type Request struct {
	Rank         fleet.Rank
	Organisation fleet.Organisation
	// Deadline is the time by which the answer must be complete; zero means that
	// there is none.
	Deadline time.Time
	// StartBy is the time by which the request must have a slot. Otherwise it is
	// refused, so that the daemon that received it can try another target. Zero
	// means that only the deadline applies.
	StartBy time.Time
	// Objective is the latency objective, after which the answer is of little use to
	// the caller; zero if that is only at the deadline.
	Objective time.Time
	// ServiceTime is the expected service time of the request; zero means the mean of its
	// rank.
	ServiceTime time.Duration
	// Untypical marks a request that runs while the target may be slow for a reason
	// other than its load, such as a cold start. Its service time says nothing about
	// the slots that the target can use at full speed, and it is not refused because
	// of the target's pace.
	Untypical bool
	// Nested marks a call of a run in progress, whose work is lost if the call fails. It
	// is served before the other requests of its rank and refused after them, and it is
	// not refused for its objective.
	Nested bool
}

// Queue is the queue of one target. It is safe for concurrent use.
type Queue struct {
	// Now returns the current time; New sets it to time.Now.
	Now func() time.Time

	limit *limit.Limit
	rate  *limit.TokenBucket
	cold  *coldlimit.Limit

	mu             sync.Mutex
	ranks          []*rank // in descending order of worth
	byName         map[fleet.Rank]*rank
	defaultRank    *rank
	weights        map[fleet.Organisation]float64
	running        int
	foreign        int         // requests at the target that have no ticket
	heldUntil      []time.Time // release times of slots held after fast failures, ascending
	queued         int
	sequence       uint64
	serviceTime    float64 // moving average of the service time in seconds
	pace           pace
	paused         bool      // no request starts until Resume
	pauseLength    float64   // moving average of the length of a pause in seconds
	pauseWaitStart time.Time // when the first request began to wait for the end of the pause, else zero
	decisions      []decision
}

// decision is the outcome of a ticket, to be delivered after the lock is released.
type decision struct {
	ticket *Ticket
	err    *outcome.Error
}

// Option sets a property of a new Queue.
type Option func(*Queue)

// WithRate bounds the requests per second that start. By default they are unbounded.
func WithRate(r *limit.TokenBucket) Option { return func(q *Queue) { q.rate = r } }

// WithColdLimit bounds the requests that start while the target is cold. By default they are
// unbounded.
func WithColdLimit(l *coldlimit.Limit) Option { return func(q *Queue) { q.cold = l } }

// New returns a queue with the ranks and weights of the service, whose concurrency
// is bounded by l.
func New(service *policy.Service, l *limit.Limit, options ...Option) *Queue {
	q := &Queue{Now: time.Now, limit: l, rate: &limit.TokenBucket{}, cold: &coldlimit.Limit{}}
	for _, o := range options {
		o(q)
	}
	q.SetPolicy(service)
	return q
}

// SetPolicy replaces ranks, floors and weights. Queued requests keep their position
// if their rank still exists, and otherwise move to the default rank.
func (q *Queue) SetPolicy(service *policy.Service) {
	q.mu.Lock()
	defer q.mu.Unlock()
	previous := q.byName
	q.ranks = nil
	q.byName = make(map[fleet.Rank]*rank, len(service.Ranks))
	q.weights = service.Organisations
	for _, p := range service.Ranks {
		k := previous[p.Name]
		if k == nil {
			k = newRank()
		}
		k.worth, k.floor = float64(p.Worth), float64(p.Floor)
		q.byName[p.Name] = k
		q.ranks = append(q.ranks, k)
	}
	if len(q.ranks) == 0 {
		q.ranks = []*rank{newRank()}
	}
	slices.SortStableFunc(q.ranks, func(a, b *rank) int { return cmp.Compare(b.worth, a.worth) })
	q.defaultRank = q.byName[service.DefaultRank]
	if q.defaultRank == nil {
		q.defaultRank = q.ranks[len(q.ranks)-1]
	}
	for name, k := range previous {
		if q.byName[name] == nil {
			q.moveToDefault(k)
		}
	}
}

// moveToDefault moves the tickets of a removed rank to the default rank.
func (q *Queue) moveToDefault(removed *rank) {
	for removed.queued > 0 {
		t := removed.pop()
		t.rank = q.defaultRank
		q.defaultRank.push(t, q.weight(t.request.Organisation))
	}
}

// Submit requests a slot. It calls notify at most once, possibly before it returns,
// and exactly once unless the ticket is cancelled: with nil when the request has a
// slot, which the caller gives back by Release, Fail or ReleaseUnused, or with the
// error of a request that did not run and never will.
func (q *Queue) Submit(r Request, notify func(*outcome.Error)) *Ticket {
	now := q.Now()
	r.Nested = r.Nested && !nestedFirst.Off()
	q.mu.Lock()
	t := &Ticket{queue: q, request: r, notify: notify, arrived: now}
	t.rank = q.byName[r.Rank]
	if t.rank == nil {
		t.rank = q.defaultRank
	}
	q.admit(t, now)
	q.unlockAndNotify()
	return t
}

// Refresh starts queued requests if the limit has risen or held slots are free
// again, and refuses those that can no longer finish in time. The daemon calls it
// about every 10 ms; Submit and Release also start queued requests.
func (q *Queue) Refresh() {
	now := q.Now()
	q.mu.Lock()
	q.startNext(now)
	q.refuseLate(0, now)
	q.unlockAndNotify()
}

// Load returns the load of the target. The caller sets Daemon, Incarnation and
// State.
func (q *Queue) Load(now time.Time) fleet.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sequence++
	lowest := q.ranks[len(q.ranks)-1]
	return fleet.Load{
		Sequence:   q.sequence,
		Slots:      fleet.Slots(q.cold.Concurrency(q.rate.Concurrency(q.limit.Value(), seconds(q.serviceTime)), seconds(q.serviceTime), now)),
		Running:    uint32(q.running + len(q.heldUntil) + q.foreign),
		Queued:     uint32(q.queued),
		WaitLow:    q.expectedWait(len(q.ranks)-1, lowest.ordinaryStarts(lowest.ordinary()+1), now),
		WaitUrgent: q.expectedWait(0, q.ranks[0].ordinaryStarts(q.ranks[0].ordinary()+1), now),
		Service:    seconds(q.serviceTime),
		Pace:       q.pace.value(now),
	}
}

// admit grants a slot to a new ticket, queues it or refuses it.
func (q *Queue) admit(t *Ticket, now time.Time) {
	r := t.request
	if !r.Deadline.IsZero() && now.Add(t.work()).After(r.Deadline) {
		q.refuse(t, outcome.CannotFinish, "less than the service time is left", now)
		return
	}
	if !r.Untypical && q.tooSlow(t, now) {
		q.refuse(t, outcome.CannotFinish, "the target is too slow at the moment", now)
		return
	}
	position := slices.Index(q.ranks, t.rank)
	if q.queued == 0 && q.free(now) > 0 {
		q.start(t, now)
		return
	}
	weight := q.weight(r.Organisation)
	begin := now.Add(q.expectedWait(position, t.rank.startsUntil(r, weight), now))
	if !r.StartBy.IsZero() && begin.After(r.StartBy) {
		q.refuse(t, outcome.Overloaded, "no free slot", now)
		return
	}
	if !t.canFinish(now, begin) {
		q.refuse(t, outcome.CannotFinish, "the queue is too long for the deadline", now)
		return
	}
	if !r.Nested && t.rank.overloaded(r.Organisation, now) && t.missesObjective(begin) {
		q.refuse(t, outcome.CannotFinish, "the queue is too long for the objective", now)
		return
	}
	t.state = queued
	t.rank.push(t, weight)
	q.queued++
	if q.paused && q.pauseWaitStart.IsZero() {
		q.pauseWaitStart = now
	}
	q.startNext(now)
	q.refuseLate(position, now)
	q.trim(now)
}

// tooSlow reports whether the request cannot finish by its deadline at the current
// pace of the target.
func (q *Queue) tooSlow(t *Ticket, now time.Time) bool {
	expected := time.Duration(q.pace.value(now) * float64(t.work()))
	return !t.request.Deadline.IsZero() && now.Add(expected).After(t.request.Deadline)
}

// startNext starts queued tickets while there are free slots.
func (q *Queue) startNext(now time.Time) {
	free := q.free(now)
	for free > 0 && q.queued > 0 {
		k, due := q.nextRank()
		t := k.pop()
		t.due = due
		q.queued--
		if d := t.request.Deadline; !d.IsZero() && now.Add(t.work()).After(d) {
			q.refuse(t, outcome.CannotFinish, "the deadline came too close in the queue", now)
			continue
		}
		q.start(t, now)
		free--
	}
	invariant.Check(q.queued >= 0 && q.running >= 0, "admit_counts", "queued %d, running %d", q.queued, q.running)
}

// Pause stops starting requests, for example while the target is temporarily slowed
// down. Requests that cannot wait for the expected end of the pause are refused.
func (q *Queue) Pause() {
	now := q.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.paused {
		return
	}
	q.paused, q.pauseWaitStart = true, time.Time{}
	if q.queued > 0 {
		q.pauseWaitStart = now
	}
}

// Resume ends a pause and starts queued requests. Only the time during which
// requests waited contributes to the expected length of a pause, since the end of a
// pause is not detected promptly while nothing waits.
func (q *Queue) Resume() {
	now := q.Now()
	q.mu.Lock()
	if q.paused {
		q.paused = false
		if !q.pauseWaitStart.IsZero() {
			q.pauseLength += (now.Sub(q.pauseWaitStart).Seconds() - q.pauseLength) * pauseWeight
		}
		q.startNext(now)
	}
	q.unlockAndNotify()
}

// Paused reports whether the queue is paused, and how many requests are queued.
func (q *Queue) Paused() (paused bool, queued int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.paused, q.queued
}

// free returns the number of requests that may start. A slot held after a failure is
// not free until the expected service time of the failed request has passed.
func (q *Queue) free(now time.Time) int {
	over := 0
	for over < len(q.heldUntil) && !q.heldUntil[over].After(now) {
		over++
	}
	q.heldUntil = slices.Delete(q.heldUntil, 0, over)
	if q.paused {
		return 0
	}
	free := q.limit.Value() - q.occupied()
	if free == 0 && q.limit.AllowTrial(q.running, now) {
		free = 1
	}
	return min(free, q.rate.Available(now), q.cold.Available(now))
}

// holdSlot keeps the slot of a failed request occupied until the given time, so that
// a target that fails fast does not answer more requests than a healthy one.
func (q *Queue) holdSlot(until time.Time) {
	at, _ := slices.BinarySearchFunc(q.heldUntil, until, time.Time.Compare)
	q.heldUntil = slices.Insert(q.heldUntil, at, until)
}

// nextRank returns the rank to serve: the one furthest below its floor, for which
// isDue is true, otherwise the rank of highest worth that has queued requests.
func (q *Queue) nextRank() (k *rank, isDue bool) {
	var first, due *rank
	for _, k := range q.ranks {
		if k.queued == 0 {
			continue
		}
		if first == nil {
			first = k
		}
		if k.floor > 0 && k.credit >= q.expectedSlotTime(k) && (due == nil || k.credit > due.credit) {
			due = k
		}
	}
	if due != nil {
		return due, true
	}
	return first, false
}

// start gives a slot to t and charges its rank with the expected slot time, as pop
// has charged its organisation. finish corrects both charges.
func (q *Queue) start(t *Ticket, now time.Time) {
	invariant.Check(t.state == submitted || t.state == queued, "admit_once", "start of a ticket that is %s", t.state)
	t.state = granted
	t.started = now
	q.rate.Take(now)
	q.cold.Take(now)
	q.pace.start(now, t.request.ServiceTime)
	if !t.request.Nested {
		// Nested requests start early, which says nothing about the others.
		t.rank.observeStart(t, now)
	}
	t.rank.observeNested(t.request.Nested)
	q.running++
	t.startConcurrency = q.running
	t.charged = t.rank.serviceTime
	if t.charged == 0 {
		t.charged = q.serviceTime
	}
	q.charge(t, t.charged)
	for _, k := range q.ranks {
		k.startShare -= k.startShare * shareWeight
	}
	t.rank.startShare += shareWeight
	q.decisions = append(q.decisions, decision{ticket: t})
}

// charge adds a share of the slot time, in seconds, to the floor credit of each rank
// according to its floor, and deducts the slot time from the credit of the rank of
// t. For a request that started on floor credit the full time is deducted, so that
// long requests do not get a rank more than its floor. Time that the rank got by its
// worth never makes its credit negative.
func (q *Queue) charge(t *Ticket, slotTime float64) {
	for _, k := range q.ranks {
		k.credit = min(k.credit+k.floor*slotTime, maxCredit*q.expectedSlotTime(k))
	}
	k := t.rank
	credit := k.credit - slotTime
	if !t.due {
		credit = max(credit, min(k.credit, 0))
	}
	k.credit = min(credit, maxCredit*q.expectedSlotTime(k))
}

// expectedSlotTime returns the expected slot time of a request of a rank, in seconds.
func (q *Queue) expectedSlotTime(k *rank) float64 {
	if k.serviceTime > 0 {
		return k.serviceTime
	}
	return max(q.serviceTime, 1e-6)
}

// expectedWait estimates how long it takes until n requests of the rank at a position
// have started. The rank gets the share of starts that the ranks above it
// leave, but at least its floor.
func (q *Queue) expectedWait(position int, n float64, now time.Time) time.Duration {
	slots := q.limit.Value()
	pause := 0.0
	if q.paused {
		// The length of pauses is modelled as memoryless: the expected remaining time
		// of a pause does not depend on how long it has lasted.
		pause = max(q.pauseLength, minPause)
	}
	if q.occupied() < slots && q.queued == 0 {
		return max(seconds(pause), q.rate.Wait(1, now), q.cold.Wait(1, now))
	}
	left := 1.0
	above := 0
	for _, k := range q.ranks[:position] {
		left -= k.startShare
		above += k.queued
	}
	k := q.ranks[position]
	left = min(max(left, k.floor, shareWeight), 1)
	perSlot := q.serviceTime / float64(slots)
	ahead := float64(above) + n/left
	if k.floor > 0 {
		ahead = min(ahead, n/k.floor)
	}
	return max(seconds(pause+perSlot*ahead), q.rate.Wait(ahead, now), q.cold.Wait(ahead, now))
}

// refuseLate refuses queued requests that can no longer finish in time, from the end
// of each rank, starting with the rank at a position.
func (q *Queue) refuseLate(position int, now time.Time) {
	for i := position; i < len(q.ranks); i++ {
		k := q.ranks[i]
		for k.queued > 0 {
			t := k.last()
			if t.canFinish(t.arrived, now.Add(q.expectedWait(i, k.startsToLast(t), now))) {
				break
			}
			q.remove(t)
			q.refuse(t, outcome.CannotFinish, "work of higher worth came first", now)
		}
	}
}

// trim keeps the queue within its bound by refusing requests of the lowest worth.
func (q *Queue) trim(now time.Time) {
	for q.queued > maxQueuedPerSlot*q.limit.Value() {
		i := len(q.ranks) - 1
		for q.ranks[i].queued == 0 {
			i--
		}
		t := q.ranks[i].last()
		q.remove(t)
		q.refuse(t, outcome.Overloaded, "the queue is full", now)
	}
}

// remove removes a queued ticket from its rank.
func (q *Queue) remove(t *Ticket) {
	t.rank.remove(t)
	q.queued--
}

// refuse records the refusal of a ticket that has no slot.
func (q *Queue) refuse(t *Ticket, reason outcome.Reason, detail string, now time.Time) {
	invariant.Check(t.state == submitted || t.state == queued, "admit_once", "refusal of a ticket that is %s", t.state)
	t.state = refused
	err := outcome.New(outcome.NotRun, reason, detail)
	position := slices.Index(q.ranks, t.rank)
	err.RetryAt = now.Add(q.expectedWait(position, t.rank.startsBehind(t), now))
	q.decisions = append(q.decisions, decision{ticket: t, err: err})
}

// unlockAndNotify releases the lock, then delivers the pending decisions.
func (q *Queue) unlockAndNotify() {
	decided := q.decisions
	q.decisions = nil
	q.mu.Unlock()
	for _, d := range decided {
		d.ticket.notify(d.err)
	}
}

func (q *Queue) weight(o fleet.Organisation) float64 {
	if w := q.weights[o]; w > 0 {
		return w
	}
	return 1
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
