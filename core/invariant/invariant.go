// Package invariant checks statements that must always hold while the program
// runs.
//
// A violated invariant is counted in the metric
// pollenscale_invariant_violations_total and logged. In tests it is fatal:
// it panics in test binaries, so that it cannot be missed.
package invariant

import (
	"fmt"
	"log/slog"
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"
)

// Name is the stable name of an invariant, as it appears in metrics.
type Name string

var (
	mu       sync.Mutex
	observer func(Name, string)
)

// Check reports a violation of the invariant unless ok holds. The arguments
// are formatted only on a violation.
func Check(ok bool, name Name, format string, args ...any) {
	if ok {
		return
	}
	violated(name, fmt.Sprintf(format, args...))
}

// SetHandler sends violations to f instead of the default handling, until the
// returned function is called. Tests of the checks themselves use it.
func SetHandler(f func(Name, string)) (restore func()) {
	mu.Lock()
	defer mu.Unlock()
	previous := observer
	observer = f
	return func() {
		mu.Lock()
		defer mu.Unlock()
		observer = previous
	}
}

func violated(name Name, detail string) {
	metrics.GetOrCreateCounter(`pollenscale_invariant_violations_total{name="` + string(name) + `"}`).Inc()
	mu.Lock()
	f := observer
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
