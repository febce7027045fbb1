// Package fairqueue shares a limited number of places for requests between clients that are
// not controlled.
//
// A request gets a free place at once. While there is none, requests wait, and the next place
// goes to the client that has occupied the fewest places lately: first by address, then by
// connection. Otherwise clients that always have a request ready would take each place before
// one that comes now and then. Requests that got no place count too, so that clients that retry
// without a pause do not pass for new ones. Among equals the earliest request goes first, so that
// clients that open a connection for each request do not keep back one that waits.
//
// It answers the load of clients that send several slow requests at once on each of many
// connections, without a pause.
package fairqueue

import (
	"context"
	"math"
	"net/netip"
	"sync"
	"time"

	"pollenscale/internal/mutant"

	"github.com/cockroachdb/errors"
)

// Mechanisms that mutation tests switch off one at a time.
var (
	leastOccupiedFirst = mutant.New("fairqueue/least-occupied-first")
	earliestFirst      = mutant.New("fairqueue/earliest-first")
	chargeRefusals     = mutant.New("fairqueue/charge-refusals")
)

// occupancySpan is the time constant with which the places that a client had are forgotten. It
// is several times the length of a slow request.
const occupancySpan = 4 * time.Second

// refusedOccupancy is what a request that got no place adds to the occupancy of its client, in
// places. It is less than that of a request that was served.
const refusedOccupancy = 1.0 / 16

// ErrFull is the error of a request that gets no place.
var ErrFull = errors.New("too many requests in progress")

// Queue grants the places. Create it with New; it is safe for concurrent use.
type Queue struct {
	now func() time.Time

	mu         sync.Mutex
	limit      int
	used       int
	maxWaiting int
	waiting    []*waiter
	arrivals   uint64 // requests that have waited
	addresses  map[netip.Addr]*address
}

// Option configures a queue that New creates.
type Option func(*Queue)

// WithClock sets the clock.
func WithClock(now func() time.Time) Option { return func(q *Queue) { q.now = now } }

// WithMaxWaiting sets how many requests may wait; the default is the number of places.
func WithMaxWaiting(n int) Option { return func(q *Queue) { q.maxWaiting = n } }

// New returns a queue for a number of places.
func New(limit int, options ...Option) *Queue {
	q := &Queue{now: time.Now, limit: limit, maxWaiting: limit, addresses: map[netip.Addr]*address{}}
	for _, o := range options {
		o(q)
	}
	return q
}

// InUse returns the number of occupied places.
func (q *Queue) InUse() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.used
}

// Flow is the requests of one connection.
type Flow struct {
	occupancy
	queue   *Queue
	address *address
	closed  bool
}

// address is the requests of all connections from one address.
type address struct {
	occupancy
	key   netip.Addr
	flows int
}

// Open returns the flow of a new connection. The caller closes it.
func (q *Queue) Open(from netip.Addr) *Flow {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.addresses[from]
	if a == nil {
		a = &address{key: from}
		q.addresses[from] = a
	}
	a.flows++
	return &Flow{queue: q, address: a}
}

// Close forgets the connection. Its places are still to be released.
func (f *Flow) Close() {
	q := f.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if f.closed {
		return
	}
	f.closed = true
	f.address.flows--
	f.address.forget(q)
}

// forget removes the address if it has no connections and no places. The caller holds the lock.
func (a *address) forget(q *Queue) {
	if a.flows == 0 && a.held == 0 && q.addresses[a.key] == a {
		delete(q.addresses, a.key)
	}
}

// HeldByAddress returns the number of places that the connections of the client's address occupy.
func (f *Flow) HeldByAddress() int {
	f.queue.mu.Lock()
	defer f.queue.mu.Unlock()
	return f.address.held
}

// occupancy is how many places a client occupies and has occupied lately.
type occupancy struct {
	held int
	mean float64 // weighted exponentially over time
	at   time.Time
}

// change adds n places at a time.
func (o *occupancy) change(n int, now time.Time) {
	o.mean, o.at = o.lately(now), now
	o.held += n
}

// refuse counts a request that got no place.
func (o *occupancy) refuse(now time.Time) {
	o.mean, o.at = o.lately(now)+refusedOccupancy, now
}

// lately returns the mean number of places until now.
func (o *occupancy) lately(now time.Time) float64 {
	if o.at.IsZero() {
		return 0
	}
	kept := math.Exp(-float64(now.Sub(o.at)) / float64(occupancySpan))
	return o.mean*kept + float64(o.held)*(1-kept)
}

// waiter is a request that waits for a place.
type waiter struct {
	flow    *Flow
	urgent  bool
	arrival uint64
	result  chan error // receives one value
}

// Spare reports whether TryAcquire would take a place.
func (q *Queue) Spare(reserved int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.spare(reserved)
}

// spare is Spare for a caller that holds the lock.
func (q *Queue) spare(reserved int) bool {
	return len(q.waiting) == 0 && q.used+reserved < q.limit
}

// TryAcquire takes a place if more than the reserved number are free and no request waits, and
// reports whether it has. The caller releases it.
func (q *Queue) TryAcquire(f *Flow, reserved int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.spare(reserved) {
		return false
	}
	q.take(f)
	return true
}

// Acquire takes a place, and waits for one until ctx ends. Urgent requests go first. The error is
// that of ctx, or ErrFull if too many others that go first wait. The caller releases the place.
func (q *Queue) Acquire(ctx context.Context, f *Flow, urgent bool) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	w := q.enqueue(f, urgent)
	if w == nil {
		return nil
	}
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
	}
	if q.remove(w) {
		return ctx.Err()
	}
	return <-w.result
}

// enqueue takes a free place or returns the waiter for one.
func (q *Queue) enqueue(f *Flow, urgent bool) *waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.used < q.limit {
		q.take(f)
		return nil
	}
	q.arrivals++
	w := &waiter{flow: f, urgent: urgent, arrival: q.arrivals, result: make(chan error, 1)}
	q.waiting = append(q.waiting, w)
	if len(q.waiting) <= q.maxWaiting {
		return w
	}
	last := q.find(func(a, b *waiter, now time.Time) bool { return b.before(a, now) })
	evicted := q.waiting[last]
	q.refuse(last)
	evicted.result <- ErrFull
	return w
}

// Release gives a place back.
func (q *Queue) Release(f *Flow) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.used--
	f.change(-1, now)
	f.address.change(-1, now)
	f.address.forget(q)
	if len(q.waiting) == 0 || q.used >= q.limit {
		return
	}
	first := q.find((*waiter).before)
	w := q.waiting[first]
	q.drop(first)
	q.take(w.flow)
	w.result <- nil
}

// take occupies a place. The caller holds the lock.
func (q *Queue) take(f *Flow) {
	now := q.now()
	q.used++
	f.change(1, now)
	f.address.change(1, now)
}

// remove removes a waiter and reports whether it has no result yet.
func (q *Queue) remove(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, other := range q.waiting {
		if other == w {
			q.refuse(i)
			return true
		}
	}
	return false
}

// drop removes the waiter with the index. The caller holds the lock.
func (q *Queue) drop(i int) {
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
}

// refuse removes the waiter with the index, which gets no place. The caller holds the lock.
func (q *Queue) refuse(i int) {
	f := q.waiting[i].flow
	q.drop(i)
	if chargeRefusals.Off() {
		return
	}
	now := q.now()
	f.refuse(now)
	f.address.refuse(now)
}

// find returns the index of the waiter that is before all others. There is at least one. The
// caller holds the lock.
func (q *Queue) find(before func(a, b *waiter, now time.Time) bool) int {
	now := q.now()
	found := 0
	for i := range q.waiting {
		if before(q.waiting[i], q.waiting[found], now) {
			found = i
		}
	}
	return found
}

// before reports whether the waiter gets a place before another one.
func (w *waiter) before(other *waiter, now time.Time) bool {
	if w.urgent != other.urgent {
		return w.urgent
	}
	if !leastOccupiedFirst.Off() {
		if a, b := w.flow.address.lately(now), other.flow.address.lately(now); a != b {
			return a < b
		}
		if a, b := w.flow.lately(now), other.flow.lately(now); a != b {
			return a < b
		}
	}
	if earliestFirst.Off() {
		return w.arrival > other.arrival
	}
	return w.arrival < other.arrival
}
