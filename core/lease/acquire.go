package lease

import (
	"context"
	"strconv"
	"time"

	"pollenscale/core/invariant"
	"pollenscale/core/store"
)

// candidate is an available lease as read from the store.
type candidate struct {
	name       Name
	row        store.Row
	record     record
	stampFloor time.Time
	readAt     time.Time // by the store's clock
}

// Acquire acquires up to two of the vacant leases that are available in the
// store. A lease held by another daemon is not read again before its expiry.
func (h *Holder) Acquire(ctx context.Context) error {
	if h.Vacant == nil {
		return nil
	}
	if err := h.lockWrites(ctx); err != nil {
		return err
	}
	defer h.unlockWrites()
	var candidates []candidate
	for _, name := range h.namesToRead(h.Vacant()) {
		c, ok, err := h.readLease(ctx, name)
		if err != nil {
			return err
		}
		if ok {
			candidates = append(candidates, c)
		}
		if len(candidates) == maxAcquireBatch {
			break
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return h.acquireBatch(ctx, candidates)
}

// namesToRead returns those of the names that are neither held nor backed off
// from. The order is random, so that daemons that start together read different
// leases first.
func (h *Holder) namesToRead(names []Name) []Name {
	now := h.Clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	var result []Name
	for _, name := range names {
		if _, ok := h.held[name]; ok {
			continue
		}
		if b, ok := h.backoffs[name]; ok && now.Since(b.at) < b.wait {
			continue
		}
		result = append(result, name)
	}
	for i := len(result) - 1; i > 0; i-- {
		j := int(h.Random() * float64(i+1))
		result[i], result[j] = result[j], result[i]
	}
	return result
}

// readLease reads a lease row and reports whether the lease can be acquired. A
// stale row is harmless: the transaction that follows is conditional on its
// version.
func (h *Holder) readLease(ctx context.Context, name Name) (candidate, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rechecks := h.recheckCount()
	before := h.Clock()
	row, at, err := h.Tables.Read(ctx, LeaseTable, string(name))
	if err != nil {
		return candidate{}, false, err
	}
	h.updateClock(clockSample{at, before, h.Clock()})
	rec, err := decodeRecord(row)
	if err != nil {
		return candidate{}, false, err
	}
	c := candidate{name: name, row: row, record: rec, stampFloor: rec.stampFloor(), readAt: at}
	if h.isOwn(rec, rec.Token) {
		// An acquisition whose answer was lost has taken effect. No stamp was
		// accepted under its token, so the floor is still the one it recorded.
		c.stampFloor = rec.After
		return c, true, nil
	}
	if !rec.available(at) {
		h.backOff(c, rec.Expiry.Sub(at), rechecks)
		return candidate{}, false, nil
	}
	if rec.Token != 0 && !rec.Released && !h.seenBefore(c) {
		h.backOff(c, 3*h.retryInterval()/2, rechecks)
		return candidate{}, false, nil
	}
	return c, true, nil
}

// seenBefore reports whether this daemon has read this version of the row before.
// If it has not, the lease may have expired in a store outage that affected the
// whole fleet, and its holder is given some time to renew it. Without this delay,
// takeovers at the end of an outage bring 3,400 daemons to 113 writes/s, and each
// takeover loses the keys known for the slot.
func (h *Holder) seenBefore(c candidate) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	b, ok := h.backoffs[c.name]
	return ok && b.version == c.row.Version
}

// Recheck makes the next poll read all vacant leases again, whatever expiry was
// read before. It is called when the state of a daemon that may have held one has
// changed, since a release ends a lease long before its expiry.
func (h *Holder) Recheck() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.backoffs)
	h.rechecks++
}

// RecheckNow does what Recheck does, and also polls early if leases are vacant. It
// is called on a few daemons of a service when another one announces a planned
// stop. It is not meant for other changes: after the loss of a daemon its leases
// must expire first, and in an outage of the store all leases become vacant at once.
func (h *Holder) RecheckNow() {
	h.Recheck()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

func (h *Holder) recheckCount() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rechecks
}

// backOff keeps a lease from being read again for the given time, unless Recheck
// was called since its row was read.
func (h *Holder) backOff(c candidate, wait time.Duration, rechecks uint64) {
	now := h.Clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	if rechecks != h.rechecks {
		return
	}
	h.backoffs[c.name] = backoff{at: now, wait: min(wait, TTL), version: c.row.Version}
}

// acquireBatch acquires the leases in one transaction. If another daemon has
// written one of the rows in the meantime, none is acquired, and the next poll
// reads them again.
func (h *Holder) acquireBatch(ctx context.Context, candidates []candidate) error {
	before := h.Clock()
	expiry := h.newExpiry(before)
	var t store.Transaction
	recs := make([]record, len(candidates))
	for i, c := range candidates {
		invariant.Check(c.record.Token == 0 || c.record.Released || !c.readAt.Before(c.record.Expiry) || h.isOwn(c.record, c.record.Token),
			"LeaseTakenAfterExpiry", "%s: acquired at %s, held by %s until %s", c.name, c.readAt, c.record.Holder, c.record.Expiry)
		recs[i] = record{
			Holder:      h.Self,
			Incarnation: h.Incarnation,
			Token:       c.record.Token + 1,
			Expiry:      laterTime(expiry, c.record.Expiry),
			After:       c.stampFloor,
		}
		key := string(c.name)
		t.Conditions = append(t.Conditions, store.Condition{Table: LeaseTable, Key: key, Version: c.row.Version})
		t.Writes = append(t.Writes,
			store.Write{Table: LeaseTable, Key: key, Value: recs[i].encode()},
			store.Write{Table: FenceTable, Key: key, Value: []byte(strconv.FormatUint(uint64(recs[i].Token), 10))})
	}
	result, err := h.transact(ctx, t)
	if err != nil {
		return err
	}
	s := clockSample{result.At, before, h.Clock()}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock = s
	if !result.Committed {
		return nil
	}
	for i, c := range candidates {
		h.addLease(c.name, recs[i], result.Versions[2*i], result.Versions[2*i+1], s)
	}
	return nil
}

func (h *Holder) addLease(name Name, rec record, version, fence store.Version, s clockSample) {
	delete(h.backoffs, name)
	h.held[name] = &heldLease{
		record:    rec,
		version:   version,
		renewedAt: s.before,
		grant: Grant{
			Name:       name,
			Token:      rec.Token,
			Expiry:     rec.Expiry,
			StampFloor: rec.After,
			Fence:      store.Condition{Table: FenceTable, Key: string(name), Version: fence},
			clock:      s,
		},
	}
}

// Release releases a lease. From the call on, this process no longer holds the
// lease, whatever the store answers. The next holder is responsible for all stamps
// later than acceptedUpTo, or later than those of earlier holders if this holder
// accepted none.
//
// If Release returns an error, the release may have taken effect; another call
// finds out or repeats it. Without a release, the lease ends at its expiry.
func (h *Holder) Release(ctx context.Context, name Name, acceptedUpTo time.Time) error {
	if !h.markReleasing(name, acceptedUpTo) {
		return ErrNotHeld
	}
	if err := h.lockWrites(ctx); err != nil {
		return err
	}
	defer h.unlockWrites()
	for {
		t, ok := h.releaseTransaction(name)
		if !ok {
			return nil
		}
		result, err := h.transact(ctx, t)
		if err != nil {
			return err
		}
		if result.Committed || !h.adoptLateRenewal(name, result) {
			h.remove(name)
			return nil
		}
	}
}

// markReleasing ends the use of a lease in this process and reports whether it was
// held. After several calls, the highest stamp applies.
func (h *Holder) markReleasing(name Name, acceptedUpTo time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.held[name]
	if ok {
		e.releasing = true
		e.acceptedUpTo = laterTime(e.acceptedUpTo, acceptedUpTo)
	}
	return ok
}

func (h *Holder) releaseTransaction(name Name) (store.Transaction, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.held[name]
	if !ok {
		return store.Transaction{}, false
	}
	rec := e.record
	rec.Released = true
	rec.AcceptedUpTo = laterTime(rec.After, e.acceptedUpTo)
	return store.Transaction{
		Conditions: []store.Condition{{Table: LeaseTable, Key: string(name), Version: e.version}},
		Writes:     []store.Write{{Table: LeaseTable, Key: string(name), Value: rec.encode()}},
	}, true
}

// adoptLateRenewal reports whether a release conflicted with a renewal of this
// holder whose answer was lost, and adopts that renewal. Any other row shows that
// the release has already taken effect or that another daemon holds the lease.
func (h *Holder) adoptLateRenewal(name Name, result store.Result) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.held[name]
	for _, row := range result.Conflicts {
		rec, err := decodeRecord(row)
		if err == nil && h.isOwn(rec, e.record.Token) {
			h.adopt(e, rec, row.Version, h.clock)
			return true
		}
	}
	return false
}

func (h *Holder) remove(name Name) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.held, name)
}
