package sidecar

import (
	"context"
	"net/http"
	"os"
	"strings"
	"time"

	"pollenscale/core/budget"
	"pollenscale/core/exchange"
	"pollenscale/core/fairqueue"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/route"
	"pollenscale/io/client"
	"pollenscale/io/http1"

	"github.com/cockroachdb/errors"
)

const (
	// minRetryAfter is the shortest Retry-After that is returned to a refused client.
	minRetryAfter = 50 * time.Millisecond
	// unprovedRetryAfter is the Retry-After of a request with a key while the configuration may
	// be out of date: once the store is back, a proof arrives after about this time.
	unprovedRetryAfter = 500 * time.Millisecond
	// maxRedirects limits how many daemons may refuse a request before it queues at a
	// target.
	maxRedirects = 6
	// minAttemptTime is the shortest time in which a further attempt can succeed.
	minAttemptTime = 20 * time.Millisecond
)

// request is a client's request at its entry.
type request struct {
	exchange.Request
	route   *route.Route
	service fleet.Service
	// organisation is the one that holds the client's key, nil if the request needs none.
	organisation *route.Organisation
	// priority is that of the organisation or, if it has none, of the route.
	priority   int
	method     string
	uri        string // path and query, unmodified
	host       string
	header     http.Header
	body       []byte
	stream     *bodyStream // remainder after body, nil unless the body is too long to keep
	length     int64
	arrivedAt  time.Time
	deadline   time.Time
	reached    int // attempts that reached a target
	redirects  int
	tried      []fleet.DaemonID
	hint       fleet.DaemonID // daemon that the latest refusal recommended
	mayHaveRun bool           // an attempt reached a target that did not refuse it
	// callOfRepeat is set if the request is a call of a run that is itself a retry.
	callOfRepeat bool
	// nested is set if the request is a call of a run in progress at the target beside the
	// daemon. Such calls carry no key, and a parent that does not run there counts as none:
	// the caller chooses the identifier.
	nested    bool
	claim     *budget.Claim
	exchange  *fairqueue.Flow // of the place among budget.Exchanges that the request holds, nil if none
	streaming bool            // holds one of budget.Streams
}

// serveCaller serves requests of clients and of the target beside the daemon.
func (s *Sidecar) serveCaller(w http.ResponseWriter, r *http.Request) {
	if s.stopping.Load() {
		w.Header()["Connection"] = []string{"close"}
	}
	ctx, gone := context.WithCancel(r.Context())
	defer gone()
	turn := http1.BeginTurn(r, gone)
	defer turn.End()
	prepared := turn.Prepared()
	if prepared == nil {
		prepared = s.prepare(ctx, w, r, false)
	}
	prepared.Respond(w, r)
}

// prepareEarly prepares the response to a pipelined request before its turn, so that a
// client does not wait for the sum of its requests. Only idempotent requests qualify: they
// may run although the connection closes before they are answered.
func (s *Sidecar) prepareEarly(ctx context.Context, r *http.Request) *http1.Prepared {
	config := s.config.Current()
	if config == nil || s.stopping.Load() || !s.guard.SpareExchange() {
		return nil
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if matched := config.Match(r.Host, path); matched == nil || !matched.Idempotent() {
		return nil
	}
	return s.charged(func() *http1.Prepared { return s.prepare(ctx, nil, r, true) })
}

// prepare obtains the response to a request, until the context of its client ends. The
// writer may be nil if the request has no body. If the request is early, before its turn, and
// there is no room for it, prepare returns nil.
func (s *Sidecar) prepare(ctx context.Context, w http.ResponseWriter, r *http.Request, early bool) *http1.Prepared {
	s.activeRequests.Add(1)
	now := s.now()
	q, status, detail := s.parseRequest(ctx, w, r, now, early)
	if q == nil && early && status == http.StatusServiceUnavailable {
		s.activeRequests.Add(-1)
		return nil
	}
	if q == nil {
		return s.prepared(func() {}, func(w http.ResponseWriter, r *http.Request) { s.writeRejection(w, r, status, detail) })
	}
	deadline, cancel := context.WithDeadline(ctx, q.deadline)
	resp, err := s.dispatch(deadline, q)
	if err != nil {
		end := func() {
			cancel()
			q.release(s.account)
		}
		return s.prepared(end, func(w http.ResponseWriter, _ *http.Request) { s.writeFailure(ctx, w, q, err) })
	}
	if resp.rest == nil {
		q.giveExchange(s.account)
	}
	end := func() {
		if err := resp.close(); err != nil {
			s.log.Debug("entry: closing a response failed.", "request", q.ID, "error", err)
		}
		cancel()
		q.release(s.account)
	}
	return s.prepared(end, func(w http.ResponseWriter, r *http.Request) { s.writeAnswer(w, r, q, resp) })
}

// prepared returns a response whose request is in progress until it was written or given
// up. It calls end then.
func (s *Sidecar) prepared(end func(), respond http.HandlerFunc) *http1.Prepared {
	finish := func() {
		end()
		s.activeRequests.Add(-1)
	}
	return &http1.Prepared{Discard: finish, Respond: func(w http.ResponseWriter, r *http.Request) {
		defer finish()
		respond(w, r)
	}}
}

// writeRejection sends the error response to a request that was not dispatched.
func (s *Sidecar) writeRejection(w http.ResponseWriter, r *http.Request, status int, detail string) {
	now := s.now()
	s.meters.rejected(status).Inc()
	s.log.Info("entry: rejected.", "request", s.protocol.ReadRequest(r.Header, now).ID, "status", status, "reason", detail, "version", s.config.Version())
	if status == http.StatusServiceUnavailable {
		after := minRetryAfter
		if detail == detailUnproved {
			after = unprovedRetryAfter
		}
		w.Header()["Retry-After"] = []string{formatRetryAfter(now.Add(after), now)}
	}
	s.closeUnread(w, r, status)
	http.Error(w, detail, status)
}

// writeAnswer passes the response of a target on.
func (s *Sidecar) writeAnswer(w http.ResponseWriter, r *http.Request, q *request, resp *response) {
	now := s.now()
	s.meters.completed(q, resp.status, now)
	s.log.Info("entry: answered.", "request", q.ID, "route", q.route.Name, "service", q.service, "status", resp.status,
		"waited", now.Sub(q.arrivedAt), "work", resp.serviceTime, "left", q.deadline.Sub(now), "reached", q.reached+1,
		"redirects", q.redirects, "version", s.config.Version())
	s.endResponseAt(w, resp, q.deadline.Add(streamMargin))
	s.respondEarly(w, r, q.stream)
	err := resp.writeTo(w, r.Method == http.MethodHead)
	if err == nil {
		s.finishBody(w, q.stream)
		return
	}
	s.log.Warn("entry: writing the response failed.", "request", q.ID, "error", err)
	if err := http1.ResetOnClose(r.Context()); err != nil {
		s.log.Debug("entry: the connection cannot be reset.", "request", q.ID, "error", err)
	}
	panic(http.ErrAbortHandler)
}

// parseRequest matches the request with a route and reads its body. If it fails, the
// request is nil, and the status and the detail are those of the error response.
func (s *Sidecar) parseRequest(ctx context.Context, w http.ResponseWriter, r *http.Request, now time.Time, early bool) (*request, int, string) {
	config := s.config.Current()
	if config == nil {
		return nil, http.StatusServiceUnavailable, "no configuration yet"
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	matched := config.Match(r.Host, path)
	if matched == nil {
		return nil, http.StatusNotFound, "no route"
	}
	q := &request{
		Request: s.protocol.ReadRequest(r.Header, now), route: matched, method: r.Method, uri: r.RequestURI,
		host: r.Host, header: forwardedHeaders(r.Header), length: r.ContentLength, arrivedAt: now,
	}
	s.protocol.RemoveKey(q.header)
	if status, detail := s.authorize(q, config); status != 0 {
		return nil, status, detail
	}
	q.service = matched.Pick(string(q.ID))
	q.callOfRepeat = s.lineage.Call(q.Parent, q.service)
	q.nested = q.organisation == nil && s.lineage.Running(q.Parent)
	q.deadline = now.Add(matched.Timeout)
	if !q.Deadline.IsZero() && q.Deadline.Before(q.deadline) {
		q.deadline = q.Deadline
	}
	if s.stopsBefore(q.deadline) {
		return nil, http.StatusServiceUnavailable, "the daemon stops before the deadline of the request"
	}
	limit := config.Limits.BodyBytes
	if limit > 0 && r.ContentLength > limit {
		return nil, http.StatusRequestEntityTooLarge, "body too large"
	}
	if most := config.Limits.HeaderBytes; most > 0 && len(r.RequestURI)+budget.HeaderLength(r.Header) > most {
		return nil, http.StatusRequestHeaderFieldsTooLarge, "head too large"
	}
	if reason, detail := s.occupy(ctx, w, r, q, limit, early); detail != "" {
		q.release(s.account)
		return nil, reason, detail
	}
	return q, 0, ""
}

// bodyFailure returns the status and the detail of the response to a request whose body
// could not be read.
func bodyFailure(err error) (int, string) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, client.ErrNoMemory), errors.Is(err, client.ErrNoStream):
		return http.StatusServiceUnavailable, err.Error()
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, "body too large"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, "body not received by the deadline"
	}
	return http.StatusBadRequest, "body cannot be read"
}

// writeFailure sends the error response for a request that no target responded to.
// The context is that of the client.
func (s *Sidecar) writeFailure(ctx context.Context, w http.ResponseWriter, q *request, err *outcome.Error) {
	now := s.now()
	status := http.StatusBadGateway
	switch {
	case err.Outcome == outcome.NotRun && !q.mayHaveRun:
		status = refusalStatus(err)
		at := now.Add(minRetryAfter)
		if err.RetryAt.After(at) {
			at = err.RetryAt
		}
		w.Header()["Retry-After"] = []string{formatRetryAfter(at, now)}
	case err.Reason == outcome.DeadlineExceeded:
		status = http.StatusGatewayTimeout
	}
	s.meters.completed(q, status, now)
	if ctx.Err() != nil {
		s.log.Info("entry: client has gone.", "request", q.ID, "route", q.route.Name, "outcome", err.Outcome, "waited", now.Sub(q.arrivedAt))
		panic(http.ErrAbortHandler)
	}
	s.log.Warn("entry: failed.", "request", q.ID, "route", q.route.Name, "organisation", q.organisationName(), "service", q.service, "status", status,
		"outcome", err.Outcome, "reason", err.Reason, "detail", err.Detail, "reached", q.reached, "redirects", q.redirects,
		"waited", now.Sub(q.arrivedAt), "left", q.deadline.Sub(now), "version", s.config.Version())
	s.failEarly(w, q.stream)
	http.Error(w, string(err.Reason), status)
}
