package sidecar

import (
	"sync"

	"pollenscale/core/exchange"
)

// targetReport holds what the target has stated about itself in its latest responses.
type targetReport struct {
	mu        sync.Mutex
	rateLimit *exchange.Rate
	leaving   bool
}

// observeTarget evaluates the metadata of a response of the target, to a request or to
// a probe.
func (s *Sidecar) observeTarget(meta exchange.Response) {
	s.observeLoad(meta.Load, s.now())
	r := &s.targetReport
	r.mu.Lock()
	defer r.mu.Unlock()
	if !equalRates(r.rateLimit, meta.RateLimit) {
		r.rateLimit = meta.RateLimit
		if meta.RateLimit != nil {
			s.log.Info("target: rate limit stated.", "target", s.localTarget.View().ID, "limit", *meta.RateLimit)
		} else {
			s.log.Info("target: rate limit lifted.", "target", s.localTarget.View().ID)
		}
	}
	if meta.Leaving && !r.leaving {
		s.log.Info("target: states that it leaves.", "target", s.localTarget.View().ID)
	}
	r.leaving = meta.Leaving
}

func equalRates(a, b *exchange.Rate) bool {
	return a == b || a != nil && b != nil && *a == *b
}

// statedRateLimit returns the rate limit of the target in requests per second, -1 if it
// states none.
func (s *Sidecar) statedRateLimit() float64 {
	r := &s.targetReport
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rateLimit == nil {
		return -1
	}
	return float64(*r.rateLimit)
}
