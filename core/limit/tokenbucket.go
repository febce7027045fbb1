package limit

import (
	"math"
	"sync"
	"time"

	"pollenscale/core/exchange"
	"pollenscale/internal/mutant"
)

const (
	// burstSeconds is the time for which unused requests accumulate.
	burstSeconds = 0.5
	// maxRateWait bounds the expected wait for a request at a rate near zero.
	maxRateWait = time.Minute
)

// enforceRate is a mechanism that tests can switch off.
var enforceRate = mutant.New("limit/stated-rate")

// TokenBucket limits the requests per second to a target to the rate that the target
// states. It allows every request while the target states no rate. It is safe for
// concurrent use.
type TokenBucket struct {
	mu       sync.Mutex
	limited  bool
	rate     float64 // requests per second
	tokens   float64 // at updated; negative if requests could not be held back
	updated  time.Time
	statedAt time.Time
}

// Set sets the rate that the target states in a response that was received at now.
func (b *TokenBucket) Set(rate exchange.Rate, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.limited {
		b.limited, b.tokens, b.updated = true, 0, now
	}
	b.refill(now)
	b.rate, b.statedAt = float64(rate), now
}

// Lift removes the limit after a response that states none, and reports whether it did.
// A response to a request that was sent before the limit was last stated may be older
// than that statement and is ignored.
func (b *TokenBucket) Lift(sent time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.limited || !sent.After(b.statedAt) {
		return false
	}
	b.limited = false
	return true
}

// Reset removes the limit, for a new incarnation of the target.
func (b *TokenBucket) Reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limited, b.statedAt = false, time.Time{}
}

// Value returns the rate and whether there is one.
func (b *TokenBucket) Value() (rate exchange.Rate, limited bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return exchange.Rate(b.rate), b.limited
}

// StatedBefore reports whether there is a limit that was last stated before a time.
func (b *TokenBucket) StatedBefore(at time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limited && b.statedAt.Before(at)
}

// Available returns the number of requests that may be sent now.
func (b *TokenBucket) Available(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.limited || enforceRate.Off() {
		return math.MaxInt
	}
	b.refill(now)
	return max(0, int(b.tokens))
}

// Take counts a request that is sent to the target.
func (b *TokenBucket) Take(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens--
}

// Return gives back a request that was counted but not sent.
func (b *TokenBucket) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens++
}

// Wait returns the time until the n-th of the next requests may be sent.
func (b *TokenBucket) Wait(n float64, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.limited {
		return 0
	}
	b.refill(now)
	missing := n - b.tokens
	switch {
	case missing <= 0:
		return 0
	case missing >= b.rate*maxRateWait.Seconds():
		return maxRateWait
	}
	return time.Duration(missing / b.rate * float64(time.Second))
}

// Concurrency returns how many of the slots are in use if requests of a mean service
// time start at the limit.
func (b *TokenBucket) Concurrency(slots int, serviceTime time.Duration) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.limited {
		return slots
	}
	used := b.rate * serviceTime.Seconds()
	return min(slots, max(1, int(math.Ceil(min(used, float64(slots))))))
}

// refill adds the tokens since the last call.
func (b *TokenBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.tokens = min(b.tokens+b.rate*elapsed.Seconds(), max(1, b.rate*burstSeconds))
		b.updated = now
	}
}
