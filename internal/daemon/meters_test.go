package daemon

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestMeters guards against requests that are not counted, and against callers that create
// time series with the names that they send.
func TestMeters(t *testing.T) {
	var cases []struct{ Service, Rank, Want string }
	loadJSON(t, "meters.json", &cases)
	f := startFleet(t, "desk", "agenda")
	for _, c := range cases {
		is := is.New(t)
		f.send(t.Context(), 0, http.MethodGet, "metered", "Pollenscale-Service", c.Service, "Pollenscale-Rank", c.Rank)
		w := httptest.NewRecorder()
		f.nodes[0].operatorServer.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		is.True(strings.Contains(w.Body.String(), c.Want+"\n"))
		seen := map[string]bool{}
		for line := range strings.Lines(w.Body.String()) {
			series, _, _ := strings.Cut(line, " ")
			if strings.HasPrefix(series, "#") {
				continue
			}
			is.True(!seen[series]) // scrapers reject duplicate series
			seen[series] = true
		}
	}
}
