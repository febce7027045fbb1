package sidecar

import (
	"context"
	"net/http"
	"time"

	"pollenscale/core/choice"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/poison"
	"pollenscale/core/route"
	"pollenscale/internal/mutant"
)

// bulkThreshold is the body length above which the body is sent only after the target's
// daemon has a slot for the request. Sending this length takes 13 ms on a link of 10
// Mbit/s.
const bulkThreshold = 16 << 10

// retryWindowParts is the part of the budget's window after which a request that found no
// retries left may find some.
const retryWindowParts = 20

// dispatch obtains a response: it picks targets and sends attempts until one of them
// responds or no further attempt is allowed.
func (s *Sidecar) dispatch(ctx context.Context, q *request) (*response, *outcome.Error) {
	budget := s.retryBudget(q.service)
	budget.RecordRequest()
	grant := budget.NewGrant()
	defer grant.Close()
	if q.callOfRepeat && !grant.Take() {
		return nil, s.errNoRetriesLeft()
	}
	if err := s.takeQuota(ctx, q); err != nil {
		return nil, err
	}
	serviceTime := s.serviceTimes.Estimate(q.route.Name)
	var last *outcome.Error
	for {
		c, err := s.pickTarget(q, serviceTime)
		if err != nil {
			if last == nil {
				last = asOutcomeError(err)
			}
			return nil, last
		}
		suspected := s.suspectLater(q, c, serviceTime)
		resp, result := s.attempt(ctx, q, c, serviceTime)
		s.chooser.Done(c, choiceResult(resp, result, suspected.stop()))
		s.meters.attempted(outcomeOf(result.err)).Inc()
		if reachedTarget(resp, result) {
			grant.Use()
		}
		if resp != nil && !q.worthRetrying(resp) {
			s.observeServiceTime(q, resp)
			return resp, nil
		}
		last = result.err
		final := c.StartBy.IsZero()
		if !s.mayRetry(ctx, q, resp, result, final) || q.countAttempt(resp, result) && (!grant.Take() || s.takeQuota(ctx, q) != nil) {
			return resp, last
		}
		s.log.Info("entry: tries again.", "request", q.ID, "target", c.Target.Daemon, "outcome", outcomeOf(result.err),
			"reason", reasonOf(result.err), "reached", q.reached, "redirects", q.redirects, "left", q.deadline.Sub(s.now()))
		if resp != nil {
			if err := resp.close(); err != nil {
				s.log.Debug("entry: closing a response failed.", "error", err)
			}
		}
		q.tried = append(q.tried, c.Target.Daemon)
		q.hint = ""
		if result.err != nil {
			q.hint = fleet.DaemonID(result.err.Hint)
		}
	}
}

// fingerprint identifies the request, also when its client sends it again.
func (q *request) fingerprint() poison.Fingerprint {
	return poison.FingerprintOf(q.service, q.method, q.uri, "", q.body)
}

// pickTarget chooses the target of the next attempt.
func (s *Sidecar) pickTarget(q *request, serviceTime time.Duration) (choice.Choice, error) {
	return s.chooser.Pick(choice.Request{
		Service: q.service, Urgent: q.priority == 0, Tried: q.tried, Final: q.redirects >= maxRedirects,
		SoftDeadline: q.objectiveOrDeadline(s.now()), ServiceTime: serviceTime, Bulk: q.bulk() || q.largeResponse(), Hint: q.hint,
		Regions: q.regions(),
	})
}

// choiceResult returns what the result of an attempt shows about the target.
func choiceResult(resp *response, result attemptResult, suspected bool) choice.Result {
	if resp != nil {
		return choice.Result{Failed: resp.status >= http.StatusInternalServerError, Suspected: suspected}
	}
	refused := result.err.Outcome == outcome.NotRun && !result.refusedByTarget || abandonedByClient(result.err)
	return choice.Result{Refused: refused, Failed: !refused, Suspected: suspected}
}

func (s *Sidecar) observeServiceTime(q *request, resp *response) {
	if resp.serviceTime > 0 && resp.status < http.StatusInternalServerError {
		s.serviceTimes.Observe(q.route.Name, resp.serviceTime)
	}
}

// errNoRetriesLeft is the result of a request for which the retry budget of its service has
// no room.
func (s *Sidecar) errNoRetriesLeft() *outcome.Error {
	err := outcome.New(outcome.NotRun, outcome.RetryNotAllowed, "no retries left for the call of a repeated run")
	err.RetryAt = s.now().Add(s.settings.Load().RetryBudget.Window / retryWindowParts)
	return err
}

// reachedTarget reports whether the attempt arrived at a target, or may have.
func reachedTarget(resp *response, result attemptResult) bool {
	return resp != nil || result.err.Outcome != outcome.NotRun || result.refusedByTarget
}

// countAttempt counts an attempt without a usable response. It reports whether the
// attempt reached a target, so that a further one counts as a retry.
func (q *request) countAttempt(resp *response, result attemptResult) bool {
	if !reachedTarget(resp, result) {
		q.redirects++
		return false
	}
	q.reached++
	if resp != nil || result.err.Outcome != outcome.NotRun {
		q.mayHaveRun = true
	}
	return true
}

// worthRetrying reports whether the response is a failure that another target may not
// have.
func (q *request) worthRetrying(resp *response) bool {
	return q.route.Idempotent() && resp.status >= http.StatusInternalServerError && resp.status != http.StatusGatewayTimeout
}

// mayRetry reports whether a further attempt is allowed and can succeed.
func (s *Sidecar) mayRetry(ctx context.Context, q *request, resp *response, result attemptResult, final bool) bool {
	if ctx.Err() != nil || !q.replayable() || q.deadline.Sub(s.now()) < minAttemptTime {
		return false
	}
	notRun := resp == nil && result.err.Outcome == outcome.NotRun
	if notRun && (result.err.Reason == outcome.Poison || result.err.Reason == outcome.RetryNotAllowed) {
		return false
	}
	if notRun && !result.refusedByTarget {
		return !final || targetSpecific(result.err.Reason)
	}
	if q.reached+1 >= q.route.MaxAttempts {
		return false
	}
	return notRun || q.route.Idempotent() || retryOnlyIfNotRun.Off()
}

// targetSpecific reports whether the reason of a refusal applies to one target only.
func targetSpecific(r outcome.Reason) bool {
	return r == outcome.NoTarget || r == outcome.Draining || r == outcome.ConnectionLost
}

// objective returns the time after which the response loses most of its value, zero if
// that is the deadline.
func (q *request) objective() time.Time {
	at := q.arrivedAt.Add(q.route.Objective)
	if q.route.Objective <= 0 || at.After(q.deadline) {
		return time.Time{}
	}
	return at
}

// objectiveOrDeadline returns the time at which the response is due: the latency
// objective of the route, or the deadline once the objective has been missed.
func (q *request) objectiveOrDeadline(now time.Time) time.Time {
	if at := q.objective(); at.After(now) {
		return at
	}
	return q.deadline
}

// bulk reports whether the body is so long that sending it to a distant target is
// expensive.
func (q *request) bulk() bool { return q.length > bulkThreshold || q.stream != nil }

// largeResponse reports whether the response is expected to be so long that a distant target
// is expensive. The length is not known before the choice, so that the kind of the route
// decides.
func (q *request) largeResponse() bool {
	return q.route.Kind == route.Download && !keepDownloadsNear.Off()
}

// keepDownloadsNear is a mechanism that tests can switch off.
var keepDownloadsNear = mutant.New("sidecar/downloads-stay-near")

func outcomeOf(e *outcome.Error) outcome.Outcome {
	if e == nil {
		return outcome.Run
	}
	return e.Outcome
}

func reasonOf(e *outcome.Error) outcome.Reason {
	if e == nil {
		return ""
	}
	return e.Reason
}
