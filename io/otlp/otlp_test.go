package otlp_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/io/otlp"

	"github.com/matryer/is"
	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"
)

// TestExport guards against hops without a span, spans outside the caller's trace,
// and exports while tracing is off.
func TestExport(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	names := map[string]string{}
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		var request collector.ExportTraceServiceRequest
		_ = proto.Unmarshal(data, &request)
		mu.Lock()
		defer mu.Unlock()
		for _, r := range request.ResourceSpans {
			for _, s := range r.ScopeSpans {
				for _, span := range s.Spans {
					names[span.Name] = span.Status.GetMessage()
				}
			}
		}
	}))
	defer server.Close()
	header := http.Header{"Traceparent": {"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}}
	hops := func() http.Header {
		ctx := otlp.Extract(context.Background(), header)
		var spans []otlp.Span
		for _, hop := range []otlp.Hop{otlp.Caller, otlp.Choice, otlp.Peer, otlp.Queue, otlp.Target} {
			var span otlp.Span
			ctx, span = otlp.Start(ctx, hop, fleet.Service("agenda"))
			spans = append(spans, span)
		}
		out := http.Header{}
		otlp.Inject(ctx, out)
		for _, s := range spans {
			s.End(outcome.New(outcome.NotRun, outcome.Overloaded, "queue full"))
		}
		return out
	}
	stop, err := otlp.Setup(t.Context(), otlp.Settings{})
	is.NoErr(err)
	hops()
	is.NoErr(stop(t.Context()))
	is.Equal(len(names), 0)

	stop, err = otlp.Setup(t.Context(), otlp.Settings{Endpoint: server.URL + "/v1/traces", Daemon: "d1"})
	is.NoErr(err)
	is.Equal(hops().Get("Traceparent")[3:35], "0af7651916cd43dd8448eb211c80319c")
	is.NoErr(stop(t.Context()))
	is.Equal(len(names), 5)
	is.Equal(names["queue"], "Overloaded (NotRun): queue full")
}
