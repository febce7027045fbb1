// Package wait provides sleeps and periodic calls that end with a context.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns false if ctx is done first.
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

// Every calls f at each interval until ctx is done. It always returns nil, so
// that its result can be returned by a function that runs until its context ends.
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
