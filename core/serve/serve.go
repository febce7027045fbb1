// Package serve is the target side of a call. It admits attempts to the target
// beside the daemon and knows with certainty which of them ran.
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

// Server is the target side of a daemon. Attempts, Call, Load and Acquire are
// required, the other fields are optional.
type Server struct {
	// Service is the service of the target.
	Service fleet.Service
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Attempts records the attempts.
	Attempts *attempt.Table

	// Acquire waits until the target has room for the request, and returns a
	// function that gives the room back. An error is an *outcome.Error with
	// NotRun. It returns when ctx ends.
	Acquire func(context.Context, *call.Request) (release func(Ended), err error)
	// Call hands the request to the target. An error is an *outcome.Error.
	// An answer with outcome NotRun was shed by the target.
	Call func(context.Context, *call.Request) (*call.Answer, error)
	// Load returns the current load of the target.
	Load func() fleet.Load
	// State returns what the target is ready for.
	State func() fleet.State

	// Own decides about the key of a forwarded request and dispatches it.
	Own func(context.Context, *call.Request) (*call.Answer, error)
	// Fenced refuses an attempt whose token is below the highest seen.
	Fenced func(call.FencingToken) error
	// Handover is called before a request is handed to the target and refuses
	// poison requests. The function that it returns is told how the request
	// ended, before the answer goes out.
	Handover func(context.Context, *call.Request) (ended func(Ended), err error)

	underWay atomic.Int64
}

// Ended is how the target dealt with a request.
type Ended struct {
	Outcome outcome.Outcome
	Reason  outcome.Reason
	// StartedAt is when the request was handed to the target.
	StartedAt time.Time
	EndedAt   time.Time
	// Status is that of the answer, 0 without one.
	Status int
}

// Invoke runs one attempt. An error is an *outcome.Error whose outcome is
// binding. The answer's body must be closed.
func (s *Server) Invoke(ctx context.Context, ref attempt.Ref, r *call.Request) (*call.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	s.underWay.Add(1)
	answer, err := s.invoke(ctx, cancel, ref, r)
	if err != nil {
		s.underWay.Add(-1)
		cancel()
		return nil, err
	}
	answer.Load = s.report
	answer.Body = &body{ReadCloser: answer.Body, then: func(error) {
		s.underWay.Add(-1)
		cancel()
	}}
	return answer, nil
}

// UnderWay returns the number of attempts that are queued or running.
func (s *Server) UnderWay() int64 {
	return s.underWay.Load()
}

func (s *Server) invoke(ctx context.Context, cancel func(), ref attempt.Ref, r *call.Request) (*call.Answer, error) {
	record, err := s.Attempts.Begin(ref, cancel)
	if err != nil {
		return nil, err
	}
	if r.ForwardedToOwner {
		return s.own(ctx, record, r)
	}
	if err := s.allowed(r); err != nil {
		record.Finish(outcome.NotRun)
		return nil, err
	}
	release, err := s.Acquire(ctx, r)
	if err != nil {
		record.Finish(outcome.NotRun)
		return nil, notRun(err)
	}
	// The target may have begun to drain while the request was queued.
	if err := s.allowed(r); err != nil {
		record.Finish(outcome.NotRun)
		release(Ended{Outcome: outcome.NotRun, Reason: reason(err)})
		return nil, err
	}
	return s.run(ctx, record, release, r)
}

// allowed refuses requests that must not even wait for the target.
func (s *Server) allowed(r *call.Request) error {
	if r.Service != s.Service {
		return outcome.New(outcome.NotRun, outcome.StaleAttempt, "the target serves "+string(s.Service))
	}
	if s.State != nil && !s.State().TakesWork() {
		return outcome.New(outcome.NotRun, outcome.Draining, "the target takes no new work")
	}
	if s.Fenced != nil && r.FencingToken.Slot != "" {
		return s.Fenced(r.FencingToken)
	}
	return nil
}

// run hands the request to the target, and calls release once it has ended.
func (s *Server) run(ctx context.Context, record *attempt.Record, release func(Ended), r *call.Request) (*call.Answer, error) {
	told := func(Ended) {}
	if s.Handover != nil {
		f, err := s.Handover(ctx, r)
		if err != nil {
			record.Finish(outcome.NotRun)
			release(Ended{Outcome: outcome.NotRun, Reason: reason(err)})
			return nil, notRun(err)
		}
		told = f
	}
	ended := Ended{StartedAt: s.now()}
	answer, err := s.handOver(ctx, record, r)
	if err != nil {
		ended.Outcome, ended.Reason, ended.EndedAt = outcome.Of(err), reason(err), s.now()
		release(ended)
		told(ended)
		return nil, err
	}
	ended.Outcome, ended.Status = outcome.Run, answer.Status
	answer.Body = &body{ReadCloser: answer.Body, then: func(err error) {
		ended.Reason, ended.EndedAt = bodyReason(err), s.now()
		record.Finish(outcome.Run)
		release(ended)
		told(ended)
	}}
	return answer, nil
}

func (s *Server) handOver(ctx context.Context, record *attempt.Record, r *call.Request) (*call.Answer, error) {
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
	return nil, s.shed(answer)
}

// shed turns a target's answer that it did not run the request into an error.
func (s *Server) shed(answer *call.Answer) error {
	if err := answer.Body.Close(); err != nil {
		return outcome.New(outcome.NotRun, outcome.Overloaded, "the target shed the request; "+err.Error())
	}
	return outcome.New(outcome.NotRun, outcome.Overloaded, "the target shed the request")
}

// own lets the dispatcher decide about a key that this daemon owns.
func (s *Server) own(ctx context.Context, record *attempt.Record, r *call.Request) (*call.Answer, error) {
	if s.Own == nil {
		record.Finish(outcome.NotRun)
		return nil, outcome.New(outcome.Unknown, outcome.KeyUnknown, "this daemon owns no keys")
	}
	if err := record.Start(); err != nil {
		return nil, err
	}
	answer, err := s.Own(ctx, r)
	if err != nil {
		record.Finish(outcome.Of(err))
		return nil, err
	}
	answer.Body = &body{ReadCloser: answer.Body, then: func(error) { record.Finish(outcome.Run) }}
	return answer, nil
}

func (s *Server) report() (fleet.Load, bool) {
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

// notRun asserts that a refusal before the target got the request says so.
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

// bodyReason says why a body ended before it was whole.
func bodyReason(err error) outcome.Reason {
	if err == nil {
		return ""
	}
	if r := reason(err); r != "" {
		return r
	}
	return outcome.Cancelled
}

// body calls a function once when it ends, with nil if it was read to its end.
// A failure is told before the reader learns of it.
type body struct {
	io.ReadCloser
	then func(error)
}

// Read reads and notes the end.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.end(nil)
	} else if err != nil {
		b.end(err)
	}
	return n, err
}

// Close closes the body.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.end(call.ErrTruncated)
	return err
}

func (b *body) end(err error) {
	if b.then == nil {
		return
	}
	then := b.then
	b.then = nil
	then(err)
}
