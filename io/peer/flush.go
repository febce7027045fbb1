package peer

import (
	"context"
	"net/http"
)

// gate is a response writer that can be told not to flush. The last message of
// an answer is sent with what follows it when the handler returns, in one write
// to the connection instead of three.
type gate struct {
	http.ResponseWriter
	hold bool
}

type gateKey struct{}

// Flush sends what was written, unless the gate holds it back.
func (g *gate) Flush() {
	if g.hold {
		return
	}
	if f, ok := g.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// Unwrap returns the underlying writer.
func (g *gate) Unwrap() http.ResponseWriter {
	return g.ResponseWriter
}

// gated gives each request a gate, which holdFlush finds.
func gated(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g := &gate{ResponseWriter: w}
		next.ServeHTTP(g, r.WithContext(context.WithValue(r.Context(), gateKey{}, g)))
	})
}

// holdFlush holds back what the handler with the context writes until it
// returns.
func holdFlush(ctx context.Context) {
	if g, ok := ctx.Value(gateKey{}).(*gate); ok {
		g.hold = true
	}
}
