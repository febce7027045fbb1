// Package probe bounds the cost of measuring targets.
//
// A Budget at the sender bounds probes and bytes per second, whatever the size
// of the fleet. A Gate at the target's daemon bounds the probes that it answers
// to a share of the requests that the target serves, whatever the number of
// senders. Load hints on responses cost nothing and are not counted.
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
	// DefaultShare is the number of probes that a target answers per request.
	DefaultShare policy.Share = 0.01
	// FloorPerSecond is the number of probes that an idle target answers, so
	// that a target without requests can still be measured.
	FloorPerSecond = 1
	// burst bounds saved probes.
	burst = 10
)

// bucket is a token bucket. Spending is bounded by rate*elapsed + size.
type bucket struct {
	rate   float64 // tokens per second
	size   float64
	tokens float64
	at     time.Time
}

func newBucket(rate, size float64, now time.Time) bucket {
	return bucket{rate: rate, size: size, tokens: size, at: now}
}

func (b *bucket) refill(now time.Time) {
	if passed := now.Sub(b.at).Seconds(); passed > 0 {
		b.tokens = min(b.size, b.tokens+passed*b.rate)
		b.at = now
	}
}

// Budget bounds the probes that one daemon sends. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	probes bucket
	bytes  bucket
	// start, sent and sentBytes are what the invariant checks.
	start     time.Time
	sent      float64
	sentBytes float64
}

// New returns a budget of probes and bytes per second, counted from now.
func New(probesPerSecond float64, bytesPerSecond fleet.Bytes, now time.Time) *Budget {
	b := &Budget{
		probes: newBucket(probesPerSecond, max(1, math.Ceil(probesPerSecond/10)), now),
		bytes:  newBucket(float64(bytesPerSecond), float64(bytesPerSecond), now),
		start:  now,
	}
	// The budget starts empty, so that restarted daemons send no burst of probes.
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
	elapsed := b.probes.at.Sub(b.start).Seconds()
	invariant.Check(b.sent <= b.probes.rate*elapsed+1e-6, "probe_budget",
		"%g probes in %g s", b.sent, elapsed)
	invariant.Check(b.sentBytes <= b.bytes.rate*elapsed+b.bytes.size+1e-6, "probe_bytes",
		"%g bytes in %g s", b.sentBytes, elapsed)
	return true
}

// Limiter bounds the probes that the daemon beside a target answers. It is safe for
// concurrent use.
type Limiter struct {
	mu       sync.Mutex
	share    float64
	earned   float64
	idle     bucket
	start    time.Time
	requests float64
	answered float64
}

// NewLimiter returns a gate that answers the given share of probes per request,
// counted from now. A share of 0 means DefaultShare.
func NewLimiter(share policy.Share, now time.Time) *Limiter {
	if share == 0 {
		share = DefaultShare
	}
	return &Limiter{share: float64(share), idle: newBucket(FloorPerSecond, 1, now), start: now}
}

// RecordRequest records a request of the target.
func (g *Limiter) RecordRequest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests++
	g.earned = min(burst, g.earned+g.share)
}

// Allow reports whether a probe may be answered, and counts it.
func (g *Limiter) Allow(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.idle.refill(now)
	switch {
	case g.earned >= 1:
		g.earned--
	case g.idle.tokens >= 1:
		g.idle.tokens--
	default:
		return false
	}
	g.answered++
	elapsed := g.idle.at.Sub(g.start).Seconds()
	invariant.Check(g.answered <= g.share*g.requests+FloorPerSecond*elapsed+1+1e-6, "probe_gate",
		"%g probes for %g requests in %g s", g.answered, g.requests, elapsed)
	return true
}
