package probe_test

import (
	"testing"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/policy"
	"pollenscale/core/probe"

	"pgregory.net/rapid"
)

// TestBudget guards against probes or bytes that exceed the budget of a daemon.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		rate := rapid.Float64Range(0.1, 50).Draw(t, "rate")
		bytes := rapid.Int64Range(100, 10_000).Draw(t, "bytes")
		b := probe.New(rate, fleet.Bytes(bytes), now)
		sent, size := 0.0, 0.0
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			if b.Allow(now, 100) {
				sent++
				size += 100
			}
			elapsed := now.Sub(time.Unix(0, 0)).Seconds()
			if sent > rate*elapsed+1e-6 || size > float64(bytes)*(elapsed+1)+1e-6 {
				t.Fatalf("%g probes and %g bytes in %g s", sent, size, elapsed)
			}
		}
	})
}

// TestLimiter guards against answers to more probes than the share of requests
// allows, however many daemons send probes.
func TestLimiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		share := rapid.Float64Range(0.001, 0.1).Draw(t, "share")
		limiter := probe.NewLimiter(policy.Share(share), now)
		requests, answered := 0.0, 0.0
		for range 500 {
			now = now.Add(time.Millisecond)
			for range rapid.IntRange(0, 5).Draw(t, "requests") {
				limiter.RecordRequest()
				requests++
			}
			for range 3 {
				if limiter.Allow(now) {
					answered++
				}
			}
		}
		if most := share*requests + 1 + 0.5; answered > most+1e-6 {
			t.Fatalf("%g probes answered for %g requests, want at most %g", answered, requests, most)
		}
	})
}
