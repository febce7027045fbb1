// Package retry bounds retries and hedged requests.
//
// A Budget gains a fraction of a token with each first attempt and spends a token
// with each retry. The fraction is the share that the policy allows for the whole
// depth of calls, divided by the number of levels: with share s and 9 levels,
// the load at the last level is at most (1+s/9)^9 < e^s times the load without
// retries, whichever attempts fail and whichever levels retry. An attempt
// that a daemon refused before it reached the target costs the target nothing;
// such redirects have a budget of their own.
package retry

import (
	"sync"

	"pollenscale/core/invariant"
	"pollenscale/core/outcome"
	"pollenscale/core/policy"
)

const (
	// Levels is the depth of nested calls for which the budget holds.
	Levels = 9
	// initialTokens lets a new budget allow one retry.
	initialTokens = 1
	// savedRequests bounds the saved tokens to those of this many first attempts.
	savedRequests = 1000
	// redirectsPerRequest is the mean number of redirects per request that the
	// budget allows. At 80% load a request needs about 0.5.
	redirectsPerRequest = 2
	// initialRedirects lets a new budget allow redirects of all ranks.
	initialRedirects = 200
	// redirectReservePerRank is the number of redirects that each rank reserves
	// for the ranks above it, so that an overload of one rank does not use up the
	// redirects of more urgent ones.
	redirectReservePerRank = 20
	// maxRedirects bounds the redirects of one request.
	maxRedirects = 16
)

// Attempt describes a failed attempt that may be retried.
type Attempt struct {
	Outcome    outcome.Outcome
	Reason     outcome.Reason
	Idempotent bool
	// Number counts the attempts of the request that reached a target, from 1.
	Number int
	// Position is the index of the request's rank; 0 is the most urgent.
	Position int
	// Redirects counts the refusals of the request by daemons so far.
	Redirects int
	// Nested is set if the request is part of a retry at a higher level, or if a
	// lower level reports that it has already used its retries.
	Nested bool
}

// Budget bounds the retries of one service at one entry. It is safe for
// concurrent use.
type Budget struct {
	mu            sync.Mutex
	policy        policy.Retry
	firstAttempts uint64
	retries       uint64
	tokens        float64
	hedges        float64
	redirects     float64
}

// New returns a budget with the shares in p.
func New(p policy.Retry) *Budget {
	return &Budget{policy: p, tokens: initialTokens, redirects: initialRedirects}
}

// SetPolicy replaces the shares.
func (b *Budget) SetPolicy(p policy.Retry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.policy = p
}

// RecordRequest records the first attempt of a request.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firstAttempts++
	share := float64(b.policy.Share) / Levels
	b.tokens = min(b.tokens+share, max(initialTokens, share*savedRequests))
	hedge := float64(b.policy.HedgeShare) / Levels
	b.hedges = min(b.hedges+hedge, max(initialTokens, hedge*savedRequests))
	b.redirects = min(b.redirects+redirectsPerRequest, redirectsPerRequest*savedRequests)
}

// Allow reports whether the attempt may be retried, and if so spends a token or
// a redirect.
func (b *Budget) Allow(a Attempt) bool {
	if a.Outcome == outcome.Run || (a.Outcome == outcome.Unknown && !a.Idempotent) {
		return false
	}
	if a.Outcome == outcome.NotRun && isRedirect(a.Reason) {
		return b.allowRedirect(a)
	}
	if a.Nested {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.Number >= b.policy.AttemptLimit() || b.tokens < 1 {
		return false
	}
	b.tokens--
	b.retries++
	maxRetries := float64(b.policy.Share)/Levels*float64(b.firstAttempts) + initialTokens
	invariant.Check(float64(b.retries) <= maxRetries+1e-6 || b.policy.Share == 0, "retry_budget",
		"%d retries for %d first attempts", b.retries, b.firstAttempts)
	return true
}

// AllowHedge reports whether a second attempt of an idempotent request may be
// sent while the first is in flight, and if so spends a hedging token.
func (b *Budget) AllowHedge(idempotent, nested bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !idempotent || nested || b.hedges < 1 {
		return false
	}
	b.hedges--
	return true
}

func (b *Budget) allowRedirect(a Attempt) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.Redirects >= maxRedirects || b.redirects < 1+float64(a.Position)*redirectReservePerRank {
		return false
	}
	b.redirects--
	return true
}

// isRedirect reports whether a request that did not run for this reason cost its
// target nothing and another target may still accept it.
func isRedirect(r outcome.Reason) bool {
	return r == outcome.ConnectionLost || r == outcome.Overloaded || r == outcome.Draining || r == outcome.StaleAttempt || r == outcome.CannotFinish
}
