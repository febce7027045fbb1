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

// noAnswer is the detail of an attempt that ended with its deadline.
const noAnswer = "no answer before the deadline"

// Client sends to other daemons. Attempts, attempts with large request bodies
// and control messages use separate connections: a binding answer can be had
// when the connection of an attempt is silent, and bodies that a target reads
// slowly do not use up the receive window of other attempts.
type Client struct {
	now      func() time.Time
	attempts *http.Client
	bulk     *http.Client
	control  *http.Client

	mu    sync.RWMutex
	peers map[string]remote
}

// remote is a daemon at one address.
type remote struct {
	attempts peerpbconnect.PeerClient
	bulk     peerpbconnect.PeerClient
	control  peerpbconnect.PeerClient
}

// NewClient returns a client. Its connections are opened when needed.
func NewClient() *Client {
	return &Client{
		now:      time.Now,
		attempts: newHTTPClient(),
		bulk:     newHTTPClient(),
		control:  newHTTPClient(),
		peers:    map[string]remote{},
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
	return c.remote(address).control
}

// Settle asks the target's daemon for a binding answer about an attempt.
func (c *Client) Settle(ctx context.Context, target fleet.Target, ref attempt.Ref) (attempt.Settlement, error) {
	settlement, err := settle(ctx, c.Control(target.PeerAddress), ref, time.Now().Add(firstSettle))
	if err == nil || ctx.Err() != nil {
		return settlement, err
	}
	// The connection for control messages may be silent too.
	fresh := newHTTPClient()
	defer fresh.CloseIdleConnections()
	return settle(ctx, newPeerClient(fresh, target.PeerAddress), ref, time.Now().Add(secondSettle))
}

func settle(ctx context.Context, client peerpbconnect.PeerClient, ref attempt.Ref, until time.Time) (attempt.Settlement, error) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	response, err := client.Settle(ctx, connect.NewRequest(&peerpb.SettleRequest{
		Attempt:           packID(ref.ID),
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

// Probe reads the load of the target beside the daemon at address.
func (c *Client) Probe(ctx context.Context, address string, service fleet.Service) (fleet.Load, error) {
	response, err := c.Control(address).Probe(ctx, connect.NewRequest(&peerpb.ProbeRequest{Service: string(service)}))
	if err != nil {
		return fleet.Load{}, errors.Wrap(err, "probe")
	}
	return unpackLoad(response.Msg.GetLoad()), nil
}

// Send makes one attempt at the target's daemon. An error is an
// *outcome.Error; one with outcome Unknown may be settled.
func (c *Client) Send(ctx context.Context, target fleet.Target, ref attempt.Ref, r *call.Request) (*call.Answer, error) {
	head, whole, err := r.Body.Head(r.ContentLength)
	if err != nil {
		return nil, outcome.New(outcome.NotRun, outcome.BadRequest, err.Error())
	}
	ctx, cancel := context.WithCancelCause(ctx)
	s := &exchange{tag: tag(ref.ID), ctx: ctx, cancel: cancel, now: c.now}
	first := &peerpb.InvokeRequest{Head: packRef(ref, c.now(), r), Body: head, End: whole, AttemptTag: s.tag}
	if whole {
		err = s.call(c.remote(target.PeerAddress).attempts, first)
	} else {
		err = s.invoke(c.remote(target.PeerAddress).bulk, first)
	}
	var answer *call.Answer
	if err == nil {
		answer, err = s.start(first, r)
	}
	if err != nil {
		err = describe(ctx, err)
		s.close()
		return nil, err
	}
	return answer, nil
}

func (c *Client) remote(address string) remote {
	c.mu.RLock()
	r, ok := c.peers[address]
	c.mu.RUnlock()
	if ok {
		return r
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r = remote{
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

// describe turns an error of the transport into an *outcome.Error. Nothing was
// sent when the connection could not be opened.
func describe(ctx context.Context, err error) error {
	// A body that could not be sent completely fails the attempt at the target
	// too; the cause says more than that failure, unless nothing ran.
	var own, cause *outcome.Error
	if errors.As(err, &own) && own.Outcome == outcome.NotRun {
		return own
	}
	if errors.As(context.Cause(ctx), &cause) {
		return cause
	}
	if own != nil && own.Reason != outcome.Cancelled {
		return own
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcome.New(outcome.NotRun, outcome.ConnectionLost, err.Error())
	}
	switch {
	// Reading the body from the caller ends at the deadline too, which cancels
	// the request at the same time.
	case past(ctx) || connect.CodeOf(err) == connect.CodeDeadlineExceeded:
		return outcome.New(outcome.Unknown, outcome.DeadlineExceeded, noAnswer)
	case own != nil || errors.Is(ctx.Err(), context.Canceled):
		return outcome.New(outcome.Unknown, outcome.Cancelled, "the caller cancelled the request")
	}
	return outcome.New(outcome.Unknown, outcome.ConnectionLost, err.Error())
}

// past reports whether the deadline of ctx has passed.
func past(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && !time.Now().Before(deadline)
}

// exchange is the sending side of one attempt.
type exchange struct {
	// next receives a message. The stream is nil for a request of one message.
	next   func() (*peerpb.InvokeResponse, error)
	stream *connect.BidiStreamForClient[peerpb.InvokeRequest, peerpb.InvokeResponse]
	tag    uint64
	ctx    context.Context
	cancel context.CancelCauseFunc
	now    func() time.Time
	sender errgroup.Group
	// sent is set once the rest of the request body was asked for.
	sent bool
}

// call sends a request of one message.
func (s *exchange) call(client peerpbconnect.PeerClient, only *peerpb.InvokeRequest) error {
	stream, err := client.Call(s.ctx, connect.NewRequest(only))
	if err != nil {
		return err
	}
	s.next = func() (*peerpb.InvokeResponse, error) {
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

// invoke sends the first message of a longer request.
func (s *exchange) invoke(client peerpbconnect.PeerClient, first *peerpb.InvokeRequest) error {
	s.stream = client.Invoke(s.ctx)
	s.next = s.stream.Receive
	if err := s.stream.Send(first); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil // the error behind io.EOF is received
}

// start waits for the head of the answer.
func (s *exchange) start(first *peerpb.InvokeRequest, r *call.Request) (*call.Answer, error) {
	for {
		m, err := s.receive()
		if err != nil {
			return nil, err
		}
		if m.GetHead() != nil {
			return s.answer(m, first.GetHead().GetAttempt())
		}
		s.proceed(m, r)
	}
}

// receive returns the next message of this attempt.
func (s *exchange) receive() (*peerpb.InvokeResponse, error) {
	m, err := s.next()
	if err != nil {
		return nil, err
	}
	if m.GetAttemptTag() != s.tag {
		return nil, outcome.New(outcome.Unknown, outcome.ConnectionLost, "message of another attempt")
	}
	return m, nil
}

// proceed starts to send the rest of the request body.
func (s *exchange) proceed(m *peerpb.InvokeResponse, r *call.Request) {
	if !m.GetProceed() || s.sent || s.stream == nil {
		return
	}
	s.sent = true
	rest := r.Body.Rest()
	// The transport does not notice the end of the context while it waits for
	// more of the request body, so the body is ended too. The receiver takes
	// it as cut off, since the last message is missing.
	context.AfterFunc(s.ctx, func() { _ = s.stream.CloseRequest() })
	s.sender.Go(func() error {
		if err := s.sendRest(rest); err != nil {
			s.cancel(s.sendFailure(err, r.Deadline))
			return err
		}
		return s.stream.CloseRequest()
	})
}

func (s *exchange) sendRest(rest io.Reader) error {
	p, _ := frames.Get().(*[]byte)
	defer frames.Put(p)
	for {
		n, err := rest.Read(*p)
		end := errors.Is(err, io.EOF)
		if err != nil && !end {
			return err
		}
		m := &peerpb.InvokeRequest{Body: (*p)[:n], End: end, AttemptTag: s.tag}
		if err := s.stream.Send(m); errors.Is(err, io.EOF) {
			return nil // the answer is complete without the rest
		} else if err != nil {
			return err
		}
		if end {
			return nil
		}
	}
}

// sendFailure describes a request body that was not sent completely. Reading it
// from the caller fails at the request's deadline too, at the same time as the
// attempt does.
func (s *exchange) sendFailure(err error, deadline time.Time) error {
	var e *outcome.Error
	if errors.As(err, &e) {
		return e
	}
	if !s.now().Before(deadline) {
		return outcome.New(outcome.Unknown, outcome.DeadlineExceeded, noAnswer)
	}
	return outcome.New(outcome.Unknown, outcome.BadRequest, "the body could not be read: "+err.Error())
}

// answer converts the head of an answer, or the error that it carries.
func (s *exchange) answer(m *peerpb.InvokeResponse, id *peerpb.AttemptID) (*call.Answer, error) {
	head := m.GetHead()
	if unpackID(head.GetAttempt()) != unpackID(id) {
		return nil, outcome.New(outcome.Unknown, outcome.ConnectionLost, "answer to another attempt")
	}
	if head.GetReason() != "" {
		e := unpackError(head, s.now())
		if m.GetLoad() != nil {
			load := unpackLoad(m.GetLoad())
			e.Load = &load
		}
		return nil, e
	}
	body := &answerBody{exchange: s}
	body.take(m)
	return &call.Answer{
		Outcome:       outcome.Outcome(head.GetOutcome()),
		Status:        int(head.GetStatus()),
		Header:        unpackHeader(head.GetHeaders()),
		ContentLength: head.GetContentLength(),
		Body:          body,
		Load:          body.report,
	}, nil
}

func (s *exchange) close() {
	s.cancel(nil)
}

// answerBody reads the frames of an answer.
type answerBody struct {
	exchange *exchange
	frame    []byte
	size     int64
	err      error
	load     *peerpb.Load
}

// Read returns io.EOF only after the last message with the matching size.
func (b *answerBody) Read(p []byte) (int, error) {
	for len(b.frame) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		m, err := b.exchange.receive()
		if err != nil {
			b.err = errors.Mark(errors.Wrap(err, "answer from peer"), call.ErrTruncated)
			return 0, b.err
		}
		b.take(m)
	}
	n := copy(p, b.frame)
	b.frame = b.frame[n:]
	if len(b.frame) == 0 && errors.Is(b.err, io.EOF) {
		return n, io.EOF
	}
	return n, nil
}

// Close ends the attempt. The target's daemon cancels it if it still runs.
func (b *answerBody) Close() error {
	b.exchange.close()
	return nil
}

func (b *answerBody) take(m *peerpb.InvokeResponse) {
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
		b.err = errors.Mark(errors.Newf("answer from peer has %d of %d bytes", b.size, m.GetBodyBytes()), call.ErrTruncated)
	}
}

func (b *answerBody) report() (fleet.Load, bool) {
	if b.load == nil {
		return fleet.Load{}, false
	}
	return unpackLoad(b.load), true
}
