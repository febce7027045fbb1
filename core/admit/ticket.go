package admit

import (
	"context"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/invariant"
	"pollenscale/core/outcome"
)

type state string

// The states of a ticket.
const (
	submitted state = ""
	queued    state = "queued"
	granted   state = "granted"
	refused   state = "refused"
	released  state = "released"
)

// Ticket is a request that waits for a slot or holds one.
type Ticket struct {
	queue            *Queue
	request          Request
	rank             *rank
	flow             *flow
	notify           func(*outcome.Error)
	state            state
	arrived          time.Time
	started          time.Time
	startConcurrency int     // number of running requests when it started, itself included
	charged          float64 // slot time charged to its rank, in seconds
	due              bool    // started because its rank was below its floor
}

// work returns the expected service time of the request.
func (t *Ticket) work() time.Duration {
	if t.request.ServiceTime > 0 {
		return t.request.ServiceTime
	}
	return seconds(t.rank.serviceTime)
}

// canFinish reports whether a request that is queued at now is likely to finish by
// its deadline if it starts at begin.
func (t *Ticket) canFinish(now, begin time.Time) bool {
	deadline := t.request.Deadline
	if deadline.IsZero() {
		return true
	}
	work, fraction := time.Duration(workMargin*float64(t.request.ServiceTime)), 1-knownQueueFraction
	if work == 0 {
		work, fraction = seconds(t.rank.serviceTime+deviationMargin*t.rank.deviation), 1-queueFraction
	}
	need := max(work, time.Duration(fraction*float64(deadline.Sub(now))))
	return !begin.Add(need).After(deadline)
}

// slack returns how long the request can wait and still meet its latency objective.
// It is 0 if the request has none or could not meet it when it arrived.
func (t *Ticket) slack() time.Duration {
	if t.request.Objective.IsZero() {
		return 0
	}
	return max(0, t.request.Objective.Sub(t.arrived)-t.work())
}

// missesObjective reports whether the request is likely to miss its latency objective
// if it starts at begin, although it could have met it on arrival.
func (t *Ticket) missesObjective(begin time.Time) bool {
	slack := t.slack()
	return slack > 0 && begin.Sub(t.arrived) > time.Duration(overloadedFraction*float64(slack))
}

// Cancel withdraws a queued request, whose notify function is then not called. It
// reports whether the request was still queued: true means that it did not run and
// never will.
func (t *Ticket) Cancel() bool {
	q := t.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.state != queued {
		return false
	}
	q.remove(t)
	t.state = refused
	return true
}

// ending says how a request that was granted a slot ended.
type ending string

const (
	answered ending = "answered"
	failed   ending = "failed"   // it ran, and failed or may have failed
	rejected ending = "rejected" // the target refused to run it
	unsent   ending = "unsent"
	// abandoned requests were cancelled by their client, which says nothing about the target.
	abandoned ending = "abandoned"
)

// Release gives back the slot after the target answered.
func (t *Ticket) Release() { t.finish(answered) }

// Fail gives back the slot after the request failed at the target.
func (t *Ticket) Fail() { t.finish(failed) }

// ReleaseRefused gives back the slot after the target refused the request.
func (t *Ticket) ReleaseRefused() { t.finish(rejected) }

// ReleaseAbandoned gives back the slot of a request that its client cancelled at the target.
func (t *Ticket) ReleaseAbandoned() { t.finish(abandoned) }

// ReleaseUnused gives back a slot whose request was not sent to the target.
func (t *Ticket) ReleaseUnused() { t.finish(unsent) }

func (t *Ticket) finish(e ending) {
	ran, ok := e == answered || e == failed, e == answered
	q := t.queue
	now := q.Now()
	q.mu.Lock()
	if t.state != granted {
		invariant.Check(t.state == released, "admit_release", "release of a ticket that is %s", t.state)
		q.mu.Unlock()
		return
	}
	t.state = released
	if e == unsent {
		q.rate.Return()
		q.cold.Return(t.started)
	}
	took := now.Sub(t.started)
	q.pace.end(t.started, now, t.request.ServiceTime, ran && ok)
	if ran {
		q.limit.Observe(took, q.running, ok)
	}
	if ran && ok {
		if !t.request.Untypical {
			q.limit.ObserveConcurrency(t.startConcurrency, took, t.request.ServiceTime)
		}
		q.observeServiceTime(t.rank, took.Seconds())
	}
	q.correctCharge(t, took.Seconds())
	q.running--
	if until := t.started.Add(seconds(t.charged)); ran && !ok && q.limit.Failing() && until.After(now) {
		q.holdSlot(until)
	}
	q.startNext(now)
	q.unlockAndNotify()
}

// observeServiceTime records a service time for its rank and for the whole queue.
func (q *Queue) observeServiceTime(k *rank, took float64) {
	k.observe(took)
	if q.serviceTime == 0 {
		q.serviceTime = took
	}
	q.serviceTime += (took - q.serviceTime) * serviceTimeWeight
}

// correctCharge replaces the expected slot time that a ticket was charged with by the
// actual one.
func (q *Queue) correctCharge(t *Ticket, took float64) {
	difference := took - t.charged
	q.charge(t, difference)
	if t.flow != nil {
		t.flow.startTag += difference / t.flow.weight
	}
}

// AcquireTicket waits for a slot. The error is an *outcome.Error with NotRun, and with
// RetryAt if that is known. The caller gives back the slot by Release, Fail or
// ReleaseUnused.
func (q *Queue) AcquireTicket(ctx context.Context, r Request) (*Ticket, error) {
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	decided := make(chan *outcome.Error, 1)
	t := q.Submit(r, func(err *outcome.Error) { decided <- err })
	select {
	case err := <-decided:
		return t.orError(err)
	case <-ctx.Done():
	}
	if t.Cancel() {
		return nil, outcome.New(outcome.NotRun, outcome.Cancelled, context.Cause(ctx).Error())
	}
	return t.orError(<-decided)
}

// orError returns the ticket if its request was granted a slot, otherwise err.
func (t *Ticket) orError(err *outcome.Error) (*Ticket, error) {
	if err != nil {
		return nil, err
	}
	return t, nil
}

// Acquire waits for a slot and returns the function that gives it back. The
// error is an *outcome.Error with NotRun, and with RetryAt if that is known.
func (q *Queue) Acquire(ctx context.Context, r Request) (release func(), err error) {
	t, err := q.AcquireTicket(ctx, r)
	if err != nil {
		return nil, err
	}
	return t.Release, nil
}

// Slots returns the current concurrency limit.
func (q *Queue) Slots() fleet.Slots {
	return fleet.Slots(q.limit.Value())
}
