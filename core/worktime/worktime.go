// Package worktime learns how long the requests of each route take at a target,
// without the time for which they wait.
//
// Requests of one service differ: a booking takes five times as long as a
// look-up at the same target. Whether a request can still answer in time depends
// on its own kind.
package worktime

import (
	"sync"
	"time"
)

const (
	// weight is the weight of one request in the smoothed time.
	weight = 1.0 / 16
	// maxRoutes bounds the routes that are remembered.
	maxRoutes = 4096
)

// Estimator holds the smoothed times. The zero value is ready for use.
type Estimator struct {
	mu   sync.Mutex
	mean map[string]time.Duration
}

// Observe records how long a request of a route took.
func (t *Estimator) Observe(route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.mean[route]
	switch {
	case known:
		t.mean[route] = old + time.Duration(float64(took-old)*weight)
	case len(t.mean) >= maxRoutes || t.mean == nil:
		t.mean = map[string]time.Duration{route: took}
	default:
		t.mean[route] = took
	}
}

// Estimate returns how long a request of a route is expected to take, 0 if that is
// not known.
func (t *Estimator) Estimate(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mean[route]
}
