// Package otlp exports traces to a collector with OTLP over HTTP. It is off by
// default; spans then have negligible cost.
//
// A request has one span for each hop listed in section 7 of the design page:
// caller side, choice of a target, daemon to daemon, queue and target.
package otlp

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
)

// Exporter limits. Spans that do not fit into the queue are dropped, so that a slow
// collector neither delays requests nor exhausts memory: 2,048 spans of about 1 KB
// take 2 MB of the daemon's 64 MB.
const (
	maxQueuedSpans = 2048
	maxBatchSpans  = 512
	batchInterval  = 5 * time.Second
	exportTimeout  = 5 * time.Second
)

// Hop is the part of a request's path that a span covers.
type Hop string

// The hops of a request.
const (
	Caller Hop = "caller" // from the caller's request to the response
	Choice Hop = "choice" // choice of a target
	Peer   Hop = "peer"   // daemon to daemon
	Queue  Hop = "queue"  // queueing at the target's daemon
	Target Hop = "target" // processing by the target
)

// Settings configures the exporter. The zero value disables it.
type Settings struct {
	// Endpoint is the URL of the collector, such as
	// http://10.0.0.9:4318/v1/traces; empty turns tracing off.
	Endpoint string
	// SampleShare is the fraction of requests to trace if the caller has made no
	// sampling decision.
	SampleShare float64
	Daemon      fleet.DaemonID
	Place       fleet.Place
	Version     string
}

// Setup installs the exporter for the whole process. The returned function sends
// the queued spans and stops the exporter.
func Setup(ctx context.Context, s Settings) (stop func(context.Context) error, err error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if s.Endpoint == "" {
		return func(context.Context) error { return nil }, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.Endpoint), otlptracehttp.WithTimeout(exportTimeout))
	if err != nil {
		return nil, errors.Wrap(err, "set up the trace exporter")
	}
	provider := sdk.NewTracerProvider(
		sdk.WithBatcher(exporter, sdk.WithMaxQueueSize(maxQueuedSpans), sdk.WithMaxExportBatchSize(maxBatchSpans), sdk.WithBatchTimeout(batchInterval)),
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(s.SampleShare))),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "pollenscale"),
			attribute.String("service.version", s.Version),
			attribute.String("service.instance.id", string(s.Daemon)),
			attribute.String("cloud.region", string(s.Place.Region)),
			attribute.String("cloud.availability_zone", string(s.Place.AvailabilityZone)),
		)),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

// Span is the trace span of one hop. The zero value records nothing.
type Span struct{ span trace.Span }

// Start starts the span of a hop. The caller must call End.
func Start(ctx context.Context, hop Hop, service fleet.Service) (context.Context, Span) {
	kind := trace.SpanKindInternal
	switch hop {
	case Caller:
		kind = trace.SpanKindServer
	case Peer, Target:
		kind = trace.SpanKindClient
	case Choice, Queue:
	}
	ctx, span := otel.Tracer("pollenscale").Start(ctx, string(hop), trace.WithSpanKind(kind),
		trace.WithAttributes(attribute.String("pollenscale.service", string(service))))
	return ctx, Span{span}
}

// Set adds attributes, such as the rank or the selected daemon.
func (s Span) Set(pairs ...attribute.KeyValue) {
	if s.span != nil && s.span.IsRecording() {
		s.span.SetAttributes(pairs...)
	}
}

// End ends the span with the outcome of the hop.
func (s Span) End(err error) {
	if s.span == nil {
		return
	}
	if s.span.IsRecording() {
		s.span.SetAttributes(attribute.String("pollenscale.outcome", string(outcome.Of(err))))
		if err != nil {
			s.span.SetStatus(codes.Error, err.Error())
		}
	}
	s.span.End()
}

// Extract returns ctx with the trace context of the caller's traceparent header.
func Extract(ctx context.Context, header http.Header) context.Context {
	return propagation.TraceContext{}.Extract(ctx, propagation.HeaderCarrier(header))
}

// Inject sets the traceparent header from the trace context in ctx.
func Inject(ctx context.Context, header http.Header) {
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(header))
}
