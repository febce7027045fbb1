// Package lease holds named leases in the table service, with fencing tokens.
//
// A lease row names its holder, the token and the expiry in store time. Each
// write is conditional on the version of the row, so that an expiry read from a
// stale state cannot take a lease that was renewed since. The holder bounds the
// store's clock from both sides by the answers that it gets, and stops before
// the store's clock can have reached the expiry.
//
// A transaction without an answer may still take effect. The holder sends the
// same conditions again: either they hold, or the conflict returns the row as
// it is now, which names the writer.
package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/invariant"
	"pollenscale/core/store"

	"github.com/cockroachdb/errors"
)

const (
	// callTimeout bounds one call to the store. It is far below RenewInterval, so
	// that a silent store leaves time for two more tries.
	callTimeout = 3 * time.Second
	// maxBatch bounds the leases of one transaction.
	maxBatch = 32
	// maxTaken is how many leases one transaction acquires. Two of the four
	// slots of a service per holder halve the renewals of a large fleet.
	maxTaken = 2
	// retryLeast and retryMost bound the mean pause after a failed renewal;
	// retryPerDaemon scales it with the fleet. A first retry after 5 s at 3,400
	// daemons makes 127 writes/s in an outage, over the budget of 100.
	retryLeast     = time.Second
	retryMost      = 20 * time.Second
	retryPerDaemon = 6 * time.Millisecond
	// pollFirst and pollMost bound the mean pause between looks for vacant
	// leases; pollPerDaemon scales it with the fleet. With 5 ms per daemon, 3,400
	// daemons that start together make 184 writes/s, with 15 ms fewer than 100.
	pollFirst     = 200 * time.Millisecond
	pollMost      = time.Minute
	pollPerDaemon = 15 * time.Millisecond
	// handoverSpread bounds the pause before a look for leases that have just
	// been handed over. Callers wait 2 s for a new owner.
	handoverSpread = 500 * time.Millisecond
	// expirySpread spreads the daemons that wait for the same expiry, as a part
	// of the pause between looks.
	expirySpread = 8
)

// ErrNotHeld is returned for a lease that this process does not hold.
var ErrNotHeld = errors.New("lease: not held")

// Holder acquires and renews leases for one incarnation of a daemon. Use New.
type Holder struct {
	Tables      store.Tables
	Self        fleet.DaemonID
	Incarnation fleet.Incarnation
	// Clock reads the clocks of the process.
	Clock func() Reading
	// Random returns a number in [0, 1) that spreads calls to the store.
	Random func() float64
	// Vacant returns the leases that this daemon may hold and whose holder it
	// does not know. Nil means none.
	Vacant func() []Name
	// FleetSize returns the number of daemons that share the store.
	FleetSize func() int

	// wake has a value when leases may have been handed over.
	wake  chan struct{}
	calls chan struct{} // holds one value; serialises writes, so that versions are known
	mu    sync.Mutex    // guards the fields below
	held  map[Name]*entry
	// busy is when a lease held by another daemon can be free again, by the
	// clock of this process.
	busy map[Name]busyUntil
	// rechecks counts the calls of Recheck.
	rechecks uint64
	clock    sample
	failures int
}

type entry struct {
	grant   Grant
	rec     record
	version store.Version
	leaving bool
	// accepted is the highest accepted stamp of a lease that is given back.
	accepted time.Time
	renewal  Reading // when the last renewal that took effect was sent
}

// busyUntil is a lease that is left alone for a while, as it was read.
type busyUntil struct {
	at      Reading
	wait    time.Duration
	version store.Version
}

// Option changes a holder under construction.
type Option func(*Holder)

// WithClock sets the clocks that the holder reads.
func WithClock(clock func() Reading) Option {
	return func(h *Holder) { h.Clock = clock }
}

// WithRandom sets the source of jitter.
func WithRandom(random func() float64) Option {
	return func(h *Holder) { h.Random = random }
}

// WithVacant sets the function that names leases without a known holder.
func WithVacant(vacant func() []Name) Option {
	return func(h *Holder) { h.Vacant = vacant }
}

// WithFleetSize sets the function that counts the daemons sharing the store.
func WithFleetSize(size func() int) Option {
	return func(h *Holder) { h.FleetSize = size }
}

// New returns a holder without leases.
func New(tables store.Tables, self fleet.DaemonID, incarnation fleet.Incarnation, options ...Option) *Holder {
	h := &Holder{
		Tables:      tables,
		Self:        self,
		Incarnation: incarnation,
		Clock:       ReadClock,
		Random:      rand.Float64,
		FleetSize:   func() int { return 1 },
		wake:        make(chan struct{}, 1),
		calls:       make(chan struct{}, 1),
		held:        map[Name]*entry{},
		busy:        map[Name]busyUntil{},
	}
	for _, o := range options {
		o(h)
	}
	return h
}

// Held returns the grant of a lease that is valid now.
func (h *Holder) Held(name Name) (Grant, bool) {
	g, ok := h.Grant(name)
	return g, ok && g.ValidAt(h.Clock())
}

// Grant returns the last grant of a lease, which may have expired. Callers check
// it with the one clock reading that they use for the whole decision.
func (h *Holder) Grant(name Name) (Grant, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.held[name]
	if !ok || e.leaving {
		return Grant{}, false
	}
	return e.grant, true
}

// Grants returns the leases that are valid now.
func (h *Holder) Grants() []Grant {
	now := h.Clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	var grants []Grant
	for _, e := range h.held {
		if !e.leaving && e.grant.ValidAt(now) {
			grants = append(grants, e.grant)
		}
	}
	return grants
}

// Run acquires and renews leases until ctx ends. It does not release them.
func (h *Holder) Run(ctx context.Context) error {
	poll := time.NewTimer(time.Duration(h.Random() * float64(h.pollPause())))
	defer poll.Stop()
	renew := time.NewTimer(h.jitter(h.pollPause()))
	defer renew.Stop()
	handover := false // leases that were handed over may still be free
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-poll.C:
			err := h.Acquire(ctx) // a failure is retried at the next poll
			if handover = handover && err == nil && h.wantsMore(); handover {
				poll.Reset(h.handoverPause())
			} else {
				poll.Reset(h.nextPoll())
			}
		case <-h.wake:
			if handover = h.wantsMore(); handover {
				poll.Reset(h.handoverPause())
			}
		case <-renew.C:
			if h.due() {
				_ = h.Renew(ctx) // a failure shortens the pause below
			}
			renew.Reset(h.renewPause())
		}
	}
}

// wantsMore reports whether there are vacant leases that this holder has not seen
// in other hands.
func (h *Holder) wantsMore() bool {
	return h.Vacant != nil && len(h.unheld(h.Vacant())) > 0
}

// handoverPause returns the pause before a look for leases that were handed over.
func (h *Holder) handoverPause() time.Duration {
	return time.Duration(h.Random() * float64(handoverSpread))
}

func (h *Holder) pollPause() time.Duration {
	pause := time.Duration(h.FleetSize()) * pollPerDaemon
	return min(max(pause, pollFirst), pollMost)
}

// nextPoll returns the time until the next look: the usual pause, or less if a
// lease that is wanted ends before.
func (h *Holder) nextPoll() time.Duration {
	pause := h.jitter(h.pollPause())
	spread := time.Duration(h.Random() * float64(h.pollPause()) / expirySpread)
	now := h.Clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.busy {
		if left := b.wait - now.Since(b.at); left > 0 {
			pause = min(pause, left+spread)
		}
	}
	return pause
}

// jitter returns a pause between half and one and a half of the mean.
func (h *Holder) jitter(mean time.Duration) time.Duration {
	return time.Duration((0.5 + h.Random()) * float64(mean))
}

// due reports whether some lease was last renewed RenewInterval ago or longer.
func (h *Holder) due() bool {
	now := h.Clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.held {
		if !e.leaving && now.Since(e.renewal) >= RenewInterval {
			return true
		}
	}
	return false
}

// renewPause returns the time until the oldest renewal is due, or the back-off
// after failures.
func (h *Holder) renewPause() time.Duration {
	now := h.Clock()
	h.mu.Lock()
	failures, pause := h.failures, RenewInterval
	for _, e := range h.held {
		if !e.leaving {
			pause = min(pause, RenewInterval-now.Since(e.renewal))
		}
	}
	h.mu.Unlock()
	if failures > 0 {
		return h.jitter(h.retryPause())
	}
	return max(pause, time.Millisecond)
}

// retryPause returns the mean pause of a holder whose renewal failed.
func (h *Holder) retryPause() time.Duration {
	pause := time.Duration(h.FleetSize()) * retryPerDaemon
	return min(max(pause, retryLeast), retryMost)
}

// Renew extends all held leases in one transaction for each maxBatch of them. A
// lease that lapsed is extended too, as long as no other daemon took it: its
// holder still knows every stamp that it accepted.
func (h *Holder) Renew(ctx context.Context) error {
	if err := h.lock(ctx); err != nil {
		return err
	}
	defer h.unlock()
	names := h.renewable()
	var failed error
	for len(names) > 0 {
		n := min(len(names), maxBatch)
		if err := h.renewBatch(ctx, names[:n]); err != nil {
			failed = err
		}
		names = names[n:]
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if failed != nil {
		h.failures++
		return failed
	}
	h.failures = 0
	return nil
}

func (h *Holder) renewable() []Name {
	h.mu.Lock()
	defer h.mu.Unlock()
	var names []Name
	for name, e := range h.held {
		if !e.leaving {
			names = append(names, name)
		}
	}
	return names
}

// renewBatch renews the named leases. A conflict either shows an own write
// whose answer was lost, which is adopted, or another holder, whose lease is
// dropped; the others are sent again.
func (h *Holder) renewBatch(ctx context.Context, names []Name) error {
	for tries := 0; len(names) > 0 && tries < 3; tries++ {
		before := h.Clock()
		expiry := h.newExpiry(before)
		t, recs := h.renewal(names, expiry)
		result, err := h.transact(ctx, t)
		if err != nil {
			return err
		}
		if result.Committed {
			h.renewed(names, recs, result, sample{result.At, before, h.Clock()})
			return nil
		}
		h.observe(sample{result.At, before, h.Clock()})
		names = h.settle(names, result)
	}
	return nil
}

func (h *Holder) renewal(names []Name, expiry time.Time) (store.Transaction, []record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var t store.Transaction
	recs := make([]record, len(names))
	for i, name := range names {
		e := h.held[name]
		recs[i] = e.rec
		recs[i].Expiry = later(expiry, e.rec.Expiry)
		t.Conditions = append(t.Conditions, store.Condition{Table: LeaseTable, Key: string(name), Version: e.version})
		t.Writes = append(t.Writes, store.Write{Table: LeaseTable, Key: string(name), Value: recs[i].encode()})
	}
	return t, recs
}

func (h *Holder) renewed(names []Name, recs []record, result store.Result, s sample) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock = s
	for i, name := range names {
		h.adopt(h.held[name], recs[i], result.Versions[i], s)
	}
}

// adopt takes over a row of this holder as it is in the store.
func (h *Holder) adopt(e *entry, rec record, version store.Version, s sample) {
	invariant.Check(rec.Token == e.rec.Token && rec.Holder == h.Self && rec.Incarnation == h.Incarnation,
		"LeaseHolder", "%s: adopts token %d of %s over %d", e.grant.Name, rec.Token, rec.Holder, e.rec.Token)
	invariant.Check(!rec.Expiry.Before(e.rec.Expiry),
		"LeaseExpiryRises", "%s: %s after %s", e.grant.Name, rec.Expiry, e.rec.Expiry)
	e.rec, e.version, e.renewal = rec, version, s.before
	e.grant.Expiry, e.grant.clock = rec.Expiry, s
}

// settle applies the rows that a refused renewal returned. It returns the
// leases that are still held and have to be sent again.
func (h *Holder) settle(names []Name, result store.Result) []Name {
	h.mu.Lock()
	defer h.mu.Unlock()
	conflict := map[Name]store.Row{}
	for _, row := range result.Conflicts {
		conflict[Name(row.Key)] = row
	}
	var again []Name
	for _, name := range names {
		row, ok := conflict[name]
		if !ok {
			again = append(again, name)
			continue
		}
		rec, err := parse(row)
		if err != nil || !h.own(rec, h.held[name].rec.Token) {
			delete(h.held, name)
			continue
		}
		h.adopt(h.held[name], rec, row.Version, h.clock)
		again = append(again, name)
	}
	return again
}

func (h *Holder) own(rec record, token Token) bool {
	return !settleLost.Off() && !rec.Released &&
		rec.Holder == h.Self && rec.Incarnation == h.Incarnation && rec.Token == token
}

// newExpiry returns the expiry to request, from the lowest time that the
// store's clock can show now.
func (h *Holder) newExpiry(now Reading) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clock.earliest(now).Add(TTL)
}

func (h *Holder) observe(s sample) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock = s
}

func (h *Holder) transact(ctx context.Context, t store.Transaction) (store.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return h.Tables.Transact(ctx, t)
}

// lock waits for the turn to write. Unlike a mutex, it gives up with ctx.
func (h *Holder) lock(ctx context.Context) error {
	select {
	case h.calls <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *Holder) unlock() {
	<-h.calls
}
