package daemon

import (
	"context"
	"net/http"

	"pollenscale/core/attempt"
	"pollenscale/core/call"
	"pollenscale/core/dispatch"
	"pollenscale/core/fleet"
	"pollenscale/core/serve"
	"pollenscale/io/otlp"
)

// enableTracing wraps each hop of a request in a span. The traceparent header of the
// request propagates the trace context between hops. A span ends when the head of the
// answer arrives.
func (d *Daemon) enableTracing() {
	d.Caller.Do = traceDo(d.Caller.Do)
	d.Dispatch.Choose = traceChoose(d.Dispatch.Choose)
	d.Dispatch.Send = traceSend(d.Dispatch.Send)
	d.Serve.Acquire = traceAcquire(d.Serve.Acquire)
	d.Serve.Call = traceCall(d.Serve.Call)
}

type (
	doFunc      func(context.Context, *call.Request) (*call.Answer, error)
	chooseFunc  func(context.Context, dispatch.TargetRequest) (fleet.Target, error)
	sendFunc    func(context.Context, fleet.Target, attempt.Ref, *call.Request) (*call.Answer, error)
	acquireFunc func(context.Context, *call.Request) (func(serve.Completion), error)
)

func traceDo(next doFunc) doFunc {
	return func(ctx context.Context, r *call.Request) (*call.Answer, error) {
		ctx, span := otlp.Start(otlp.Extract(ctx, http.Header(r.Header)), otlp.Caller, r.Service)
		answer, err := next(ctx, r)
		span.End(err)
		return answer, err
	}
}

func traceChoose(next chooseFunc) chooseFunc {
	return func(ctx context.Context, c dispatch.TargetRequest) (fleet.Target, error) {
		_, span := otlp.Start(ctx, otlp.Choice, c.Request.Service)
		target, err := next(ctx, c)
		span.End(err)
		return target, err
	}
}

func traceSend(next sendFunc) sendFunc {
	return func(ctx context.Context, t fleet.Target, ref attempt.Ref, r *call.Request) (*call.Answer, error) {
		ctx, span := otlp.Start(ctx, otlp.Peer, r.Service)
		otlp.Inject(ctx, http.Header(r.Header))
		answer, err := next(ctx, t, ref, r)
		span.End(err)
		return answer, err
	}
}

func traceAcquire(next acquireFunc) acquireFunc {
	return func(ctx context.Context, r *call.Request) (func(serve.Completion), error) {
		_, span := otlp.Start(otlp.Extract(ctx, http.Header(r.Header)), otlp.Queue, r.Service)
		release, err := next(ctx, r)
		span.End(err)
		return release, err
	}
}

func traceCall(next doFunc) doFunc {
	return func(ctx context.Context, r *call.Request) (*call.Answer, error) {
		ctx, span := otlp.Start(otlp.Extract(ctx, http.Header(r.Header)), otlp.Target, r.Service)
		otlp.Inject(ctx, http.Header(r.Header))
		answer, err := next(ctx, r)
		span.End(err)
		return answer, err
	}
}
