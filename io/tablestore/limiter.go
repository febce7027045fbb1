package tablestore

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"pollenscale/core/store"
)

// minRateShare is the share of the budget that remains while the platform keeps
// failing. With 2 requests/s and 3,400 daemons it admits 340 requests/s, which a
// recovering platform can serve.
const minRateShare = 1.0 / 20

// adaptiveLimiter is a rate limiter whose rate halves after each failure and
// doubles after each success, so that the fleet does not overload a failing
// platform.
type adaptiveLimiter struct {
	limiter *rate.Limiter

	mu      sync.Mutex
	maxRate rate.Limit
}

func newAdaptiveLimiter() *adaptiveLimiter {
	return &adaptiveLimiter{limiter: rate.NewLimiter(0, 0)}
}

func (l *adaptiveLimiter) set(maxRate rate.Limit, burst int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxRate = maxRate
	l.limiter.SetLimit(maxRate)
	l.limiter.SetBurst(burst)
}

// observe adjusts the rate to the result of a request. A request cancelled by its
// caller says nothing about the platform and is ignored.
func (l *adaptiveLimiter) observe(ctx context.Context, err error) {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limiter.Limit()
	if err == nil || errors.Is(err, store.ErrNotFound) {
		l.limiter.SetLimit(min(l.maxRate, 2*limit))
		return
	}
	l.limiter.SetLimit(max(l.maxRate*minRateShare, limit/2))
}
