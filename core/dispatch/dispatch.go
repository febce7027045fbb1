// Package dispatch is the entry side of a call. It applies the configuration to
// a request, chooses a target, sends attempts and decides whether another may
// follow.
//
// A request that is not idempotent is sent again only after a binding answer
// that the attempt before it did not run and never will.
package dispatch

import (
	"context"
	"time"

	"pollenscale/core/attempt"
	"pollenscale/core/call"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/policy"
	"pollenscale/core/retry"

	"github.com/cockroachdb/errors"
)

const (
	// settleTimeout bounds the wait for a binding answer. A connection that
	// went silent is found and replaced within 1.5 s.
	settleTimeout = 1600 * time.Millisecond
	// crashAttempts bounds the attempts of a request after a target crashed
	// under it, so that one request cannot crash more than two targets.
	crashAttempts = 2
	// maxDepth bounds the levels of calls.
	maxDepth = 32
)

// Choice asks for a target.
type Choice struct {
	Request *call.Request
	Policy  *policy.Service
	// Tried are the targets that already refused the request.
	Tried []fleet.DaemonID
	// Hint is a daemon that the last refusal named, or "".
	Hint fleet.DaemonID
	// Final asks for a target at which to queue.
	Final bool
}

// Verdict says what follows a failed attempt.
type Verdict string

// The verdicts.
const (
	// Retry allows another attempt.
	Retry Verdict = "Retry"
	// Queue allows a last attempt, which waits in the queue of its target.
	Queue Verdict = "Queue"
	// Stop allows none.
	Stop Verdict = "Stop"
)

// Result is how one attempt ended, as the entry saw it.
type Result struct {
	Request   *call.Request
	Target    fleet.Target
	Outcome   outcome.Outcome
	Reason    outcome.Reason
	StartedAt time.Time
	// AnsweredAt is when the head of the answer arrived, zero without one.
	AnsweredAt time.Time
	EndedAt    time.Time
	// Load is the load report that came with the answer, if HasLoad is set.
	Load    fleet.Load
	HasLoad bool
}

// Dispatcher is the entry side of a daemon. Policy, Choose, Send, Settle and
// Opener are required, the other fields are optional.
type Dispatcher struct {
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Policy returns the configuration in force.
	Policy func() *policy.Set
	// Opener numbers the attempts.
	Opener *attempt.Opener

	// Choose returns the target of the next attempt, or an *outcome.Error.
	Choose func(context.Context, Choice) (fleet.Target, error)
	// Observe is called once when an attempt has ended.
	Observe func(Result)
	// Send makes one attempt. An error is an *outcome.Error. NotRun in it is
	// binding; Unknown with ConnectionLost, DeadlineExceeded or Cancelled means
	// that the attempt can be settled.
	Send func(context.Context, fleet.Target, attempt.Ref, *call.Request) (*call.Answer, error)
	// Settle asks the target's daemon for a binding answer about an attempt.
	Settle func(context.Context, fleet.Target, attempt.Ref) (attempt.Settlement, error)

	// Called is told of each request before its first attempt, and MayRetry is
	// asked before each further attempt, with the failed one. Nil allows
	// Retry.MaxAttempts.
	Called   func(*policy.Service, *call.Request)
	MayRetry func(*policy.Service, *call.Request, retry.Attempt) Verdict
	// Fingerprint identifies a request that is sent again. The head is the
	// first part of the body.
	Fingerprint func(request *call.Request, head []byte) uint64

	// Owner returns the daemon that decides about the request's key, and
	// whether this daemon is it. Nil means that no owner can be reached.
	Owner func(context.Context, *policy.Service, *call.Request) (owner fleet.Target, own bool, err error)
	// Claim vouches for the key of a request that this daemon owns.
	Claim func(context.Context, *policy.Service, *call.Request) (*Claim, error)
	// Accept takes a deferred request for later delivery.
	Accept func(context.Context, *policy.Service, *call.Request) (*call.Answer, error)
}

// Do sends the request to a target and returns its answer, whose body must be
// closed. An error is an *outcome.Error.
func (d *Dispatcher) Do(ctx context.Context, r *call.Request) (*call.Answer, error) {
	service, route, err := d.prepare(r)
	if err != nil {
		return nil, d.unlessKeyed(route, r, err)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	answer, err := d.route(ctx, service, route, r)
	if err != nil {
		cancel()
		return nil, err
	}
	answer.Body = &closer{ReadCloser: answer.Body, then: cancel}
	return answer, nil
}

func (d *Dispatcher) route(ctx context.Context, service *policy.Service, route policy.Route, r *call.Request) (*call.Answer, error) {
	if r.Deferred {
		return d.accept(ctx, service, route, r)
	}
	if err := d.identify(r); err != nil {
		return nil, d.unlessKeyed(route, r, err)
	}
	if d.keyed(route, r) {
		return d.keyedCall(ctx, service, r)
	}
	return d.attempts(ctx, service, r)
}

// identify reads the first part of the body, which the fingerprint covers.
func (d *Dispatcher) identify(r *call.Request) error {
	head, whole, err := r.Body.Head(r.ContentLength)
	if err != nil {
		return bodyError(err)
	}
	if whole {
		r.ContentLength = int64(len(head))
	}
	if d.Fingerprint != nil {
		r.Fingerprint = d.Fingerprint(r, head)
	}
	return nil
}

func (d *Dispatcher) accept(ctx context.Context, service *policy.Service, route policy.Route, r *call.Request) (*call.Answer, error) {
	if !route.Deferrable {
		return nil, outcome.New(outcome.NotRun, outcome.BadRequest, "Pollenscale-Deferred: the route "+r.Method+" "+r.Path+" takes no deferred requests")
	}
	if d.Accept == nil {
		return nil, outcome.New(outcome.NotRun, outcome.StoreDown, "deferred requests cannot be stored here")
	}
	return d.Accept(ctx, service, r)
}

// attempts sends the request until an answer or a final failure.
func (d *Dispatcher) attempts(ctx context.Context, service *policy.Service, r *call.Request) (*call.Answer, error) {
	if d.Called != nil {
		d.Called(service, r)
	}
	choice := Choice{Request: r, Policy: service}
	var failed retry.Attempt
	var last error
	// inDoubt is set once an attempt may have run. Then no later refusal makes
	// the request one that did not run.
	inDoubt := false
	for {
		target, err := d.Choose(ctx, choice)
		if err != nil {
			return nil, doubted(firstError(last, err), inDoubt)
		}
		answer, err := d.try(ctx, target, r)
		if err == nil {
			return answer, nil
		}
		inDoubt = inDoubt || outcome.Of(err) != outcome.NotRun
		failed = failed.Next(err, r.Idempotent)
		verdict := d.next(ctx, service, r, failed, err)
		if verdict == Stop || choice.Final {
			return nil, doubted(err, inDoubt)
		}
		choice.Final = verdict == Queue
		last = err
		choice.Tried = append(choice.Tried, target.Daemon)
		choice.Hint = hint(err)
	}
}

// doubted replaces a 'not run' by 'unknown' if an earlier attempt may have run.
func doubted(err error, inDoubt bool) error {
	var e *outcome.Error
	if !inDoubt || !errors.As(err, &e) || e.Outcome != outcome.NotRun {
		return err
	}
	open := *e
	open.Outcome = outcome.Unknown
	return &open
}

// next decides what follows an attempt that failed with err.
func (d *Dispatcher) next(ctx context.Context, service *policy.Service, r *call.Request, failed retry.Attempt, err error) Verdict {
	var e *outcome.Error
	if !errors.As(err, &e) || ctx.Err() != nil {
		return Stop
	}
	if e.Outcome != outcome.NotRun && !r.Idempotent {
		return Stop
	}
	if !passing[e.Reason] {
		return Stop
	}
	if e.Reason == outcome.TargetCrashed && failed.Number >= crashAttempts {
		return Stop
	}
	verdict := d.mayRetry(service, r, failed)
	if verdict == Stop || !r.Body.Again() {
		return Stop
	}
	return verdict
}

func (d *Dispatcher) mayRetry(service *policy.Service, r *call.Request, failed retry.Attempt) Verdict {
	if d.MayRetry != nil {
		return d.MayRetry(service, r, failed)
	}
	if failed.Number+failed.Redirects < service.Retry.AttemptLimit() {
		return Retry
	}
	return Stop
}

// passing are the reasons for failures after which another target may succeed.
var passing = map[outcome.Reason]bool{
	outcome.CannotFinish:   true,
	outcome.Overloaded:     true,
	outcome.Draining:       true,
	outcome.TargetFailed:   true,
	outcome.TargetCrashed:  true,
	outcome.ConnectionLost: true,
	outcome.StaleAttempt:   true,
}

// try makes one attempt and settles it when it got no answer.
func (d *Dispatcher) try(ctx context.Context, target fleet.Target, r *call.Request) (*call.Answer, error) {
	open := d.Opener.Open(target)
	result := Result{Request: r, Target: target, StartedAt: d.now()}
	answer, err := d.Send(ctx, target, open.Ref, r)
	if err != nil {
		err = d.settled(ctx, target, open.Ref, err)
		open.Close()
		d.failed(result, err)
		return nil, err
	}
	result.AnsweredAt = d.now()
	result.Outcome = answer.Outcome
	answer.Body = &closer{ReadCloser: answer.Body, then: func() {
		open.Close()
		d.ended(result, answer)
	}}
	return answer, nil
}

// settled replaces an error that leaves the outcome open by one with the
// binding answer of the target's daemon, if that can be had.
func (d *Dispatcher) settled(ctx context.Context, target fleet.Target, ref attempt.Ref, err error) error {
	var e *outcome.Error
	if !errors.As(err, &e) {
		e = outcome.New(outcome.Unknown, outcome.ConnectionLost, err.Error())
	}
	if e.Outcome != outcome.Unknown || !unsettled(e.Reason) {
		return e
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	settlement, err := d.Settle(ctx, target, ref)
	if err != nil {
		return e
	}
	settled := *e
	settled.Outcome = settlement.Outcome
	return &settled
}

// unsettled reports whether an attempt that failed for the reason may be asked
// about. The others failed at the target's daemon, which said what it knows.
func unsettled(reason outcome.Reason) bool {
	switch reason { //nolint:exhaustive // the others are final
	case outcome.ConnectionLost, outcome.DeadlineExceed, outcome.Cancelled, outcome.TooLarge, outcome.BadRequest:
		return true
	}
	return false
}

func (d *Dispatcher) failed(result Result, err error) {
	if d.Observe == nil {
		return
	}
	result.Outcome, result.Reason = outcome.Of(err), reasonOf(err)
	result.EndedAt = d.now()
	var e *outcome.Error
	if errors.As(err, &e) && e.Load != nil {
		result.Load, result.HasLoad = *e.Load, true
	}
	d.Observe(result)
}

func (d *Dispatcher) ended(result Result, answer *call.Answer) {
	if d.Observe == nil {
		return
	}
	result.EndedAt = d.now()
	if answer.Load != nil {
		result.Load, result.HasLoad = answer.Load()
	}
	d.Observe(result)
}

func (d *Dispatcher) now() time.Time {
	if d.Now != nil {
		return d.Now()
	}
	return time.Now()
}

// firstError prefers the failure of an earlier attempt to the error that no
// further target is left.
func firstError(last, err error) error {
	if last != nil {
		return last
	}
	return err
}

func hint(err error) fleet.DaemonID {
	var e *outcome.Error
	if errors.As(err, &e) {
		return fleet.DaemonID(e.Hint)
	}
	return ""
}

func reasonOf(err error) outcome.Reason {
	var e *outcome.Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return ""
}
