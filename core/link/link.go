// Package link bounds and orders the bytes that a daemon sends to other regions.
//
// Each pair of regions has a budget of bytes per second. Lookups may use all of
// it; uploads leave a reserve for lookups and wait when it is touched, chunk by
// chunk, so that a large upload delays a lookup by one chunk at most.
package link

import (
	"sync"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/invariant"
)

// Class says what bytes belong to.
type Class string

// The classes of bytes.
const (
	Lookup Class = "Lookup" // requests and answers that a caller waits for
	Upload Class = "Upload" // bodies that can be delayed
)

const (
	// ChunkBytes is the largest number of bytes to reserve at once. At 1% of
	// 4,000 Mbit/s it takes 13 ms.
	ChunkBytes fleet.Bytes = 64 << 10
	// burstPart is the part of a second's budget that may be sent at once.
	burstPart = 0.05
	// uploadReserve is the part of the burst that uploads leave for lookups.
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

// budget is a token bucket in bytes.
type budget struct {
	mu     sync.Mutex
	rate   float64
	size   float64
	tokens float64
	at     time.Time
	start  time.Time
	sent   float64
}

// New returns budgets of the given bytes per second for each pair.
func New(bytesPerSecond fleet.Bytes) *Budgets {
	return &Budgets{rate: float64(bytesPerSecond), pairs: make(map[Pair]*budget)}
}

// Reserve asks to send size bytes, at most ChunkBytes for an upload, and returns
// zero when they may be sent now. Otherwise nothing is reserved, and the result
// is the time at which to ask again.
func (b *Budgets) Reserve(p Pair, c Class, size fleet.Bytes, now time.Time) (retryAt time.Time) {
	return b.pair(p, now).reserve(c, float64(size), now)
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

func (k *budget) reserve(c Class, size float64, now time.Time) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refill(now)
	size = min(size, k.size*uploadReserve)
	left := k.size * uploadReserve
	if c == Lookup {
		left = 0
	}
	if missing := left + size - k.tokens; missing > 0 {
		return now.Add(time.Duration(missing/k.rate*float64(time.Second)) + 1)
	}
	k.tokens -= size
	k.sent += size
	most := k.rate*now.Sub(k.start).Seconds() + k.size
	invariant.Check(k.sent <= most+1, "link_budget", "%g bytes sent of %g", k.sent, most)
	return time.Time{}
}
