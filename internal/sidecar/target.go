package sidecar

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"pollenscale/core/admit"
	"pollenscale/core/attempt"
	"pollenscale/core/exchange"
	"pollenscale/core/fleet"
	"pollenscale/core/localtarget"
	"pollenscale/core/outcome"
	"pollenscale/core/policy"
	"pollenscale/core/wait"
	"pollenscale/io/http1"

	"github.com/cockroachdb/errors"
)

// priorities is the number of ranks that the queue of a target tells apart.
const priorities = 4

// ranks returns the ranks of a target's queue, by priority.
func ranks() *policy.Service {
	p := &policy.Service{DefaultRank: rankOf(priorities - 1)}
	for i := range priorities {
		p.Ranks = append(p.Ranks, policy.Rank{Name: rankOf(i), Worth: policy.Worth(priorities - i)})
	}
	return p
}

func rankOf(priority int) fleet.Rank {
	return fleet.Rank(strconv.Itoa(min(max(priority, 0), priorities-1)))
}

// work is an attempt at the daemon beside its target.
type work struct {
	id     exchange.RequestID
	method string
	target string
	host   string
	header http.Header
	body   io.Reader
	length int64
	terms  terms
	// start records that the request is about to be sent to the target; it fails
	// when the attempt was settled as not run.
	start func() error
}

// runHere runs an attempt of this daemon at the target beside it.
func (s *Sidecar) runHere(ctx context.Context, q *request, t terms) (*answer, verdict) {
	return s.runWork(ctx, &work{
		id: q.ID, method: q.method, target: q.target, host: q.host, header: q.header.Clone(),
		body: q.reader(), length: q.length, terms: t, start: func() error { return nil },
	})
}

// servePeer serves the attempts and calls of other daemons.
func (s *Sidecar) servePeer(w http.ResponseWriter, r *http.Request) {
	now := s.now()
	s.newerConfig(readVersion(r.Header))
	writeVersion(w.Header(), s.holder.Version(), s.settings.Load().PeerAddress())
	switch r.Header.Get(hopCall) {
	case callSettle:
		s.serveSettle(w, r, s.table.Settle)
		return
	case callCheck:
		s.serveSettle(w, r, s.table.Check)
		return
	case callSnapshot:
		s.serveSnapshot(w)
		return
	case callConfig:
		s.serveConfig(w)
		return
	case callCrash:
		s.serveCrash(w, r)
		return
	}
	ref, ok := readAttempt(r.Header)
	t, ok2 := readTerms(r.Header, now)
	if !ok || !ok2 {
		http.Error(w, "no attempt", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), t.deadline.Add(answerMargin/2))
	defer cancel()
	a, v := s.serveAttempt(ctx, r, ref, t, cancel)
	if v.err == nil {
		if err := s.passOn(w, a, r.Method == http.MethodHead); err != nil {
			panic(http.ErrAbortHandler)
		}
		return
	}
	s.writeLoad(w.Header())
	writeVerdict(w.Header(), v, s.now())
	status := http.StatusBadGateway
	if v.err.Outcome == outcome.NotRun {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

func (s *Sidecar) passOn(w http.ResponseWriter, a *answer, head bool) error {
	h := w.Header()
	s.writeLoad(h)
	writeWork(h, a.work)
	return a.writeTo(w, head)
}

func (s *Sidecar) writeLoad(h http.Header) { writeLoad(h, s.ownLoad()) }

// ownLoad is the load of the target beside the daemon.
func (s *Sidecar) ownLoad() fleet.Load {
	l := s.queue.Load(s.now())
	l.Daemon, l.Incarnation, l.State = s.id, s.incarnation(), s.ownState()
	return l
}

// serveAttempt records an attempt and runs it.
func (s *Sidecar) serveAttempt(ctx context.Context, r *http.Request, ref attempt.Ref, t terms, cancel func()) (*answer, verdict) {
	record, err := s.table.Begin(ref, cancel)
	if err != nil {
		return nil, verdict{err: asOutcome(err)}
	}
	body, length := io.Reader(r.Body), r.ContentLength
	if length == 0 {
		body = nil
	}
	a, v := s.runWork(ctx, &work{
		id: s.protocol.ReadRequest(r.Header, s.now()).ID, method: r.Method, target: r.RequestURI, host: r.Host,
		header: forwarded(r.Header), body: body, length: length, terms: t, start: record.Start,
	})
	record.Finish(errOutcome(v.err))
	return a, v
}

// serveSettle answers the question what became of an attempt.
func (s *Sidecar) serveSettle(w http.ResponseWriter, r *http.Request, settle func(attempt.Ref) attempt.Settlement) {
	ref, ok := readAttempt(r.Header)
	if !ok {
		http.Error(w, "no attempt", http.StatusBadRequest)
		return
	}
	settled := settle(ref)
	s.log.Info("target: attempt settled.", "entry", ref.ID.Daemon, "sequence", ref.ID.Sequence, "outcome", settled.Outcome, "running", settled.Running)
	writeVerdict(w.Header(), verdict{err: outcome.New(settled.Outcome, outcome.StaleAttempt, "settled")}, s.now())
	w.WriteHeader(http.StatusOK)
}

// runWork admits a request to the target beside the daemon and runs it.
func (s *Sidecar) runWork(ctx context.Context, w *work) (*answer, verdict) {
	s.served.Add(1)
	defer s.served.Add(-1)
	arrived := s.now()
	view := s.local.View()
	if v := s.turnAway(view, w); v.err != nil {
		s.logRefusal(w, v.err)
		return nil, v
	}
	ticket, v := s.enter(ctx, w)
	if v.err != nil {
		s.logRefusal(w, v.err)
		return nil, v
	}
	if err := s.receive(ctx, w); err != nil {
		ticket.ReleaseUnused()
		return nil, verdict{err: outcome.New(outcome.NotRun, outcome.ConnectionLost, "body not received: "+err.Error())}
	}
	// The target may have changed in the meantime.
	view = s.local.View()
	if v := s.turnAway(view, w); v.err != nil {
		ticket.ReleaseUnused()
		s.logRefusal(w, v.err)
		return nil, v
	}
	run, err := s.poison.Begin(w.terms.fingerprint)
	if err != nil {
		ticket.ReleaseUnused()
		s.logRefusal(w, asOutcome(err))
		return nil, verdict{err: asOutcome(err)}
	}
	if err := w.start(); err != nil {
		ticket.ReleaseUnused()
		run.End(ctx, false)
		return nil, verdict{err: asOutcome(err)}
	}
	started := s.now()
	s.meters.phase("queue", started.Sub(arrived))
	a, v := s.exchange(ctx, w, view)
	took := s.now().Sub(started)
	s.endRun(ctx, run, v)
	s.meters.phase("target", took)
	switch {
	case v.err != nil && v.err.Outcome == outcome.NotRun:
		ticket.ReleaseUnused()
	case v.err != nil || a.status >= http.StatusInternalServerError:
		ticket.Fail()
	default:
		ticket.Release()
	}
	if v.err != nil {
		s.log.Warn("target: failed.", "request", w.id, "target", view.ID, "outcome", v.err.Outcome, "reason", v.err.Reason, "detail", v.err.Detail,
			"queued", started.Sub(arrived), "took", took)
		return a, v
	}
	s.log.Info("target: ran.", "request", w.id, "target", view.ID, "status", a.status, "queued", started.Sub(arrived), "took", took)
	return a, v
}

// enter waits for a slot at a moment at which the target is not slowed down.
func (s *Sidecar) enter(ctx context.Context, w *work) (*admit.Ticket, verdict) {
	s.refreshPause(ctx)
	for {
		ticket, err := s.queue.AcquireTicket(ctx, admit.Request{
			Rank: rankOf(w.terms.priority), Deadline: w.terms.deadline, StartBy: w.terms.startBy,
			InTime: w.terms.inTime, Work: w.terms.work, Untypical: s.untypical(),
		})
		if err != nil {
			return nil, verdict{err: asOutcome(err)}
		}
		if !s.slowNow(ctx) {
			return ticket, verdict{}
		}
		ticket.ReleaseUnused()
	}
}

// settleTime is how long after its start a daemon does not yet know whether the
// target is cold.
const settleTime = 3 * time.Second

// untypical reports whether the target may be slow for a reason that has nothing
// to do with the number of its requests.
func (s *Sidecar) untypical() bool {
	now := s.now()
	return now.Before(s.local.View().ColdUntil) || now.Sub(s.startedAt) < settleTime || !s.slowdown.Reported()
}

// receive reads a long body before the request starts, so that the target's slot
// is not held by a slow link, and waits once more for a moment at which the
// target is not slowed down.
func (s *Sidecar) receive(ctx context.Context, w *work) error {
	if w.length <= bulkBytes || w.length > replayBytes {
		return nil
	}
	body := make([]byte, w.length)
	if _, err := io.ReadFull(w.body, body); err != nil {
		return err
	}
	w.body = bytes.NewReader(body)
	for s.slowNow(ctx) {
		if !wait.For(ctx, probeInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// turnAway refuses requests that the target must not or cannot run.
func (s *Sidecar) turnAway(view localtarget.View, w *work) verdict {
	switch {
	case view.ID == "":
		return verdict{err: outcome.New(outcome.NotRun, outcome.NoTarget, "no target has announced itself")}
	case view.Service != w.terms.service && !checkServiceHere.Off():
		return verdict{err: outcome.New(outcome.NotRun, outcome.NoTarget, "the target runs another service")}
	case !view.State.TakesWork() && !refuseDrained.Off():
		return verdict{err: outcome.New(outcome.NotRun, outcome.Draining, "the target is draining")}
	}
	return verdict{}
}

func (s *Sidecar) logRefusal(w *work, e *outcome.Error) {
	s.meters.refused(e.Reason).Inc()
	load := s.queue.Load(s.now())
	s.log.Info("target: refused.", "request", w.id, "reason", e.Reason, "detail", e.Detail, "priority", w.terms.priority,
		"left", w.terms.deadline.Sub(s.now()), "work", w.terms.work, "running", load.Running, "queued", load.Queued,
		"slots", load.Slots, "wait", load.WaitLow, "slowed", s.slowdown.Slow())
}

// exchange sends the request to the target and reads its answer.
func (s *Sidecar) exchange(ctx context.Context, w *work, view localtarget.View) (*answer, verdict) {
	now := s.now()
	s.protocol.WriteRequest(w.header, exchange.ForwardedRequest{
		ID: w.id, Deadline: w.terms.deadline, Target: view.ID, Caller: w.terms.caller,
	}, now)
	r, err := s.target.Load().Do(ctx, &http1.Request{
		Method: w.method, Target: w.target, Host: w.host, Header: w.header, Body: w.body, Length: w.length,
		AvoidIdle: !w.terms.idempotent, Deadline: w.terms.deadline.Add(answerMargin),
		Matches: func(h http.Header) bool { return w.id == "" || s.protocol.ReadAnswer(0, h).ID == w.id },
	})
	if err != nil {
		return nil, s.targetFailed(ctx, err)
	}
	said := s.protocol.ReadAnswer(r.Status, r.Header)
	s.observeLoad(said.Load, s.now())
	a, err := readAnswer(r)
	if said.NotExecuted {
		if a != nil {
			err = errors.CombineErrors(err, a.close())
		}
		if err != nil {
			s.log.Debug("target: refusal not read whole.", "error", err)
		}
		e := outcome.New(outcome.NotRun, outcome.Overloaded, "the target did not run it: "+strconv.Itoa(r.Status))
		return nil, verdict{err: e, arrived: true}
	}
	if err != nil {
		return nil, s.targetFailed(ctx, err)
	}
	if r.Status < http.StatusMultipleChoices && !said.FromTarget {
		return nil, verdict{err: outcome.New(outcome.Unknown, outcome.TargetFailed, "answer without proof of origin")}
	}
	a.work = s.now().Sub(now)
	return a, verdict{}
}

func (s *Sidecar) targetFailed(ctx context.Context, err error) verdict {
	if errors.Is(err, http1.ErrNotSent) {
		return verdict{err: outcome.New(outcome.NotRun, outcome.NoTarget, "the target does not accept connections")}
	}
	if ctx.Err() != nil {
		return verdict{err: ended(ctx)}
	}
	return verdict{err: outcome.New(outcome.Unknown, outcome.TargetFailed, "connection to the target lost: "+err.Error())}
}
