package lease

import (
	"context"
	"strconv"
	"time"

	"pollenscale/core/invariant"
	"pollenscale/core/store"
)

// candidate is a vacant lease as read from the store.
type candidate struct {
	name   Name
	row    store.Row
	before record
	after  time.Time
	at     time.Time // store time of the read
}

// Acquire takes up to two of the vacant leases that are free in the store. It
// reads a lease held by another daemon again only after its expiry.
func (h *Holder) Acquire(ctx context.Context) error {
	if h.Vacant == nil {
		return nil
	}
	if err := h.lock(ctx); err != nil {
		return err
	}
	defer h.unlock()
	var free []candidate
	for _, name := range h.unheld(h.Vacant()) {
		c, ok, err := h.look(ctx, name)
		if err != nil {
			return err
		}
		if ok {
			free = append(free, c)
		}
		if len(free) == maxTaken {
			break
		}
	}
	if len(free) == 0 {
		return nil
	}
	return h.take(ctx, free)
}

// unheld returns the names that are worth a read, in random order so that
// daemons that start together look at different leases first.
func (h *Holder) unheld(names []Name) []Name {
	now := h.Clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	var result []Name
	for _, name := range names {
		if _, ok := h.held[name]; ok {
			continue
		}
		if b, ok := h.busy[name]; ok && now.Since(b.at) < b.wait {
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

// look reads a lease row and reports whether the lease can be taken. A stale
// row is harmless: the transaction that follows is conditional on its version.
func (h *Holder) look(ctx context.Context, name Name) (candidate, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rechecks := h.recheckCount()
	before := h.Clock()
	row, at, err := h.Tables.Read(ctx, LeaseTable, string(name))
	if err != nil {
		return candidate{}, false, err
	}
	h.observe(sample{at, before, h.Clock()})
	rec, err := parse(row)
	if err != nil {
		return candidate{}, false, err
	}
	c := candidate{name: name, row: row, before: rec, after: rec.acceptedBefore(), at: at}
	if h.own(rec, rec.Token) {
		// An acquisition without an answer took effect. Nothing was accepted
		// under its token, so that the stamps before it are still the bound.
		c.after = rec.After
		return c, true, nil
	}
	if !rec.free(at) {
		h.markBusy(c, rec.Expiry.Sub(at), rechecks)
		return candidate{}, false, nil
	}
	if rec.Token != 0 && !rec.Released && !h.watched(c) {
		h.markBusy(c, 3*h.retryPause()/2, rechecks)
		return candidate{}, false, nil
	}
	return c, true, nil
}

// watched reports whether this daemon has seen the row before the lease ended.
// If not, the whole fleet may come out of a store outage: then the lease is left
// to its holder for a while. Without that, takeovers at the end of an outage
// bring 3,400 daemons to 113 writes/s, and each costs the slot its known keys.
func (h *Holder) watched(c candidate) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	b, ok := h.busy[c.name]
	return ok && b.version == c.row.Version
}

// Recheck makes the next look read all vacant leases again, whatever expiry was
// read before. It is called when a daemon that may have held one has changed,
// since a release ends a lease long before its expiry.
func (h *Holder) Recheck() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.busy)
	h.rechecks++
}

// RecheckNow does what Recheck does, and makes the look early if leases are vacant.
// It is called at a few daemons of a service when another one changes that stops as
// planned. After a loss the leases have to expire first, and in an outage of the
// store all of them become vacant at once.
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

// markBusy leaves a lease alone for the given time, unless a recheck was asked
// for since its row was read.
func (h *Holder) markBusy(c candidate, wait time.Duration, rechecks uint64) {
	now := h.Clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	if rechecks != h.rechecks {
		return
	}
	h.busy[c.name] = busyUntil{at: now, wait: min(wait, TTL), version: c.row.Version}
}

// take acquires the leases in one transaction. When another daemon was faster
// for one of them, none is taken; the next poll looks again.
func (h *Holder) take(ctx context.Context, free []candidate) error {
	before := h.Clock()
	expiry := h.newExpiry(before)
	var t store.Transaction
	recs := make([]record, len(free))
	for i, c := range free {
		invariant.Check(c.before.Token == 0 || c.before.Released || !c.at.Before(c.before.Expiry) || h.own(c.before, c.before.Token),
			"LeaseTakenAfterExpiry", "%s: taken at %s, held by %s until %s", c.name, c.at, c.before.Holder, c.before.Expiry)
		recs[i] = record{
			Holder:      h.Self,
			Incarnation: h.Incarnation,
			Token:       c.before.Token + 1,
			Expiry:      later(expiry, c.before.Expiry),
			After:       c.after,
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
	s := sample{result.At, before, h.Clock()}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock = s
	if !result.Committed {
		return nil
	}
	for i, c := range free {
		h.enter(c.name, recs[i], result.Versions[2*i], result.Versions[2*i+1], s)
	}
	return nil
}

func (h *Holder) enter(name Name, rec record, version, fence store.Version, s sample) {
	delete(h.busy, name)
	h.held[name] = &entry{
		rec:     rec,
		version: version,
		renewal: s.before,
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

// Release gives a lease back. From the call on, the lease is not held any more,
// whatever the store answers. The next holder answers for all stamps later than
// acceptedUpTo, or than those of earlier holders if none was accepted.
//
// On an error the release may have taken effect; a further call settles it.
// Without a release, the lease ends at its expiry.
func (h *Holder) Release(ctx context.Context, name Name, acceptedUpTo time.Time) error {
	if !h.leave(name, acceptedUpTo) {
		return ErrNotHeld
	}
	if err := h.lock(ctx); err != nil {
		return err
	}
	defer h.unlock()
	for {
		t, ok := h.release(name)
		if !ok {
			return nil
		}
		result, err := h.transact(ctx, t)
		if err != nil {
			return err
		}
		if result.Committed || !h.renewedLate(name, result) {
			h.forget(name)
			return nil
		}
	}
}

// leave stops the use of a lease. Of several calls, the highest stamp counts.
func (h *Holder) leave(name Name, acceptedUpTo time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.held[name]
	if ok {
		e.leaving = true
		e.accepted = later(e.accepted, acceptedUpTo)
	}
	return ok
}

func (h *Holder) release(name Name) (store.Transaction, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.held[name]
	if !ok {
		return store.Transaction{}, false
	}
	rec := e.rec
	rec.Released = true
	rec.AcceptedUpTo = later(rec.After, e.accepted)
	return store.Transaction{
		Conditions: []store.Condition{{Table: LeaseTable, Key: string(name), Version: e.version}},
		Writes:     []store.Write{{Table: LeaseTable, Key: string(name), Value: rec.encode()}},
	}, true
}

// renewedLate reports whether the refused release met a renewal of this holder
// whose answer was lost, and adopts it. Any other row shows that the release
// took effect before or that another daemon has the lease.
func (h *Holder) renewedLate(name Name, result store.Result) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.held[name]
	for _, row := range result.Conflicts {
		rec, err := parse(row)
		if err == nil && h.own(rec, e.rec.Token) {
			h.adopt(e, rec, row.Version, h.clock)
			return true
		}
	}
	return false
}

func (h *Holder) forget(name Name) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.held, name)
}
