package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"pollenscale/core/attempt"
	"pollenscale/core/budget"
	"pollenscale/core/call"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/io/client"
	"pollenscale/io/peer/peerpb"
	"pollenscale/io/peer/peerpb/peerpbconnect"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

// headerTimeout limits reading the header of a request from another daemon.
const headerTimeout = 5 * time.Second

// Server serves other daemons. Invoke, Settle and Load are required. RPCs whose
// field is nil fail with CodeUnimplemented. Call Init before Serve.
type Server struct {
	// Invoke runs one attempt. An error is an *outcome.Error.
	Invoke func(context.Context, attempt.Ref, *call.Request) (*call.Answer, error)
	// Settle returns the final outcome of an attempt.
	Settle func(attempt.Ref) attempt.Settlement
	// Load returns the current load of the target.
	Load func() fleet.Load

	// Guard charges connections to the account of the process; nil charges nothing.
	Guard *client.Guard

	// AllowProbe reports whether the probe budget allows another probe; nil allows
	// all.
	AllowProbe func() bool

	ExchangeMembers func(context.Context, *peerpb.ExchangeMembersRequest) (*peerpb.ExchangeMembersResponse, error)
	FetchConfig     func(context.Context, *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error)
	ReportCrash     func(context.Context, *peerpb.ReportCrashRequest) (*peerpb.ReportCrashResponse, error)

	http *http.Server
}

// Serve accepts connections from l until Shutdown and then returns
// http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	if s.Guard != nil {
		l = s.Guard.Listen(s.http, l, budget.Peers)
	}
	return s.http.Serve(l)
}

// Shutdown stops accepting connections and waits for open attempts until ctx
// ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// Close closes all connections.
func (s *Server) Close() error {
	return s.http.Close()
}

// Init builds the HTTP server. It is called once, before Serve.
func (s *Server) Init() {
	mux := http.NewServeMux()
	mux.Handle(peerpbconnect.NewPeerHandler(handler{s},
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompression("gzip", nil, nil)))
	s.http = &http.Server{
		Handler:           mux,
		Protocols:         protocols(),
		HTTP2:             serverConfig(),
		ReadHeaderTimeout: headerTimeout,
	}
}

// handler implements the generated service interface.
type handler struct{ s *Server }

// Call carries one attempt whose request is a single message.
func (h handler) Call(ctx context.Context, r *connect.Request[peerpb.InvokeRequest], stream *connect.ServerStream[peerpb.InvokeResponse]) error {
	if !r.Msg.GetEnd() {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("the message is not the last of the request"))
	}
	x := &inboundStream{reply: stream.Send}
	return h.invoke(ctx, x, r.Msg)
}

// Invoke carries one attempt whose request has several messages.
func (h handler) Invoke(ctx context.Context, stream *connect.BidiStream[peerpb.InvokeRequest, peerpb.InvokeResponse]) error {
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	x := &inboundStream{reply: stream.Send, recv: stream.Receive}
	return h.invoke(ctx, x, first)
}

func (h handler) invoke(ctx context.Context, x *inboundStream, first *peerpb.InvokeRequest) error {
	if first.GetHead().GetAttempt() == nil {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("the first message has no attempt"))
	}
	x.id = first.GetHead().GetAttempt()
	x.attemptTag = hashAttemptID(decodeID(x.id))
	defer x.end()
	r := decodeRequest(first.GetHead(), time.Now())
	r.Body = x.body(first, r.ContentLength)
	answer, err := h.s.Invoke(ctx, decodeRef(first.GetHead()), r)
	if err != nil {
		return x.sendError(err, h.s.Load())
	}
	return x.sendAnswer(answer)
}

// Settle returns the final outcome of an attempt.
func (h handler) Settle(_ context.Context, r *connect.Request[peerpb.SettleRequest]) (*connect.Response[peerpb.SettleResponse], error) {
	settlement := h.s.Settle(attempt.Ref{
		ID:       decodeID(r.Msg.GetAttempt()),
		Target:   fleet.Incarnation(r.Msg.GetTargetIncarnation()),
		OpenFrom: attempt.Sequence(r.Msg.GetOpenFrom()),
	})
	return connect.NewResponse(&peerpb.SettleResponse{Outcome: string(settlement.Outcome), Running: settlement.Running}), nil
}

// Probe returns the load of the target.
func (h handler) Probe(context.Context, *connect.Request[peerpb.ProbeRequest]) (*connect.Response[peerpb.ProbeResponse], error) {
	if h.s.AllowProbe != nil && !h.s.AllowProbe() {
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("the probe budget of the target is used up"))
	}
	return connect.NewResponse(&peerpb.ProbeResponse{Load: encodeLoad(h.s.Load())}), nil
}

// ExchangeMembers reconciles member tables.
func (h handler) ExchangeMembers(ctx context.Context, r *connect.Request[peerpb.ExchangeMembersRequest]) (*connect.Response[peerpb.ExchangeMembersResponse], error) {
	return unary(ctx, h.s.ExchangeMembers, r)
}

// FetchConfig returns configuration changes.
func (h handler) FetchConfig(ctx context.Context, r *connect.Request[peerpb.FetchConfigRequest]) (*connect.Response[peerpb.FetchConfigResponse], error) {
	return unary(ctx, h.s.FetchConfig, r)
}

// ReportCrash records a crash of another target.
func (h handler) ReportCrash(ctx context.Context, r *connect.Request[peerpb.ReportCrashRequest]) (*connect.Response[peerpb.ReportCrashResponse], error) {
	return unary(ctx, h.s.ReportCrash, r)
}

func unary[Q, A any](ctx context.Context, f func(context.Context, *Q) (*A, error), r *connect.Request[Q]) (*connect.Response[A], error) {
	if f == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New("not supported by this daemon"))
	}
	a, err := f(ctx, r.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(a), nil
}

// inboundStream is the server side of one attempt.
type inboundStream struct {
	reply      func(*peerpb.InvokeResponse) error
	recv       func() (*peerpb.InvokeRequest, error)
	id         *peerpb.AttemptID
	attemptTag uint64

	// mu serialises the messages sent by the handler and by the reader of the
	// request body, which may outlive the handler. It also guards ended.
	mu    sync.Mutex
	ended bool // the last message was sent
}

// body returns the request body that starts in the first message, or nil if there
// is none.
func (x *inboundStream) body(first *peerpb.InvokeRequest, length int64) *call.Body {
	if first.GetEnd() {
		if len(first.GetBody()) == 0 {
			return nil
		}
		return call.Buffered(first.GetBody())
	}
	return call.NewBody(&requestBody{stream: x, frame: first.GetBody()}, length)
}

// sendError sends the error of the attempt.
func (x *inboundStream) sendError(err error, load fleet.Load) error {
	var e *outcome.Error
	if !errors.As(err, &e) {
		e = outcome.New(outcome.Unknown, outcome.TargetFailed, err.Error())
	}
	return x.send(&peerpb.InvokeResponse{
		Head: encodeError(decodeID(x.id), e, time.Now()),
		End:  true,
		Load: encodeLoad(load),
	})
}

// sendAnswer sends the target's response. The first message carries the head and
// the first frame.
func (x *inboundStream) sendAnswer(answer *call.Answer) (err error) {
	defer func() { err = errors.CombineErrors(err, answer.Body.Close()) }()
	p, _ := frameBuffers.Get().(*[]byte)
	defer frameBuffers.Put(p)
	m := &peerpb.InvokeResponse{Head: &peerpb.AnswerHead{
		Attempt:       x.id,
		Outcome:       string(answer.Outcome),
		Status:        int32(answer.Status),
		Headers:       encodeHeader(answer.Header),
		ContentLength: answer.ContentLength,
	}}
	var size int64
	for {
		n, end, err := answer.Next(*p)
		size += int64(n)
		if err != nil {
			return connect.NewError(connect.CodeDataLoss, err)
		}
		m.Body = (*p)[:n]
		if end {
			x.finish(m, answer, size)
		}
		if err := x.send(m); err != nil || end {
			return err
		}
		m = &peerpb.InvokeResponse{}
	}
}

// finish completes the last message.
func (x *inboundStream) finish(m *peerpb.InvokeResponse, answer *call.Answer, size int64) {
	m.End, m.BodyBytes = true, size
	if load, ok := answer.Load(); ok {
		m.Load = encodeLoad(load)
	}
}

func (x *inboundStream) send(m *peerpb.InvokeResponse) error {
	m.AttemptTag = x.attemptTag
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ended = x.ended || m.GetEnd()
	return x.reply(m)
}

// end prevents the reader from asking to proceed after the handler has returned.
func (x *inboundStream) end() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ended = true
}

// proceed asks for the rest of the request body, unless the response has ended. A target
// may respond before it reads on.
func (x *inboundStream) proceed() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ended {
		return call.ErrTruncated
	}
	return x.reply(&peerpb.InvokeResponse{AttemptTag: x.attemptTag, Proceed: true})
}

// requestBody reads the frames of a request body.
type requestBody struct {
	stream    *inboundStream
	frame     []byte
	proceeded bool
	err       error
}

// Read reads the body. It asks to proceed before it reads beyond the first frame.
func (b *requestBody) Read(p []byte) (int, error) {
	for len(b.frame) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		b.err = b.next()
	}
	n := copy(p, b.frame)
	b.frame = b.frame[n:]
	return n, nil
}

// next receives the next frame. It returns io.EOF if that was the last one.
func (b *requestBody) next() error {
	if !b.proceeded {
		if err := b.stream.proceed(); err != nil {
			return err
		}
		b.proceeded = true
	}
	m, err := b.stream.recv()
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF // the last message is missing
	}
	if err != nil {
		return err
	}
	if m.GetAttemptTag() != b.stream.attemptTag {
		return errors.New("message of another attempt")
	}
	b.frame = m.GetBody()
	if m.GetEnd() {
		return io.EOF
	}
	return nil
}
