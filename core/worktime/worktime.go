// Package worktime estimates the service time of the requests of each route at a
// target, excluding the time that they spend in queues.
//
// Service times differ between the routes of one service: a booking takes five
// times as long as a lookup at the same target. Whether a request can still be
// answered before its deadline therefore depends on its route.
package worktime

import (
	"sync"
	"time"
)

const (
	// smoothingFactor is the weight of a new observation in the moving average.
	smoothingFactor = 1.0 / 16
	// maxRoutes bounds the number of routes with an estimate. When it is reached, a
	// new route discards all estimates.
	maxRoutes = 4096
)

// Estimator keeps an exponentially weighted moving average of the service time of
// each route. The zero value is ready to use. It is safe for concurrent use.
type Estimator struct {
	mu   sync.Mutex
	mean map[string]time.Duration
}

// Observe records the service time of a request.
func (e *Estimator) Observe(route string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old, known := e.mean[route]
	switch {
	case known:
		e.mean[route] = old + time.Duration(float64(took-old)*smoothingFactor)
	case len(e.mean) >= maxRoutes || e.mean == nil:
		e.mean = map[string]time.Duration{route: took}
	default:
		e.mean[route] = took
	}
}

// Estimate returns the expected service time of a request of the route, or 0 if it
// is unknown.
func (e *Estimator) Estimate(route string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mean[route]
}
