// Package otlp sends traces to a collector by OTLP over HTTP. It is off by
// default, and a span then costs next to nothing.
//
// A request has one span for each hop of design section 7: caller side, choice,
// daemon to daemon, queue and target.
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

// Limits of the exporter. Spans beyond the queue are dropped, so that a slow
// collector takes neither memory nor time of requests: 2,048 spans of about
// 1 KB are 2 MB of the daemon's 64 MB.
const (
	maxQueue      = 2048
	maxBatch      = 512
	batchInterval = 5 * time.Second
	exportTimeout = 5 * time.Second
)

// Hop names the part of a request's way that a span covers.
type Hop string

// The hops of a request.
const (
	Caller Hop = "caller" // from the caller's request to its answer
	Choice Hop = "choice" // choice of a target
	Peer   Hop = "peer"   // daemon to daemon
	Queue  Hop = "queue"  // wait at the target's daemon
	Target Hop = "target" // run at the target
)

// Settings of the exporter. The zero value sends nothing.
type Settings struct {
	// Endpoint is the URL of the collector, such as
	// http://10.0.0.9:4318/v1/traces; empty turns traces off.
	Endpoint string
	// SampleShare is the share of requests without a caller's decision that are
	// traced.
	SampleShare float64
	Daemon      fleet.DaemonID
	Place       fleet.Place
	Version     string
}

// Setup puts the exporter in force for the whole process. The returned function
// sends what is left and stops it.
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
		sdk.WithBatcher(exporter, sdk.WithMaxQueueSize(maxQueue), sdk.WithMaxExportBatchSize(maxBatch), sdk.WithBatchTimeout(batchInterval)),
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

// Span is the span of one hop. The zero value records nothing.
type Span struct{ span trace.Span }

// Start opens the span of a hop. End must be called.
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

// Set adds attributes, such as the rank or the chosen daemon.
func (s Span) Set(pairs ...attribute.KeyValue) {
	if s.span != nil && s.span.IsRecording() {
		s.span.SetAttributes(pairs...)
	}
}

// End closes the span with the outcome of the hop.
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

// Extract returns the context with the trace of the caller's traceparent header.
func Extract(ctx context.Context, header http.Header) context.Context {
	return propagation.TraceContext{}.Extract(ctx, propagation.HeaderCarrier(header))
}

// Inject sets the traceparent header from the context.
func Inject(ctx context.Context, header http.Header) {
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(header))
}
