package retry_test

import (
	"encoding/json"
	"math"
	"os"
	"testing"

	"pollenscale/core/outcome"
	"pollenscale/core/policy"
	"pollenscale/core/retry"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestScripts guards against retries that could run a request twice, that exceed
// the budget, or that are part of a retry at a higher level.
func TestScripts(t *testing.T) {
	data, err := os.ReadFile("testdata/scripts.json")
	is.New(t).NoErr(err)
	var cases []struct {
		Name     string
		Policy   policy.Retry
		Firsts   int
		Attempts []retry.Attempt
		Want     []bool
	}
	is.New(t).NoErr(json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			b := retry.New(c.Policy)
			for range c.Firsts {
				b.RecordRequest()
			}
			for i, a := range c.Attempts {
				is.Equal(b.Allow(a), c.Want[i])
			}
		})
	}
}

// TestLevels guards against a retry storm. Whichever attempts fail at any of 9
// levels, the last level gets at most e^share attempts per request.
func TestLevels(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const requests = 3000
		share := rapid.Float64Range(0.01, 0.5).Draw(t, "share")
		failureRatio := rapid.Float64Range(0, 1).Draw(t, "failing")
		random := rapid.Uint64Range(1, 1<<40).Draw(t, "random")
		var budgets [retry.Levels]*retry.Budget
		for i := range budgets {
			budgets[i] = retry.New(policy.Retry{Share: policy.Share(share), MaxAttempts: 3})
		}
		lastLevelAttempts := 0
		fails := func() bool {
			random = random*6364136223846793005 + 1442695040888963407
			return float64(random>>11)/(1<<53) < failureRatio
		}
		var call func(level int) bool
		call = func(level int) bool {
			if level == retry.Levels {
				lastLevelAttempts++
				return !fails()
			}
			budgets[level].RecordRequest()
			for number := 1; ; number++ {
				if call(level + 1) {
					return true
				}
				if !budgets[level].Allow(retry.Attempt{Outcome: outcome.NotRun, Reason: outcome.TargetFailed, Number: number}) {
					return false
				}
			}
		}
		for range requests {
			call(0)
		}
		// Each new budget allows one extra retry, which the levels below can multiply.
		maxAttempts := requests*math.Exp(share) + retry.Levels*math.Exp(share)
		if float64(lastLevelAttempts) > maxAttempts {
			t.Fatalf("%d attempts at the last level, want at most %g", lastLevelAttempts, maxAttempts)
		}
	})
}

// TestRedirectsByRank guards against an overload of a low rank that uses up the
// redirects of higher ranks.
func TestRedirectsByRank(t *testing.T) {
	is := is.New(t)
	b := retry.New(policy.Retry{})
	low := retry.Attempt{Outcome: outcome.NotRun, Reason: outcome.Overloaded, Position: 3}
	for b.Allow(low) {
		continue
	}
	high := low
	high.Position = 2
	is.True(b.Allow(high))
}

// TestHedges guards against hedged requests beyond their share.
func TestHedges(t *testing.T) {
	is := is.New(t)
	b := retry.New(policy.Retry{HedgeShare: 0.9})
	is.True(!b.AllowHedge(true, false)) // nothing earned yet
	for range 11 {
		b.RecordRequest()
	}
	is.True(!b.AllowHedge(false, false)) // not idempotent
	is.True(!b.AllowHedge(true, true))   // part of a retry
	is.True(b.AllowHedge(true, false))
	is.True(!b.AllowHedge(true, false))
}
