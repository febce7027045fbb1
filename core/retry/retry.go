// Package retry bounds retries and hedged requests.
//
// A Budget earns a fraction of a token with each first attempt and spends one
// with each retry. The fraction is the share that the policy allows for the
// whole depth of calls, divided by the number of levels: with share s at each of
// 9 levels the load at the last level is at most (1+s/9)^9 < e^s times the load
// without retries, whatever fails and whoever retries. An attempt that a daemon
// refused before it reached the target costs the target nothing; such redirects
// have a budget of their own.
package retry

import (
	"sync"

	"pollenscale/core/invariant"
	"pollenscale/core/outcome"
	"pollenscale/core/policy"
)

const (
	// Levels is the depth of calls over which the budget must hold.
	Levels = 9
	// initial lets a fresh budget make one retry.
	initial = 1
	// window bounds saved tokens to those of this many first attempts.
	window = 1000
	// redirectsPerRequest is the mean number of redirects that the budget
	// allows. At 80% load a request needs about 0.5.
	redirectsPerRequest = 2
	// initialRedirects lets a fresh budget make redirects of all ranks.
	initialRedirects = 200
	// rankReserve is the number of redirects that each rank leaves to the ranks
	// above it, so that a flood of one rank does not use up those of the others.
	rankReserve = 20
	// maxRedirects bounds the redirects of one request.
	maxRedirects = 16
)

// Attempt describes a failed attempt that might be repeated.
type Attempt struct {
	Outcome    outcome.Outcome
	Reason     outcome.Reason
	Idempotent bool
	// Number counts the attempts of the request that reached a target, from 1.
	Number int
	// Position is the place of the request's rank, 0 being the most urgent.
	Position int
	// Redirects counts refusals by daemons so far.
	Redirects int
	// Nested is set when the request is part of a retry at a higher level, or
	// when a lower level reports that it already used its retries.
	Nested bool
}

// Budget bounds the retries of one service at one entry. It is safe for
// concurrent use.
type Budget struct {
	mu        sync.Mutex
	policy    policy.Retry
	firsts    uint64
	retries   uint64
	tokens    float64
	hedges    float64
	redirects float64
}

// New returns a budget with the shares of p.
func New(p policy.Retry) *Budget {
	return &Budget{policy: p, tokens: initial, redirects: initialRedirects}
}

// SetPolicy replaces the shares.
func (b *Budget) SetPolicy(p policy.Retry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.policy = p
}

// First records the first attempt of a request.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firsts++
	share := float64(b.policy.Share) / Levels
	b.tokens = min(b.tokens+share, max(initial, share*window))
	hedge := float64(b.policy.HedgeShare) / Levels
	b.hedges = min(b.hedges+hedge, max(initial, hedge*window))
	b.redirects = min(b.redirects+redirectsPerRequest, redirectsPerRequest*window)
}

// Allow reports whether the attempt may be repeated, and takes its token.
func (b *Budget) Allow(a Attempt) bool {
	if a.Outcome == outcome.Run || (a.Outcome == outcome.Unknown && !a.Idempotent) {
		return false
	}
	if a.Outcome == outcome.NotRun && redirect(a.Reason) {
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
	most := float64(b.policy.Share)/Levels*float64(b.firsts) + initial
	invariant.Check(float64(b.retries) <= most+1e-6 || b.policy.Share == 0, "retry_budget",
		"%d retries for %d first attempts", b.retries, b.firsts)
	return true
}

// AllowHedge reports whether a second attempt of an idempotent request may be
// sent while the first is under way, and takes its token.
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
	if a.Redirects >= maxRedirects || b.redirects < 1+float64(a.Position)*rankReserve {
		return false
	}
	b.redirects--
	return true
}

// redirect reports whether a request that did not run for this reason cost its
// target nothing, while another target may still take it.
func redirect(r outcome.Reason) bool {
	return r == outcome.ConnectionLost || r == outcome.Overloaded || r == outcome.Draining || r == outcome.StaleAttempt || r == outcome.CannotFinish
}
