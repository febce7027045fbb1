// Package http1 is an HTTP/1.1 client with explicit control of its connections.
//
// Unlike net/http it never retries a request, reports exactly whether a request
// may have reached the peer, skips stale responses to earlier requests, and sends
// path, query, host and encoding unchanged.
//
// For servers it has connections that notice when a client with pipelined requests
// closes, and that start such requests before their turn.
package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"pollenscale/internal/mutant"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Mechanisms that mutation tests switch off one at a time.
var (
	matchResponses   = mutant.New("http1/echoed-id")
	closeOnCancel    = mutant.New("http1/close-cancelled")
	retireAfterStale = mutant.New("http1/retire-after-stray-answer")
	avoidRefused     = mutant.New("http1/avoid-refused")
	finishBody       = mutant.New("http1/finish-body")
)

const (
	// connBufferBytes is the size of the read and write buffers of a connection. A
	// typical message head fits.
	connBufferBytes = 2 << 10
	// maxInlineBody is the largest body that is written before the response is read.
	// It fits the smallest TCP send window. It is also the chunk size of bodies of
	// unknown length.
	maxInlineBody = 8 << 10
	// maxResponses limits the responses that are read for one request, including
	// interim ones and stale ones to earlier requests.
	maxResponses = 4
	// maxRefused limits the keys of refused requests that a connection remembers. It is not
	// used again after more of them.
	maxRefused = 32
	// maxDiscardBytes limits the body of a stale response that is skipped.
	maxDiscardBytes = 256 << 10
)

// ErrNotSent marks errors of requests of which no byte was written to a
// connection.
var ErrNotSent = errors.New("not sent")

// Request is a request to send.
type Request struct {
	Method string
	// Key identifies the request, also when it is sent again. It is not sent on a connection
	// on which a request with the same key was refused: a copy of that refusal could arrive
	// late and would match.
	Key string
	// Target is the request target, path and query, which is sent unchanged.
	Target string
	Host   string
	Header http.Header
	Body   io.Reader
	// Length is the length of the body, or -1 if unknown.
	Length int64
	// Matches reports whether a response with the header belongs to this request.
	// Other responses are skipped. Nil accepts all.
	Matches func(http.Header) bool
	// ExpectContinue sends "Expect: 100-continue" and holds back the body until the
	// peer asks for it, so that a rejected request costs no body.
	ExpectContinue bool
	// AvoidIdle excludes connections that have been idle for more than maxShortIdle.
	// It is meant for requests that cannot be retried.
	AvoidIdle bool
	// Deadline limits the whole exchange; zero means no limit.
	Deadline time.Time
}

// Response is a response whose head was read. It is also the reader of the body.
// The caller must close it.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if unknown.
	Length int64
	// Reused is set if the connection was used for an earlier request.
	Reused bool

	key         string
	body        io.ReadCloser
	conn        *conn
	stop        func() bool
	complete    bool
	keepAlive   bool
	idleTimeout time.Duration
	closed      bool
	sent        <-chan struct{}
	// bodyUnwanted is set if the peer has no use for the rest of the request's body.
	bodyUnwanted bool
	received     atomic.Int64
	// endsWithConnection is set if the end of the connection is the end of the body.
	endsWithConnection bool
	deadline           time.Time
}

// sentBefore is the Sent channel of a request whose body was written before its response
// was read, or was not asked for.
var sentBefore = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// conn is one connection of a pool.
type conn struct {
	net.Conn
	pool     *Pool
	limiter  *headLimiter // below reader
	reader   *bufio.Reader
	writer   *bufio.Writer
	requests int
	// userTimeout is the TCP_USER_TIMEOUT in force.
	userTimeout time.Duration
	// idleUntil is the time at which the idle connection expires, before the peer is
	// likely to close it.
	idleUntil time.Time
	idleSince time.Time
	cancelled atomic.Bool
	// outOfSync is set after a stale response. The connection is not reused.
	outOfSync bool
	// refused holds the keys of the requests that were refused on the connection.
	refused []string
	// writing is set while a long body is being written, and stays set if that fails.
	writing atomic.Bool
	// sent is closed when the body of the current request was written or given up.
	sent  <-chan struct{}
	group errgroup.Group
}

// healthy reports whether an idle connection is open and has no unread bytes,
// which would belong to no request.
func (c *conn) healthy() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	nothingToRead := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothingToRead = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && nothingToRead
}

// exchange writes a request and reads the head of its response.
func (c *conn) exchange(ctx context.Context, r *Request) (*Response, error) {
	if err := c.SetDeadline(r.Deadline); err != nil {
		c.discard()
		return nil, errors.Mark(err, ErrNotSent)
	}
	if err := c.adjustUserTimeout(r); err != nil {
		c.discard()
		return nil, errors.Mark(err, ErrNotSent)
	}
	stop := context.AfterFunc(ctx, func() {
		c.cancelled.Store(true)
		if !closeOnCancel.Off() {
			c.discard()
		}
	})
	reused := c.requests > 0
	c.requests++
	c.sent = sentBefore
	started := time.Now()
	head, bodySent, err := c.roundTrip(r) //nolint:bodyclose // the caller closes the Response
	if err != nil {
		stop()
		c.discard()
		if reused && ctx.Err() == nil && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)) {
			c.pool.observeDrop(started.Sub(c.idleSince))
		}
		return nil, c.withCause(ctx, err)
	}
	return &Response{
		Status: head.StatusCode, Header: head.Header, Length: head.ContentLength, Reused: reused,
		key: r.Key, body: head.Body, conn: c, stop: stop, keepAlive: bodySent && !head.Close, idleTimeout: parseIdleTimeout(head.Header),
		sent: c.sent, endsWithConnection: endsWithConnection(head), deadline: r.Deadline,
	}, nil
}

// roundTrip writes the request and reads the head of its response. bodySent is
// false if the peer responded without asking for the body.
func (c *conn) roundTrip(r *Request) (head *http.Response, bodySent bool, err error) {
	if !r.ExpectContinue || r.Body == nil || r.Length == 0 {
		if err := c.send(r); err != nil {
			return nil, false, err
		}
		head, err = c.readHead(r)
		return head, true, err
	}
	c.writeHead(r)
	if err := c.writer.Flush(); err != nil {
		return nil, false, err
	}
	head, err = c.nextHead(r)
	if err != nil || head.StatusCode != http.StatusContinue {
		return head, false, err
	}
	if err := c.sendBody(r); err != nil {
		return nil, false, err
	}
	head, err = c.readHead(r)
	return head, true, err
}

func (c *conn) withCause(ctx context.Context, err error) error {
	if c.cancelled.Load() {
		return errors.CombineErrors(context.Cause(ctx), err)
	}
	return err
}

// send writes the request.
func (c *conn) send(r *Request) error {
	c.writeHead(r)
	if r.Body == nil || r.Length == 0 {
		return c.writer.Flush()
	}
	return c.sendBody(r)
}

// sendBody writes the body. A long body is written concurrently with reading the
// response, since a peer may respond before it has read the body.
func (c *conn) sendBody(r *Request) error {
	if r.Length > 0 && r.Length <= maxInlineBody {
		return c.writeBody(r)
	}
	c.writing.Store(true)
	sent := make(chan struct{})
	c.sent = sent
	c.group.Go(func() error {
		defer close(sent)
		err := c.writeBody(r)
		if err == nil {
			c.writing.Store(false)
		}
		return err
	})
	return nil
}

func (c *conn) writeHead(r *Request) {
	w := c.writer
	writeStrings(w, r.Method, " ", r.Target, " HTTP/1.1\r\nHost: ", r.Host, "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			writeStrings(w, name, ": ", v, "\r\n")
		}
	}
	if r.ExpectContinue && r.Body != nil && r.Length != 0 {
		writeStrings(w, "Expect: 100-continue\r\n")
	}
	switch {
	case r.Length > 0 || r.Length == 0 && r.Body != nil && methodHasBody(r.Method):
		writeStrings(w, "Content-Length: ", strconv.FormatInt(r.Length, 10), "\r\n")
	case r.Length < 0 && r.Body != nil:
		writeStrings(w, "Transfer-Encoding: chunked\r\n")
	case methodHasBody(r.Method):
		writeStrings(w, "Content-Length: 0\r\n")
	}
	writeStrings(w, "\r\n")
}

func methodHasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// writeStrings writes parts. bufio.Writer keeps the first error and returns it
// from Flush.
func writeStrings(w *bufio.Writer, parts ...string) {
	for _, p := range parts {
		w.WriteString(p) //nolint:errcheck,gosec // Flush returns the error
	}
}

func (c *conn) writeBody(r *Request) error {
	var err error
	if r.Length >= 0 {
		var n int64
		n, err = io.Copy(c.writer, io.LimitReader(r.Body, r.Length))
		if err == nil && n < r.Length {
			err = io.ErrUnexpectedEOF
		}
	} else {
		err = c.writeChunks(r.Body)
	}
	if err == nil {
		err = c.writer.Flush()
	}
	if err != nil {
		// Later bytes on the connection must not be taken for the rest of the body.
		c.discard()
	}
	return err
}

func (c *conn) writeChunks(body io.Reader) error {
	buffer := make([]byte, maxInlineBody)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			writeStrings(c.writer, strconv.FormatInt(int64(n), 16), "\r\n")
			c.writer.Write(buffer[:n]) //nolint:errcheck,gosec // Flush returns the error
			writeStrings(c.writer, "\r\n")
			if err := c.writer.Flush(); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			writeStrings(c.writer, "0\r\n\r\n")
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readHead reads responses until one matches the request.
func (c *conn) readHead(r *Request) (*http.Response, error) {
	for range maxResponses {
		head, err := c.nextHead(r)
		if err != nil {
			return nil, err
		}
		if head.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches == nil || r.Matches(head.Header) || matchResponses.Off() {
			return head, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(head.Body, maxDiscardBytes))
		if err != nil {
			return nil, err
		}
		if n == maxDiscardBytes || head.Close {
			return nil, errors.New("response to another request")
		}
		c.outOfSync = !retireAfterStale.Off()
	}
	return nil, errors.New("too many responses to other requests")
}

// Read reads the body. It returns io.EOF only if the body is complete.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.received.Add(int64(n))
	if errors.Is(err, io.EOF) {
		err = r.verifyEnd()
		r.complete = errors.Is(err, io.EOF)
	}
	return n, err
}

// Received returns the number of bytes of the body that have been read. It may be called
// during a read.
func (r *Response) Received() int64 { return r.received.Load() }

// Sent returns a channel that is closed when the body of the request was written or given
// up. A peer may respond before it has read the body.
func (r *Response) Sent() <-chan struct{} { return r.sent }

// AbandonBody records that the rest of the request's body need not be written.
func (r *Response) AbandonBody() { r.bodyUnwanted = true }

// MarkRefused records that the peer refused the request, which may be sent again.
func (r *Response) MarkRefused() {
	r.AbandonBody()
	c := r.conn
	if len(c.refused) >= maxRefused {
		c.outOfSync = true
		return
	}
	c.refused = append(c.refused, r.key)
}

// Close ends the exchange. The connection returns to the pool if the exchange was
// complete, and is closed otherwise. If the body of the request is still being written
// after a complete response, the connection stays open until it is written, at most until
// the deadline of the request.
func (r *Response) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	switch {
	case !r.stop() || !r.complete:
		r.conn.discard()
	case !r.conn.writing.Load():
		r.release()
	case r.bodyUnwanted || finishBody.Off():
		r.conn.discard()
	default:
		r.conn.group.Go(func() error {
			<-r.sent
			r.release()
			return nil
		})
	}
	return nil
}

// release returns the connection of a complete exchange to the pool, or closes it if it
// cannot be used again.
func (r *Response) release() {
	if !r.keepAlive || r.conn.writing.Load() {
		r.conn.discard()
		return
	}
	r.conn.pool.put(r.conn, r.idleTimeout)
}

func (c *conn) discard() {
	if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		c.pool.OnError(err)
	}
}

// parseIdleTimeout returns how long the peer keeps idle connections open according
// to its Keep-Alive header, or 0 if unknown.
func parseIdleTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 {
			return time.Duration(s) * time.Second
		}
	}
	return 0
}
