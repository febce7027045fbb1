package sidecar

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"pollenscale/core/admit"
	"pollenscale/core/budget"
	"pollenscale/core/exchange"
	"pollenscale/core/fleet"
	"pollenscale/core/localtarget"
	"pollenscale/core/outcome"
	"pollenscale/core/poison"
	"pollenscale/core/policy"
	"pollenscale/core/wait"
	"pollenscale/internal/mutant"
	"pollenscale/io/http1"

	"github.com/cockroachdb/errors"
)

// minCallsPerRun is the mean number of calls to a service from which a run counts as one
// that calls it.
const minCallsPerRun = 0.2

// priorityCount is the number of ranks that the queue of a target distinguishes.
const priorityCount = 4

// queueRanks returns the ranks of a target's queue, ordered by priority.
func queueRanks() *policy.Service {
	p := &policy.Service{DefaultRank: rankOf(priorityCount - 1)}
	for i := range priorityCount {
		p.Ranks = append(p.Ranks, policy.Rank{Name: rankOf(i), Worth: policy.Worth(priorityCount - i)})
	}
	return p
}

func rankOf(priority int) fleet.Rank {
	return fleet.Rank(strconv.Itoa(min(max(priority, 0), priorityCount-1)))
}

// localAttempt is an attempt to be run at the target beside this daemon.
type localAttempt struct {
	id     exchange.RequestID
	method string
	uri    string
	host   string
	header http.Header
	body   io.Reader
	// stream is the part of body that is passed on as it arrives, nil if there is none.
	stream *bodyStream
	length int64
	params attemptParams
	// start is called immediately before the request is sent to the target. It fails if
	// the attempt has been settled as not run.
	start func() error
	claim *budget.Claim
}

// runLocally runs an attempt at the own target for a request that this daemon received.
func (s *Sidecar) runLocally(ctx context.Context, q *request, params attemptParams) (*response, attemptResult) {
	return s.runAttempt(ctx, &localAttempt{
		id: q.ID, method: q.method, uri: q.uri, host: q.host, header: q.header.Clone(),
		body: q.bodyReader(), stream: q.stream, length: q.length, params: params, start: func() error { return nil }, claim: q.claim,
	})
}

// runAttempt admits a request to the target beside the daemon and runs it.
func (s *Sidecar) runAttempt(ctx context.Context, a *localAttempt) (*response, attemptResult) {
	s.activeAttempts.Add(1)
	defer s.activeAttempts.Add(-1)
	arrived := s.now()
	if err := s.checkTarget(s.localTarget.View(), a); err != nil {
		return nil, s.refuse(a, err)
	}
	if err := s.checkRepeat(a); err != nil {
		return nil, s.refuse(a, err)
	}
	if err := s.checkCold(); err != nil {
		return nil, s.refuse(a, err)
	}
	done, err := s.contactTarget(ctx)
	if err != nil {
		return nil, s.refuse(a, err)
	}
	defer done()
	ticket, err := s.acquireSlot(ctx, a)
	if err != nil {
		return nil, s.refuse(a, err)
	}
	endLongBody, err := s.beginLongBody(a)
	if err != nil {
		ticket.ReleaseUnused()
		return nil, s.refuse(a, err)
	}
	defer endLongBody()
	view, run, err := s.prepareRun(ctx, a)
	if err != nil {
		ticket.ReleaseUnused()
		return nil, s.refuse(a, err)
	}
	started := s.now()
	endLineage := s.lineage.Begin(a.id, a.params.repeat)
	resp, result := s.forwardToTarget(ctx, a, view)
	endLineage()
	took := s.now().Sub(started)
	s.endRun(ctx, run, result)
	releaseSlot(ticket, resp, result)
	s.reportRun(a, view, resp, result, started.Sub(arrived), took)
	return resp, result
}

// acquireSlot waits for a slot at a time when the target is not slowed down.
func (s *Sidecar) acquireSlot(ctx context.Context, a *localAttempt) (*admit.Ticket, *outcome.Error) {
	s.recheckPause(ctx)
	s.reserveForeign()
	for {
		ticket, err := s.queue.AcquireTicket(ctx, admit.Request{
			Rank: rankOf(a.params.priority), Organisation: a.params.organisation, Deadline: a.params.deadline, StartBy: a.params.startBy,
			Objective: a.params.objective, ServiceTime: a.params.serviceTime, Untypical: s.untypical(),
			Nested: a.params.nested,
		})
		if err != nil {
			return nil, asOutcomeError(err)
		}
		s.probeColdTarget()
		if !s.slowedDown(ctx) {
			return ticket, nil
		}
		ticket.ReleaseUnused()
	}
}

// prepareRun makes the last checks before a request that has a slot is sent to the
// target in view.
func (s *Sidecar) prepareRun(ctx context.Context, a *localAttempt) (localtarget.View, *poison.Run, *outcome.Error) {
	if err := s.bufferBody(ctx, a); err != nil {
		return localtarget.View{}, nil, outcome.New(outcome.NotRun, outcome.ConnectionLost, "body not received: "+err.Error())
	}
	// The target may have changed while the request was queued.
	view := s.localTarget.View()
	if err := s.checkTarget(view, a); err != nil {
		return view, nil, err
	}
	run, err := s.poison.Begin(a.params.fingerprint)
	if err != nil {
		return view, nil, asOutcomeError(err)
	}
	if err := a.start(); err != nil {
		run.End(ctx, false)
		return view, nil, asOutcomeError(err)
	}
	return view, run, nil
}

// releaseSlot gives back the slot of a request that was sent to the target.
func releaseSlot(ticket *admit.Ticket, resp *response, result attemptResult) {
	switch {
	case result.refusedByTarget:
		ticket.ReleaseRefused()
	case result.err != nil && result.err.Outcome == outcome.NotRun:
		ticket.ReleaseUnused()
	case abandonedByClient(result.err):
		ticket.ReleaseAbandoned()
	case result.err != nil || resp.status >= http.StatusInternalServerError:
		ticket.Fail()
	default:
		ticket.Release()
	}
}

// abandonedByClient reports whether an attempt ended because its client has gone. That must not
// count against the target: clients that leave early would make it seem to fail.
func abandonedByClient(err *outcome.Error) bool {
	return err != nil && err.Reason == outcome.Cancelled && !ignoreAbandoned.Off()
}

// ignoreAbandoned is a mechanism that tests can switch off.
var ignoreAbandoned = mutant.New("sidecar/ignore-abandoned")

// reportRun logs and measures how long a request waited for its slot and what the target
// made of it.
func (s *Sidecar) reportRun(a *localAttempt, view localtarget.View, resp *response, result attemptResult, queued, took time.Duration) {
	s.meters.phase("queue", queued)
	s.meters.phase("target", took)
	if e := result.err; e != nil {
		s.log.Warn("target: failed.", "request", a.id, "target", view.ID, "outcome", e.Outcome, "reason", e.Reason, "detail", e.Detail,
			"queued", queued, "took", took)
		return
	}
	s.log.Info("target: ran.", "request", a.id, "target", view.ID, "status", resp.status, "queued", queued, "took", took)
}

// coldUnknownPeriod is how long after its start a daemon does not yet know whether the
// target is cold.
const coldUnknownPeriod = 3 * time.Second

// untypical reports whether the target may be slow for a reason other than the number
// of its requests.
func (s *Sidecar) untypical() bool {
	now := s.now()
	return now.Before(s.localTarget.View().ColdUntil) || s.coldTarget.Cold(now) || now.Sub(s.startedAt) < coldUnknownPeriod || !s.slowdown.Reported()
}

// bufferBody reads a large body before the request starts, so that a slow link does not
// occupy a slot of the target, and then waits again until the target is not slowed
// down.
func (s *Sidecar) bufferBody(ctx context.Context, a *localAttempt) error {
	if a.length <= bulkThreshold || a.length > maxReplayBytes {
		return nil
	}
	if _, buffered := a.body.(*bytes.Reader); !buffered {
		body, _, err := readCharged(a.claim, a.body, int(a.length), s.now)
		if err != nil {
			return err
		}
		if int64(len(body)) < a.length {
			return io.ErrUnexpectedEOF
		}
		a.body = bytes.NewReader(body)
	}
	for s.slowedDown(ctx) {
		if !wait.For(ctx, probeInterval) {
			return ctx.Err()
		}
	}
	return s.recountForCold(ctx)
}

// checkTarget returns why the target must not or cannot run the request, nil if it may.
func (s *Sidecar) checkTarget(view localtarget.View, a *localAttempt) *outcome.Error {
	switch {
	case view.ID == "":
		return outcome.New(outcome.NotRun, outcome.NoTarget, "no target has announced itself")
	case view.Service != a.params.service && !checkTargetService.Off():
		return outcome.New(outcome.NotRun, outcome.NoTarget, "the target runs another service")
	case !view.State.TakesWork() && !refuseWhenDrained.Off():
		return outcome.New(outcome.NotRun, outcome.Draining, "the target is draining")
	case s.stopsBefore(a.params.deadline) && !refuseLateAttempts.Off():
		return outcome.New(outcome.NotRun, outcome.Draining, "the daemon stops before the deadline of the request")
	}
	return s.checkEvacuation()
}

// checkRepeat refuses a repeat if the retry budgets have no room for the calls that its run
// is expected to make: the run would fail at them.
func (s *Sidecar) checkRepeat(a *localAttempt) *outcome.Error {
	if !a.params.repeat {
		return nil
	}
	for service, calls := range s.lineage.CallsPerRun() {
		if calls > minCallsPerRun && !s.retryBudget(service).Affords(calls) {
			return outcome.New(outcome.NotRun, outcome.RetryNotAllowed, "no retries left for the calls of a repeated run")
		}
	}
	return nil
}

// refuse logs and counts a request that is not sent to the target, and returns its
// result.
func (s *Sidecar) refuse(a *localAttempt, e *outcome.Error) attemptResult {
	s.meters.refused(e.Reason).Inc()
	s.countColdRefusal(e)
	load := s.queue.Load(s.now())
	s.log.Info("target: refused.", "request", a.id, "reason", e.Reason, "detail", e.Detail, "priority", a.params.priority,
		"left", a.params.deadline.Sub(s.now()), "work", a.params.serviceTime, "running", load.Running, "queued", load.Queued,
		"slots", load.Slots, "wait", load.WaitLow, "slowed", s.slowdown.Slow())
	return attemptResult{err: e}
}

// forwardToTarget sends the request to the target and reads the response.
func (s *Sidecar) forwardToTarget(ctx context.Context, a *localAttempt, view localtarget.View) (*response, attemptResult) {
	now := s.now()
	s.protocol.WriteRequest(a.header, exchange.ForwardedRequest{
		ID: a.id, Deadline: a.params.deadline, Target: view.ID, Caller: a.params.caller, Organisation: a.params.organisation,
	}, now)
	s.meters.targetRequests.Inc()
	run, ctx := s.beginRun(ctx, a)
	r, err := s.targetPool.Load().Do(ctx, &http1.Request{
		Method: a.method, Key: string(a.id), Target: a.uri, Host: a.host, Header: a.header, Body: a.body, Length: a.length,
		AvoidIdle: !a.params.idempotent, Deadline: a.params.deadline.Add(responseMargin),
		Matches: func(h http.Header) bool { return a.id == "" || s.protocol.ReadAnswer(0, h).ID == a.id },
	})
	if err != nil {
		result := s.targetError(ctx, err) // before the context ends with the run
		run.failed(errors.Is(err, http1.ErrNotSent))
		return nil, result
	}
	if !run.answered() {
		return nil, s.targetError(ctx, errors.CombineErrors(context.Cause(ctx), r.Close()))
	}
	resp, result := s.readTargetResponse(ctx, a, view, r, now)
	run.finish(resp)
	return resp, result
}

// readTargetResponse evaluates a response of the target and reads it up to maxBufferedBytes.
func (s *Sidecar) readTargetResponse(
	ctx context.Context, a *localAttempt, view localtarget.View, r *http1.Response, sent time.Time,
) (*response, attemptResult) {
	if a.stream != nil {
		a.stream.sent = r.Sent()
	}
	meta := s.protocol.ReadAnswer(r.Status, r.Header)
	s.observeTarget(view, meta, sent)
	if meta.NotExecuted {
		return nil, s.refusedByTarget(r)
	}
	if r.Status < http.StatusMultipleChoices && !meta.FromTarget {
		if err := r.Close(); err != nil {
			return nil, s.targetError(ctx, err)
		}
		return nil, attemptResult{err: outcome.New(outcome.Unknown, outcome.TargetFailed, "response without proof of origin")}
	}
	resp, err := readResponse(r)
	if err != nil {
		return nil, s.targetError(ctx, err)
	}
	resp.serviceTime = s.now().Sub(sent)
	return resp, attemptResult{}
}

// refusedByTarget returns the result of a request that the target states not to have run.
func (s *Sidecar) refusedByTarget(r *http1.Response) attemptResult {
	r.MarkRefused()
	s.discard(r)
	return attemptResult{
		err:             outcome.New(outcome.NotRun, outcome.Overloaded, "the target did not run it: "+strconv.Itoa(r.Status)),
		refusedByTarget: true,
	}
}

// discard ends a response whose body is not used. Its connection is closed if the body
// cannot be read.
func (s *Sidecar) discard(r *http1.Response) {
	if err := discardResponse(r); err != nil {
		s.log.Debug("daemon: reading an unused response failed.", "status", r.Status, "error", err)
	}
}

func (s *Sidecar) targetError(ctx context.Context, err error) attemptResult {
	if errors.Is(err, http1.ErrNotSent) {
		return attemptResult{err: outcome.New(outcome.NotRun, outcome.NoTarget, "the target does not accept connections")}
	}
	if errors.Is(context.Cause(ctx), errHanging) {
		return attemptResult{err: errHanging}
	}
	if ctx.Err() != nil {
		return attemptResult{err: contextError(ctx)}
	}
	return attemptResult{err: outcome.New(outcome.Unknown, outcome.TargetFailed, "connection to the target lost: "+err.Error())}
}
