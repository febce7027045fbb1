// Package caller serves the requests of callers over HTTP/1.1 and HTTP/2 without
// TLS.
//
// If a response cannot be completed, its connection or stream is aborted, so that
// the caller never takes a truncated response for a complete one.
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

	"pollenscale/core/budget"
	"pollenscale/core/call"
	"pollenscale/core/outcome"
	"pollenscale/io/client"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
)

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// stallTimeout limits each read of a request body.
	stallTimeout = 10 * time.Second
	// rejectedBodyTimeout limits the wait for the rest of the body of a rejected
	// request.
	rejectedBodyTimeout = 500 * time.Millisecond
	// responseMargin is the time after the deadline of a request after which its client must
	// have read the response.
	responseMargin = 500 * time.Millisecond
	// maxStreams limits the concurrent requests on one connection.
	maxStreams = 250
	// streamWindow and connectionWindow limit the part of request bodies that a client may send
	// before it is read. Those of all connections count against the memory of the process.
	streamWindow     = 64 << 10
	connectionWindow = 128 << 10
	// maxFrameBytes limits an HTTP/2 frame, for which a connection keeps a buffer.
	maxFrameBytes   = 16 << 10
	copyBufferBytes = call.ReplayBytes
)

// UploadPath is the path prefix of the status resources of deferred uploads.
const UploadPath = "/pollenscale/uploads/"

// dispatch passes requests for the status of an upload to Uploads and forwards
// all others to a target.
func (s *Server) dispatch(c echo.Context) error {
	r := c.Request()
	room, err := s.Guard.Begin(requestCost(r), budget.Callers)
	if err != nil {
		return s.reject(c.Response().Writer, r, client.Refusal(err))
	}
	defer room.Release()
	if s.Uploads != nil && r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, UploadPath) {
		s.Uploads.ServeHTTP(c.Response(), r)
		return nil
	}
	return s.forward(c, room)
}

// Server serves callers. Call Init before Serve.
type Server struct {
	// Do sends a request to a target. An error is an *outcome.Error.
	Do func(context.Context, *call.Request) (*call.Answer, error)
	// Uploads serves the status of deferred uploads; nil without a store.
	Uploads http.Handler
	// Guard charges connections and requests to the account of the process.
	Guard *client.Guard
	// Log receives connection-level failures, at debug level.
	Log *slog.Logger

	http     *http.Server
	draining atomic.Bool
}

// Init builds the HTTP server. It is called once, before Serve.
func (s *Server) Init() {
	e := echo.New()
	e.HideBanner = true
	// Pre runs before routing, so that every method and path is handled.
	e.Pre(func(echo.HandlerFunc) echo.HandlerFunc { return s.dispatch })
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
			MaxReadFrameSize:              maxFrameBytes,
			MaxConcurrentStreams:          maxStreams,
			MaxReceiveBufferPerConnection: connectionWindow,
			MaxReceiveBufferPerStream:     streamWindow,
		},
	}
}

// Serve accepts connections from l until Shutdown and then returns
// http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	return s.http.Serve(s.Guard.Listen(s.http, l, budget.Callers))
}

// Drain makes callers reconnect elsewhere: from now on each HTTP/1.1 response
// closes its connection.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Shutdown stops accepting connections and waits for open requests until ctx
// ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// Close closes all connections.
func (s *Server) Close() error {
	return s.http.Close()
}

// forward sends one request to a target and returns its response to the caller.
func (s *Server) forward(c echo.Context, room *client.Request) error {
	w, request := c.Response().Writer, c.Request()
	if s.draining.Load() && request.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	r, err := parse(request, time.Now())
	if err != nil {
		return s.reject(w, request, err)
	}
	s.attachBody(w, request, r, room)
	answer, err := s.Do(client.WithRequest(request.Context(), room), r)
	if err != nil {
		return s.reject(w, request, err)
	}
	s.writeResponse(w, answer, r.Deadline)
	return nil
}

// reject responds with problem details. net/http reads the rest of a short
// request body before it sends the response, so the time for that is limited.
func (s *Server) reject(w http.ResponseWriter, request *http.Request, err error) error {
	if request.ContentLength != 0 {
		if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(rejectedBodyTimeout)); err != nil {
			s.Log.Debug("cannot set the read deadline.", "error", err)
		}
	}
	return writeError(w, err)
}

// attachBody sets the body of r. Each read of it has a deadline.
func (s *Server) attachBody(w http.ResponseWriter, request *http.Request, r *call.Request, room *client.Request) {
	if request.ContentLength == 0 {
		return
	}
	control := http.NewResponseController(w)
	room.ReadBody(func() { s.endBody(control) })
	r.Body = call.NewBody(&deadlineReader{body: request.Body, control: control, request: r, room: room}, request.ContentLength)
	if request.ProtoMajor == 1 && (request.ContentLength < 0 || request.ContentLength > call.ReplayBytes) {
		if err := control.EnableFullDuplex(); err != nil {
			s.Log.Debug("cannot enable full duplex.", "error", err)
		}
	}
}

// writeResponse sends a response to the caller and aborts the connection or
// stream if the response cannot be completed.
func (s *Server) writeResponse(w http.ResponseWriter, answer *call.Answer, deadline time.Time) {
	defer s.closeBody(answer)
	p, _ := buffers.Get().(*[]byte)
	defer buffers.Put(p)
	first, end, err := readPrefix(*p, answer)
	if err != nil {
		s.abortOnError(writeError(w, truncatedResponse(err)))
		return
	}
	if end {
		s.closeBody(answer)
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
	s.endResponseAt(w, deadline.Add(responseMargin))
	if _, err = w.Write((*p)[:first]); err == nil && !end {
		err = copyBody(w, *p, answer)
	}
	s.abortOnError(err)
}

// closeBody closes the body of a response, which gives back its place. It may be called more than
// once.
func (s *Server) closeBody(answer *call.Answer) {
	if err := answer.Body.Close(); err != nil {
		s.Log.Debug("cannot close the response body.", "error", err)
	}
}

// abortOnError aborts the connection or stream of an incomplete response.
func (s *Server) abortOnError(err error) {
	if err != nil {
		s.Log.Debug("response aborted.", "error", err)
		panic(http.ErrAbortHandler)
	}
}

// readPrefix reads the start of the response body, or all of a body that fits
// into p, so that a failure of a short response can still be reported with
// problem details.
func readPrefix(p []byte, answer *call.Answer) (n int, end bool, err error) {
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

// truncatedResponse returns the error for a response that failed before any of it
// was sent to the caller.
func truncatedResponse(err error) error {
	reason := outcome.ConnectionLost
	var e *outcome.Error
	if errors.As(err, &e) {
		reason = e.Reason
	}
	return outcome.New(outcome.Run, reason, "the answer was cut off")
}

// copyBody streams the rest of the body. A body of unknown length is flushed
// after each write.
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

// deadlineReader sets a deadline for each read of a request body.
type deadlineReader struct {
	body    io.Reader
	control *http.ResponseController
	// request provides the deadline, which is set before the first read.
	request *call.Request
	room    *client.Request
}

// Read reads from the caller, which must send data within stallTimeout and before
// the deadline of the request.
func (p *deadlineReader) Read(b []byte) (int, error) {
	until := time.Now().Add(stallTimeout)
	if d := p.request.Deadline; !d.IsZero() && d.Before(until) {
		until = d
	}
	if err := p.control.SetReadDeadline(until); err != nil {
		return 0, err
	}
	n, err := p.body.Read(b)
	if n > 0 {
		p.room.Progress()
	}
	if errors.Is(err, io.EOF) {
		if err := p.control.SetReadDeadline(time.Time{}); err != nil {
			return n, err
		}
		return n, io.EOF
	}
	if err != nil {
		if refused := p.room.EndBody(); refused != nil {
			return n, client.Refusal(refused)
		}
	}
	// After an error the deadline stays set: net/http reads to the end of the body
	// before it sends the response and would otherwise wait for a stalled caller.
	return n, err
}

// writeError responds with problem details.
func writeError(w http.ResponseWriter, err error) error {
	var e *outcome.Error
	if !errors.As(err, &e) {
		e = outcome.New(outcome.Unknown, outcome.TargetFailed, err.Error())
	}
	return writeProblem(w, e)
}
