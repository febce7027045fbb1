// Package link bounds and orders the bytes that a daemon sends to other regions.
//
// Each pair of regions has a budget of bytes per second. What callers wait for is
// sent at once and charged; while it overdraws the budget, no further requests
// spill over. Uploads leave a reserve and wait when it is touched, chunk by chunk,
// so that a large upload delays a lookup by a few chunks at most.
package link

import (
	"sync"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/invariant"
)

const (
	// ChunkBytes is the largest number of bytes to reserve at once. At 1% of
	// 4,000 Mbit/s it takes 13 ms.
	ChunkBytes fleet.Bytes = 64 << 10
	// burstPart is the part of a second's budget that may be sent at once.
	burstPart = 0.05
	// uploadReserve is the part of the burst that uploads leave for other bytes.
	uploadReserve = 0.5
)

// Pair is a direction between two regions.
type Pair struct {
	From, To fleet.Region
}

// Budgets are the budgets of the region pairs of one daemon. It is safe for
// concurrent use.
type Budgets struct {
	mu    sync.Mutex
	rate  float64
	pairs map[Pair]*budget
}

// budget is a token bucket in bytes. It is overdrawn by what must not wait.
type budget struct {
	mu       sync.Mutex
	rate     float64
	size     float64
	tokens   float64
	at       time.Time
	start    time.Time
	uploaded float64
}

// New returns budgets of the given bytes per second for each pair.
func New(bytesPerSecond fleet.Bytes) *Budgets {
	return &Budgets{rate: float64(bytesPerSecond), pairs: make(map[Pair]*budget)}
}

// Spend charges bytes that are sent now, such as those of a request or response
// that a caller waits for.
func (b *Budgets) Spend(p Pair, size fleet.Bytes, now time.Time) {
	k := b.pair(p, now)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refill(now)
	k.tokens -= float64(size)
}

// Reserve asks to send a part of an upload of at most ChunkBytes, and returns
// zero when it may be sent now. Otherwise nothing is reserved, and the result is
// the time at which to ask again.
func (b *Budgets) Reserve(p Pair, size fleet.Bytes, now time.Time) (retryAt time.Time) {
	return b.pair(p, now).reserve(float64(min(size, ChunkBytes)), now)
}

// Spare reports whether the budget has room for new work of another region.
// Spill-over stops when it has none.
func (b *Budgets) Spare(p Pair, now time.Time) bool {
	k := b.pair(p, now)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refill(now)
	return k.tokens > 0
}

func (b *Budgets) pair(p Pair, now time.Time) *budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.pairs[p]
	if k == nil {
		size := max(b.rate*burstPart, 2*float64(ChunkBytes)/(1-uploadReserve))
		k = &budget{rate: b.rate, size: size, tokens: size, at: now, start: now}
		b.pairs[p] = k
	}
	return k
}

func (k *budget) refill(now time.Time) {
	if passed := now.Sub(k.at).Seconds(); passed > 0 {
		k.tokens = min(k.size, k.tokens+passed*k.rate)
		k.at = now
	}
}

func (k *budget) reserve(size float64, now time.Time) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refill(now)
	if missing := k.size*uploadReserve + size - k.tokens; missing > 0 {
		return now.Add(time.Duration(missing/k.rate*float64(time.Second)) + 1)
	}
	k.tokens -= size
	k.uploaded += size
	most := k.rate*now.Sub(k.start).Seconds() + k.size
	invariant.Check(k.uploaded <= most+1, "link_budget", "%g bytes uploaded of %g", k.uploaded, most)
	return time.Time{}
}
