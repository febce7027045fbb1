package daemon

import (
	"net/http"
	"testing"
)

// BenchmarkCall measures a call through two daemons in one process. It is meant for
// profiling.
func BenchmarkCall(b *testing.B) {
	f := startFleet(b, "desk", "agenda")
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if r := f.send(b.Context(), 0, "POST", "bench"); r.status != http.StatusOK {
				b.Errorf("%+v", r)
			}
		}
	})
}
