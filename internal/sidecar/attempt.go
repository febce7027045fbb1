package sidecar

import (
	"context"
	"net/http"
	"time"

	"pollenscale/core/attempt"
	"pollenscale/core/choice"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/io/http1"

	"github.com/cockroachdb/errors"
)

const (
	// settleTimeout bounds the question what became of an attempt.
	settleTimeout = 400 * time.Millisecond
	// minCheck is the least time after which the target's daemon is asked whether
	// it knows an attempt.
	minCheck = 250 * time.Millisecond
	// answerMargin is added to the deadline that a target is given, so that its
	// own answer at the deadline arrives first.
	answerMargin = 60 * time.Millisecond
)

// attempt sends the request to one target.
func (s *Sidecar) attempt(ctx context.Context, q *request, c choice.Choice, work time.Duration) (*answer, verdict) {
	t := terms{
		service: q.service, priority: q.route.Priority, caller: s.settings.Load().Service,
		deadline: q.deadline, startBy: c.StartBy, idempotent: q.route.Idempotent(), work: work, inTime: q.objective(),
		fingerprint: q.fingerprint(),
	}
	if c.Target.Daemon == s.id {
		a, v := s.runHere(ctx, q, t)
		s.chooser.Observe(s.ownLoad())
		return a, v
	}
	open := s.opener.Open(*c.Target)
	defer open.Close()
	a, v := s.sendAttempt(ctx, q, t, c.Target, open.Ref)
	if v.err != nil && v.err != errMute && v.err.Reason == outcome.ConnectionLost && v.err.Outcome == outcome.Unknown {
		v = s.settle(ctx, q, c.Target, open.Ref, v)
	}
	return a, v
}

// sendAttempt sends an attempt to the daemon beside its target.
func (s *Sidecar) sendAttempt(ctx context.Context, q *request, t terms, to *fleet.Target, ref attempt.Ref) (*answer, verdict) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	now := s.now()
	header := q.header.Clone()
	writeAttempt(header, ref)
	writeTerms(header, t, now)
	writeVersion(header, s.holder.Version(), s.settings.Load().PeerAddress())
	// A connection can be silent for good. Then the other daemon does not know
	// the attempt, which a question on another connection shows.
	check := time.AfterFunc(checkAfter(t.work), func() { s.checkAttempt(ctx, cancel, q, to, ref) })
	defer check.Stop()
	r, err := s.peer(to.PeerAddress).Do(ctx, &http1.Request{
		Method: q.method, Target: q.target, Host: q.host, Header: header, Body: q.reader(), Length: q.length,
		Deadline: q.deadline.Add(answerMargin), ExpectContinue: q.bulk(),
	})
	if err != nil {
		return nil, s.peerFailed(ctx, to, err)
	}
	s.heardFrom(to, r.Header)
	v, refused := readVerdict(r.Header, s.now())
	a, err := readAnswer(r)
	if refused {
		if err == nil {
			err = a.close()
		}
		if err != nil {
			s.log.Debug("entry: refusal not read whole.", "error", err)
		}
		return nil, v
	}
	if err != nil {
		return nil, s.peerFailed(ctx, to, err)
	}
	a.work, _ = readWork(r.Header)
	return a, verdict{}
}

// checkAfter is how long an attempt may go without an answer before the other
// daemon is asked whether it knows it.
func checkAfter(work time.Duration) time.Duration { return max(minCheck, 2*work) }

// checkAttempt asks the target's daemon whether it knows the attempt, and ends
// the attempt if it does not. A daemon that does not answer gets no more
// requests, and an idempotent request goes elsewhere.
func (s *Sidecar) checkAttempt(ctx context.Context, cancel context.CancelCauseFunc, q *request, to *fleet.Target, ref attempt.Ref) {
	o, err := s.ask(ctx, callCheck, q, to, ref)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		s.setAside(to, err)
		if q.route.Idempotent() {
			cancel(errMute)
		}
	case o == outcome.NotRun:
		s.log.Warn("entry: connection silent.", "request", q.ID, "target", to.Daemon, "waited", s.now().Sub(q.arrivedAt))
		s.peer(to.PeerAddress).CloseIdle()
		cancel(errSilent)
	}
}

// errMute ends an idempotent attempt at a daemon that no longer answers.
var errMute = outcome.New(outcome.Unknown, outcome.ConnectionLost, "the target's daemon does not answer")

// errSilent ends an attempt that the target's daemon has bindingly refused since
// it never arrived.
var errSilent = outcome.New(outcome.NotRun, outcome.ConnectionLost, "the connection is silent; settled as not run")

// peerFailed says what a failed exchange with another daemon means.
func (s *Sidecar) peerFailed(ctx context.Context, to *fleet.Target, err error) verdict {
	if e, ok := context.Cause(ctx).(*outcome.Error); ok { //nolint:errorlint // set by checkAttempt, unwrapped
		return verdict{err: e}
	}
	if ctx.Err() != nil {
		return verdict{err: ended(ctx)}
	}
	if errors.Is(err, http1.ErrNotSent) {
		s.setAside(to, err)
		return verdict{err: outcome.New(outcome.NotRun, outcome.ConnectionLost, "daemon unreachable")}
	}
	return verdict{err: outcome.New(outcome.Unknown, outcome.ConnectionLost, "connection to the target's daemon lost")}
}

// setAside gives no more requests to a daemon that cannot be reached.
func (s *Sidecar) setAside(to *fleet.Target, err error) {
	if s.roster.Unreachable(to.Daemon) {
		s.log.Warn("member: unreachable.", "daemon", to.Daemon, "incarnation", to.Incarnation, "error", err)
	}
}

// ended says what the end of ctx means for an attempt under way.
func ended(ctx context.Context) *outcome.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.New(outcome.Unknown, outcome.DeadlineExceeded, "no answer by the deadline")
	}
	return outcome.New(outcome.Unknown, outcome.Cancelled, "the client has gone")
}

// settle asks for a binding answer what became of an attempt whose connection
// was lost.
func (s *Sidecar) settle(ctx context.Context, q *request, to *fleet.Target, ref attempt.Ref, v verdict) verdict {
	o, err := s.ask(ctx, callSettle, q, to, ref)
	if err != nil {
		s.setAside(to, err)
	}
	s.log.Warn("entry: attempt settled.", "request", q.ID, "target", to.Daemon, "outcome", o)
	if o == outcome.NotRun {
		return verdict{err: outcome.New(outcome.NotRun, outcome.ConnectionLost, "settled as not run")}
	}
	return v
}

// ask asks the target's daemon about an attempt on a connection that is not
// the attempt's.
func (s *Sidecar) ask(ctx context.Context, call string, q *request, to *fleet.Target, ref attempt.Ref) (outcome.Outcome, error) {
	header := http.Header{hopCall: {call}}
	writeAttempt(header, ref)
	deadline := s.now().Add(settleTimeout)
	if q.deadline.Before(deadline) {
		deadline = q.deadline
	}
	r, err := s.peer(to.PeerAddress).Do(ctx, &http1.Request{
		Method: http.MethodPost, Target: "/", Host: to.PeerAddress, Header: header, Deadline: deadline, AvoidIdle: true,
	})
	if err != nil {
		return outcome.Unknown, err
	}
	o := outcome.Unknown
	if v, ok := readVerdict(r.Header, s.now()); ok {
		o = v.err.Outcome
	}
	a, err := readAnswer(r)
	if err != nil {
		return o, err
	}
	return o, a.close()
}

// heardFrom takes over what an answer of another daemon says beside the answer.
func (s *Sidecar) heardFrom(to *fleet.Target, h http.Header) {
	if l, ok := readLoad(h, to); ok {
		s.chooser.Observe(l)
	}
	s.newerConfig(readVersion(h))
}
