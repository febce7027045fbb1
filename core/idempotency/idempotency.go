// Package idempotency deduplicates requests by idempotency key, so that a
// request with a key runs at most once.
//
// A Table holds the keys of one key slot of a service. The daemon that holds
// the slot's lease owns the slot and consults the table before the first
// attempt of a request. Under the rule Stamped, keys carry a timestamp, called
// the stamp, and are kept in memory only: successive owners accept disjoint
// ranges of stamps, whose boundary is stored in the lease row. Under the rule
// Recorded, a row is inserted for each key, on condition that the row does not
// exist and that the lease's fencing token is current.
//
// A table evicts old keys to bound its memory. It then raises its floor, the
// stamp up to which unknown keys are rejected with outcome Unknown, so that an
// evicted key never runs again.
package idempotency

import (
	"container/heap"
	"context"
	"strconv"
	"sync"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/invariant"
	"pollenscale/core/lease"
	"pollenscale/core/outcome"
	"pollenscale/core/policy"
	"pollenscale/core/store"
	"pollenscale/core/wait"
	"pollenscale/internal/mutant"
)

// Mechanisms that mutation tests disable one at a time.
var (
	rememberKeys          = mutant.New("idempotency/remember-keys")
	checkStampFloor       = mutant.New("idempotency/stamp-floor")
	checkStampLimit       = mutant.New("idempotency/stamp-limit")
	raiseFloorOnEviction  = mutant.New("idempotency/raise-floor-on-eviction")
	detectKeyReuse        = mutant.New("idempotency/key-reuse")
	requireFence          = mutant.New("idempotency/fence-condition")
	requireRowAbsence     = mutant.New("idempotency/row-absence")
	separateOrganisations = mutant.New("idempotency/organisation-in-key")
	stopOnDrain           = mutant.New("idempotency/stop-on-drain")
)

const (
	// defaultMaxKeys limits a table to about 4 MB, as a key with a small
	// response takes 470 bytes. A daemon that owns all slots of a service has
	// four tables, and its whole memory budget is 64 MB.
	defaultMaxKeys = 8192
	// defaultMaxTotalResponseBytes limits the total size of the responses that a
	// table stores.
	defaultMaxTotalResponseBytes = 1 << 20
	// defaultMaxResponseBytes limits the size of one stored response. A response
	// of this size also fits in a row of the table service.
	defaultMaxResponseBytes = 16 << 10
	// defaultRetention is how long a stamped key is kept.
	defaultRetention = 10 * time.Minute
	// reorderWait is how long a draining owner waits for requests that arrive
	// after newer ones: a TCP retransmission takes up to 200 ms on a LAN.
	reorderWait = 200 * time.Millisecond
	// maxWriteAttempts limits how often one Begin writes the row of a key, which
	// is retried after conflicts with the table's own earlier writes.
	maxWriteAttempts = 4
)

// Response is the response to the first request with a key, which is replayed
// to repeated requests.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
}

func (r *Response) size() int {
	if r == nil {
		return 0
	}
	n := len(r.Body)
	for name, values := range r.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// Table holds the keys of one slot. Use New to create one.
type Table struct {
	Slot lease.Name
	// Grant returns the last grant of the slot's lease, valid or not.
	Grant func(lease.Name) (lease.Grant, bool)
	Clock func() lease.Reading
	// Recorder writes the rows of recorded keys. If it is nil, recorded keys are
	// rejected.
	Recorder *Recorder
	// MaxKeys, MaxResponseBytes (for one response) and MaxTotalResponseBytes
	// limit the memory of the table.
	MaxKeys               int
	MaxResponseBytes      int
	MaxTotalResponseBytes int
	Retention             time.Duration

	mu       sync.Mutex
	keys     map[Key]*entry
	stamped  stampHeap
	recorded []*entry // in order of insertion
	// floor is the stamp up to which keys that are not in the table may have
	// been accepted earlier, here or by another owner.
	floor         time.Time
	maxAccepted   time.Time // highest accepted stamp
	responses     []*entry  // finished, with a stored response; oldest first
	responseBytes int
	openClaims    int           // claims that have not ended
	draining      bool          // rejects new keys
	drained       bool          // the lease may have been released
	idle          chan struct{} // holds a value when a draining table has no open claims
	claimSequence uint64
}

// state is the state of a key. It is stored in the rows of recorded keys.
type state string

const (
	stateRunning  state = "Running"
	stateFinished state = "Finished"
	stateUnknown  state = "Unknown"
	// stateAborted marks a recorded key whose request did not run, and whose row
	// may exist.
	stateAborted state = "Aborted"
)

type entry struct {
	key         Key
	rule        policy.KeyRule
	fingerprint Fingerprint
	state       state
	response    *Response
	stamp       time.Time
	heapIndex   int // index in Table.stamped, -1 if absent
	claimID     string
	version     store.Version // last known version of a recorded key's row
	removed     bool
}

// Option configures a table in New.
type Option func(*Table)

// WithClock sets the function that reads the clocks.
func WithClock(clock func() lease.Reading) Option {
	return func(t *Table) { t.Clock = clock }
}

// WithRecorder sets the writer of recorded keys.
func WithRecorder(r *Recorder) Option {
	return func(t *Table) { t.Recorder = r }
}

// WithBounds limits the number of keys in the table, and the size of one
// response and of all stored responses in bytes.
func WithBounds(keys, response, responses int) Option {
	return func(t *Table) { t.MaxKeys, t.MaxResponseBytes, t.MaxTotalResponseBytes = keys, response, responses }
}

// New returns an empty table for a slot. The grant function is usually
// lease.Holder.Grant.
func New(slot lease.Name, grant func(lease.Name) (lease.Grant, bool), options ...Option) *Table {
	t := &Table{
		Slot:                  slot,
		Grant:                 grant,
		Clock:                 lease.ReadClock,
		MaxKeys:               defaultMaxKeys,
		MaxResponseBytes:      defaultMaxResponseBytes,
		MaxTotalResponseBytes: defaultMaxTotalResponseBytes,
		Retention:             defaultRetention,
		keys:                  map[Key]*entry{},
		idle:                  make(chan struct{}, 1),
	}
	for _, o := range options {
		o(t)
	}
	return t
}

// Begin looks up the key of a request before its first attempt. It returns
// either a claim, under which the request runs, or the stored response to the
// first request with the key, or an *outcome.Error to return to the caller.
func (t *Table) Begin(ctx context.Context, rule policy.KeyRule, key Key, f Fingerprint) (*Claim, *Response, error) {
	if len(key.Value) == 0 || len(key.Value) > maxKeyBytes {
		return nil, nil, outcome.New(outcome.NotRun, outcome.BadRequest, "the idempotency key must have 1 to 255 bytes")
	}
	if separateOrganisations.Off() {
		key.Organisation = ""
	}
	// All checks use the same clock reading, so that a pause of the process
	// between them cannot make them disagree.
	now := t.Clock()
	grant, held := t.Grant(t.Slot)
	held = held && grant.ValidAt(now)
	if rule == policy.KeyStamped {
		return t.beginStamped(grant, held, now, key, f)
	}
	return t.beginRecorded(ctx, grant, held, key, f)
}

func (t *Table) beginStamped(grant lease.Grant, held bool, now lease.Reading, key Key, f Fingerprint) (*Claim, *Response, error) {
	stamp, ok := key.stamp()
	if !ok {
		return nil, nil, outcome.New(outcome.NotRun, outcome.BadRequest, "the idempotency key must be a UUIDv7")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.keys[key]; e != nil && !rememberKeys.Off() {
		response, err := e.replay(f, held)
		return nil, response, err
	}
	if !held {
		return nil, nil, notOwner()
	}
	t.advanceFloor(grant.StampFloor)
	t.expireUpTo(grant.StampLimit(now).Add(-lease.MaxStampLead - t.Retention))
	limit := grant.StampLimit(now)
	if !stamp.After(t.floor) && !checkStampFloor.Off() {
		return nil, nil, outcome.New(outcome.Unknown, outcome.KeyUnknown, "the key is older than what this owner knows")
	}
	if stamp.After(limit) && !checkStampLimit.Off() {
		err := outcome.New(outcome.Unknown, outcome.BadRequest, "the key's time lies in the future")
		err.RetryAt = now.Wall.Add(stamp.Sub(limit))
		return nil, nil, err
	}
	if err := t.drainError(); err != nil && !t.acceptsReordered(stamp) {
		return nil, nil, err
	}
	if !t.makeRoom(stamp) {
		return nil, nil, outcome.New(outcome.Unknown, outcome.KeyUnknown, "the key is older than what this owner can keep")
	}
	e := &entry{key: key, rule: policy.KeyStamped, fingerprint: f, state: stateRunning, stamp: stamp}
	t.keys[key] = e
	heap.Push(&t.stamped, e)
	t.maxAccepted = latest(t.maxAccepted, stamp)
	invariant.Check(stamp.After(grant.StampFloor) && !stamp.After(grant.Expiry.Add(lease.MaxStampLead)),
		"KeyWithinGrant", "%s: stamp %s outside of %s to %s", t.Slot, stamp, grant.StampFloor, grant.Expiry)
	invariant.Check(!t.drained, "NoKeyAfterDrain", "%s: accepts stamp %s after it was drained", t.Slot, stamp)
	t.openClaims++
	return &Claim{table: t, entry: e, grant: grant}, nil, nil
}

// replay returns the result for a repeated key: the stored response, or an
// error that tells what is known of the first request.
func (e *entry) replay(f Fingerprint, held bool) (*Response, error) {
	if e.fingerprint != f && !detectKeyReuse.Off() {
		o := outcome.Unknown
		if held {
			o = outcome.NotRun
		}
		return nil, outcome.New(o, outcome.KeyReused, "the key was used for a different request")
	}
	switch {
	case e.state == stateRunning:
		return nil, outcome.New(outcome.Unknown, outcome.Running, "the first request with this key is under way")
	case e.state == stateFinished && e.response != nil:
		return e.response, nil
	case e.state == stateFinished:
		return nil, outcome.New(outcome.Run, outcome.KeyUnknown, "the request ran; its answer is not kept")
	}
	return nil, outcome.New(outcome.Unknown, outcome.KeyUnknown, "the outcome of the first request is not known")
}

func notOwner() error {
	return outcome.New(outcome.Unknown, outcome.NotOwner, "this daemon does not own the key's slot")
}

// drainError returns the error that rejects new keys while draining, or nil.
// Until the lease is released, no other owner can have accepted the key, so the
// outcome is NotRun; after that it is Unknown.
func (t *Table) drainError() error {
	switch {
	case !t.draining || stopOnDrain.Off():
		return nil
	case t.drained:
		return outcome.New(outcome.Unknown, outcome.Draining, "the key's owner has stopped")
	}
	return outcome.New(outcome.NotRun, outcome.Draining, "the key's owner is stopping")
}

// acceptsReordered reports whether a draining table still accepts a key with the
// given stamp: newer keys were accepted, and the lease is not released yet. The
// next owner could not tell whether the key ran.
func (t *Table) acceptsReordered(stamp time.Time) bool {
	return !t.drained && !stamp.After(t.maxAccepted)
}

// advanceFloor raises the floor to the given stamp. It never lowers it.
func (t *Table) advanceFloor(floor time.Time) {
	t.floor = latest(t.floor, floor)
}

// expireUpTo evicts the keys with stamps up to the given one.
func (t *Table) expireUpTo(stamp time.Time) {
	for len(t.stamped) > 0 && !t.stamped[0].stamp.After(stamp) {
		t.evictStamped()
	}
}

// makeRoom evicts keys until one with the given stamp fits. It returns false if
// the table is full and the new key would be its oldest.
func (t *Table) makeRoom(stamp time.Time) bool {
	for len(t.stamped) >= t.MaxKeys {
		if !stamp.After(t.stamped[0].stamp) {
			return false
		}
		t.evictStamped()
	}
	return true
}

func (t *Table) evictStamped() {
	e := t.stamped[0]
	t.remove(e)
	if !raiseFloorOnEviction.Off() {
		t.advanceFloor(e.stamp)
	}
	invariant.Check(!e.stamp.After(t.floor), "ForgottenBelowFloor", "%s: evicts stamp %s above the floor %s", t.Slot, e.stamp, t.floor)
}

// remove removes a key from the table. A claim on it stays valid.
func (t *Table) remove(e *entry) {
	if e.removed {
		return
	}
	e.removed = true
	delete(t.keys, e.key)
	if e.rule == policy.KeyStamped {
		heap.Remove(&t.stamped, e.heapIndex)
	}
	t.dropResponse(e)
}

func (t *Table) dropResponse(e *entry) {
	t.responseBytes -= e.response.size()
	e.response = nil
}

// storeResponse stores the response of a key, unless it is too large, and drops
// the oldest responses that exceed the limits.
func (t *Table) storeResponse(e *entry, r *Response) {
	if r == nil || r.size() > t.MaxResponseBytes || e.removed {
		return
	}
	e.response = r
	t.responseBytes += r.size()
	t.responses = append(t.responses, e)
	for t.responseBytes > t.MaxTotalResponseBytes || len(t.responses) > 2*t.MaxKeys {
		t.dropResponse(t.responses[0])
		t.responses = t.responses[1:]
	}
}

// Claim is the exclusive right to run a keyed request. It ends with the first
// call of Finish or Abort. If the outcome of the request cannot be determined,
// the claim ends with Finish and outcome.Unknown.
type Claim struct {
	table *Table
	entry *entry
	grant lease.Grant
	ended bool
}

// FencingToken returns the slot and the fencing token that every attempt under the
// claim carries.
func (c *Claim) FencingToken() (lease.Name, lease.Token) {
	return c.grant.Name, c.grant.Token
}

// Finish ends the claim with the outcome of the request. The response is stored
// if the request ran and the response is small enough; the table then owns it.
// The outcome NotRun must be final, as for Abort.
func (c *Claim) Finish(o outcome.Outcome, r *Response) {
	if o == outcome.NotRun {
		c.Abort()
		return
	}
	c.endOnce(func(t *Table, e *entry) {
		e.state = stateUnknown
		if o == outcome.Run {
			e.state = stateFinished
			t.storeResponse(e, r)
		}
		t.recordResult(e, c.grant)
	})
}

// Abort ends the claim once it is final that no attempt under it ran or will
// run. The key may then be used again.
func (c *Claim) Abort() {
	c.endOnce(func(t *Table, e *entry) {
		if e.rule == policy.KeyStamped {
			t.remove(e)
			return
		}
		e.state = stateAborted
		t.recordResult(e, c.grant)
	})
}

func (c *Claim) endOnce(apply func(*Table, *entry)) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	invariant.Check(c.entry.state == stateRunning, "ClaimEndsRunning", "%s: claim ends in state %s", t.Slot, c.entry.state)
	apply(t, c.entry)
	t.openClaims--
	t.signalIdle()
}

func (t *Table) signalIdle() {
	if t.draining && t.openClaims == 0 {
		select {
		case t.idle <- struct{}{}:
		default:
		}
	}
}

// Drain rejects newer keys and waits until all claims have ended or ctx is
// done. It returns the highest accepted stamp, for lease.Holder.Release, which
// is safe to call even if claims are still open.
//
// While it waits, the table still accepts keys with stamps up to the highest
// accepted one: requests can be reordered on the way to the owner, and the next
// owner cannot tell whether such a key ran.
func (t *Table) Drain(ctx context.Context) time.Time {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	wait.For(ctx, reorderWait)
	for {
		maxAccepted, done := t.tryFinishDrain(ctx.Err() != nil)
		if done {
			return maxAccepted
		}
		select {
		case <-t.idle:
		case <-ctx.Done():
		}
	}
}

// tryFinishDrain stops accepting any key if no claims are open, or if forced.
func (t *Table) tryFinishDrain(force bool) (maxAccepted time.Time, done bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drained = t.drained || force || t.openClaims == 0
	return t.maxAccepted, t.drained
}

// Len returns the number of keys that the table holds.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.keys)
}

// newClaimID returns an identifier that is unique among the claims of all
// daemons.
func (t *Table) newClaimID(daemon fleet.DaemonID, incarnation fleet.Incarnation) string {
	t.claimSequence++
	return string(daemon) + "/" + incarnation.String() + "/" + strconv.FormatUint(t.claimSequence, 10)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// stampHeap orders stamped keys by their stamp.
type stampHeap []*entry

func (h stampHeap) Len() int           { return len(h) }
func (h stampHeap) Less(i, j int) bool { return h[i].stamp.Before(h[j].stamp) }

func (h stampHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *stampHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *stampHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.heapIndex = -1
	return e
}
