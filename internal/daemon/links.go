package daemon

import (
	"context"
	"sync"
	"time"

	"pollenscale/core/call"
	"pollenscale/core/fleet"
	"pollenscale/core/link"
	"pollenscale/core/policy"
	"pollenscale/core/wait"
)

// defaultLinkRate is the budget in bytes per second of a directed region pair,
// 4,000 Mbit/s, for services that configure none.
const defaultLinkRate fleet.Bytes = 500_000_000

// links paces the request bodies that this daemon sends to other regions, so that
// they stay within its share of the region pairs' bandwidth budgets. The bytes of a
// body beyond the part that is buffered for retries count as upload bytes, which have
// a lower priority than lookups.
type links struct {
	region fleet.Region
	// policy returns the configuration in force.
	policy func() *policy.Set
	// daemonsInRegion returns the number of daemons that share the own region's links.
	daemonsInRegion func() int

	mu      sync.Mutex
	budgets map[fleet.Service]*link.Budgets
}

func newLinks(region fleet.Region, current func() *policy.Set, daemonsInRegion func() int) *links {
	return &links{region: region, policy: current, daemonsInRegion: daemonsInRegion, budgets: map[fleet.Service]*link.Budgets{}}
}

// paceBody charges the buffered part of the request body to the link budget, and
// throttles the rest of the body to it.
func (l *links) paceBody(ctx context.Context, t fleet.Target, r *call.Request) {
	if t.Place.Region == l.region {
		r.Body.SetThrottle(nil)
		return
	}
	budgets := l.serviceBudgets(r.Service)
	pair := link.Pair{From: l.region, To: t.Place.Region}
	budgets.Spend(pair, fleet.Bytes(min(max(r.ContentLength, 0), call.ReplayBytes)), time.Now())
	r.Body.SetThrottle(func(n int) error { return waitForBudget(ctx, budgets, pair, fleet.Bytes(n)) })
}

// waitForBudget waits until a chunk of an upload may be sent.
func waitForBudget(ctx context.Context, budgets *link.Budgets, pair link.Pair, size fleet.Bytes) error {
	for {
		at := budgets.Reserve(pair, size, time.Now())
		if at.IsZero() {
			return nil
		}
		if !wait.For(ctx, time.Until(at)) {
			return ctx.Err()
		}
	}
}

// hasBudget reports whether no service's budget to another region is exhausted.
func (l *links) hasBudget(to fleet.Region) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.budgets {
		if !b.Spare(link.Pair{From: l.region, To: to}, time.Now()) {
			return false
		}
	}
	return true
}

// serviceBudgets returns this daemon's budgets for a service, which are divided equally
// among the daemons of the region.
func (l *links) serviceBudgets(name fleet.Service) *link.Budgets {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.budgets[name]; b != nil {
		return b
	}
	rate := defaultLinkRate
	if service := l.policy().Service(name); service != nil && service.LinkBytesPerSecond > 0 {
		rate = service.LinkBytesPerSecond
	}
	b := link.New(max(1, rate/fleet.Bytes(l.daemonsInRegion())))
	l.budgets[name] = b
	return b
}

// reset discards the budgets, so that they are created again from the configuration
// in force.
func (l *links) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.budgets)
}
