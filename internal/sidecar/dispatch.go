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
		c, err := s.chooser.Pick(choice.Request{
			Service: q.service, Urgent: q.route.Priority == 0, Tried: q.tried, Final: q.redirects >= maxRedirects,
			InTime: q.inTime(), Work: work, Bulk: q.bulk(),
		})
		if err != nil {
			if last != nil {
				return nil, last
			}
			return nil, asOutcome(err)
		}
		final := c.StartBy.IsZero()
		a, v := s.attempt(ctx, q, c, work)
		s.chooser.Done(c, choice.Result{Refused: v.err != nil && !v.arrived && v.err.Outcome == outcome.NotRun, Failed: a == nil && v.err != nil || a != nil && a.status >= http.StatusInternalServerError})
		s.log.Debug("entry: attempt.", "request", q.ID, "target", c.Target.Daemon, "final", final, "outcome", errOutcome(v.err), "reason", errReason(v.err))
		if v.err == nil && !s.worthRepeating(q, a) {
			if a.work > 0 && a.status < http.StatusInternalServerError {
				s.worktimes.Observe(q.route.Name, a.work)
			}
			return a, nil
		}
		if v.err != nil {
			last = v.err
		}
		if v.arrived || v.err == nil || v.err.Outcome != outcome.NotRun {
			q.reached++
		}
		if !s.mayRepeat(ctx, q, v, final) {
			if a != nil {
				return a, nil
			}
			return nil, last
		}
		if v.arrived || v.err == nil || v.err.Outcome != outcome.NotRun {
			if !budget.Allow() {
				if a != nil {
					return a, nil
				}
				return nil, last
			}
		} else {
			q.redirects++
		}
		if a != nil {
			if err := a.close(); err != nil {
				s.log.Debug("entry: answer did not close.", "error", err)
			}
		}
		q.tried = append(q.tried, c.Target.Daemon)
	}
}

// inTime is when the answer should be there: within the objective of the route,
// or by the deadline when that has passed.
func (q *request) inTime() time.Time {
	at := q.arrivedAt.Add(q.route.Objective)
	if q.route.Objective <= 0 || at.After(q.deadline) || !at.After(time.Now()) {
		return q.deadline
	}
	return at
}

// bulk reports whether the body is long enough to make distance expensive.
func (q *request) bulk() bool { return q.length > bulkBytes || q.stream != nil }

// worthRepeating reports whether an answer is a failure that another target may
// not share.
func (s *Sidecar) worthRepeating(q *request, a *answer) bool {
	return q.route.Idempotent() && a.status >= http.StatusInternalServerError && a.status != http.StatusGatewayTimeout
}

// mayRepeat reports whether another attempt is allowed and useful.
func (s *Sidecar) mayRepeat(ctx context.Context, q *request, v verdict, final bool) bool {
	if ctx.Err() != nil || !q.replayable() || time.Until(q.deadline) < minAttempt {
		return false
	}
	if v.err != nil && v.err.Outcome == outcome.NotRun && !v.arrived {
		return !final || v.err.Reason == outcome.NoTarget || v.err.Reason == outcome.Draining || v.err.Reason == outcome.ConnectionLost
	}
	if q.reached >= q.route.MaxAttempts {
		return false
	}
	if v.err != nil && v.err.Outcome == outcome.NotRun {
		return true
	}
	return q.route.Idempotent()
}

// attempt sends the request to one target.
func (s *Sidecar) attempt(ctx context.Context, q *request, c choice.Choice, work time.Duration) (*answer, verdict) {
	t := terms{
		service: q.service, priority: q.route.Priority, caller: s.settings.Load().Service,
		deadline: q.deadline, startBy: c.StartBy, idempotent: q.route.Idempotent(), work: work,
	}
	if c.Target.Daemon == s.id {
		return s.runHere(ctx, q, t)
	}
	open := s.opener.Open(*c.Target)
	defer open.Close()
	a, v := s.sendAttempt(ctx, q, t, c.Target, open.Ref)
	if v.err != nil && v.err.Reason == outcome.ConnectionLost && v.err.Outcome == outcome.Unknown {
		v = s.settle(ctx, q, c.Target, open.Ref, v)
	}
	return a, v
}

// sendAttempt sends an attempt to the daemon beside its target.
func (s *Sidecar) sendAttempt(ctx context.Context, q *request, t terms, to *fleet.Target, ref attempt.Ref) (*answer, verdict) {
	now := s.now()
	header := q.header.Clone()
	writeAttempt(header, ref)
	writeTerms(header, t, now)
	writeVersion(header, s.holder.Version(), s.settings.Load().Peers)
	r, err := s.peer(to.PeerAddress).Do(ctx, &http1.Request{
		Method: q.method, Target: q.target, Host: q.host, Header: header, Body: q.reader(), Length: q.length,
		Deadline: q.deadline.Add(answerMargin), Offer: q.bulk(),
	})
	if err != nil {
		return nil, s.peerFailed(ctx, to, err)
	}
	s.heardFrom(to, r.Header)
	if v, ok := readVerdict(r.Header, s.now()); ok {
		a, err := readAnswer(r)
		if err == nil {
			err = a.close()
		}
		if err != nil {
			s.log.Debug("entry: refusal not read whole.", "error", err)
		}
		return nil, v
	}
	a, err := readAnswer(r)
	if err != nil {
		return nil, s.peerFailed(ctx, to, err)
	}
	a.work, _ = readWork(r.Header)
	return a, verdict{}
}

// peerFailed says what a failed exchange with another daemon means.
func (s *Sidecar) peerFailed(ctx context.Context, to *fleet.Target, err error) verdict {
	if ctx.Err() != nil {
		return verdict{err: ended(ctx)}
	}
	if errors.Is(err, http1.ErrNotSent) {
		if s.roster.Unreachable(to.Daemon) {
			s.log.Info("member: unreachable.", "daemon", to.Daemon, "error", err)
		}
		return verdict{err: failure(outcome.NotRun, outcome.ConnectionLost, "daemon unreachable")}
	}
	return verdict{err: failure(outcome.Unknown, outcome.ConnectionLost, "connection to the target's daemon lost")}
}

// ended says what the end of ctx means for an attempt under way.
func ended(ctx context.Context) *outcome.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return failure(outcome.Unknown, outcome.DeadlineExceed, "no answer by the deadline")
	}
	return failure(outcome.Unknown, outcome.Cancelled, "the client has gone")
}

// settle asks what became of an attempt whose connection was lost.
func (s *Sidecar) settle(ctx context.Context, q *request, to *fleet.Target, ref attempt.Ref, v verdict) verdict {
	header := http.Header{hopCall: {callSettle}}
	writeAttempt(header, ref)
	deadline := s.now().Add(settleTimeout)
	if q.deadline.Before(deadline) {
		deadline = q.deadline
	}
	r, err := s.peer(to.PeerAddress).Do(ctx, &http1.Request{
		Method: http.MethodPost, Target: "/", Host: to.PeerAddress, Header: header, Deadline: deadline, Fresh: true,
	})
	result := outcome.Unknown
	if err == nil {
		if settled, ok := readVerdict(r.Header, s.now()); ok {
			result = settled.err.Outcome
		}
		err = r.Close()
	}
	if err != nil && s.roster.Unreachable(to.Daemon) {
		s.log.Info("member: unreachable.", "daemon", to.Daemon, "error", err)
	}
	s.log.Info("entry: attempt settled.", "request", q.ID, "target", to.Daemon, "outcome", result)
	if result == outcome.NotRun {
		return verdict{err: failure(outcome.NotRun, outcome.ConnectionLost, "settled as not run")}
	}
	return v
}

// heardFrom takes over what an answer of another daemon says beside the answer.
func (s *Sidecar) heardFrom(to *fleet.Target, h http.Header) {
	if l, ok := readLoad(h, to); ok {
		s.chooser.Observe(l)
	}
	if v, address := readVersion(h); v > s.holder.Version() {
		s.follow(address)
	}
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
