// Package serve implements the target side of a call. It admits attempts to the target
// beside the daemon and records reliably which of them ran.
package serve

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"pollenscale/core/attempt"
	"pollenscale/core/call"
	"pollenscale/core/fleet"
	"pollenscale/core/invariant"
	"pollenscale/core/outcome"

	"github.com/cockroachdb/errors"
)

// Server is the target side of a daemon. Attempts, Call, Load and Acquire are required,
// the other fields are optional.
type Server struct {
	// Service is the service of the target.
	Service fleet.Service
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Attempts records the attempts.
	Attempts *attempt.Table

	// Acquire waits for a slot of the target and returns a function that gives it
	// back. An error is an *outcome.Error with NotRun. Acquire returns when ctx ends.
	Acquire func(context.Context, *call.Request) (release func(Completion), err error)
	// Call sends the request to the target. An error is an *outcome.Error. An answer
	// with outcome NotRun means that the target shed the request.
	Call func(context.Context, *call.Request) (*call.Answer, error)
	// Load returns the current load of the target.
	Load func() fleet.Load
	// State returns the current state of the target.
	State func() fleet.State

	// DispatchOwned handles a forwarded request whose idempotency key this daemon owns:
	// it decides whether the request runs, and dispatches it.
	DispatchOwned func(context.Context, *call.Request) (*call.Answer, error)
	// CheckFence refuses an attempt whose fencing token is lower than the highest
	// seen.
	CheckFence func(call.FencingToken) error
	// BeforeCall is called before a request is sent to the target and refuses poison
	// requests. The function that it returns is called when the request has ended,
	// before the caller sees the error or the end of the answer.
	BeforeCall func(context.Context, *call.Request) (done func(Completion), err error)

	inFlight atomic.Int64
}

// Completion describes how a request ended at the target.
type Completion struct {
	Outcome outcome.Outcome
	Reason  outcome.Reason
	// StartedAt is when the request was sent to the target.
	StartedAt time.Time
	EndedAt   time.Time
	// Status is the HTTP status of the answer, 0 without an answer.
	Status int
}

// Invoke runs one attempt. An error is an *outcome.Error whose outcome is final. The
// body of the answer must be closed.
func (s *Server) Invoke(ctx context.Context, ref attempt.Ref, r *call.Request) (*call.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	s.inFlight.Add(1)
	answer, err := s.invoke(ctx, cancel, ref, r)
	if err != nil {
		s.inFlight.Add(-1)
		cancel()
		return nil, err
	}
	answer.Load = s.currentLoad
	answer.Body = &body{ReadCloser: answer.Body, onEnd: func(error) {
		s.inFlight.Add(-1)
		cancel()
	}}
	return answer, nil
}

// InFlight returns the number of attempts that are queued or running.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

func (s *Server) invoke(ctx context.Context, cancel func(), ref attempt.Ref, r *call.Request) (*call.Answer, error) {
	record, err := s.Attempts.Begin(ref, cancel)
	if err != nil {
		return nil, err
	}
	if r.ForwardedToOwner {
		return s.invokeOwned(ctx, record, r)
	}
	if err := s.checkRunnable(r); err != nil {
		record.Finish(outcome.NotRun)
		return nil, err
	}
	release, err := s.Acquire(ctx, r)
	if err != nil {
		record.Finish(outcome.NotRun)
		return nil, notRun(err)
	}
	// The target may have started draining while the request was queued.
	if err := s.checkRunnable(r); err != nil {
		record.Finish(outcome.NotRun)
		release(Completion{Outcome: outcome.NotRun, Reason: reason(err)})
		return nil, err
	}
	return s.run(ctx, record, release, r)
}

// checkRunnable refuses requests that must not run at the target. It is called before
// and after the wait for a slot.
func (s *Server) checkRunnable(r *call.Request) error {
	if r.Service != s.Service {
		return outcome.New(outcome.NotRun, outcome.StaleAttempt, "the target serves "+string(s.Service))
	}
	if s.State != nil && !s.State().TakesWork() {
		return outcome.New(outcome.NotRun, outcome.Draining, "the target takes no new work")
	}
	if s.CheckFence != nil && r.FencingToken.Slot != "" {
		return s.CheckFence(r.FencingToken)
	}
	return nil
}

// run sends the request to the target, and calls release when the request has ended.
func (s *Server) run(ctx context.Context, record *attempt.Record, release func(Completion), r *call.Request) (*call.Answer, error) {
	done := func(Completion) {}
	if s.BeforeCall != nil {
		f, err := s.BeforeCall(ctx, r)
		if err != nil {
			record.Finish(outcome.NotRun)
			release(Completion{Outcome: outcome.NotRun, Reason: reason(err)})
			return nil, notRun(err)
		}
		done = f
	}
	completion := Completion{StartedAt: s.now()}
	answer, err := s.callTarget(ctx, record, r)
	if err != nil {
		completion.Outcome, completion.Reason, completion.EndedAt = outcome.Of(err), reason(err), s.now()
		release(completion)
		done(completion)
		return nil, err
	}
	completion.Outcome, completion.Status = outcome.Run, answer.Status
	answer.Body = &body{ReadCloser: answer.Body, onEnd: func(err error) {
		completion.Reason, completion.EndedAt = bodyReason(err), s.now()
		record.Finish(outcome.Run)
		release(completion)
		done(completion)
	}}
	return answer, nil
}

func (s *Server) callTarget(ctx context.Context, record *attempt.Record, r *call.Request) (*call.Answer, error) {
	if err := record.Start(); err != nil {
		return nil, err
	}
	answer, err := s.Call(ctx, r)
	if err != nil {
		record.Finish(outcome.Of(err))
		return nil, err
	}
	if answer.Outcome != outcome.NotRun {
		return answer, nil
	}
	record.Finish(outcome.NotRun)
	return nil, s.shedError(answer)
}

// shedError returns the error for an answer by which the target shed the request, and
// closes the answer.
func (s *Server) shedError(answer *call.Answer) error {
	if err := answer.Body.Close(); err != nil {
		return outcome.New(outcome.NotRun, outcome.Overloaded, "the target shed the request; "+err.Error())
	}
	return outcome.New(outcome.NotRun, outcome.Overloaded, "the target shed the request")
}

// invokeOwned passes a request to the dispatcher if this daemon owns its key.
func (s *Server) invokeOwned(ctx context.Context, record *attempt.Record, r *call.Request) (*call.Answer, error) {
	if s.DispatchOwned == nil {
		record.Finish(outcome.NotRun)
		return nil, outcome.New(outcome.Unknown, outcome.KeyUnknown, "this daemon owns no keys")
	}
	if err := record.Start(); err != nil {
		return nil, err
	}
	answer, err := s.DispatchOwned(ctx, r)
	if err != nil {
		record.Finish(outcome.Of(err))
		return nil, err
	}
	answer.Body = &body{ReadCloser: answer.Body, onEnd: func(error) { record.Finish(outcome.Run) }}
	return answer, nil
}

func (s *Server) currentLoad() (fleet.Load, bool) {
	if s.Load == nil {
		return fleet.Load{}, false
	}
	return s.Load(), true
}

func (s *Server) now() time.Time {
	if s.Now != nil {
		return s.Now()
	}
	return time.Now()
}

// notRun checks that an error from before the request was sent to the target does not
// have the outcome Run. An error without an outcome gets NotRun.
func notRun(err error) error {
	var e *outcome.Error
	if !errors.As(err, &e) {
		return outcome.New(outcome.NotRun, outcome.Overloaded, err.Error())
	}
	invariant.Check(e.Outcome != outcome.Run, "refused-did-not-run", "refusal with outcome %s", e.Outcome)
	return err
}

func reason(err error) outcome.Reason {
	var e *outcome.Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return ""
}

// bodyReason returns why a body ended early, or "" if it was read completely.
func bodyReason(err error) outcome.Reason {
	if err == nil {
		return ""
	}
	if r := reason(err); r != "" {
		return r
	}
	return outcome.Cancelled
}

// body calls onEnd once when it ends: with nil if it was read completely, otherwise
// with an error. onEnd is called before the reader sees the end.
type body struct {
	io.ReadCloser
	onEnd func(error)
}

// Read reads from the body and calls onEnd at its end.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.end(nil)
	} else if err != nil {
		b.end(err)
	}
	return n, err
}

// Close closes the body. If it was not read completely, onEnd gets call.ErrTruncated.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.end(call.ErrTruncated)
	return err
}

func (b *body) end(err error) {
	if b.onEnd == nil {
		return
	}
	onEnd := b.onEnd
	b.onEnd = nil
	onEnd(err)
}
