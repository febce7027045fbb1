package idempotency

import (
	"context"
	"encoding/json"

	"pollenscale/core/invariant"
	"pollenscale/core/lease"
	"pollenscale/core/outcome"
	"pollenscale/core/policy"
	"pollenscale/core/store"
)

// record is the value of the row of a recorded key.
type record struct {
	// Claim identifies the claim that wrote the row.
	Claim       string
	Fingerprint Fingerprint
	State       state
	Answer      *Response
}

func (r record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // a record has only plain fields
	}
	return value
}

// beginRecorded decides about a key under the rule Recorded. While the row is
// being written, the entry is running, so that copies are told so.
func (t *Table) beginRecorded(ctx context.Context, grant lease.Grant, held bool, key Key, f Fingerprint) (*Claim, *Response, error) {
	e, answer, err := t.reserve(held, key, f)
	if e == nil {
		return nil, answer, err
	}
	for range maxTries {
		result, err := t.insert(ctx, e, grant)
		if err != nil {
			t.unsettled(e)
			return nil, nil, err
		}
		if result.version != 0 {
			return t.claimed(e, grant, result.version), nil, nil
		}
		if again, answer, err := t.refused(e, result); !again {
			return nil, answer, err
		}
	}
	t.unsettled(e)
	return nil, nil, outcome.New(outcome.Unknown, outcome.StoreDown, "the key could not be recorded")
}

// reserve returns a running entry for the key, or the answer to a known key.
func (t *Table) reserve(held bool, key Key, f Fingerprint) (*entry, *Response, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.keys[key]
	if e != nil && (e.state != stateAborted || e.rule != policy.KeyRecorded) {
		answer, err := e.repeat(f, held)
		return nil, answer, err
	}
	if !held {
		return nil, nil, notOwner()
	}
	if t.Recorder == nil {
		return nil, nil, outcome.New(outcome.Unknown, outcome.StoreDown, "keys are not recorded here")
	}
	if t.closed && !stopOnDrain.Off() {
		return nil, nil, outcome.New(outcome.Unknown, outcome.Draining, "the key's owner is stopping")
	}
	if e == nil {
		t.forgetRecorded()
		e = &entry{key: key, rule: policy.KeyRecorded, index: -1}
		e.claim = t.newClaim(t.Recorder.Self, t.Recorder.Incarnation)
		t.keys[key] = e
		t.recorded = append(t.recorded, e)
	}
	e.fingerprint, e.state = f, stateRunning
	t.open++
	return e, nil, nil
}

// forgetRecorded drops the oldest recorded keys beyond the bound. Their rows
// still answer for them.
func (t *Table) forgetRecorded() {
	for len(t.recorded) >= t.MaxKeys {
		t.forget(t.recorded[0])
		t.recorded = t.recorded[1:]
	}
}

// insert writes the open row and waits for the result or the end of ctx.
func (t *Table) insert(ctx context.Context, e *entry, grant lease.Grant) (written, error) {
	results := make(chan written, 1)
	t.mu.Lock()
	w := write{
		fence:   grant.Fence,
		row:     e.key.row(t.Slot),
		version: e.version,
		value:   record{Claim: e.claim, Fingerprint: e.fingerprint, State: stateRunning}.encode(),
		done:    func(r written) { results <- r },
	}
	t.mu.Unlock()
	down := outcome.New(outcome.Unknown, outcome.StoreDown, "the key could not be recorded in time")
	select {
	case t.Recorder.writes <- w:
	case <-ctx.Done():
		return written{}, down
	}
	select {
	case r := <-results:
		return r, nil
	case <-ctx.Done():
		return written{}, down
	}
}

// unsettled ends a reservation whose row may or may not exist. The request did
// not run; the next copy writes the row again under the same claim.
func (t *Table) unsettled(e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.state = stateAborted
	t.open--
	t.signalIdle()
}

func (t *Table) claimed(e *entry, grant lease.Grant, version store.Version) *Claim {
	t.mu.Lock()
	defer t.mu.Unlock()
	invariant.Check(version > e.version && e.state == stateRunning, "ClaimHasRow",
		"%s: claim of a %s key on version %d after %d", t.Slot, e.state, version, e.version)
	e.version = version
	return &Claim{table: t, entry: e, grant: grant}
}

// refused applies a write that did not take effect. It reports whether to write
// again: after a lost answer, over an own row, and over the row of a key that
// did not run.
func (t *Table) refused(e *entry, result written) (again bool, answer *Response, err error) {
	if result.err != nil {
		return true, nil, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var rec record
	switch {
	case result.fenced:
		err = notOwner()
	case result.row.Version == 0:
		e.version = 0
		return true, nil, nil
	case json.Unmarshal(result.row.Value, &rec) != nil:
		err = outcome.New(outcome.Unknown, outcome.KeyUnknown, "the record of the key is damaged")
	case rec.State == stateAborted, rec.Claim == e.claim && rec.State == stateRunning:
		e.version = result.row.Version
		return true, nil, nil
	}
	t.open--
	t.signalIdle()
	if err != nil {
		t.forget(e)
		return false, nil, err
	}
	f := e.fingerprint
	e.fingerprint, e.state = rec.Fingerprint, stateUnknown
	if rec.State == stateFinished {
		e.state = stateFinished
		t.keep(e, rec.Answer)
	}
	answer, err = e.repeat(f, true)
	return false, answer, err
}

// recordEnd writes the end of a claim to the row. It does not wait: until the
// row is written, a new owner answers 'unknown' for the key.
func (t *Table) recordEnd(e *entry, grant lease.Grant) {
	if e.rule != policy.KeyRecorded {
		return
	}
	w := write{
		fence:   grant.Fence,
		row:     e.key.row(t.Slot),
		version: e.version,
		value:   record{Claim: e.claim, Fingerprint: e.fingerprint, State: e.state, Answer: e.answer}.encode(),
		result:  true,
		done:    func(r written) { t.ended(e, r) },
	}
	select {
	case t.Recorder.writes <- w:
	default: // a full queue leaves the row open
	}
}

func (t *Table) ended(e *entry, r written) {
	if r.version == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.state != stateRunning {
		e.version = r.version
	}
}
