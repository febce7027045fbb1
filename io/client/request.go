package client

import (
	"context"
	"sync"
	"time"

	"pollenscale/core/budget"
	"pollenscale/core/fairqueue"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
)

// Request is what a request occupies in the process. Create it with Begin. Its methods are safe
// for concurrent use.
type Request struct {
	guard *Guard
	kind  budget.Kind
	claim *budget.Claim

	mu        sync.Mutex
	queue     *fairqueue.Queue
	place     *fairqueue.Flow // in the queue, nil if none
	conn      *Conn           // a multiplexed one for which the request works, nil if none
	streaming bool
}

// Begin charges the memory of a request on a connection of a kind. The error is ErrNoMemory. The
// caller releases the request.
func (g *Guard) Begin(cost fleet.Bytes, kind budget.Kind) (*Request, error) {
	r := &Request{guard: g, kind: kind, claim: g.account.Claim(0)}
	if !r.claim.Grow(cost, g.now()) {
		g.CountRefused(Memory, kind)
		return nil, ErrNoMemory
	}
	return r, nil
}

// ReadBody records that the body of the request is being read before anything was sent to a
// target. giveWay ends the reading if others need the memory more.
func (r *Request) ReadBody(giveWay func()) { r.claim.Reading(r.guard.now(), giveWay) }

// Progress records that bytes of the body have arrived.
func (r *Request) Progress() { r.claim.Progress(r.guard.now()) }

// EndBody records that the first part of the body was read. The error is ErrNoMemory if the body
// has given way.
func (r *Request) EndBody() error {
	if r.claim.Read() {
		return nil
	}
	r.guard.CountRefused(Stalled, r.kind)
	return ErrNoMemory
}

// Stream takes a place for a body that is passed on as it arrives, unless the request has one. The
// error is ErrNoStream.
func (r *Request) Stream() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.streaming {
		return nil
	}
	if r.streaming = r.guard.account.TakeStream(r.guard.now()); !r.streaming {
		r.guard.CountRefused(Streams, r.kind)
		return ErrNoStream
	}
	return nil
}

// AwaitExchange takes a place among the exchanges, for which it waits a part of the time until the
// deadline. The error is ErrNoPlace.
func (r *Request) AwaitExchange(ctx context.Context, deadline time.Time) error {
	return r.hold(ctx, r.guard.AwaitExchange(ctx, deadline), r.guard.account.Exchanges, Exchanges)
}

// AwaitAttempt takes a place among the attempts, for which it waits a part of the time until the
// deadline unless its body is long. The error is ErrNoPlace.
func (r *Request) AwaitAttempt(ctx context.Context, deadline time.Time, long bool) error {
	return r.hold(ctx, r.guard.AwaitAttempt(ctx, deadline, long), r.guard.account.Attempts, Attempts)
}

// hold records a place in a queue, or the refusal if there is none.
func (r *Request) hold(ctx context.Context, place *fairqueue.Flow, queue *fairqueue.Queue, reason Reason) error {
	if place == nil {
		r.guard.CountRefused(reason, r.kind)
		return ErrNoPlace
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue, r.place = queue, place
	if c, ok := ctx.Value(connKey{}).(*Conn); ok && c.multiplexed.Load() {
		r.conn = c
		c.beginWork()
	}
	return nil
}

// ReleasePlace gives the place among the exchanges or the attempts back, for example once the
// response was read completely. It may be called more than once.
func (r *Request) ReleasePlace() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.place != nil {
		r.queue.Release(r.place)
		r.place = nil
	}
}

// Release gives back everything that the request occupies. It may be called more than once.
func (r *Request) Release() {
	r.ReleasePlace()
	r.claim.Release()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.streaming {
		r.guard.account.GiveStream()
		r.streaming = false
	}
	if r.conn != nil {
		r.conn.endWork()
		r.conn = nil
	}
}

// refusedRetryAfter is the time after which a request may be sent again for which there was no
// room.
const refusedRetryAfter = time.Second

// Refusal returns the error of a request that is refused for want of room, which has not run.
func Refusal(reason error) *outcome.Error {
	err := outcome.New(outcome.NotRun, outcome.Overloaded, reason.Error())
	err.RetryAt = time.Now().Add(refusedRetryAfter)
	return err
}

// requestKey is the key of a Request in a context.
type requestKey struct{}

// WithRequest returns a context that contains the request.
func WithRequest(ctx context.Context, r *Request) context.Context {
	return context.WithValue(ctx, requestKey{}, r)
}

// RequestOf returns the request that the context contains, nil if there is none.
func RequestOf(ctx context.Context) *Request {
	r, _ := ctx.Value(requestKey{}).(*Request)
	return r
}
