package sidecar

import (
	"context"
	"io"
	"net/http"

	"pollenscale/core/attempt"
	"pollenscale/core/budget"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
)

// servePeer serves the attempts and the calls of other daemons.
func (s *Sidecar) servePeer(w http.ResponseWriter, r *http.Request) {
	now := s.now()
	s.noteConfigVersion(readVersion(r.Header))
	writeVersion(w.Header(), s.config.Version(), s.settings.Load().PeerAddress())
	switch r.Header.Get(headerCall) {
	case callSettle:
		s.serveSettle(w, r, s.receivedAttempts.Settle)
		return
	case callCheck:
		s.serveSettle(w, r, s.receivedAttempts.Check)
		return
	case callSnapshot:
		s.serveSnapshot(w)
		return
	case callConfig:
		s.serveConfig(w)
		return
	case callCrash:
		s.serveCrashReport(w, r)
		return
	case callMarks:
		s.serveMarks(w)
		return
	case callQuotaStore:
		s.serveQuotaStore(w, r)
		return
	case callQuota:
		s.serveQuota(w, r)
		return
	}
	ref, ok := readAttempt(r.Header)
	params, ok2 := readParams(r.Header, now)
	if !ok || !ok2 {
		http.Error(w, "no attempt", http.StatusBadRequest)
		return
	}
	s.endBodyAt(w, r, params.deadline.Add(responseMargin))
	ctx, cancel := context.WithDeadline(r.Context(), params.deadline.Add(responseMargin/2))
	defer cancel()
	var stream *bodyStream
	if r.ContentLength != 0 {
		stream = &bodyStream{source: r.Body}
	}
	resp, result := s.serveAttempt(ctx, r, stream, ref, params, cancel)
	if result.err == nil {
		s.endResponseAt(w, resp, params.deadline.Add(streamMargin))
		s.respondEarly(w, r, stream)
		if err := s.writeResponse(w, resp, r.Method == http.MethodHead); err != nil {
			panic(http.ErrAbortHandler)
		}
		s.finishBody(w, stream)
		return
	}
	s.failEarly(w, stream)
	s.writeOwnLoad(w.Header())
	writeOutcome(w.Header(), result, s.now())
	status := http.StatusBadGateway
	if result.err.Outcome == outcome.NotRun {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

func (s *Sidecar) writeResponse(w http.ResponseWriter, resp *response, head bool) error {
	h := w.Header()
	s.writeOwnLoad(h)
	writeWork(h, resp.serviceTime)
	return resp.writeTo(w, head)
}

func (s *Sidecar) writeOwnLoad(h http.Header) { writeLoad(h, s.ownLoad()) }

// ownLoad returns the load of the target beside the daemon.
func (s *Sidecar) ownLoad() fleet.Load {
	l := s.queue.Load(s.now())
	l.Daemon, l.Incarnation, l.State = s.id, s.incarnation(), s.ownState()
	return l
}

// serveAttempt records an attempt of another daemon and runs it. The stream is the body of
// the request, nil if it has none.
func (s *Sidecar) serveAttempt(
	ctx context.Context, r *http.Request, stream *bodyStream, ref attempt.Ref, params attemptParams, cancel func(),
) (*response, attemptResult) {
	claim, release, full := s.chargeAttempt(ctx, r, params)
	if full != "" {
		s.guard.CountRefused(full, budget.Peers)
		return nil, attemptResult{err: outcome.New(outcome.NotRun, outcome.Overloaded, "the daemon has no room: "+string(full))}
	}
	defer release()
	record, err := s.receivedAttempts.Begin(ref, cancel)
	if err != nil {
		return nil, attemptResult{err: asOutcomeError(err)}
	}
	var body io.Reader
	if stream != nil {
		body = stream
	}
	resp, result := s.runAttempt(ctx, &localAttempt{
		id: s.protocol.ReadRequest(r.Header, s.now()).ID, method: r.Method, uri: r.RequestURI, host: r.Host,
		header: forwardedHeaders(r.Header), body: body, stream: stream, length: r.ContentLength, params: params, start: record.Start, claim: claim,
	})
	record.Finish(outcomeOf(result.err))
	return resp, result
}

// serveSettle responds to the query whether an attempt has run; settle makes the
// decision, which is binding.
func (s *Sidecar) serveSettle(w http.ResponseWriter, r *http.Request, settle func(attempt.Ref) attempt.Settlement) {
	ref, ok := readAttempt(r.Header)
	if !ok {
		http.Error(w, "no attempt", http.StatusBadRequest)
		return
	}
	settled := settle(ref)
	s.log.Info("target: attempt settled.", "entry", ref.ID.Daemon, "sequence", ref.ID.Sequence, "outcome", settled.Outcome, "running", settled.Running)
	writeOutcome(w.Header(), attemptResult{err: outcome.New(settled.Outcome, outcome.StaleAttempt, "settled")}, s.now())
	w.WriteHeader(http.StatusOK)
}
