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

// Rate limits the requests per second to a target to the rate that the target states.
// It is a token bucket, and allows every request while the target states no rate. It
// is safe for concurrent use.
type Rate struct {
	mu       sync.Mutex
	limited  bool
	rate     float64 // requests per second
	tokens   float64 // at updated; negative if requests could not be held back
	updated  time.Time
	statedAt time.Time
}

// State sets the rate that the target states in a response that was received at now.
func (r *Rate) State(rate exchange.Rate, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.limited {
		r.limited, r.tokens, r.updated = true, 0, now
	}
	r.refill(now)
	r.rate, r.statedAt = float64(rate), now
}

// Lift removes the limit after a response that states none, and reports whether it did.
// A response to a request that was sent before the limit was last stated may be older
// than that statement and is ignored.
func (r *Rate) Lift(sent time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.limited || !sent.After(r.statedAt) {
		return false
	}
	r.limited = false
	return true
}

// Reset removes the limit, for a new incarnation of the target.
func (r *Rate) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limited, r.statedAt = false, time.Time{}
}

// Value returns the rate and whether there is one.
func (r *Rate) Value() (rate exchange.Rate, limited bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return exchange.Rate(r.rate), r.limited
}

// StatedBefore reports whether there is a limit that was last stated before a time.
func (r *Rate) StatedBefore(at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limited && r.statedAt.Before(at)
}

// Available returns the number of requests that may be sent now.
func (r *Rate) Available(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.limited || enforceRate.Off() {
		return math.MaxInt
	}
	r.refill(now)
	return max(0, int(r.tokens))
}

// Take counts a request that is sent to the target.
func (r *Rate) Take(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refill(now)
	r.tokens--
}

// Return gives back a request that was counted but not sent.
func (r *Rate) Return() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens++
}

// Wait returns the time until the n-th of the next requests may be sent.
func (r *Rate) Wait(n float64, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.limited {
		return 0
	}
	r.refill(now)
	missing := n - r.tokens
	switch {
	case missing <= 0:
		return 0
	case missing >= r.rate*maxRateWait.Seconds():
		return maxRateWait
	}
	return time.Duration(missing / r.rate * float64(time.Second))
}

// Concurrency returns how many of the slots are in use if requests of a mean service
// time start at the limit.
func (r *Rate) Concurrency(slots int, serviceTime time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.limited {
		return slots
	}
	used := r.rate * serviceTime.Seconds()
	return min(slots, max(1, int(math.Ceil(min(used, float64(slots))))))
}

// refill adds the tokens since the last call.
func (r *Rate) refill(now time.Time) {
	if elapsed := now.Sub(r.updated); elapsed > 0 {
		r.tokens = min(r.tokens+r.rate*elapsed.Seconds(), max(1, r.rate*burstSeconds))
		r.updated = now
	}
}
