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

// defaultLinkBytes is the bandwidth of a region pair, 4,000 Mbit/s each way,
// for services that set no budget.
const defaultLinkBytes fleet.Bytes = 500_000_000

// links keeps the request bodies that this daemon sends to other regions within
// its share of the region pairs' budgets. Bodies beyond the part that is kept
// for another attempt count as uploads and yield to lookups.
type links struct {
	own fleet.Region
	// policy returns the configuration in force.
	policy func() *policy.Set
	// sharers returns the number of daemons that share the own region's links.
	sharers func() int

	mu      sync.Mutex
	budgets map[fleet.Service]*link.Budgets
}

func newLinks(own fleet.Region, current func() *policy.Set, sharers func() int) *links {
	return &links{own: own, policy: current, sharers: sharers, budgets: map[fleet.Service]*link.Budgets{}}
}

// pace charges the request to the link, and makes the rest of its body wait for
// the budget.
func (l *links) pace(ctx context.Context, t fleet.Target, r *call.Request) {
	if t.Place.Region == l.own {
		r.Body.SetThrottle(nil)
		return
	}
	budgets := l.of(r.Service)
	pair := link.Pair{From: l.own, To: t.Place.Region}
	budgets.Spend(pair, fleet.Bytes(min(max(r.ContentLength, 0), call.ReplayBytes)), time.Now())
	r.Body.SetThrottle(func(n int) error { return reserve(ctx, budgets, pair, fleet.Bytes(n)) })
}

// reserve waits until a part of an upload may be sent.
func reserve(ctx context.Context, budgets *link.Budgets, pair link.Pair, size fleet.Bytes) error {
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

// spare reports whether the budgets to another region have room.
func (l *links) spare(to fleet.Region) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.budgets {
		if !b.Spare(link.Pair{From: l.own, To: to}, time.Now()) {
			return false
		}
	}
	return true
}

// of returns the budgets of a service, of which each daemon of the region has
// an equal share.
func (l *links) of(name fleet.Service) *link.Budgets {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.budgets[name]; b != nil {
		return b
	}
	rate := defaultLinkBytes
	if service := l.policy().Service(name); service != nil && service.LinkBytesPerSecond > 0 {
		rate = service.LinkBytesPerSecond
	}
	b := link.New(max(1, rate/fleet.Bytes(l.sharers())))
	l.budgets[name] = b
	return b
}

// reset forgets the budgets, so that those of a new configuration apply.
func (l *links) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.budgets)
}
