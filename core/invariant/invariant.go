// Package invariant checks conditions that must always hold at run time.
//
// A violation is counted in the metric pollenscale_invariant_violations_total
// and logged. In test binaries it panics instead of being logged, so that it
// cannot be missed.
package invariant

import (
	"fmt"
	"log/slog"
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"
)

// Name is the stable name of an invariant. It appears in metrics.
type Name string

var (
	mu      sync.Mutex
	handler func(Name, string)
)

// Check reports a violation of the invariant unless ok is true. The arguments
// are formatted only for a violation.
func Check(ok bool, name Name, format string, args ...any) {
	if ok {
		return
	}
	handleViolation(name, fmt.Sprintf(format, args...))
}

// SetHandler makes f handle violations instead of the default handling, until
// the returned function is called. It is meant for tests.
func SetHandler(f func(Name, string)) (restore func()) {
	mu.Lock()
	defer mu.Unlock()
	previous := handler
	handler = f
	return func() {
		mu.Lock()
		defer mu.Unlock()
		handler = previous
	}
}

func handleViolation(name Name, detail string) {
	metrics.GetOrCreateCounter(`pollenscale_invariant_violations_total{name="` + string(name) + `"}`).Inc()
	mu.Lock()
	f := handler
	mu.Unlock()
	if f != nil {
		f(name, detail)
		return
	}
	if testing.Testing() {
		panic("invariant " + string(name) + " violated: " + detail)
	}
	slog.Error("invariant: violated.", "name", string(name), "detail", detail)
}
