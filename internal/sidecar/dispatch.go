package sidecar

import (
	"context"
	"net/http"
	"time"

	"pollenscale/core/choice"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/poison"
)

// bulkBytes is the length from which a body is sent only after the target's
// daemon has a slot for it. On a link of 10 Mbit/s it takes 13 ms.
const bulkBytes = 16 << 10

// dispatch obtains an answer: it picks targets and sends attempts until one is
// answered or nothing more may be tried.
func (s *Sidecar) dispatch(ctx context.Context, q *request) (*answer, *outcome.Error) {
	budget := s.budget(q.service)
	budget.RecordRequest()
	work := s.worktimes.Estimate(q.route.Name)
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
	return poison.FingerprintOf(q.service, q.method, q.target, "", q.body)
}

// pick chooses the target of the next attempt.
func (s *Sidecar) pick(q *request, work time.Duration) (choice.Choice, error) {
	return s.chooser.Pick(choice.Request{
		Service: q.service, Urgent: q.route.Priority == 0, Tried: q.tried, Final: q.redirects >= maxRedirects,
		SoftDeadline: q.inTime(s.now()), ServiceTime: work, Bulk: q.bulk(), Hint: q.hint,
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
	return notRun || q.route.Idempotent() || onlyIfNotRun.Off()
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
