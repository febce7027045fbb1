// Package caller takes requests of callers over HTTP/1.1 and HTTP/2 without TLS
// and answers them.
//
// An answer that cannot be completed is cut off on the connection, so that the
// caller never takes a part for the whole.
package caller

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"pollenscale/core/call"
	"pollenscale/core/outcome"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
)

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// stallTimeout bounds the wait for the next part of a request body.
	stallTimeout = 10 * time.Second
	// refusedTimeout bounds the wait for the rest of the body of a refused
	// request.
	refusedTimeout = 500 * time.Millisecond
	// maxStreams bounds the requests that a caller may have open on one
	// connection.
	maxStreams       = 1000
	streamWindow     = 256 << 10
	connectionWindow = 1 << 20
	copyBytes        = call.ReplayBytes
)

// UploadPath is the status address of deferred uploads.
const UploadPath = "/pollenscale/uploads/"

// route passes requests for the state of an upload to Uploads and all others to
// a target.
func (s *Server) route(c echo.Context) error {
	r := c.Request()
	if s.Uploads != nil && r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, UploadPath) {
		s.Uploads.ServeHTTP(c.Response(), r)
		return nil
	}
	return s.handle(c)
}

// Server answers callers.
type Server struct {
	// Do sends a request to a target. An error is an *outcome.Error.
	Do func(context.Context, *call.Request) (*call.Answer, error)
	// Uploads answers requests for the state of deferred uploads; nil without a
	// store.
	Uploads http.Handler
	// Log receives unexpected failures.
	Log *slog.Logger

	http     *http.Server
	draining atomic.Bool
}

// Init prepares the server; it is called once before Serve.
func (s *Server) Init() {
	e := echo.New()
	e.HideBanner = true
	// Before routing, so that requests of all methods and paths pass.
	e.Pre(func(echo.HandlerFunc) echo.HandlerFunc { return s.route })
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.http = &http.Server{
		Handler:           e,
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(s.Log.Handler(), slog.LevelDebug),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxStreams,
			MaxReceiveBufferPerConnection: connectionWindow,
			MaxReceiveBufferPerStream:     streamWindow,
		},
	}
}

// Serve accepts connections from l until Shutdown, and returns
// http.ErrServerClosed then.
func (s *Server) Serve(l net.Listener) error {
	return s.http.Serve(l)
}

// Drain asks callers to leave: from now on each answer on HTTP/1.1 closes its
// connection.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Shutdown stops accepting and waits for open requests until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// Close closes all connections.
func (s *Server) Close() error {
	return s.http.Close()
}

// handle answers one request.
func (s *Server) handle(c echo.Context) error {
	w, request := c.Response().Writer, c.Request()
	if s.draining.Load() && request.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	r, err := parse(request, time.Now())
	if err != nil {
		return s.refuse(w, request, err)
	}
	s.attachBody(w, request, r)
	answer, err := s.Do(request.Context(), r)
	if err != nil {
		return s.refuse(w, request, err)
	}
	s.write(w, answer)
	return nil
}

// refuse answers with a problem. The server reads the rest of a short body
// before it answers, for which the caller has a bounded time.
func (s *Server) refuse(w http.ResponseWriter, request *http.Request, err error) error {
	if request.ContentLength != 0 {
		if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusedTimeout)); err != nil {
			s.Log.Debug("no read deadline.", "error", err)
		}
	}
	return fail(w, err)
}

// attachBody gives the request its body. Each read of it must make progress.
func (s *Server) attachBody(w http.ResponseWriter, request *http.Request, r *call.Request) {
	if request.ContentLength == 0 {
		return
	}
	control := http.NewResponseController(w)
	r.Body = call.NewBody(&progress{body: request.Body, control: control, request: r}, request.ContentLength)
	if request.ProtoMajor == 1 && (request.ContentLength < 0 || request.ContentLength > call.ReplayBytes) {
		if err := control.EnableFullDuplex(); err != nil {
			s.Log.Debug("no full duplex.", "error", err)
		}
	}
}

// write sends an answer to the caller and cuts the connection if the answer
// does not arrive whole.
func (s *Server) write(w http.ResponseWriter, answer *call.Answer) {
	defer func() {
		if err := answer.Body.Close(); err != nil {
			s.Log.Debug("closing an answer failed.", "error", err)
		}
	}()
	p, _ := buffers.Get().(*[]byte)
	defer buffers.Put(p)
	first, end, err := readFirst(*p, answer)
	if err != nil {
		s.cutOff(fail(w, brokenAnswer(err)))
		return
	}
	h := w.Header()
	for name, values := range answer.Header {
		if !hopByHop(name) {
			h[name] = values
		}
	}
	h[headerOutcome] = []string{string(answer.Outcome)}
	if answer.ContentLength >= 0 && h["Content-Length"] == nil {
		h["Content-Length"] = []string{strconv.FormatInt(answer.ContentLength, 10)}
	}
	w.WriteHeader(answer.Status)
	if _, err = w.Write((*p)[:first]); err == nil && !end {
		err = copyBody(w, *p, answer)
	}
	s.cutOff(err)
}

// cutOff aborts the connection or stream of an answer that is not whole.
func (s *Server) cutOff(err error) {
	if err != nil {
		s.Log.Debug("an answer was cut off.", "error", err)
		panic(http.ErrAbortHandler)
	}
}

// readFirst reads the start of the answer, and all of a short one, so that the
// failure of a short answer can be told in full.
func readFirst(p []byte, answer *call.Answer) (n int, end bool, err error) {
	short := answer.ContentLength >= 0 && answer.ContentLength <= int64(len(p))
	for {
		var m int
		m, end, err = answer.Next(p[n:])
		n += m
		if end || err != nil || !short {
			return n, end, err
		}
	}
}

// brokenAnswer describes the failure of an answer before any of it was sent.
func brokenAnswer(err error) error {
	reason := outcome.ConnectionLost
	var e *outcome.Error
	if errors.As(err, &e) {
		reason = e.Reason
	}
	return outcome.New(outcome.Run, reason, "the answer was cut off")
}

// copyBody streams the body after its first part. Parts of a body of unknown
// size are sent at once.
func copyBody(w http.ResponseWriter, p []byte, answer *call.Answer) error {
	flush := answer.ContentLength < 0
	for {
		if flush {
			if err := http.NewResponseController(w).Flush(); err != nil {
				return err
			}
		}
		n, end, err := answer.Next(p)
		if err != nil {
			return err
		}
		if _, err := w.Write(p[:n]); err != nil || end {
			return err
		}
	}
}

// progress bounds each read of a request body.
type progress struct {
	body    io.Reader
	control *http.ResponseController
	// request has its deadline by the time of the first read.
	request *call.Request
}

// Read reads from the caller, who must send something within the stall timeout.
func (p *progress) Read(b []byte) (int, error) {
	until := time.Now().Add(stallTimeout)
	if d := p.request.Deadline; !d.IsZero() && d.Before(until) {
		until = d
	}
	if err := p.control.SetReadDeadline(until); err != nil {
		return 0, err
	}
	n, err := p.body.Read(b)
	if errors.Is(err, io.EOF) {
		if err := p.control.SetReadDeadline(time.Time{}); err != nil {
			return n, err
		}
		return n, io.EOF
	}
	// After a failure the deadline stays: the server reads on to the end of the
	// body before it answers, and would wait for a caller that has stalled.
	return n, err
}

// fail answers with problem details.
func fail(w http.ResponseWriter, err error) error {
	var e *outcome.Error
	if !errors.As(err, &e) {
		e = outcome.New(outcome.Unknown, outcome.TargetFailed, err.Error())
	}
	return writeProblem(w, e)
}
