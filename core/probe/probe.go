// Package probe bounds the cost of probing targets for their load.
//
// A Budget at the sender bounds probes and bytes per second, whatever the size
// of the fleet. A Limiter at the target's daemon bounds the probes that it answers
// to a share of the requests that the target serves, whatever the number of
// senders. Load reports on answers cost nothing extra and are not counted.
package probe

import (
	"math"
	"sync"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/invariant"
	"pollenscale/core/policy"
)

const (
	// DefaultShare is the number of probes answered per request that the target
	// serves.
	DefaultShare policy.Share = 0.01
	// FloorPerSecond is the rate of probes answered for an idle target, so that a
	// target without requests can still be probed.
	FloorPerSecond = 1
	// burst bounds the answers to probes that a Limiter saves up.
	burst = 10
)

// tokenBucket is a token bucket. In any period, at most rate*elapsed + capacity
// tokens are spent.
type tokenBucket struct {
	rate       float64 // tokens per second
	capacity   float64
	tokens     float64
	refilledAt time.Time
}

func newTokenBucket(rate, capacity float64, now time.Time) tokenBucket {
	return tokenBucket{rate: rate, capacity: capacity, tokens: capacity, refilledAt: now}
}

func (b *tokenBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 {
		b.tokens = min(b.capacity, b.tokens+elapsed*b.rate)
		b.refilledAt = now
	}
}

// Budget bounds the probes that one daemon sends. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	probes tokenBucket
	bytes  tokenBucket
	// The invariants check sent and sentBytes, both counted since start.
	start     time.Time
	sent      float64
	sentBytes float64
}

// New returns a budget of the given probes and bytes per second, starting at now.
func New(probesPerSecond float64, bytesPerSecond fleet.Bytes, now time.Time) *Budget {
	b := &Budget{
		probes: newTokenBucket(probesPerSecond, max(1, math.Ceil(probesPerSecond/10)), now),
		bytes:  newTokenBucket(float64(bytesPerSecond), float64(bytesPerSecond), now),
		start:  now,
	}
	// The bucket of probes starts empty, so that restarted daemons send no burst.
	b.probes.tokens = 0
	return b
}

// Allow reports whether a probe of the given size may be sent, and counts it.
func (b *Budget) Allow(now time.Time, size fleet.Bytes) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probes.refill(now)
	b.bytes.refill(now)
	if b.probes.tokens < 1 || b.bytes.tokens < float64(size) {
		return false
	}
	b.probes.tokens--
	b.bytes.tokens -= float64(size)
	b.sent++
	b.sentBytes += float64(size)
	elapsed := b.probes.refilledAt.Sub(b.start).Seconds()
	invariant.Check(b.sent <= b.probes.rate*elapsed+1e-6, "probe_budget",
		"%g probes in %g s", b.sent, elapsed)
	invariant.Check(b.sentBytes <= b.bytes.rate*elapsed+b.bytes.capacity+1e-6, "probe_bytes",
		"%g bytes in %g s", b.sentBytes, elapsed)
	return true
}

// Limiter bounds the rate of probes that a target's daemon answers. It is safe
// for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	share    float64
	tokens   float64
	floor    tokenBucket
	start    time.Time
	requests float64
	answered float64
}

// NewLimiter returns a limiter that answers share probes per request, starting at
// now. A share of 0 means DefaultShare.
func NewLimiter(share policy.Share, now time.Time) *Limiter {
	if share == 0 {
		share = DefaultShare
	}
	return &Limiter{share: float64(share), floor: newTokenBucket(FloorPerSecond, 1, now), start: now}
}

// RecordRequest records a request that the target serves.
func (l *Limiter) RecordRequest() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests++
	l.tokens = min(burst, l.tokens+l.share)
}

// Allow reports whether a probe may be answered, and counts it.
func (l *Limiter) Allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.floor.refill(now)
	switch {
	case l.tokens >= 1:
		l.tokens--
	case l.floor.tokens >= 1:
		l.floor.tokens--
	default:
		return false
	}
	l.answered++
	elapsed := l.floor.refilledAt.Sub(l.start).Seconds()
	invariant.Check(l.answered <= l.share*l.requests+FloorPerSecond*elapsed+1+1e-6, "probe_gate",
		"%g probes for %g requests in %g s", l.answered, l.requests, elapsed)
	return true
}
