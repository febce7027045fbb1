// Package wait pauses until a time has come or a context ends.
package wait

import (
	"context"
	"time"
)

// For waits for d and reports true, or reports false when ctx ends first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Every calls f after each interval until ctx ends. It always returns nil, so
// that it can be the last call of a part that ends with its context.
func Every(ctx context.Context, interval time.Duration, f func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			f()
		}
	}
}
