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
	// queryTimeout limits the query that asks whether an attempt has run.
	queryTimeout = 400 * time.Millisecond
	// minCheckDelay is the minimum time before the target's daemon is asked whether it
	// has received an attempt.
	minCheckDelay = 250 * time.Millisecond
	// responseMargin is added to the deadline that a target gets, so that its own
	// response at the deadline arrives in time.
	responseMargin = 60 * time.Millisecond
)

// attempt sends the request to one target and returns its response or the reason why
// there is none.
func (s *Sidecar) attempt(ctx context.Context, q *request, c choice.Choice, serviceTime time.Duration) (*response, attemptResult) {
	params := attemptParams{
		service: q.service, organisation: q.organisationName(), priority: q.priority, caller: s.settings.Load().Service,
		deadline: q.deadline, startBy: c.StartBy, idempotent: q.route.Idempotent(), serviceTime: serviceTime, objective: q.objective(),
		fingerprint: q.fingerprint(), repeat: q.callOfRepeat || q.reached > 0, movable: s.movable(q),
		nested: q.nested,
	}
	if c.Target.Daemon == s.id {
		resp, result := s.runLocally(ctx, q, params)
		s.chooser.Observe(s.ownLoad())
		return resp, result
	}
	open := s.sentAttempts.Open(*c.Target)
	defer open.Close()
	resp, result := s.sendAttempt(ctx, q, params, c.Target, open.Ref)
	if result.err != nil && result.err != errDaemonUnresponsive && result.err.Reason == outcome.ConnectionLost && result.err.Outcome == outcome.Unknown {
		result = s.settle(ctx, q, c.Target, open.Ref, result)
	}
	return resp, result
}

// sendAttempt sends an attempt to the daemon beside its target. The exchange ends when
// the response is closed.
func (s *Sidecar) sendAttempt(ctx context.Context, q *request, params attemptParams, to *fleet.Target, ref attempt.Ref) (*response, attemptResult) {
	ctx, cancel := context.WithCancelCause(ctx)
	resp, result := s.exchangeAttempt(ctx, cancel, q, params, to, ref)
	if resp == nil || resp.rest == nil {
		cancel(nil)
		return resp, result
	}
	resp.rest = &remainder{ReadCloser: resp.rest, end: func() { cancel(nil) }}
	return resp, result
}

// exchangeAttempt sends an attempt and reads its response up to maxBufferedBytes.
func (s *Sidecar) exchangeAttempt(
	ctx context.Context, cancel context.CancelCauseFunc, q *request, params attemptParams, to *fleet.Target, ref attempt.Ref,
) (*response, attemptResult) {
	now := s.now()
	header := q.header.Clone()
	writeAttempt(header, ref)
	writeParams(header, params, now)
	writeVersion(header, s.config.Version(), s.settings.Load().PeerAddress())
	// A connection may stop delivering data without an error. Then the other daemon has
	// not received the attempt, which a query on another connection shows.
	check := s.startCheck(ctx, cancel, q, to, ref, checkDelay(params.serviceTime))
	defer check.stop()
	r, err := s.peerPool(to.PeerAddress).Do(ctx, &http1.Request{
		Method: q.method, Target: q.uri, Host: q.host, Header: header, Body: q.bodyReader(), Length: q.length,
		Deadline: q.deadline.Add(responseMargin), ExpectContinue: q.bulk(),
	})
	if err != nil {
		return nil, s.peerError(ctx, to, err)
	}
	check.begin(r)
	if q.stream != nil {
		q.stream.sent = r.Sent()
	}
	s.roster.MarkReachable(to.Daemon)
	s.observeHeaders(to, r.Header)
	if result, refused := readOutcome(r.Header, s.now()); refused {
		s.discard(r)
		return nil, result
	}
	resp, err := readResponse(r)
	if err == nil && !check.handOn() && resp.rest != nil {
		err = errors.CombineErrors(context.Cause(ctx), resp.close())
	}
	if err != nil {
		return nil, s.peerError(ctx, to, err)
	}
	if s.protocol.ReadAnswer(resp.status, resp.header).Leaving && !honourLeaving.Off() {
		s.roster.MarkLeaving(to.Daemon, to.Incarnation)
	}
	resp.serviceTime, _ = readWork(r.Header)
	return resp, attemptResult{}
}

// peerError converts the error of a failed exchange with another daemon.
func (s *Sidecar) peerError(ctx context.Context, to *fleet.Target, err error) attemptResult {
	if e, ok := context.Cause(ctx).(*outcome.Error); ok { //nolint:errorlint // set by checkAttempt, unwrapped
		return attemptResult{err: e}
	}
	if ctx.Err() != nil {
		return attemptResult{err: contextError(ctx)}
	}
	if errors.Is(err, http1.ErrNotSent) {
		s.markUnreachable(to, err)
		return attemptResult{err: outcome.New(outcome.NotRun, outcome.ConnectionLost, "daemon unreachable")}
	}
	return attemptResult{err: outcome.New(outcome.Unknown, outcome.ConnectionLost, "connection to the target's daemon lost")}
}

// markUnreachable excludes a daemon that cannot be reached from further requests.
func (s *Sidecar) markUnreachable(to *fleet.Target, err error) {
	if s.roster.MarkUnreachable(to.Daemon) {
		s.log.Warn("member: unreachable.", "daemon", to.Daemon, "incarnation", to.Incarnation, "error", err)
	}
}

// contextError returns the outcome of an attempt in progress whose context has ended.
func contextError(ctx context.Context) *outcome.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.New(outcome.Unknown, outcome.DeadlineExceeded, "no answer by the deadline")
	}
	return outcome.New(outcome.Unknown, outcome.Cancelled, "the client has gone")
}

// settle obtains a binding decision whether an attempt has run, after its connection
// was lost.
func (s *Sidecar) settle(ctx context.Context, q *request, to *fleet.Target, ref attempt.Ref, result attemptResult) attemptResult {
	o, err := s.queryAttempt(ctx, callSettle, q, to, ref)
	if err != nil {
		s.markUnreachable(to, err)
	}
	s.log.Warn("entry: attempt settled.", "request", q.ID, "target", to.Daemon, "outcome", o)
	if o == outcome.NotRun {
		return attemptResult{err: outcome.New(outcome.NotRun, outcome.ConnectionLost, "settled as not run")}
	}
	return result
}

// queryAttempt asks the target's daemon about an attempt, on a connection other than
// that of the attempt.
func (s *Sidecar) queryAttempt(ctx context.Context, call string, q *request, to *fleet.Target, ref attempt.Ref) (outcome.Outcome, error) {
	header := http.Header{headerCall: {call}}
	writeAttempt(header, ref)
	deadline := s.now().Add(queryTimeout)
	if q.deadline.Before(deadline) {
		deadline = q.deadline
	}
	r, err := s.peerPool(to.PeerAddress).Do(ctx, &http1.Request{
		Method: http.MethodPost, Target: "/", Host: to.PeerAddress, Header: header, Deadline: deadline, AvoidIdle: true,
	})
	if err != nil {
		return outcome.Unknown, err
	}
	o := outcome.Unknown
	if result, ok := readOutcome(r.Header, s.now()); ok {
		o = result.err.Outcome
	}
	return o, discardResponse(r)
}

// observeHeaders evaluates the load and the configuration version in a response of
// another daemon.
func (s *Sidecar) observeHeaders(to *fleet.Target, h http.Header) {
	if l, ok := readLoad(h, to); ok {
		s.chooser.Observe(l)
	}
	s.noteConfigVersion(readVersion(h))
}
