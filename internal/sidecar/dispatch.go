package sidecar

import (
	"context"
	"net/http"
	"time"

	"pollenscale/core/attempt"
	"pollenscale/core/choice"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/poison"
	"pollenscale/io/http1"

	"github.com/cockroachdb/errors"
)

const (
	// settleTimeout bounds the question what became of an attempt.
	settleTimeout = 400 * time.Millisecond
	// minCheck is the least time after which the target's daemon is asked whether
	// it knows an attempt.
	minCheck = 250 * time.Millisecond
	// bulkBytes is the length from which a body is sent only after the target's
	// daemon has a slot for it. On a link of 10 Mbit/s it takes 13 ms.
	bulkBytes = 16 << 10
	// answerMargin is added to the deadline that a target is given, so that its
	// own answer at the deadline arrives first.
	answerMargin = 60 * time.Millisecond
)

// dispatch obtains an answer: it picks targets and sends attempts until one is
// answered or nothing more may be tried.
func (s *Sidecar) dispatch(ctx context.Context, q *request) (*answer, *outcome.Error) {
	budget := s.budget(q.service)
	budget.First()
	work := s.worktimes.Expect(q.route.Name)
	var last *outcome.Error
	for {
		c, err := s.pick(q, work)
		if err != nil {
			if last == nil {
				last = asOutcome(err)
			}
			return nil, last
		}
		a, v := s.attempt(ctx, q, c, work)
		s.chooser.Done(c, resultOf(a, v))
		s.meters.attempted(errOutcome(v.err)).Inc()
		if a != nil && !q.worthRepeating(a) {
			s.learnWork(q, a)
			return a, nil
		}
		last = v.err
		final := c.StartBy.IsZero()
		if !s.mayRepeat(ctx, q, a, v, final) || q.count(a, v) && !budget.Allow() {
			return a, last
		}
		s.log.Info("entry: tries again.", "request", q.ID, "target", c.Target.Daemon, "outcome", errOutcome(v.err),
			"reason", errReason(v.err), "reached", q.reached, "redirects", q.redirects, "left", q.deadline.Sub(s.now()))
		if a != nil {
			if err := a.close(); err != nil {
				s.log.Debug("entry: answer did not close.", "error", err)
			}
		}
		q.tried = append(q.tried, c.Target.Daemon)
		q.hint = ""
		if v.err != nil {
			q.hint = fleet.DaemonID(v.err.Hint)
		}
	}
}

// fingerprint identifies the request when its client sends it again.
func (q *request) fingerprint() poison.Fingerprint {
	return poison.Of(q.service, q.method, q.target, "", q.body)
}

// pick chooses the target of the next attempt.
func (s *Sidecar) pick(q *request, work time.Duration) (choice.Choice, error) {
	return s.chooser.Pick(choice.Request{
		Service: q.service, Urgent: q.route.Priority == 0, Tried: q.tried, Final: q.redirects >= maxRedirects,
		InTime: q.inTime(s.now()), Work: work, Bulk: q.bulk(), Hint: q.hint,
	})
}

// resultOf says what an attempt shows of its target.
func resultOf(a *answer, v verdict) choice.Result {
	if a != nil {
		return choice.Result{Failed: a.status >= http.StatusInternalServerError}
	}
	refused := v.err.Outcome == outcome.NotRun && !v.arrived
	return choice.Result{Refused: refused, Failed: !refused}
}

func (s *Sidecar) learnWork(q *request, a *answer) {
	if a.work > 0 && a.status < http.StatusInternalServerError {
		s.worktimes.Observe(q.route.Name, a.work)
	}
}

// count records an attempt without a useful answer. It reports whether the
// attempt reached a target, so that another one counts as a repeat.
func (q *request) count(a *answer, v verdict) bool {
	if a == nil && v.err.Outcome == outcome.NotRun && !v.arrived {
		q.redirects++
		return false
	}
	q.reached++
	if a != nil || v.err.Outcome != outcome.NotRun {
		q.mayHaveRun = true
	}
	return true
}

// worthRepeating reports whether an answer is a failure that another target may
// not share.
func (q *request) worthRepeating(a *answer) bool {
	return q.route.Idempotent() && a.status >= http.StatusInternalServerError && a.status != http.StatusGatewayTimeout
}

// mayRepeat reports whether another attempt is allowed and useful.
func (s *Sidecar) mayRepeat(ctx context.Context, q *request, a *answer, v verdict, final bool) bool {
	if ctx.Err() != nil || !q.replayable() || q.deadline.Sub(s.now()) < minAttempt {
		return false
	}
	notRun := a == nil && v.err.Outcome == outcome.NotRun
	if notRun && v.err.Reason == outcome.Poison {
		return false
	}
	if notRun && !v.arrived {
		return !final || elsewhere(v.err.Reason)
	}
	if q.reached+1 >= q.route.MaxAttempts {
		return false
	}
	return notRun || q.route.Idempotent()
}

// elsewhere reports whether the reason of a refusal concerns one target only.
func elsewhere(r outcome.Reason) bool {
	return r == outcome.NoTarget || r == outcome.Draining || r == outcome.ConnectionLost
}

// objective is when the answer loses most of its worth, zero if that is the
// deadline.
func (q *request) objective() time.Time {
	at := q.arrivedAt.Add(q.route.Objective)
	if q.route.Objective <= 0 || at.After(q.deadline) {
		return time.Time{}
	}
	return at
}

// inTime is when the answer should be there: within the objective of the route,
// or by the deadline when that has passed.
func (q *request) inTime(now time.Time) time.Time {
	if at := q.objective(); at.After(now) {
		return at
	}
	return q.deadline
}

// bulk reports whether the body is long enough to make distance expensive.
func (q *request) bulk() bool { return q.length > bulkBytes || q.stream != nil }

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
		Deadline: q.deadline.Add(answerMargin), Offer: q.bulk(),
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
		s.peer(to.PeerAddress).Flush()
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
		return outcome.New(outcome.Unknown, outcome.DeadlineExceed, "no answer by the deadline")
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
		Method: http.MethodPost, Target: "/", Host: to.PeerAddress, Header: header, Deadline: deadline, Fresh: true,
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

func errOutcome(e *outcome.Error) outcome.Outcome {
	if e == nil {
		return outcome.Run
	}
	return e.Outcome
}

func errReason(e *outcome.Error) outcome.Reason {
	if e == nil {
		return ""
	}
	return e.Reason
}
