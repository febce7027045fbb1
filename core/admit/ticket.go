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

// Ticket is a request in the queue or in a slot.
type Ticket struct {
	queue   *Queue
	request Request
	rank    *rank
	flow    *flow
	decide  func(*outcome.Error)
	state   state
	arrived time.Time
	started time.Time
	level   int     // requests running when it started, itself included
	charged float64 // seconds of slot time
	due     bool    // started for the floor of its rank
}

// work is how long the request is expected to hold its slot.
func (t *Ticket) work() time.Duration {
	if t.request.Work > 0 {
		return t.request.Work
	}
	return seconds(t.rank.mean)
}

// canFinish reports whether the request is likely to finish by its deadline if
// it starts at begin.
func (t *Ticket) canFinish(now, begin time.Time) bool {
	deadline := t.request.Deadline
	if deadline.IsZero() {
		return true
	}
	work, part := time.Duration(workMargin*float64(t.request.Work)), 1-knownQueuePart
	if work == 0 {
		work, part = seconds(t.rank.mean+deviations*t.rank.spread), 1-queuePart
	}
	need := max(work, time.Duration(part*float64(deadline.Sub(now))))
	return !begin.Add(need).After(deadline)
}

// slack is how long the request can wait and still meet its objective, 0 if it
// has none or had missed it when it came.
func (t *Ticket) slack() time.Duration {
	if t.request.InTime.IsZero() {
		return 0
	}
	return max(0, t.request.InTime.Sub(t.arrived)-t.work())
}

// missesObjective reports whether the request is likely to miss the objective that
// it could still meet, if it starts at begin.
func (t *Ticket) missesObjective(begin time.Time) bool {
	slack := t.slack()
	return slack > 0 && begin.Sub(t.arrived) > time.Duration(overloadedPart*float64(slack))
}

// Cancel withdraws a queued request, whose decide function is then not called.
// It reports whether the request was still queued: true means that it did not
// run and never will.
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

// Release gives the slot back after the target answered.
func (t *Ticket) Release() { t.finish(true, true) }

// Fail gives the slot back after the target failed the request.
func (t *Ticket) Fail() { t.finish(true, false) }

// ReleaseUnused gives back a slot in which nothing was run.
func (t *Ticket) ReleaseUnused() { t.finish(false, false) }

func (t *Ticket) finish(ran, ok bool) {
	q := t.queue
	now := q.Now()
	q.mu.Lock()
	if t.state != granted {
		invariant.Check(t.state == released, "admit_release", "release of a ticket that is %s", t.state)
		q.mu.Unlock()
		return
	}
	t.state = released
	took := now.Sub(t.started)
	q.pace.end(t.started, now, t.request.Work, ran && ok)
	if ran {
		q.limit.Observe(took, q.running, ok)
	}
	if ran && ok {
		if !t.request.Untypical {
			q.limit.ObserveStart(t.level, took, t.request.Work)
		}
		q.learn(t.rank, took.Seconds())
	}
	q.correct(t, took.Seconds())
	q.running--
	if until := t.started.Add(seconds(t.charged)); ran && !ok && q.limit.Failing() && until.After(now) {
		q.hold(until)
	}
	q.startNext(now)
	q.unlockAndDecide()
}

// learn records a service time.
func (q *Queue) learn(k *rank, took float64) {
	k.observe(took)
	if q.mean == 0 {
		q.mean = took
	}
	q.mean += (took - q.mean) * meanWeight
}

// correct replaces the expected slot time of a ticket by the actual one.
func (q *Queue) correct(t *Ticket, took float64) {
	difference := took - t.charged
	q.charge(t, difference)
	if t.flow != nil {
		t.flow.tag += difference / t.flow.weight
	}
}

// AcquireTicket waits for a slot. The error is an *outcome.Error with NotRun, and with
// RetryAt when it is known. The caller ends a granted ticket by Release, Fail or
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
		return t.granted(err)
	case <-ctx.Done():
	}
	if t.Cancel() {
		return nil, outcome.New(outcome.NotRun, outcome.Cancelled, context.Cause(ctx).Error())
	}
	return t.granted(<-decided)
}

func (t *Ticket) granted(err *outcome.Error) (*Ticket, error) {
	if err != nil {
		return nil, err
	}
	return t, nil
}

// Acquire waits for a slot and returns the function that gives it back. The
// error is an *outcome.Error with NotRun, and with RetryAt when it is known.
func (q *Queue) Acquire(ctx context.Context, r Request) (release func(), err error) {
	t, err := q.AcquireTicket(ctx, r)
	if err != nil {
		return nil, err
	}
	return t.Release, nil
}

// Slots returns the number of requests that may run now.
func (q *Queue) Slots() fleet.Slots {
	return fleet.Slots(q.limit.Value())
}
