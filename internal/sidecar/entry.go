package sidecar

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"pollenscale/core/exchange"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/route"

	"github.com/cockroachdb/errors"
)

const (
	// replayBytes is the largest body that is kept to be sent again.
	replayBytes = 1 << 20
	// minRetryAfter is the shortest wait that a refused client is told.
	minRetryAfter = 50 * time.Millisecond
	// maxRedirects bounds the refusals of daemons that one request takes.
	maxRedirects = 6
	// minAttempt is the least time in which another attempt can succeed.
	minAttempt = 20 * time.Millisecond
)

// request is a client's request at its entry.
type request struct {
	exchange.Request
	route      *route.Route
	service    fleet.Service
	method     string
	target     string // path and query, byte for byte
	host       string
	header     http.Header
	body       []byte
	stream     io.Reader // what follows body, if it is too long to keep
	length     int64
	arrivedAt  time.Time
	deadline   time.Time
	reached    int // attempts that reached a target
	redirects  int
	tried      []fleet.DaemonID
	hint       fleet.DaemonID // the daemon that a refusal named
	mayHaveRun bool           // some attempt reached a target and was not refused there
}

// serveCaller serves the requests of clients and of the target beside the daemon.
func (s *Sidecar) serveCaller(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	now := s.now()
	if s.stopping.Load() {
		w.Header()["Connection"] = []string{"close"}
	}
	q, status, detail := s.admitCaller(w, r, now)
	if q == nil {
		s.meters.rejected(status).Inc()
		s.log.Info("entry: rejected.", "request", s.protocol.ReadRequest(r.Header, now).ID, "status", status, "reason", detail, "version", s.holder.Version())
		if status == http.StatusServiceUnavailable {
			w.Header()["Retry-After"] = []string{retryAfter(now.Add(minRetryAfter), now)}
		}
		http.Error(w, detail, status)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	a, err := s.dispatch(ctx, q)
	if err != nil {
		s.answerFailure(w, r, q, err)
		return
	}
	now = s.now()
	s.meters.answered(q, a.status, now)
	s.log.Info("entry: answered.", "request", q.ID, "route", q.route.Name, "service", q.service, "status", a.status,
		"waited", now.Sub(q.arrivedAt), "work", a.work, "left", q.deadline.Sub(now), "reached", q.reached+1,
		"redirects", q.redirects, "version", s.holder.Version())
	if err := a.writeTo(w, r.Method == http.MethodHead); err != nil {
		s.log.Warn("entry: answer broken off.", "request", q.ID, "error", err)
		panic(http.ErrAbortHandler)
	}
}

// admitCaller matches the request and reads its body, or returns the status of
// the refusal.
func (s *Sidecar) admitCaller(w http.ResponseWriter, r *http.Request, now time.Time) (*request, int, string) {
	config := s.holder.Current()
	if config == nil {
		return nil, http.StatusServiceUnavailable, "no configuration yet"
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	matched := config.Match(r.Host, path)
	if matched == nil {
		return nil, http.StatusNotFound, "no route"
	}
	q := &request{
		Request: s.protocol.ReadRequest(r.Header, now), route: matched, method: r.Method, target: r.RequestURI,
		host: r.Host, header: forwarded(r.Header), length: r.ContentLength, arrivedAt: now,
	}
	q.service = matched.Pick(string(q.ID))
	q.deadline = now.Add(matched.Timeout)
	if !q.Deadline.IsZero() && q.Deadline.Before(q.deadline) {
		q.deadline = q.Deadline
	}
	if limit := config.Limits.BodyBytes; limit > 0 {
		if r.ContentLength > limit {
			return nil, http.StatusRequestEntityTooLarge, "body too large"
		}
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	if err := q.readBody(r); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, http.StatusRequestEntityTooLarge, "body too large"
		}
		return nil, http.StatusBadRequest, "body cannot be read"
	}
	return q, 0, ""
}

// readBody keeps the body, or the first part of a long one.
func (q *request) readBody(r *http.Request) error {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		q.length = 0
		return nil
	}
	var buffer bytes.Buffer
	if r.ContentLength > 0 && r.ContentLength <= replayBytes {
		buffer.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	n, err := io.Copy(&buffer, io.LimitReader(r.Body, replayBytes+1))
	if err != nil {
		return err
	}
	q.body = buffer.Bytes()
	if n > replayBytes {
		q.stream = r.Body
		return nil
	}
	q.length = n
	return nil
}

// replayable reports whether the body can be sent again.
func (q *request) replayable() bool { return q.stream == nil }

// reader returns the body for one attempt.
func (q *request) reader() io.Reader {
	if q.length == 0 {
		return nil
	}
	if q.stream != nil {
		return io.MultiReader(bytes.NewReader(q.body), q.stream)
	}
	return bytes.NewReader(q.body)
}

// answerFailure tells the client what became of a request without an answer.
func (s *Sidecar) answerFailure(w http.ResponseWriter, r *http.Request, q *request, err *outcome.Error) {
	now := s.now()
	status := http.StatusBadGateway
	switch {
	case err.Outcome == outcome.NotRun && !q.mayHaveRun:
		status = http.StatusServiceUnavailable
		at := now.Add(minRetryAfter)
		if err.RetryAt.After(at) {
			at = err.RetryAt
		}
		w.Header()["Retry-After"] = []string{retryAfter(at, now)}
	case err.Reason == outcome.DeadlineExceeded:
		status = http.StatusGatewayTimeout
	}
	s.meters.answered(q, status, now)
	if r.Context().Err() != nil {
		s.log.Info("entry: client has gone.", "request", q.ID, "route", q.route.Name, "outcome", err.Outcome, "waited", now.Sub(q.arrivedAt))
		panic(http.ErrAbortHandler)
	}
	s.log.Warn("entry: failed.", "request", q.ID, "route", q.route.Name, "service", q.service, "status", status,
		"outcome", err.Outcome, "reason", err.Reason, "detail", err.Detail, "reached", q.reached, "redirects", q.redirects,
		"waited", now.Sub(q.arrivedAt), "left", q.deadline.Sub(now), "version", s.holder.Version())
	http.Error(w, string(err.Reason), status)
}
