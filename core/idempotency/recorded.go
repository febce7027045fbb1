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

// record is the row value of a recorded key, encoded as JSON.
type record struct {
	// Claim is the ID of the claim that wrote the row.
	Claim       string
	Fingerprint Fingerprint
	State       state
	Answer      *Response
}

func (r record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // all fields of a record can be encoded
	}
	return value
}

// beginRecorded implements Begin for the rule Recorded. The entry is in
// stateRunning while its row is written, so that concurrent requests with the
// key are rejected as running.
func (t *Table) beginRecorded(ctx context.Context, grant lease.Grant, held bool, key Key, f Fingerprint) (*Claim, *Response, error) {
	e, response, err := t.reserve(held, key, f)
	if e == nil {
		return nil, response, err
	}
	for range maxWriteAttempts {
		result, err := t.insertRow(ctx, e, grant)
		if err != nil {
			t.cancelReservation(e)
			return nil, nil, err
		}
		if result.version != 0 {
			return t.confirmClaim(e, grant, result.version), nil, nil
		}
		if again, response, err := t.handleConflict(e, result); !again {
			return nil, response, err
		}
	}
	t.cancelReservation(e)
	return nil, nil, outcome.New(outcome.Unknown, outcome.StoreDown, "the key could not be recorded")
}

// reserve returns an entry in stateRunning for the key, or the response to a
// key that is already in the table.
func (t *Table) reserve(held bool, key Key, f Fingerprint) (*entry, *Response, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.keys[key]
	if e != nil && (e.state != stateAborted || e.rule != policy.KeyRecorded) {
		response, err := e.replay(f, held)
		return nil, response, err
	}
	if !held {
		return nil, nil, notOwner()
	}
	if t.Recorder == nil {
		return nil, nil, outcome.New(outcome.Unknown, outcome.StoreDown, "keys are not recorded here")
	}
	if t.draining && !stopOnDrain.Off() {
		return nil, nil, outcome.New(outcome.Unknown, outcome.Draining, "the key's owner is stopping")
	}
	if e == nil {
		t.evictRecorded()
		e = &entry{key: key, rule: policy.KeyRecorded, heapIndex: -1}
		e.claimID = t.newClaimID(t.Recorder.Self, t.Recorder.Incarnation)
		t.keys[key] = e
		t.recorded = append(t.recorded, e)
	}
	e.fingerprint, e.state = f, stateRunning
	t.openClaims++
	return e, nil, nil
}

// evictRecorded removes the oldest recorded keys to stay within MaxKeys. Their
// rows still prevent a second run.
func (t *Table) evictRecorded() {
	for len(t.recorded) >= t.MaxKeys {
		t.remove(t.recorded[0])
		t.recorded = t.recorded[1:]
	}
}

// insertRow writes the row of a key in stateRunning, and waits for the result
// or until ctx is done.
func (t *Table) insertRow(ctx context.Context, e *entry, grant lease.Grant) (writeResult, error) {
	results := make(chan writeResult, 1)
	t.mu.Lock()
	w := rowWrite{
		fence:   grant.Fence,
		row:     e.key.row(t.Slot),
		version: e.version,
		value:   record{Claim: e.claimID, Fingerprint: e.fingerprint, State: stateRunning}.encode(),
		done:    func(r writeResult) { results <- r },
	}
	t.mu.Unlock()
	timeout := outcome.New(outcome.Unknown, outcome.StoreDown, "the key could not be recorded in time")
	select {
	case t.Recorder.writes <- w:
	case <-ctx.Done():
		return writeResult{}, timeout
	}
	select {
	case r := <-results:
		return r, nil
	case <-ctx.Done():
		return writeResult{}, timeout
	}
}

// cancelReservation ends a reservation whose row may or may not exist. The
// request did not run; the next request with the key writes the row again with
// the same claim ID.
func (t *Table) cancelReservation(e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.state = stateAborted
	t.openClaims--
	t.signalIdle()
}

func (t *Table) confirmClaim(e *entry, grant lease.Grant, version store.Version) *Claim {
	t.mu.Lock()
	defer t.mu.Unlock()
	invariant.Check(version > e.version && e.state == stateRunning, "ClaimHasRow",
		"%s: claim of a %s key on version %d after %d", t.Slot, e.state, version, e.version)
	e.version = version
	return &Claim{table: t, entry: e, grant: grant}
}

// handleConflict handles the result of an insertion that is not known to have
// taken effect. It reports whether to write again: after a store call without a
// response, over a row with the same claim ID, and over the row of a key that
// did not run.
func (t *Table) handleConflict(e *entry, result writeResult) (again bool, response *Response, err error) {
	if result.err != nil {
		return true, nil, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var rec record
	switch {
	case result.fenceFailed:
		err = notOwner()
	case result.conflict.Version == 0:
		e.version = 0
		return true, nil, nil
	case json.Unmarshal(result.conflict.Value, &rec) != nil:
		err = outcome.New(outcome.Unknown, outcome.KeyUnknown, "the record of the key is damaged")
	case rec.State == stateAborted, rec.Claim == e.claimID && rec.State == stateRunning:
		e.version = result.conflict.Version
		return true, nil, nil
	}
	t.openClaims--
	t.signalIdle()
	if err != nil {
		t.remove(e)
		return false, nil, err
	}
	f := e.fingerprint
	e.fingerprint, e.state = rec.Fingerprint, stateUnknown
	if rec.State == stateFinished {
		e.state = stateFinished
		t.storeResponse(e, rec.Answer)
	}
	response, err = e.replay(f, true)
	return false, response, err
}

// recordResult queues a write of the claim's result to the row and does not wait
// for it. Until the row is written, a new owner returns outcome Unknown for the
// key.
func (t *Table) recordResult(e *entry, grant lease.Grant) {
	if e.rule != policy.KeyRecorded {
		return
	}
	w := rowWrite{
		fence:    grant.Fence,
		row:      e.key.row(t.Slot),
		version:  e.version,
		value:    record{Claim: e.claimID, Fingerprint: e.fingerprint, State: e.state, Answer: e.response}.encode(),
		isResult: true,
		done:     func(r writeResult) { t.resultRecorded(e, r) },
	}
	select {
	case t.Recorder.writes <- w:
	default: // the queue is full; the row stays in stateRunning
	}
}

func (t *Table) resultRecorded(e *entry, r writeResult) {
	if r.version == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.state != stateRunning {
		e.version = r.version
	}
}
