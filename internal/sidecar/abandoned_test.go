package sidecar

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAbandonedRequests guards against clients that leave early and so make a target seem to
// fail, which then gets a single request at a time, or none.
func TestAbandonedRequests(t *testing.T) {
	for name, daemons := range map[string]int{"own target": 1, "target of another daemon": 2} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := startPath(t, daemons, 5*time.Second, func(w http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
			})
			slots := p.beside.limit.Value()
			is.True(slots > 1)
			for range 20 {
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
				r, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url, nil)
				is.NoErr(err)
				r.Host = "x"
				r.Header.Set("Id", "42")
				if resp, err := http.DefaultClient.Do(r); err == nil {
					resp.Body.Close()
				}
				cancel()
			}
			is.True(p.becomes(0, time.Now().Add(time.Second)))
			is.Equal(p.beside.limit.Value(), slots)
			is.True(!p.beside.limit.Failing())
		})
	}
}
