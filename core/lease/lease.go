// Package lease implements named leases with fencing tokens on top of the table
// service.
//
// A lease row names its holder, the token and the expiry by the store's clock.
// Each write is conditional on the version of the row, so that a daemon that read
// a stale expiry cannot acquire a lease that has since been renewed. The holder
// derives a lower and an upper bound of the store's clock from the store's
// answers, and stops using the lease before the store's clock can have reached
// the expiry.
//
// A transaction without an answer may still take effect. The holder sends it
// again with the same conditions: either they are met, or the conflict returns
// the current row, which names its writer.
//
// The holder of a lease accepts idempotency keys. A stamp is the timestamp of
// such a key. Successive holders of a lease accept disjoint ranges of stamps, so
// that no key is accepted by two of them.
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
	// that two more attempts fit in when the store does not answer.
	callTimeout = 3 * time.Second
	// maxRenewBatch bounds the leases renewed in one transaction.
	maxRenewBatch = 32
	// maxAcquireBatch bounds the leases acquired in one transaction. A holder that
	// acquires two of the four slots of a service halves the renewals of a large
	// fleet.
	maxAcquireBatch = 2
	// minRetryInterval and maxRetryInterval bound the mean delay after a failed
	// renewal; retryIntervalPerDaemon scales it with the size of the fleet. With a
	// first retry after 5 s, 3,400 daemons make 127 writes/s during an outage, over
	// the budget of 100.
	minRetryInterval       = time.Second
	maxRetryInterval       = 20 * time.Second
	retryIntervalPerDaemon = 6 * time.Millisecond
	// minPollInterval and maxPollInterval bound the mean interval between polls for
	// vacant leases; pollIntervalPerDaemon scales it with the size of the fleet.
	// With 5 ms per daemon, 3,400 daemons that start together make 184 writes/s;
	// with 15 ms, fewer than 100.
	minPollInterval       = 200 * time.Millisecond
	maxPollInterval       = time.Minute
	pollIntervalPerDaemon = 15 * time.Millisecond
	// maxHandoverDelay bounds the random delay before a poll for leases that have
	// just been released by a planned stop. Callers wait 2 s for a new owner.
	maxHandoverDelay = 500 * time.Millisecond
	// expiryJitterDivisor sets the jitter of daemons that wait for the same expiry,
	// as a fraction of the poll interval.
	expiryJitterDivisor = 8
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
	// Vacant returns the leases that this daemon may hold and that have no holder
	// known to it. Nil means none.
	Vacant func() []Name
	// FleetSize returns the number of daemons that share the store.
	FleetSize func() int

	// wake receives a value when leases may have been handed over.
	wake chan struct{}
	// writing is a semaphore of capacity one. It serialises writes, so that the
	// row versions are known at each write.
	writing chan struct{}
	mu      sync.Mutex // guards the fields below
	held    map[Name]*heldLease
	// backoffs are the leases of other daemons that are not read again for a while.
	backoffs map[Name]backoff
	// rechecks counts the calls of Recheck.
	rechecks uint64
	clock    clockSample
	failures int
}

type heldLease struct {
	grant     Grant
	record    record
	version   store.Version
	releasing bool
	// acceptedUpTo is the highest accepted stamp of a lease that is being released.
	acceptedUpTo time.Time
	renewedAt    Reading // when the last successful renewal was sent
}

// backoff delays the next read of a lease that was read at the given time and
// version.
type backoff struct {
	at      Reading
	wait    time.Duration
	version store.Version
}

// Option configures a Holder.
type Option func(*Holder)

// WithClock sets the function that reads the clocks of the process.
func WithClock(clock func() Reading) Option {
	return func(h *Holder) { h.Clock = clock }
}

// WithRandom sets the source of jitter.
func WithRandom(random func() float64) Option {
	return func(h *Holder) { h.Random = random }
}

// WithVacant sets the function that returns the leases without a known holder.
func WithVacant(vacant func() []Name) Option {
	return func(h *Holder) { h.Vacant = vacant }
}

// WithFleetSize sets the function that returns the number of daemons sharing the
// store.
func WithFleetSize(size func() int) Option {
	return func(h *Holder) { h.FleetSize = size }
}

// New returns a Holder that holds no leases yet.
func New(tables store.Tables, self fleet.DaemonID, incarnation fleet.Incarnation, options ...Option) *Holder {
	h := &Holder{
		Tables:      tables,
		Self:        self,
		Incarnation: incarnation,
		Clock:       ReadClock,
		Random:      rand.Float64,
		FleetSize:   func() int { return 1 },
		wake:        make(chan struct{}, 1),
		writing:     make(chan struct{}, 1),
		held:        map[Name]*heldLease{},
		backoffs:    map[Name]backoff{},
	}
	for _, o := range options {
		o(h)
	}
	return h
}

// Held returns the grant of a lease and whether it is valid now.
func (h *Holder) Held(name Name) (Grant, bool) {
	g, ok := h.Grant(name)
	return g, ok && g.ValidAt(h.Clock())
}

// Grant returns the last grant of a lease, which may have expired. Callers check
// it against the single clock reading that they use for the whole decision.
func (h *Holder) Grant(name Name) (Grant, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.held[name]
	if !ok || e.releasing {
		return Grant{}, false
	}
	return e.grant, true
}

// Grants returns the grants that are valid now.
func (h *Holder) Grants() []Grant {
	now := h.Clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	var grants []Grant
	for _, e := range h.held {
		if !e.releasing && e.grant.ValidAt(now) {
			grants = append(grants, e.grant)
		}
	}
	return grants
}

// Run acquires and renews leases until ctx ends. It does not release them.
func (h *Holder) Run(ctx context.Context) error {
	poll := time.NewTimer(time.Duration(h.Random() * float64(h.pollInterval())))
	defer poll.Stop()
	renew := time.NewTimer(h.jitter(h.pollInterval()))
	defer renew.Stop()
	handover := false // leases released by a planned stop may still be available
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-poll.C:
			err := h.Acquire(ctx) // retried at the next poll after a failure
			if handover = handover && err == nil && h.hasVacant(); handover {
				poll.Reset(h.handoverDelay())
			} else {
				poll.Reset(h.pollDelay())
			}
		case <-h.wake:
			if handover = h.hasVacant(); handover {
				poll.Reset(h.handoverDelay())
			}
		case <-renew.C:
			if h.renewalDue() {
				_ = h.Renew(ctx) // a failure is counted and shortens the delay below
			}
			renew.Reset(h.renewDelay())
		}
	}
}

// hasVacant reports whether there are vacant leases that this holder neither holds
// nor has backed off from.
func (h *Holder) hasVacant() bool {
	return h.Vacant != nil && len(h.namesToRead(h.Vacant())) > 0
}

// handoverDelay returns the delay before a poll for leases that were handed over.
func (h *Holder) handoverDelay() time.Duration {
	return time.Duration(h.Random() * float64(maxHandoverDelay))
}

func (h *Holder) pollInterval() time.Duration {
	interval := time.Duration(h.FleetSize()) * pollIntervalPerDaemon
	return min(max(interval, minPollInterval), maxPollInterval)
}

// pollDelay returns the time until the next poll: the poll interval with jitter,
// or less if a back-off ends earlier.
func (h *Holder) pollDelay() time.Duration {
	delay := h.jitter(h.pollInterval())
	jitter := time.Duration(h.Random() * float64(h.pollInterval()) / expiryJitterDivisor)
	now := h.Clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.backoffs {
		if left := b.wait - now.Since(b.at); left > 0 {
			delay = min(delay, left+jitter)
		}
	}
	return delay
}

// jitter returns a random duration between 0.5 and 1.5 times the mean.
func (h *Holder) jitter(mean time.Duration) time.Duration {
	return time.Duration((0.5 + h.Random()) * float64(mean))
}

// renewalDue reports whether any lease was last renewed RenewInterval ago or
// earlier.
func (h *Holder) renewalDue() bool {
	now := h.Clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.held {
		if !e.releasing && now.Since(e.renewedAt) >= RenewInterval {
			return true
		}
	}
	return false
}

// renewDelay returns the time until the next renewal is due, or the retry delay
// after a failure.
func (h *Holder) renewDelay() time.Duration {
	now := h.Clock()
	h.mu.Lock()
	failures, delay := h.failures, RenewInterval
	for _, e := range h.held {
		if !e.releasing {
			delay = min(delay, RenewInterval-now.Since(e.renewedAt))
		}
	}
	h.mu.Unlock()
	if failures > 0 {
		return h.jitter(h.retryInterval())
	}
	return max(delay, time.Millisecond)
}

// retryInterval returns the mean delay before a failed renewal is retried.
func (h *Holder) retryInterval() time.Duration {
	interval := time.Duration(h.FleetSize()) * retryIntervalPerDaemon
	return min(max(interval, minRetryInterval), maxRetryInterval)
}

// Renew extends all held leases, in transactions of up to maxRenewBatch leases. An
// expired lease is extended too unless another daemon has acquired it: its holder
// still knows every stamp that it accepted.
func (h *Holder) Renew(ctx context.Context) error {
	if err := h.lockWrites(ctx); err != nil {
		return err
	}
	defer h.unlockWrites()
	names := h.renewable()
	var renewErr error
	for len(names) > 0 {
		n := min(len(names), maxRenewBatch)
		if err := h.renewBatch(ctx, names[:n]); err != nil {
			renewErr = err
		}
		names = names[n:]
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if renewErr != nil {
		h.failures++
		return renewErr
	}
	h.failures = 0
	return nil
}

func (h *Holder) renewable() []Name {
	h.mu.Lock()
	defer h.mu.Unlock()
	var names []Name
	for name, e := range h.held {
		if !e.releasing {
			names = append(names, name)
		}
	}
	return names
}

// renewBatch renews the named leases. A conflict shows either an earlier write of
// this holder whose answer was lost, whose row is then adopted, or another holder,
// in which case the lease is dropped. The remaining leases are sent again.
func (h *Holder) renewBatch(ctx context.Context, names []Name) error {
	for attempt := 0; len(names) > 0 && attempt < 3; attempt++ {
		before := h.Clock()
		expiry := h.newExpiry(before)
		t, recs := h.renewTransaction(names, expiry)
		result, err := h.transact(ctx, t)
		if err != nil {
			return err
		}
		if result.Committed {
			h.applyRenewal(names, recs, result, clockSample{result.At, before, h.Clock()})
			return nil
		}
		h.updateClock(clockSample{result.At, before, h.Clock()})
		names = h.resolveConflicts(names, result)
	}
	return nil
}

func (h *Holder) renewTransaction(names []Name, expiry time.Time) (store.Transaction, []record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var t store.Transaction
	recs := make([]record, len(names))
	for i, name := range names {
		e := h.held[name]
		recs[i] = e.record
		recs[i].Expiry = laterTime(expiry, e.record.Expiry)
		t.Conditions = append(t.Conditions, store.Condition{Table: LeaseTable, Key: string(name), Version: e.version})
		t.Writes = append(t.Writes, store.Write{Table: LeaseTable, Key: string(name), Value: recs[i].encode()})
	}
	return t, recs
}

func (h *Holder) applyRenewal(names []Name, recs []record, result store.Result, s clockSample) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock = s
	for i, name := range names {
		h.adopt(h.held[name], recs[i], result.Versions[i], s)
	}
}

// adopt updates a held lease from its row in the store, which this holder wrote.
func (h *Holder) adopt(e *heldLease, rec record, version store.Version, s clockSample) {
	invariant.Check(rec.Token == e.record.Token && rec.Holder == h.Self && rec.Incarnation == h.Incarnation,
		"LeaseHolder", "%s: adopted token %d of %s over %d", e.grant.Name, rec.Token, rec.Holder, e.record.Token)
	invariant.Check(!rec.Expiry.Before(e.record.Expiry),
		"LeaseExpiryRises", "%s: %s after %s", e.grant.Name, rec.Expiry, e.record.Expiry)
	e.record, e.version, e.renewedAt = rec, version, s.before
	e.grant.Expiry, e.grant.clock = rec.Expiry, s
}

// resolveConflicts processes the conflicting rows of a renewal that was not
// committed. It returns the leases that are still held and must be sent again.
func (h *Holder) resolveConflicts(names []Name, result store.Result) []Name {
	h.mu.Lock()
	defer h.mu.Unlock()
	conflict := map[Name]store.Row{}
	for _, row := range result.Conflicts {
		conflict[Name(row.Key)] = row
	}
	var retry []Name
	for _, name := range names {
		row, ok := conflict[name]
		if !ok {
			retry = append(retry, name)
			continue
		}
		rec, err := decodeRecord(row)
		if err != nil || !h.isOwn(rec, h.held[name].record.Token) {
			delete(h.held, name)
			continue
		}
		h.adopt(h.held[name], rec, row.Version, h.clock)
		retry = append(retry, name)
	}
	return retry
}

func (h *Holder) isOwn(rec record, token Token) bool {
	return !adoptOwnWrites.Off() && !rec.Released &&
		rec.Holder == h.Self && rec.Incarnation == h.Incarnation && rec.Token == token
}

// newExpiry returns the expiry to request: TTL after the lower bound of the
// store's clock.
func (h *Holder) newExpiry(now Reading) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clock.earliest(now).Add(TTL)
}

func (h *Holder) updateClock(s clockSample) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock = s
}

func (h *Holder) transact(ctx context.Context, t store.Transaction) (store.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return h.Tables.Transact(ctx, t)
}

// lockWrites acquires the write semaphore. Unlike a mutex, it returns when ctx ends.
func (h *Holder) lockWrites(ctx context.Context) error {
	select {
	case h.writing <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *Holder) unlockWrites() {
	<-h.writing
}
