// Package link limits and prioritises the bytes that a daemon sends to other
// regions.
//
// Each directed pair of regions has a token bucket with a budget of bytes per
// second. Bytes that a caller waits for are sent at once and charged; while they
// overdraw the budget, no further requests spill over to the other region.
// Uploads leave a reserve in the bucket and wait, chunk by chunk, while a chunk
// would use it, so that a large upload delays a lookup by a few chunks at most.
package link

import (
	"sync"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/invariant"
)

const (
	// ChunkBytes is the maximum number of bytes that Reserve grants at once. At 1%
	// of 4,000 Mbit/s, sending it takes 13 ms.
	ChunkBytes fleet.Bytes = 64 << 10
	// burstFraction is the bucket's capacity as a fraction of one second's budget.
	burstFraction = 0.05
	// uploadReserveFraction is the fraction of the capacity that uploads leave for
	// other bytes.
	uploadReserveFraction = 0.5
)

// Pair is a directed pair of regions.
type Pair struct {
	From, To fleet.Region
}

// Budgets holds the bandwidth budgets of a daemon, one for each region pair. It
// is safe for concurrent use.
type Budgets struct {
	mu      sync.Mutex
	rate    float64
	buckets map[Pair]*bucket
}

// bucket is a token bucket in bytes. Bytes that must not wait can make its tokens
// negative.
type bucket struct {
	mu            sync.Mutex
	rate          float64
	capacity      float64
	tokens        float64
	refilledAt    time.Time
	createdAt     time.Time
	uploadedBytes float64
}

// New returns budgets with the given rate for each pair.
func New(bytesPerSecond fleet.Bytes) *Budgets {
	return &Budgets{rate: float64(bytesPerSecond), buckets: make(map[Pair]*bucket)}
}

// Spend charges bytes that are sent without delay, such as those of a request or
// response that a caller waits for.
func (b *Budgets) Spend(p Pair, size fleet.Bytes, now time.Time) {
	t := b.bucketFor(p, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refill(now)
	t.tokens -= float64(size)
}

// Reserve reserves bytes for a part of an upload, ChunkBytes at most. It returns
// zero if the part may be sent now. Otherwise nothing is reserved, and it returns
// the time at which to try again.
func (b *Budgets) Reserve(p Pair, size fleet.Bytes, now time.Time) (retryAt time.Time) {
	return b.bucketFor(p, now).reserve(float64(min(size, ChunkBytes)), now)
}

// Spare reports whether the budget is not used up, so that further requests may
// spill over to the other region.
func (b *Budgets) Spare(p Pair, now time.Time) bool {
	t := b.bucketFor(p, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refill(now)
	return t.tokens > 0
}

func (b *Budgets) bucketFor(p Pair, now time.Time) *bucket {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.buckets[p]
	if t == nil {
		capacity := max(b.rate*burstFraction, 2*float64(ChunkBytes)/(1-uploadReserveFraction))
		t = &bucket{rate: b.rate, capacity: capacity, tokens: capacity, refilledAt: now, createdAt: now}
		b.buckets[p] = t
	}
	return t
}

func (t *bucket) refill(now time.Time) {
	if elapsed := now.Sub(t.refilledAt).Seconds(); elapsed > 0 {
		t.tokens = min(t.capacity, t.tokens+elapsed*t.rate)
		t.refilledAt = now
	}
}

func (t *bucket) reserve(size float64, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refill(now)
	if missing := t.capacity*uploadReserveFraction + size - t.tokens; missing > 0 {
		return now.Add(time.Duration(missing/t.rate*float64(time.Second)) + 1)
	}
	t.tokens -= size
	t.uploadedBytes += size
	limit := t.rate*now.Sub(t.createdAt).Seconds() + t.capacity
	invariant.Check(t.uploadedBytes <= limit+1, "link_budget", "%g bytes uploaded, limit is %g", t.uploadedBytes, limit)
	return time.Time{}
}
