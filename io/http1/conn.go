// Package http1 speaks HTTP/1.1 over connections whose use the caller controls.
//
// Unlike net/http it never repeats a request, tells exactly whether a request
// can have reached the peer, finds the answer that belongs to the request among
// stray ones, and leaves path, query, host and encoding untouched.
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

// Mechanisms that tests switch off one at a time.
var (
	checkEcho      = mutant.New("http1/echoed-id")
	closeCancelled = mutant.New("http1/close-cancelled")
	retireStray    = mutant.New("http1/retire-after-stray-answer")
)

const (
	// bufferBytes is the size of each buffer of a connection: a usual head fits.
	bufferBytes = 2 << 10
	// inlineBytes is the largest body that is written before the answer is read;
	// it fits the smallest send window.
	inlineBytes = 8 << 10
	// maxStray bounds the answers of earlier requests that are skipped.
	maxStray = 4
	// maxDrain bounds the body of a skipped answer.
	maxDrain = 256 << 10
)

// ErrNotSent marks errors of requests of which no byte left this process.
var ErrNotSent = errors.New("not sent")

// Request is a request as it is written.
type Request struct {
	Method string
	// Target is the request target: path and query, byte for byte.
	Target string
	Host   string
	Header http.Header
	Body   io.Reader
	// Length is the length of the body, -1 when it is not known.
	Length int64
	// Matches reports whether an answer with the header is for this request.
	// Answers for which it does not hold are skipped. Nil accepts all.
	Matches func(http.Header) bool
	// ExpectContinue sends the head alone and the body only when the peer asks for it, so
	// that a refusal costs no body.
	ExpectContinue bool
	// AvoidIdle asks for a connection that has been idle for a short time at most.
	AvoidIdle bool
	// Deadline bounds the whole exchange; zero means none.
	Deadline time.Time
}

// Response is an answer. The caller closes it.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 when it is not known.
	Length int64
	// Reused is set when the connection had carried a request before.
	Reused bool

	body   io.ReadCloser
	conn   *conn
	stop   func() bool
	whole  bool
	keep   bool
	idle   time.Duration
	closed bool
}

// conn is one connection.
type conn struct {
	net.Conn
	pool   *Pool
	reader *bufio.Reader
	writer *bufio.Writer
	used   int
	// idleUntil is when the peer may close the connection.
	idleUntil time.Time
	idleSince time.Time
	cancelled atomic.Bool
	// spoiled connections carried bytes that belong to no request.
	spoiled bool
	// writing is set until a long body is written.
	writing atomic.Bool
	group   errgroup.Group
}

// quiet reports whether an idle connection has nothing to read: neither bytes
// that belong to no request nor an end.
func (c *conn) quiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// exchange writes a request and reads the head of its answer.
func (c *conn) exchange(ctx context.Context, r *Request) (*Response, error) {
	if err := c.SetDeadline(r.Deadline); err != nil {
		c.discard()
		return nil, errors.Mark(err, ErrNotSent)
	}
	stop := context.AfterFunc(ctx, func() {
		c.cancelled.Store(true)
		if !closeCancelled.Off() {
			c.discard()
		}
	})
	reused := c.used > 0
	c.used++
	started := time.Now()
	head, asked, err := c.converse(r) //nolint:bodyclose // the caller closes the Response
	if err != nil {
		stop()
		c.discard()
		if reused && ctx.Err() == nil && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)) {
			c.pool.forgot(started.Sub(c.idleSince))
		}
		return nil, c.explain(ctx, err)
	}
	return &Response{
		Status: head.StatusCode, Header: head.Header, Length: head.ContentLength, Reused: reused,
		body: head.Body, conn: c, stop: stop, keep: asked && !head.Close, idle: idleTimeout(head.Header),
	}, nil
}

// converse writes the request and reads the head of its answer. It reports
// whether the peer took the body.
func (c *conn) converse(r *Request) (head *http.Response, asked bool, err error) {
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
	head, err = http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	if err != nil || head.StatusCode != http.StatusContinue {
		return head, false, err
	}
	if err := c.sendBody(r); err != nil {
		return nil, false, err
	}
	head, err = c.readHead(r)
	return head, true, err
}

func (c *conn) explain(ctx context.Context, err error) error {
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

// sendBody writes the body. A long one goes on being written while the answer is
// read, since a peer may answer before it has read the body.
func (c *conn) sendBody(r *Request) error {
	if r.Length > 0 && r.Length <= inlineBytes {
		return c.writeBody(r)
	}
	c.writing.Store(true)
	c.group.Go(func() error {
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
	writeLine(w, r.Method, " ", r.Target, " HTTP/1.1\r\nHost: ", r.Host, "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			writeLine(w, name, ": ", v, "\r\n")
		}
	}
	if r.ExpectContinue && r.Body != nil && r.Length != 0 {
		writeLine(w, "Expect: 100-continue\r\n")
	}
	switch {
	case r.Length > 0 || r.Length == 0 && r.Body != nil && bodyExpected(r.Method):
		writeLine(w, "Content-Length: ", strconv.FormatInt(r.Length, 10), "\r\n")
	case r.Length < 0 && r.Body != nil:
		writeLine(w, "Transfer-Encoding: chunked\r\n")
	case bodyExpected(r.Method):
		writeLine(w, "Content-Length: 0\r\n")
	}
	writeLine(w, "\r\n")
}

func bodyExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// writeLine writes parts; the writer keeps the first error for Flush.
func writeLine(w *bufio.Writer, parts ...string) {
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
		// The peer must not take the rest of the connection for the body.
		c.discard()
	}
	return err
}

func (c *conn) writeChunks(body io.Reader) error {
	buffer := make([]byte, inlineBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			writeLine(c.writer, strconv.FormatInt(int64(n), 16), "\r\n")
			c.writer.Write(buffer[:n]) //nolint:errcheck,gosec // Flush returns the error
			writeLine(c.writer, "\r\n")
			if err := c.writer.Flush(); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			writeLine(c.writer, "0\r\n\r\n")
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readHead reads answers until one belongs to the request.
func (c *conn) readHead(r *Request) (*http.Response, error) {
	for range maxStray {
		head, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if head.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches == nil || r.Matches(head.Header) || checkEcho.Off() {
			return head, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(head.Body, maxDrain))
		if err != nil {
			return nil, err
		}
		if n == maxDrain || head.Close {
			return nil, errors.New("answer to another request")
		}
		c.spoiled = !retireStray.Off()
	}
	return nil, errors.New("too many answers to other requests")
}

// Read reads the body. Its end is reported only after a whole body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		r.whole = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept if the exchange was whole.
func (r *Response) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	if !r.stop() || !r.whole || !r.keep || r.conn.writing.Load() {
		r.conn.discard()
		return nil
	}
	r.conn.pool.put(r.conn, r.idle)
	return nil
}

func (c *conn) discard() {
	if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		c.pool.OnError(err)
	}
}

// idleTimeout returns how long the peer keeps an idle connection, 0 if unknown.
func idleTimeout(h http.Header) time.Duration {
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
