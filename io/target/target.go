// Package target talks to the target beside the daemon over HTTP/1.1 and reads
// its health and load.
//
// The target shows that it stops taking work in one of two ways, each of which
// is a sign of draining: its health endpoint says so, or an answer carries the
// header Pollenscale-State.
package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"pollenscale/core/call"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"

	"github.com/cockroachdb/errors"
)

// Header fields between a target and its daemon.
const (
	HeaderOutcome      = "Pollenscale-Outcome"
	HeaderState        = "Pollenscale-State"
	HeaderDeadline     = "Pollenscale-Deadline"
	HeaderDepth        = "Pollenscale-Depth"
	HeaderService      = "Pollenscale-Service"
	HeaderOrganisation = "Pollenscale-Organisation"
	HeaderRank         = "Pollenscale-Rank"
)

const (
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is below the idle timeouts that are usual for servers, so
	// that the target does not close a connection as it is being used.
	idleTimeout = 30 * time.Second
	// idleConnections is the number of connections per target in both fleets.
	idleConnections = 200
	bufferBytes     = 16 << 10
	// maxHeaderBytes keeps the head of an answer within one message to a peer.
	maxHeaderBytes = 256 << 10
)

// Client sends requests to the target.
type Client struct {
	// OnState, if set, is called with each state that the target shows.
	OnState func(fleet.State)

	address   string
	transport *http.Transport
	dialer    net.Dialer
}

// New returns a client for the target at address, an IP and port.
func New(address string) *Client {
	c := &Client{address: address, dialer: net.Dialer{Timeout: dialTimeout}}
	c.transport = &http.Transport{
		DialContext:         c.dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConns:        idleConnections,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      bufferBytes,

		MaxResponseHeaderBytes: maxHeaderBytes,
		WriteBufferSize:        bufferBytes,
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Call hands the request to the target. An error is an *outcome.Error: NotRun
// if nothing was written to the target, Unknown otherwise. An answer with
// outcome NotRun was shed by the target.
func (c *Client) Call(ctx context.Context, r *call.Request) (*call.Answer, error) {
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { written.Store(true) },
	})
	request, err := c.request(ctx, r)
	if err != nil {
		return nil, outcome.New(outcome.NotRun, outcome.BadRequest, err.Error())
	}
	response, err := c.transport.RoundTrip(request) //nolint:bodyclose // the reader of the answer closes it
	if err != nil {
		return nil, c.failure(ctx, err, written.Load())
	}
	return c.answer(response), nil
}

// request converts r. The transport must not send a request that is not
// idempotent a second time, which it does for requests without a body if their
// method is safe or they have an Idempotency-Key. A body that it cannot rewind
// prevents the former, a header name that it does not recognise the latter.
func (c *Client) request(ctx context.Context, r *call.Request) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+c.address+r.URI, nil)
	if err != nil {
		return nil, err
	}
	request.Header = http.Header(r.Header)
	if host := r.Header.Get("Host"); host != "" {
		request.Host = host
	}
	setRequestHeader(request.Header, r)
	request.ContentLength = r.ContentLength
	if r.Body != nil {
		body, err := r.Body.Reader(r.ContentLength)
		if err != nil {
			return nil, err
		}
		request.Body = io.NopCloser(body)
		return request, nil
	}
	request.ContentLength = 0
	if r.Idempotent {
		return request, nil
	}
	if v, ok := request.Header["Idempotency-Key"]; ok {
		delete(request.Header, "Idempotency-Key")
		request.Header["idempotency-key"] = v
	}
	if usuallyWithoutBody(r.Method) {
		request.Body = io.NopCloser(eof{})
	}
	return request, nil
}

// usuallyWithoutBody reports whether the transport probes the body of a request
// with the method and omits an empty one.
func usuallyWithoutBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions, "PROPFIND", "SEARCH":
		return true
	}
	return false
}

func setRequestHeader(h http.Header, r *call.Request) {
	h[HeaderService] = []string{string(r.Service)}
	h[HeaderOrganisation] = []string{string(r.Organisation)}
	h[HeaderRank] = []string{string(r.Rank)}
	h[HeaderDeadline] = []string{r.Deadline.UTC().Format(time.RFC3339Nano)}
	h[HeaderDepth] = []string{depth(r.Depth)}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // keeps the transport from adding its own
	}
}

// failure describes an error of the transport.
func (c *Client) failure(ctx context.Context, err error, written bool) error {
	if !written {
		return c.unsent(ctx, err)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.New(outcome.Unknown, outcome.DeadlineExceeded, "no answer from the target before the deadline")
	}
	if ctx.Err() != nil {
		return outcome.New(outcome.Unknown, outcome.Cancelled, "the request was cancelled while it ran")
	}
	return outcome.New(outcome.Unknown, c.brokenReason(), "the target broke off: "+err.Error())
}

func (c *Client) unsent(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.New(outcome.NotRun, outcome.DeadlineExceeded, "the deadline passed before the target was reached")
	}
	if ctx.Err() != nil {
		return outcome.New(outcome.NotRun, outcome.Cancelled, "the request was cancelled before the target was reached")
	}
	return outcome.New(outcome.NotRun, outcome.TargetFailed, "the target cannot be reached: "+err.Error())
}

// brokenReason tells a crash of the target from the loss of one connection:
// a crashed target accepts no connections.
func (c *Client) brokenReason() outcome.Reason {
	conn, err := c.dialer.Dial("tcp", c.address)
	if err != nil {
		return outcome.TargetCrashed
	}
	if err := conn.Close(); err != nil {
		return outcome.TargetFailed
	}
	return outcome.TargetFailed
}

func (c *Client) answer(response *http.Response) *call.Answer {
	c.seen(response)
	answer := &call.Answer{
		Outcome:       outcome.Run,
		Status:        response.StatusCode,
		Header:        call.Header(response.Header),
		ContentLength: response.ContentLength,
		Body:          &body{client: c, ReadCloser: response.Body},
	}
	if response.Body == http.NoBody {
		answer.ContentLength = 0 // the header field may describe a body that is not sent
	}
	if shed(response) {
		answer.Outcome = outcome.NotRun
	}
	delete(response.Header, HeaderOutcome)
	delete(response.Header, HeaderState)
	return answer
}

// shed reports whether the target says that it did not run the request.
func shed(response *http.Response) bool {
	if response.StatusCode != http.StatusServiceUnavailable && response.StatusCode != http.StatusTooManyRequests {
		return false
	}
	return response.Header.Get(HeaderOutcome) == string(outcome.NotRun)
}

// seen passes a state on that the answer shows.
func (c *Client) seen(response *http.Response) {
	if c.OnState == nil {
		return
	}
	if s := fleet.State(response.Header.Get(HeaderState)); s.Valid() {
		c.OnState(s)
	}
}

// body reports a broken answer with its reason.
type body struct {
	io.ReadCloser
	client *Client
}

// Read reads the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || errors.Is(err, io.EOF) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return n, err
	}
	broken := outcome.New(outcome.Unknown, b.client.brokenReason(), "the target broke off its answer: "+err.Error())
	return n, errors.Mark(broken, call.ErrCutOff)
}

type eof struct{}

func (eof) Read([]byte) (int, error) { return 0, io.EOF }

func depth(n uint32) string {
	const digits = "0123456789"
	if n < 10 {
		return digits[n : n+1]
	}
	return depth(n/10) + digits[n%10:n%10+1]
}
