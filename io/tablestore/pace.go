package tablestore

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"pollenscale/core/store"
)

// slowest is the share of the budget that is left when the platform keeps
// failing. At 2 requests/s and 3,400 daemons it lets 340 requests/s through,
// which a recovering platform can serve.
const slowest = 1.0 / 20

// pace is a budget that halves with each failure and doubles with each success,
// so that a fleet does not keep a failing platform down.
type pace struct {
	limiter *rate.Limiter

	mu  sync.Mutex
	top rate.Limit
}

func newPace() *pace {
	return &pace{limiter: rate.NewLimiter(0, 0)}
}

func (p *pace) set(top rate.Limit, burst int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.top = top
	p.limiter.SetLimit(top)
	p.limiter.SetBurst(burst)
}

// report adjusts the pace to the result of a call. A call that its caller gave
// up tells nothing of the platform.
func (p *pace) report(ctx context.Context, err error) {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.limiter.Limit()
	if err == nil || errors.Is(err, store.ErrNotFound) {
		p.limiter.SetLimit(min(p.top, 2*limit))
		return
	}
	p.limiter.SetLimit(max(p.top*slowest, limit/2))
}
