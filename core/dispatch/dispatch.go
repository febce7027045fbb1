// Package dispatch implements the entry side of a call. It applies the
// configuration to a request, chooses targets, sends attempts and decides whether
// a failed attempt is retried.
//
// A request that is not idempotent is retried only after a binding answer that
// the previous attempt did not run and never will.
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
	// settleTimeout bounds the wait for a binding answer. A connection that stops
	// responding is detected and replaced within 1.5 s.
	settleTimeout = 1600 * time.Millisecond
	// maxAttemptsAfterCrash bounds the attempts of a request once a target has
	// crashed while running it, so that one request cannot crash more than two
	// targets.
	maxAttemptsAfterCrash = 2
	// maxDepth bounds the depth of nested calls.
	maxDepth = 32
)

// TargetRequest asks for a target.
type TargetRequest struct {
	Request *call.Request
	Policy  *policy.Service
	// Tried lists the targets that have already been tried for the request.
	Tried []fleet.DaemonID
	// Hint is the daemon that the last refusal suggested, or "".
	Hint fleet.DaemonID
	// Final asks for a target at which to queue.
	Final bool
}

// Decision says how to proceed after a failed attempt.
type Decision string

// The decisions.
const (
	// Retry allows another attempt.
	Retry Decision = "Retry"
	// Queue allows one last attempt, which waits in the queue of its target.
	Queue Decision = "Queue"
	// Stop allows no further attempt.
	Stop Decision = "Stop"
)

// Result is the result of one attempt as seen by the entry.
type Result struct {
	Request   *call.Request
	Target    fleet.Target
	Outcome   outcome.Outcome
	Reason    outcome.Reason
	StartedAt time.Time
	// AnsweredAt is when the head of the answer arrived, zero without an answer.
	AnsweredAt time.Time
	EndedAt    time.Time
	// Load is the load report that came with the answer, if HasLoad is set.
	Load    fleet.Load
	HasLoad bool
}

// Dispatcher dispatches the requests that enter at a daemon. Policy, Choose, Send,
// Settle and Sequencer are required, the other fields are optional.
type Dispatcher struct {
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Policy returns the configuration in force.
	Policy func() *policy.Set
	// Sequencer numbers the attempts.
	Sequencer *attempt.Sequencer

	// Choose returns the target of the next attempt, or an *outcome.Error.
	Choose func(context.Context, TargetRequest) (fleet.Target, error)
	// Observe is called once for each attempt, after it has ended.
	Observe func(Result)
	// Send makes one attempt. An error is an *outcome.Error. NotRun in it is
	// binding; Unknown with ConnectionLost, DeadlineExceeded or Cancelled means
	// that the attempt can be settled.
	Send func(context.Context, fleet.Target, attempt.Ref, *call.Request) (*call.Answer, error)
	// Settle asks the target's daemon for a binding answer on whether an attempt
	// ran.
	Settle func(context.Context, fleet.Target, attempt.Ref) (attempt.Settlement, error)

	// Occupy takes a place for a request after the first part of its body was read, and before
	// it is sent anywhere. It returns a function that gives the place back, or an *outcome.Error
	// with NotRun. Nil means that there are always places.
	Occupy func(context.Context, *call.Request) (release func(), err error)

	// OnRequest is called for each request before its first attempt. DecideRetry is
	// called before each further attempt, with the failed one; if it is nil,
	// Retry.MaxAttempts attempts are allowed.
	OnRequest   func(*policy.Service, *call.Request)
	DecideRetry func(*policy.Service, *call.Request, retry.Attempt) Decision
	// Fingerprint returns a value that identifies a request when it is sent again.
	// The head is the first part of the body.
	Fingerprint func(request *call.Request, head []byte) uint64

	// Owner returns the daemon that owns the request's idempotency key, and
	// whether that is this daemon. Nil means that no owner can be reached.
	Owner func(context.Context, *policy.Service, *call.Request) (owner fleet.Target, own bool, err error)
	// Claim claims the idempotency key of a request if this daemon owns the key.
	Claim func(context.Context, *policy.Service, *call.Request) (*Claim, error)
	// AcceptDeferred accepts a deferred request for later delivery.
	AcceptDeferred func(context.Context, *policy.Service, *call.Request) (*call.Answer, error)
}

// Do sends the request to a target and returns its answer, whose body must be
// closed. An error is an *outcome.Error.
func (d *Dispatcher) Do(ctx context.Context, r *call.Request) (*call.Answer, error) {
	service, route, err := d.prepare(r)
	if err != nil {
		return nil, d.inDoubtIfKeyed(route, r, err)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	answer, err := d.dispatchByRoute(ctx, service, route, r)
	if err != nil {
		cancel()
		return nil, err
	}
	answer.Body = &closeHook{ReadCloser: answer.Body, onClose: cancel}
	return answer, nil
}

func (d *Dispatcher) dispatchByRoute(ctx context.Context, service *policy.Service, route policy.Route, r *call.Request) (*call.Answer, error) {
	if err := d.readHead(route, r); err != nil {
		return nil, err
	}
	release, err := d.occupy(ctx, r)
	if err != nil {
		return nil, d.inDoubtIfKeyed(route, r, err)
	}
	answer, err := d.dispatchOccupied(ctx, service, route, r)
	if err != nil {
		release()
		return nil, err
	}
	answer.Body = &closeHook{ReadCloser: answer.Body, onClose: release}
	return answer, nil
}

// readHead reads the first part of the body.
func (d *Dispatcher) readHead(route policy.Route, r *call.Request) error {
	if !r.Deferred {
		return d.inDoubtIfKeyed(route, r, d.fingerprint(r))
	}
	if !route.Deferrable {
		return outcome.New(outcome.NotRun, outcome.BadRequest, "Pollenscale-Deferred: the route "+r.Method+" "+r.Path+" takes no deferred requests")
	}
	if _, _, err := r.Body.Head(r.ContentLength); err != nil {
		return outcome.New(outcome.NotRun, outcome.BadRequest, err.Error())
	}
	return nil
}

// occupy takes a place for the request.
func (d *Dispatcher) occupy(ctx context.Context, r *call.Request) (release func(), err error) {
	if d.Occupy == nil {
		return func() {}, nil
	}
	return d.Occupy(ctx, r)
}

func (d *Dispatcher) dispatchOccupied(ctx context.Context, service *policy.Service, route policy.Route, r *call.Request) (*call.Answer, error) {
	if r.Deferred {
		return d.acceptDeferred(ctx, service, r)
	}
	if d.keyed(route, r) {
		return d.keyedCall(ctx, service, r)
	}
	return d.runAttempts(ctx, service, r)
}

// fingerprint reads the head of the body and sets the request's fingerprint.
func (d *Dispatcher) fingerprint(r *call.Request) error {
	head, whole, err := r.Body.Head(r.ContentLength)
	if err != nil {
		return bodyReadError(err)
	}
	if whole {
		r.ContentLength = int64(len(head))
	}
	if d.Fingerprint != nil {
		r.Fingerprint = d.Fingerprint(r, head)
	}
	return nil
}

func (d *Dispatcher) acceptDeferred(ctx context.Context, service *policy.Service, r *call.Request) (*call.Answer, error) {
	if d.AcceptDeferred == nil {
		return nil, outcome.New(outcome.NotRun, outcome.StoreDown, "deferred requests cannot be stored here")
	}
	return d.AcceptDeferred(ctx, service, r)
}

// runAttempts sends attempts of the request until one is answered or no other is
// allowed.
func (d *Dispatcher) runAttempts(ctx context.Context, service *policy.Service, r *call.Request) (*call.Answer, error) {
	if d.OnRequest != nil {
		d.OnRequest(service, r)
	}
	request := TargetRequest{Request: r, Policy: service}
	var failed retry.Attempt
	var lastErr error
	// inDoubt is set once an attempt may have run. From then on a refusal of a
	// later attempt must not be reported as 'not run'.
	inDoubt := false
	for {
		target, err := d.Choose(ctx, request)
		if err != nil {
			return nil, unknownIfInDoubt(firstError(lastErr, err), inDoubt)
		}
		answer, err := d.sendAttempt(ctx, target, r)
		if err == nil {
			return answer, nil
		}
		inDoubt = inDoubt || outcome.Of(err) != outcome.NotRun
		failed = failed.Next(err, r.Idempotent)
		decision := d.decideNext(ctx, service, r, failed, err)
		if decision == Stop || request.Final {
			return nil, unknownIfInDoubt(err, inDoubt)
		}
		request.Final = decision == Queue
		lastErr = err
		request.Tried = append(request.Tried, target.Daemon)
		request.Hint = hintOf(err)
	}
}

// unknownIfInDoubt changes the outcome 'not run' to 'unknown' if an earlier
// attempt may have run.
func unknownIfInDoubt(err error, inDoubt bool) error {
	var e *outcome.Error
	if !inDoubt || !errors.As(err, &e) || e.Outcome != outcome.NotRun {
		return err
	}
	unknown := *e
	unknown.Outcome = outcome.Unknown
	return &unknown
}

// decideNext decides how to proceed after an attempt that failed with err.
func (d *Dispatcher) decideNext(ctx context.Context, service *policy.Service, r *call.Request, failed retry.Attempt, err error) Decision {
	var e *outcome.Error
	if !errors.As(err, &e) || ctx.Err() != nil {
		return Stop
	}
	if e.Outcome != outcome.NotRun && !r.Idempotent {
		return Stop
	}
	if !retryable[e.Reason] {
		return Stop
	}
	if e.Reason == outcome.TargetCrashed && failed.Number >= maxAttemptsAfterCrash {
		return Stop
	}
	decision := d.decideRetry(service, r, failed)
	if decision == Stop || !r.Body.Rewind() {
		return Stop
	}
	return decision
}

func (d *Dispatcher) decideRetry(service *policy.Service, r *call.Request, failed retry.Attempt) Decision {
	if d.DecideRetry != nil {
		return d.DecideRetry(service, r, failed)
	}
	if failed.Number+failed.Redirects < service.Retry.AttemptLimit() {
		return Retry
	}
	return Stop
}

// retryable holds the failure reasons after which another target may succeed.
var retryable = map[outcome.Reason]bool{
	outcome.CannotFinish:   true,
	outcome.Overloaded:     true,
	outcome.Draining:       true,
	outcome.TargetFailed:   true,
	outcome.TargetCrashed:  true,
	outcome.ConnectionLost: true,
	outcome.StaleAttempt:   true,
}

// sendAttempt sends one attempt and settles it if no answer arrives.
func (d *Dispatcher) sendAttempt(ctx context.Context, target fleet.Target, r *call.Request) (*call.Answer, error) {
	open := d.Sequencer.Open(target)
	result := Result{Request: r, Target: target, StartedAt: d.now()}
	answer, err := d.Send(ctx, target, open.Ref, r)
	if err != nil {
		err = d.settleIfUnknown(ctx, target, open.Ref, err)
		open.Close()
		d.observeFailure(result, err)
		return nil, err
	}
	result.AnsweredAt = d.now()
	result.Outcome = answer.Outcome
	answer.Body = &closeHook{ReadCloser: answer.Body, onClose: func() {
		open.Close()
		d.observeEnd(result, answer)
	}}
	return answer, nil
}

// settleIfUnknown asks the target's daemon for a binding answer if err leaves the
// outcome unknown, and returns the error with that outcome. If there is no
// binding answer, it returns the error with the outcome unchanged.
func (d *Dispatcher) settleIfUnknown(ctx context.Context, target fleet.Target, ref attempt.Ref, err error) error {
	var e *outcome.Error
	if !errors.As(err, &e) {
		e = outcome.New(outcome.Unknown, outcome.ConnectionLost, err.Error())
	}
	if e.Outcome != outcome.Unknown || !canSettle(e.Reason) {
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

// canSettle reports whether an attempt that failed for this reason can be settled.
// For other reasons the target's daemon has already reported what it knows.
func canSettle(reason outcome.Reason) bool {
	switch reason { //nolint:exhaustive // the others are final
	case outcome.ConnectionLost, outcome.DeadlineExceeded, outcome.Cancelled, outcome.TooLarge, outcome.BadRequest:
		return true
	}
	return false
}

func (d *Dispatcher) observeFailure(result Result, err error) {
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

func (d *Dispatcher) observeEnd(result Result, answer *call.Answer) {
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

// firstError returns the failure of an earlier attempt, if there is one, rather
// than the error that no further target is available.
func firstError(lastErr, err error) error {
	if lastErr != nil {
		return lastErr
	}
	return err
}

func hintOf(err error) fleet.DaemonID {
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
