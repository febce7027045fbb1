package link_test

import (
	"testing"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/link"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestBudget guards against uploads that exceed the budget while other bytes are
// charged to it, and against an upload that is never allowed because its retry
// time is not in the future.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate = 1 << 20
		now := time.Unix(0, 0)
		b := link.New(rate)
		p := link.Pair{From: "scl", To: "gru"}
		uploaded := 0.0
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "lookup") {
				size := rapid.Int64Range(1, 100_000).Draw(t, "size")
				b.Spend(p, fleet.Bytes(size), now)
				continue
			}
			retryAt := b.Reserve(p, link.ChunkBytes, now)
			if !retryAt.IsZero() {
				if !retryAt.After(now) {
					t.Fatalf("retry at %v is not after %v", retryAt, now)
				}
				continue
			}
			uploaded += float64(link.ChunkBytes)
			elapsed := now.Sub(time.Unix(0, 0)).Seconds()
			if uploaded > rate*elapsed+float64(4*link.ChunkBytes) {
				t.Fatalf("%g bytes uploaded in %g s", uploaded, elapsed)
			}
		}
	})
}

// TestSpare guards against requests that spill over while the budget is overdrawn,
// and against charging one direction for the bytes of the other.
func TestSpare(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := link.New(1000)
	p := link.Pair{From: "scl", To: "gru"}
	is.True(b.Spare(p, now))
	b.Spend(p, 1<<20, now)
	is.True(!b.Spare(p, now))
	is.True(b.Spare(link.Pair{From: "gru", To: "scl"}, now))
	is.True(b.Spare(p, now.Add(2000*time.Second)))
}
