// Package target is the HTTP/1.1 client of the target beside the daemon. It
// forwards requests and reads the target's health and load.
//
// A target announces that it is draining in one of two ways: through its health
// endpoint, or with the header Pollenscale-State in a response.
package target

import (
	"context"
	"io"
	"net"
	"net/http"
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
	// idleTimeout is shorter than the usual idle timeouts of servers, so that the
	// target does not close a connection while a request is being sent on it.
	idleTimeout = 30 * time.Second
	// maxIdleConns is the number of connections per target in both fleets.
	maxIdleConns = 200
	bufferBytes  = 16 << 10
	// maxHeaderBytes ensures that a response head fits into one message to a peer.
	maxHeaderBytes = 256 << 10
)

// Client sends requests to the target.
type Client struct {
	// OnState, if set, is called with each state that the target announces in a
	// response.
	OnState func(fleet.State)

	address   string
	transport *http.Transport
	dialer    net.Dialer
}

// New returns a client of the target at address, an IP address and port.
func New(address string) *Client {
	c := &Client{address: address, dialer: net.Dialer{Timeout: dialTimeout}}
	c.transport = &http.Transport{
		DialContext:         c.dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
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

// Call sends the request to the target. An error is an *outcome.Error: NotRun if
// nothing was written to the target, Unknown otherwise. An answer with outcome
// NotRun means that the target shed the request.
func (c *Client) Call(ctx context.Context, r *call.Request) (*call.Answer, error) {
	e, ctx := trace(ctx)
	request, err := c.request(ctx, r)
	if err != nil {
		return nil, outcome.New(outcome.NotRun, outcome.BadRequest, err.Error())
	}
	response, err := c.transport.RoundTrip(request) //nolint:bodyclose // the reader of the response closes it
	if err != nil {
		return nil, c.transportError(ctx, err, e.begun.Load())
	}
	if err := e.validate(response); err != nil {
		return nil, err
	}
	return c.answer(response, e), nil
}

// request converts r to an *http.Request. The transport must not retry requests
// that are not idempotent. It retries requests without a body if their method is
// safe or if they have an Idempotency-Key header. A body that cannot be rewound
// prevents the former, a header name in lower case, which the transport does not
// recognise, the latter.
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
	if probesBody(r.Method) {
		request.Body = io.NopCloser(emptyReader{})
	}
	return request, nil
}

// probesBody reports whether the transport reads ahead in the body of a request
// with the method and sends no body if it is empty.
func probesBody(method string) bool {
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
	h[HeaderDepth] = []string{formatDepth(r.Depth)}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // prevents the default of the transport
	}
}

// transportError converts an error of the transport to an *outcome.Error.
func (c *Client) transportError(ctx context.Context, err error, written bool) error {
	if !written {
		return c.notRunError(ctx, err)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.New(outcome.Unknown, outcome.DeadlineExceeded, "no answer from the target before the deadline")
	}
	if ctx.Err() != nil {
		return outcome.New(outcome.Unknown, outcome.Cancelled, "the request was cancelled while it ran")
	}
	return outcome.New(outcome.Unknown, c.disconnectReason(), "the target broke off: "+err.Error())
}

func (c *Client) notRunError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.New(outcome.NotRun, outcome.DeadlineExceeded, "the deadline passed before the target was reached")
	}
	if ctx.Err() != nil {
		return outcome.New(outcome.NotRun, outcome.Cancelled, "the request was cancelled before the target was reached")
	}
	return outcome.New(outcome.NotRun, outcome.TargetFailed, "the target cannot be reached: "+err.Error())
}

// disconnectReason distinguishes a crash of the target from the loss of one
// connection: a crashed target does not accept connections.
func (c *Client) disconnectReason() outcome.Reason {
	conn, err := c.dialer.Dial("tcp", c.address)
	if err != nil {
		return outcome.TargetCrashed
	}
	if err := conn.Close(); err != nil {
		return outcome.TargetFailed
	}
	return outcome.TargetFailed
}

func (c *Client) answer(response *http.Response, e *exchange) *call.Answer {
	c.reportState(response)
	answer := &call.Answer{
		Outcome:       outcome.Run,
		Status:        response.StatusCode,
		Header:        call.Header(response.Header),
		ContentLength: response.ContentLength,
		Body:          &responseBody{client: c, ReadCloser: response.Body, exchange: e, untilEnd: endsWithConnection(response)},
	}
	if response.Body == http.NoBody {
		answer.ContentLength = 0 // Content-Length may describe a body that is not sent, as for HEAD
	}
	if shed(response) {
		answer.Outcome = outcome.NotRun
	}
	delete(response.Header, HeaderOutcome)
	delete(response.Header, HeaderState)
	return answer
}

// shed reports whether the response states that the target did not run the
// request.
func shed(response *http.Response) bool {
	if response.StatusCode != http.StatusServiceUnavailable && response.StatusCode != http.StatusTooManyRequests {
		return false
	}
	return response.Header.Get(HeaderOutcome) == string(outcome.NotRun)
}

// reportState passes the state in the response header, if any, to OnState.
func (c *Client) reportState(response *http.Response) {
	if c.OnState == nil {
		return
	}
	if s := fleet.State(response.Header.Get(HeaderState)); s.Valid() {
		c.OnState(s)
	}
}

// responseBody is a response body whose Read reports why a response is truncated.
type responseBody struct {
	io.ReadCloser
	client   *Client
	exchange *exchange
	untilEnd bool // the end of the connection is the end of the body
}

// Read reads the body. An error of the connection is marked call.ErrTruncated.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.untilEnd && errors.Is(err, io.EOF) {
		err = b.exchange.verifyEnd()
	}
	if err == nil || errors.Is(err, io.EOF) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return n, err
	}
	truncated := outcome.New(outcome.Unknown, b.client.disconnectReason(), "the target broke off its answer: "+err.Error())
	return n, errors.Mark(truncated, call.ErrTruncated)
}

type emptyReader struct{}

func (emptyReader) Read([]byte) (int, error) { return 0, io.EOF }

func formatDepth(n uint32) string {
	const digits = "0123456789"
	if n < 10 {
		return digits[n : n+1]
	}
	return formatDepth(n/10) + digits[n%10:n%10+1]
}
