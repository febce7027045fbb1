package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"pollenscale/core/attempt"
	"pollenscale/core/call"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/io/peer/peerpb"
	"pollenscale/io/peer/peerpb/peerpbconnect"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// detailNoResponse is the detail of an attempt that reached its deadline.
const detailNoResponse = "no answer before the deadline"

// Client sends attempts and control messages to other daemons. Attempts, attempts
// with large request bodies, and control messages use separate connections, so
// that an attempt can be settled while its own connection is dead, and bodies that
// a target reads slowly do not exhaust the receive window of other attempts.
type Client struct {
	now      func() time.Time
	attempts *http.Client
	bulk     *http.Client
	control  *http.Client

	mu    sync.RWMutex
	peers map[string]peerClients
}

// peerClients holds the clients for the daemon at one address.
type peerClients struct {
	attempts peerpbconnect.PeerClient
	bulk     peerpbconnect.PeerClient
	control  peerpbconnect.PeerClient
}

// NewClient returns a client. Its connections are opened on demand.
func NewClient() *Client {
	return &Client{
		now:      time.Now,
		attempts: newHTTPClient(),
		bulk:     newHTTPClient(),
		control:  newHTTPClient(),
		peers:    map[string]peerClients{},
	}
}

func newHTTPClient() *http.Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		Protocols:          protocols(),
		HTTP2:              clientConfig(),
		DialContext:        dialer.DialContext,
		DisableCompression: true,
		IdleConnTimeout:    time.Minute,
	}}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.bulk.CloseIdleConnections()
	c.attempts.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// Control returns the client for control messages to the daemon at address.
func (c *Client) Control(address string) peerpbconnect.PeerClient {
	return c.clients(address).control
}

// Settle asks the target's daemon for the final outcome of an attempt.
func (c *Client) Settle(ctx context.Context, target fleet.Target, ref attempt.Ref) (attempt.Settlement, error) {
	settlement, err := settleOnce(ctx, c.Control(target.PeerAddress), ref, time.Now().Add(settleTimeout))
	if err == nil || ctx.Err() != nil {
		return settlement, err
	}
	// The connection for control messages may be dead too, so retry on a new one.
	fresh := newHTTPClient()
	defer fresh.CloseIdleConnections()
	return settleOnce(ctx, newPeerClient(fresh, target.PeerAddress), ref, time.Now().Add(settleRetryTimeout))
}

func settleOnce(ctx context.Context, client peerpbconnect.PeerClient, ref attempt.Ref, deadline time.Time) (attempt.Settlement, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	response, err := client.Settle(ctx, connect.NewRequest(&peerpb.SettleRequest{
		Attempt:           encodeID(ref.ID),
		TargetIncarnation: uint64(ref.Target),
		OpenFrom:          uint64(ref.OpenFrom),
	}))
	if err != nil {
		return attempt.Settlement{}, errors.Wrap(err, "settle")
	}
	o := outcome.Outcome(response.Msg.GetOutcome())
	if !o.Valid() {
		return attempt.Settlement{}, errors.Newf("settle: unknown outcome %q", o)
	}
	return attempt.Settlement{Outcome: o, Running: response.Msg.GetRunning()}, nil
}

// Probe returns the load of the target beside the daemon at address.
func (c *Client) Probe(ctx context.Context, address string, service fleet.Service) (fleet.Load, error) {
	response, err := c.Control(address).Probe(ctx, connect.NewRequest(&peerpb.ProbeRequest{Service: string(service)}))
	if err != nil {
		return fleet.Load{}, errors.Wrap(err, "probe")
	}
	return decodeLoad(response.Msg.GetLoad()), nil
}

// Send sends one attempt to the target's daemon. An error is an *outcome.Error. If
// its outcome is Unknown, Settle can determine the final one.
func (c *Client) Send(ctx context.Context, target fleet.Target, ref attempt.Ref, r *call.Request) (*call.Answer, error) {
	head, complete, err := r.Body.Head(r.ContentLength)
	if err != nil {
		return nil, outcome.New(outcome.NotRun, outcome.BadRequest, err.Error())
	}
	ctx, cancel := context.WithCancelCause(ctx)
	s := &outboundStream{attemptTag: hashAttemptID(ref.ID), ctx: ctx, cancel: cancel, now: c.now}
	first := &peerpb.InvokeRequest{Head: encodeRequest(ref, c.now(), r), Body: head, End: complete, AttemptTag: s.attemptTag}
	if complete {
		err = s.call(c.clients(target.PeerAddress).attempts, first)
	} else {
		err = s.invoke(c.clients(target.PeerAddress).bulk, first)
	}
	var answer *call.Answer
	if err == nil {
		answer, err = s.awaitHead(first, r)
	}
	if err != nil {
		err = outcomeError(ctx, err)
		s.close()
		return nil, err
	}
	return answer, nil
}

func (c *Client) clients(address string) peerClients {
	c.mu.RLock()
	r, ok := c.peers[address]
	c.mu.RUnlock()
	if ok {
		return r
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r = peerClients{
		attempts: newPeerClient(c.attempts, address),
		bulk:     newPeerClient(c.bulk, address),
		control:  newPeerClient(c.control, address),
	}
	c.peers[address] = r
	return r
}

func newPeerClient(h *http.Client, address string) peerpbconnect.PeerClient {
	return peerpbconnect.NewPeerClient(h, "http://"+address,
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithSendMaxBytes(maxMessageBytes),
		connect.WithAcceptCompression("gzip", nil, nil))
}

// outcomeError converts a transport error to an *outcome.Error. Nothing was sent if
// the connection could not be opened.
func outcomeError(ctx context.Context, err error) error {
	// If the request body could not be sent completely, the attempt fails at the
	// target too. The cause of the context is then more specific than the received
	// error, unless the latter says that nothing ran.
	var received, cause *outcome.Error
	if errors.As(err, &received) && received.Outcome == outcome.NotRun {
		return received
	}
	if errors.As(context.Cause(ctx), &cause) {
		return cause
	}
	if received != nil && received.Reason != outcome.Cancelled {
		return received
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcome.New(outcome.NotRun, outcome.ConnectionLost, err.Error())
	}
	switch {
	// Reading the request body from the caller fails at the deadline as well, which
	// cancels the request at the same time, so the deadline is checked first.
	case deadlinePassed(ctx) || connect.CodeOf(err) == connect.CodeDeadlineExceeded:
		return outcome.New(outcome.Unknown, outcome.DeadlineExceeded, detailNoResponse)
	case received != nil || errors.Is(ctx.Err(), context.Canceled):
		return outcome.New(outcome.Unknown, outcome.Cancelled, "the caller cancelled the request")
	}
	return outcome.New(outcome.Unknown, outcome.ConnectionLost, err.Error())
}

// deadlinePassed reports whether the deadline of ctx has passed.
func deadlinePassed(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && !time.Now().Before(deadline)
}

// outboundStream is the client side of one attempt.
type outboundStream struct {
	// recv receives a message. stream is nil if the request is a single message.
	recv       func() (*peerpb.InvokeResponse, error)
	stream     *connect.BidiStreamForClient[peerpb.InvokeRequest, peerpb.InvokeResponse]
	attemptTag uint64
	ctx        context.Context
	cancel     context.CancelCauseFunc
	now        func() time.Time
	sender     errgroup.Group
	// proceeded is set once the peer has asked for the rest of the request body.
	proceeded bool
}

// call sends a request that consists of a single message.
func (s *outboundStream) call(client peerpbconnect.PeerClient, only *peerpb.InvokeRequest) error {
	stream, err := client.Call(s.ctx, connect.NewRequest(only))
	if err != nil {
		return err
	}
	s.recv = func() (*peerpb.InvokeResponse, error) {
		if stream.Receive() {
			return stream.Msg(), nil
		}
		if err := stream.Err(); err != nil {
			return nil, err
		}
		return nil, io.EOF
	}
	return nil
}

// invoke sends the first message of a request with more messages.
func (s *outboundStream) invoke(client peerpbconnect.PeerClient, first *peerpb.InvokeRequest) error {
	s.stream = client.Invoke(s.ctx)
	s.recv = s.stream.Receive
	if err := s.stream.Send(first); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil // io.EOF means that receiving returns the error
}

// awaitHead receives messages up to the head of the response.
func (s *outboundStream) awaitHead(first *peerpb.InvokeRequest, r *call.Request) (*call.Answer, error) {
	for {
		m, err := s.receive()
		if err != nil {
			return nil, err
		}
		if m.GetHead() != nil {
			return s.decodeAnswer(m, first.GetHead().GetAttempt(), r)
		}
		s.handleProceed(m, r)
	}
}

// receive returns the next message of this attempt.
func (s *outboundStream) receive() (*peerpb.InvokeResponse, error) {
	m, err := s.recv()
	if err != nil {
		return nil, err
	}
	if m.GetAttemptTag() != s.attemptTag {
		return nil, outcome.New(outcome.Unknown, outcome.ConnectionLost, "message of another attempt")
	}
	return m, nil
}

// handleProceed starts sending the rest of the request body if m asks for it.
func (s *outboundStream) handleProceed(m *peerpb.InvokeResponse, r *call.Request) {
	if !m.GetProceed() || s.proceeded || s.stream == nil {
		return
	}
	s.proceeded = true
	rest := r.Body.Rest()
	// The transport does not notice the end of the context while it waits for more
	// of the request body, so the request is closed explicitly. The receiver treats
	// the body as truncated, since the last message is missing.
	context.AfterFunc(s.ctx, func() { _ = s.stream.CloseRequest() })
	s.sender.Go(func() error {
		if err := s.sendRest(rest); err != nil {
			s.cancel(s.sendFailure(err, r.Deadline))
			return err
		}
		return s.stream.CloseRequest()
	})
}

func (s *outboundStream) sendRest(rest io.Reader) error {
	p, _ := frameBuffers.Get().(*[]byte)
	defer frameBuffers.Put(p)
	for {
		n, err := rest.Read(*p)
		end := errors.Is(err, io.EOF)
		if err != nil && !end {
			return err
		}
		m := &peerpb.InvokeRequest{Body: (*p)[:n], End: end, AttemptTag: s.attemptTag}
		if err := s.stream.Send(m); errors.Is(err, io.EOF) {
			return nil // the peer has responded without reading the rest
		} else if err != nil {
			return err
		}
		if end {
			return nil
		}
	}
}

// sendFailure returns the error for a request body that was not sent completely.
// At the request's deadline, reading the body from the caller fails together with
// the attempt.
func (s *outboundStream) sendFailure(err error, deadline time.Time) error {
	var e *outcome.Error
	if errors.As(err, &e) {
		return e
	}
	if !s.now().Before(deadline) {
		return outcome.New(outcome.Unknown, outcome.DeadlineExceeded, detailNoResponse)
	}
	return outcome.New(outcome.Unknown, outcome.BadRequest, "the body could not be read: "+err.Error())
}

// decodeAnswer converts the first message of a response to an answer, or returns
// the error that it carries.
func (s *outboundStream) decodeAnswer(m *peerpb.InvokeResponse, id *peerpb.AttemptID, r *call.Request) (*call.Answer, error) {
	head := m.GetHead()
	if decodeID(head.GetAttempt()) != decodeID(id) {
		return nil, outcome.New(outcome.Unknown, outcome.ConnectionLost, "answer to another attempt")
	}
	if head.GetReason() != "" {
		e := decodeError(head, s.now())
		if m.GetLoad() != nil {
			load := decodeLoad(m.GetLoad())
			e.Load = &load
		}
		return nil, e
	}
	body := &responseBody{stream: s, request: r}
	body.accept(m)
	return &call.Answer{
		Outcome:       outcome.Outcome(head.GetOutcome()),
		Status:        int(head.GetStatus()),
		Header:        decodeHeader(head.GetHeaders()),
		ContentLength: head.GetContentLength(),
		Body:          body,
		Load:          body.loadReport,
	}, nil
}

func (s *outboundStream) close() {
	s.cancel(nil)
}

// responseBody reads the frames of a response body.
type responseBody struct {
	stream  *outboundStream
	request *call.Request
	frame   []byte
	size    int64
	err     error
	load    *peerpb.Load
}

// Read returns io.EOF only after the last message, and only if the size that it
// states matches.
func (b *responseBody) Read(p []byte) (int, error) {
	for len(b.frame) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		m, err := b.stream.receive()
		if err != nil {
			b.err = errors.Mark(errors.Wrap(err, "response from peer"), call.ErrTruncated)
			return 0, b.err
		}
		// The target may read on after it has begun to respond.
		b.stream.handleProceed(m, b.request)
		b.accept(m)
	}
	n := copy(p, b.frame)
	b.frame = b.frame[n:]
	if len(b.frame) == 0 && errors.Is(b.err, io.EOF) {
		return n, io.EOF
	}
	return n, nil
}

// Close ends the attempt. The target's daemon cancels it if it is still running.
func (b *responseBody) Close() error {
	b.stream.close()
	return nil
}

func (b *responseBody) accept(m *peerpb.InvokeResponse) {
	b.frame = m.GetBody()
	b.size += int64(len(b.frame))
	if m.GetLoad() != nil {
		b.load = m.GetLoad()
	}
	if !m.GetEnd() {
		return
	}
	b.err = io.EOF
	if m.GetBodyBytes() != b.size {
		b.err = errors.Mark(errors.Newf("response from peer truncated: got %d of %d bytes", b.size, m.GetBodyBytes()), call.ErrTruncated)
	}
}

func (b *responseBody) loadReport() (fleet.Load, bool) {
	if b.load == nil {
		return fleet.Load{}, false
	}
	return decodeLoad(b.load), true
}
