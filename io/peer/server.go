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
)

// headerTimeout bounds reading the head of a request from another daemon.
const headerTimeout = 5 * time.Second

// Server answers other daemons. Invoke, Settle and Load are required; messages
// for the other fields are answered as unimplemented while they are nil.
type Server struct {
	// Invoke runs one attempt. An error is an *outcome.Error.
	Invoke func(context.Context, attempt.Ref, *call.Request) (*call.Answer, error)
	// Settle returns a binding answer about an attempt.
	Settle func(attempt.Ref) attempt.Settlement
	// Load returns the current load of the target.
	Load func() fleet.Load

	// AllowProbe reports whether a probe is within the budget; nil allows all.
	AllowProbe func() bool

	ExchangeMembers func(context.Context, *peerpb.ExchangeMembersRequest) (*peerpb.ExchangeMembersResponse, error)
	FetchConfig     func(context.Context, *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error)
	ReportCrash     func(context.Context, *peerpb.ReportCrashRequest) (*peerpb.ReportCrashResponse, error)

	http *http.Server
}

// Serve accepts connections from l until Shutdown, and returns
// http.ErrServerClosed then.
func (s *Server) Serve(l net.Listener) error {
	return s.http.Serve(l)
}

// Shutdown stops accepting and waits for open attempts until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// Close closes all connections.
func (s *Server) Close() error {
	return s.http.Close()
}

// Init prepares the server; it is called once before Serve.
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

// handler implements the generated service.
type handler struct{ s *Server }

// Call carries one attempt whose request is a single message.
func (h handler) Call(ctx context.Context, r *connect.Request[peerpb.InvokeRequest], stream *connect.ServerStream[peerpb.InvokeResponse]) error {
	if !r.Msg.GetEnd() {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("the message is not the last of the request"))
	}
	x := &incoming{reply: stream.Send}
	return h.invoke(ctx, x, r.Msg)
}

// Invoke carries one attempt.
func (h handler) Invoke(ctx context.Context, stream *connect.BidiStream[peerpb.InvokeRequest, peerpb.InvokeResponse]) error {
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	x := &incoming{reply: stream.Send, next: stream.Receive}
	return h.invoke(ctx, x, first)
}

func (h handler) invoke(ctx context.Context, x *incoming, first *peerpb.InvokeRequest) error {
	if first.GetHead().GetAttempt() == nil {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("the first message has no attempt"))
	}
	x.id = first.GetHead().GetAttempt()
	x.tag = tag(unpackID(x.id))
	defer x.end()
	r := unpackRequest(first.GetHead(), time.Now())
	r.Body = x.body(first, r.ContentLength)
	answer, err := h.s.Invoke(ctx, unpackRef(first.GetHead()), r)
	if err != nil {
		return x.refuse(err, h.s.Load())
	}
	return x.answer(answer)
}

// Settle returns a binding answer about an attempt.
func (h handler) Settle(_ context.Context, r *connect.Request[peerpb.SettleRequest]) (*connect.Response[peerpb.SettleResponse], error) {
	settlement := h.s.Settle(attempt.Ref{
		ID:       unpackID(r.Msg.GetAttempt()),
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
	return connect.NewResponse(&peerpb.ProbeResponse{Load: packLoad(h.s.Load())}), nil
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

// incoming is the receiving side of one attempt.
type incoming struct {
	reply func(*peerpb.InvokeResponse) error
	next  func() (*peerpb.InvokeRequest, error)
	id    *peerpb.AttemptID
	tag   uint64

	// mu guards sending, which is done by the reader of the request body and
	// by the handler. The reader may outlive the handler.
	mu       sync.Mutex
	answered bool
}

// body returns the body that starts with the first message.
func (x *incoming) body(first *peerpb.InvokeRequest, length int64) *call.Body {
	if first.GetEnd() {
		if len(first.GetBody()) == 0 {
			return nil
		}
		return call.Buffered(first.GetBody())
	}
	return call.NewBody(&requestBody{incoming: x, frame: first.GetBody()}, length)
}

// refuse sends the failure of the attempt.
func (x *incoming) refuse(err error, load fleet.Load) error {
	var e *outcome.Error
	if !errors.As(err, &e) {
		e = outcome.New(outcome.Unknown, outcome.TargetFailed, err.Error())
	}
	return x.send(&peerpb.InvokeResponse{
		Head: packError(unpackID(x.id), e, time.Now()),
		End:  true,
		Load: packLoad(load),
	})
}

// answer sends the target's answer. The first frame goes with the head.
func (x *incoming) answer(answer *call.Answer) (err error) {
	defer func() { err = errors.CombineErrors(err, answer.Body.Close()) }()
	p, _ := frames.Get().(*[]byte)
	defer frames.Put(p)
	m := &peerpb.InvokeResponse{Head: &peerpb.AnswerHead{
		Attempt:       x.id,
		Outcome:       string(answer.Outcome),
		Status:        int32(answer.Status),
		Headers:       packHeader(answer.Header),
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
func (x *incoming) finish(m *peerpb.InvokeResponse, answer *call.Answer, size int64) {
	m.End, m.BodyBytes = true, size
	if load, ok := answer.Load(); ok {
		m.Load = packLoad(load)
	}
}

func (x *incoming) send(m *peerpb.InvokeResponse) error {
	m.AttemptTag = x.tag
	x.mu.Lock()
	defer x.mu.Unlock()
	x.answered = x.answered || m.GetHead() != nil
	return x.reply(m)
}

// end prevents sending after the handler has returned.
func (x *incoming) end() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.answered = true
}

// proceed asks for the rest of the request body, unless the answer has begun.
func (x *incoming) proceed() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.answered {
		return call.ErrCutOff
	}
	return x.reply(&peerpb.InvokeResponse{AttemptTag: x.tag, Proceed: true})
}

// requestBody reads the frames of a request body.
type requestBody struct {
	incoming  *incoming
	frame     []byte
	proceeded bool
	err       error
}

// Read asks to proceed before it reads beyond the first frame.
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

// next receives the next frame. It returns io.EOF when it was the last.
func (b *requestBody) next() error {
	if !b.proceeded {
		if err := b.incoming.proceed(); err != nil {
			return err
		}
		b.proceeded = true
	}
	m, err := b.incoming.next()
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF // the last message did not arrive
	}
	if err != nil {
		return err
	}
	if m.GetAttemptTag() != b.incoming.tag {
		return errors.New("message of another attempt")
	}
	b.frame = m.GetBody()
	if m.GetEnd() {
		return io.EOF
	}
	return nil
}
