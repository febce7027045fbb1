package client

import (
	"context"
	"net/netip"
	"time"

	"pollenscale/core/budget"
	"pollenscale/core/fairqueue"

	"github.com/cockroachdb/errors"
)

// Errors of requests that are refused before they are sent to a target.
var (
	// ErrNoPlace is the error of a request for which there is no place among the exchanges or the
	// attempts.
	ErrNoPlace = errors.New("too many requests in progress")
	// ErrNoStream is the error of a long body for which there is no place among the streams.
	ErrNoStream = errors.New("too many long bodies in progress")
)

const (
	// waitParts is the part of its time that a request waits for a place at most, one of so many.
	// The rest is for its run.
	waitParts = 4
	// longReserveParts is the part of the places for attempts that long bodies leave to others, one
	// of so many.
	longReserveParts = 2
	// earlyReserveParts is the part of the places that requests before their turn leave to others,
	// one of so many.
	earlyReserveParts = 2
)

// AwaitExchange takes a place among the exchanges for a request, for which it waits a part of the
// time until the deadline. It returns nil if there is none. The caller releases the place.
func (g *Guard) AwaitExchange(ctx context.Context, deadline time.Time) *fairqueue.Flow {
	queue := g.account.Exchanges
	flow, nested := flowOf(ctx, queue)
	ctx, cancel := context.WithTimeout(ctx, deadline.Sub(g.now())/waitParts)
	defer cancel()
	if err := queue.Acquire(ctx, flow, nested); err != nil {
		return nil
	}
	return flow
}

// TakeEarlyExchange takes a place among the exchanges for a request before its turn, which does not
// wait and leaves half of the places to others. It returns nil if there is none.
func (g *Guard) TakeEarlyExchange(ctx context.Context) *fairqueue.Flow {
	queue := g.account.Exchanges
	flow, _ := flowOf(ctx, queue)
	if !queue.TryAcquire(flow, g.earlyReserve()) {
		return nil
	}
	return flow
}

// SpareExchange reports whether TakeEarlyExchange would return a place.
func (g *Guard) SpareExchange() bool { return g.account.Exchanges.Spare(g.earlyReserve()) }

// earlyReserve returns the number of places that requests before their turn leave to others.
func (g *Guard) earlyReserve() int {
	return g.account.Limits().Descriptors[budget.Exchanges] / earlyReserveParts
}

// AwaitAttempt takes a place among the attempts for a request of another daemon, for which it waits a
// part of the time until the deadline. One with a long body, which may stall, does not wait and
// leaves half of the places to others. It returns nil if there is none. The caller releases the
// place.
func (g *Guard) AwaitAttempt(ctx context.Context, deadline time.Time, long bool) *fairqueue.Flow {
	queue := g.account.Attempts
	flow, _ := flowOf(ctx, queue)
	if long {
		if !queue.TryAcquire(flow, g.account.Limits().Descriptors[budget.Attempts]/longReserveParts) {
			return nil
		}
		return flow
	}
	ctx, cancel := context.WithTimeout(ctx, deadline.Sub(g.now())/waitParts)
	defer cancel()
	if err := queue.Acquire(ctx, flow, false); err != nil {
		return nil
	}
	return flow
}

// flowOf returns the flow of the connection of a request in a queue of the account, and whether it
// is a call of the target beside the daemon. A request without a guarded connection gets a flow of
// its own.
func flowOf(ctx context.Context, queue *fairqueue.Queue) (flow *fairqueue.Flow, nested bool) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok && c.flow != nil {
		return c.flow, c.kind == budget.Nested
	}
	flow = queue.Open(netip.Addr{})
	flow.Close()
	return flow, false
}
