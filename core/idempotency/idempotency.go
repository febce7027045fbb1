// Package idempotency decides about requests with an idempotency key, so that
// a key runs at most once.
//
// A Table belongs to one key slot of a service. The daemon that holds the
// slot's lease is the owner and asks its table before the first attempt. The
// rule Stamped keeps keys in memory: successive owners accept disjoint ranges of
// stamps, which the lease row separates. The rule Recorded inserts a row for
// each key, conditional on the row's absence and on the lease's fence.
//
// A table forgets old keys to stay within its bounds. It then raises the stamp
// below which it answers 'unknown', so that a forgotten key never runs again.
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

// Mechanisms that tests switch off one at a time.
var (
	rememberKeys  = mutant.New("idempotency/remember-keys")
	checkFloor    = mutant.New("idempotency/stamp-floor")
	checkAhead    = mutant.New("idempotency/stamp-limit")
	raiseFloor    = mutant.New("idempotency/raise-floor-on-eviction")
	compareBodies = mutant.New("idempotency/key-reuse")
	bindFence     = mutant.New("idempotency/fence-condition")
	bindAbsence   = mutant.New("idempotency/row-absence")
	splitByOrg    = mutant.New("idempotency/organisation-in-key")
	stopOnDrain   = mutant.New("idempotency/stop-on-drain")
)

const (
	// defaultMaxKeys bounds a table to about 4 MB: a key with a small answer
	// takes 470 bytes. A daemon that owns all slots of a service needs four
	// tables and has 64 MB in all.
	defaultMaxKeys = 8192
	// defaultMaxAnswerBytes bounds the answers that a table keeps.
	defaultMaxAnswerBytes = 1 << 20
	// defaultMaxAnswer bounds one kept answer; it also fits in a table row.
	defaultMaxAnswer = 16 << 10
	// defaultRetention is how long a stamped key is answered for.
	defaultRetention = 10 * time.Minute
	// overtakenWait is how long a stopping owner waits for requests that newer
	// ones have overtaken: a resent segment takes up to 200 ms on a LAN.
	overtakenWait = 200 * time.Millisecond
	// maxTries bounds the writes of one Begin that meet own earlier writes.
	maxTries = 4
)

// Answer is the first answer to a keyed request, as it is repeated.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

func (a *Answer) size() int {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// Table decides about the keys of one slot. Use New.
type Table struct {
	Slot lease.Name
	// Grant returns the last grant of the slot's lease, valid or not.
	Grant func(lease.Name) (lease.Grant, bool)
	Clock func() lease.Reading
	// Recorder writes the rows of recorded keys. Without one, such keys are
	// refused.
	Recorder *Recorder
	// MaxKeys, MaxAnswer and MaxAnswerBytes bound the memory of the table.
	MaxKeys        int
	MaxAnswer      int
	MaxAnswerBytes int
	Retention      time.Duration

	mu       sync.Mutex
	keys     map[Key]*entry
	stamped  stampHeap
	recorded []*entry // in order of insertion
	// floor is the stamp up to which keys may have been accepted and are not
	// known here.
	floor    time.Time
	accepted time.Time // highest accepted stamp
	answers  []*entry  // finished with a kept answer, oldest first
	bytes    int
	open     int           // claims that are not finished
	closed   bool          // accepts no further keys
	left     bool          // the lease may have been released
	idle     chan struct{} // has a value when a closed table has no claims left
	claims   uint64
}

// state is what is known of a key.
type state string

const (
	stateRunning  state = "Running"
	stateFinished state = "Finished"
	stateUnknown  state = "Unknown"
	// stateAborted is a recorded key that did not run and whose row may exist.
	stateAborted state = "Aborted"
)

type entry struct {
	key         Key
	rule        policy.KeyRule
	fingerprint Fingerprint
	state       state
	answer      *Answer
	stamp       time.Time
	index       int // in the heap, -1 when not in it
	claim       string
	version     store.Version // of the row of a recorded key, as last known
	forgotten   bool
}

// Option changes a table under construction.
type Option func(*Table)

// WithClock sets the clocks that the table reads.
func WithClock(clock func() lease.Reading) Option {
	return func(t *Table) { t.Clock = clock }
}

// WithRecorder sets the writer of recorded keys.
func WithRecorder(r *Recorder) Option {
	return func(t *Table) { t.Recorder = r }
}

// WithBounds sets the number of keys, the bytes of one answer and of all
// answers that the table keeps.
func WithBounds(keys, answer, answers int) Option {
	return func(t *Table) { t.MaxKeys, t.MaxAnswer, t.MaxAnswerBytes = keys, answer, answers }
}

// New returns an empty table for a slot. The grant function is usually
// lease.Holder.Grant.
func New(slot lease.Name, grant func(lease.Name) (lease.Grant, bool), options ...Option) *Table {
	t := &Table{
		Slot:           slot,
		Grant:          grant,
		Clock:          lease.ReadClock,
		MaxKeys:        defaultMaxKeys,
		MaxAnswer:      defaultMaxAnswer,
		MaxAnswerBytes: defaultMaxAnswerBytes,
		Retention:      defaultRetention,
		keys:           map[Key]*entry{},
		idle:           make(chan struct{}, 1),
	}
	for _, o := range options {
		o(t)
	}
	return t
}

// Begin decides about a keyed request before its first attempt. It returns
// either a claim, under which the request is run, or the first answer to the
// key, or an *outcome.Error that is answered to the caller.
func (t *Table) Begin(ctx context.Context, rule policy.KeyRule, key Key, f Fingerprint) (*Claim, *Answer, error) {
	if len(key.Value) == 0 || len(key.Value) > maxKeyBytes {
		return nil, nil, outcome.New(outcome.NotRun, outcome.BadRequest, "the idempotency key must have 1 to 255 bytes")
	}
	if splitByOrg.Off() {
		key.Organisation = ""
	}
	// One reading serves all checks, so that a pause between them is harmless.
	now := t.Clock()
	grant, held := t.Grant(t.Slot)
	held = held && grant.ValidAt(now)
	if rule == policy.KeyStamped {
		return t.beginStamped(grant, held, now, key, f)
	}
	return t.beginRecorded(ctx, grant, held, key, f)
}

func (t *Table) beginStamped(grant lease.Grant, held bool, now lease.Reading, key Key, f Fingerprint) (*Claim, *Answer, error) {
	stamp, ok := key.stamp()
	if !ok {
		return nil, nil, outcome.New(outcome.NotRun, outcome.BadRequest, "the idempotency key must be a UUIDv7")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.keys[key]; e != nil && !rememberKeys.Off() {
		answer, err := e.repeat(f, held)
		return nil, answer, err
	}
	if !held {
		return nil, nil, notOwner()
	}
	t.raise(grant.StampFloor)
	t.forgetBefore(grant.StampLimit(now).Add(-lease.MaxStampLead - t.Retention))
	limit := grant.StampLimit(now)
	if !stamp.After(t.floor) && !checkFloor.Off() {
		return nil, nil, outcome.New(outcome.Unknown, outcome.KeyUnknown, "the key is older than what this owner knows")
	}
	if stamp.After(limit) && !checkAhead.Off() {
		err := outcome.New(outcome.Unknown, outcome.BadRequest, "the key's time lies in the future")
		err.RetryAt = now.Wall.Add(stamp.Sub(limit))
		return nil, nil, err
	}
	if err := t.stopping(); err != nil && !t.overtaken(stamp) {
		return nil, nil, err
	}
	if !t.room(stamp) {
		return nil, nil, outcome.New(outcome.Unknown, outcome.KeyUnknown, "the key is older than what this owner can keep")
	}
	e := &entry{key: key, rule: policy.KeyStamped, fingerprint: f, state: stateRunning, stamp: stamp}
	t.keys[key] = e
	heap.Push(&t.stamped, e)
	t.accepted = later(t.accepted, stamp)
	invariant.Check(stamp.After(grant.StampFloor) && !stamp.After(grant.Expiry.Add(lease.MaxStampLead)),
		"KeyWithinGrant", "%s: stamp %s outside of %s to %s", t.Slot, stamp, grant.StampFloor, grant.Expiry)
	invariant.Check(!t.left, "NoKeyAfterDrain", "%s: accepts stamp %s after it was drained", t.Slot, stamp)
	t.open++
	return &Claim{table: t, entry: e, grant: grant}, nil, nil
}

// repeat answers a key that is known.
func (e *entry) repeat(f Fingerprint, held bool) (*Answer, error) {
	if e.fingerprint != f && !compareBodies.Off() {
		o := outcome.Unknown
		if held {
			o = outcome.NotRun
		}
		return nil, outcome.New(o, outcome.KeyReused, "the key was used for a different request")
	}
	switch {
	case e.state == stateRunning:
		return nil, outcome.New(outcome.Unknown, outcome.Running, "the first request with this key is under way")
	case e.state == stateFinished && e.answer != nil:
		return e.answer, nil
	case e.state == stateFinished:
		return nil, outcome.New(outcome.Run, outcome.KeyUnknown, "the request ran; its answer is not kept")
	}
	return nil, outcome.New(outcome.Unknown, outcome.KeyUnknown, "the outcome of the first request is not known")
}

func notOwner() error {
	return outcome.New(outcome.Unknown, outcome.NotOwner, "this daemon does not own the key's slot")
}

// stopping refuses new keys of a draining table. Until the release is sent, no
// other owner can have accepted the key; after that one may have.
func (t *Table) stopping() error {
	switch {
	case !t.closed || stopOnDrain.Off():
		return nil
	case t.left:
		return outcome.New(outcome.Unknown, outcome.Draining, "the key's owner has stopped")
	}
	return outcome.New(outcome.NotRun, outcome.Draining, "the key's owner is stopping")
}

// overtaken reports whether newer keys were accepted and the next owner, which
// cannot tell whether the key ran, does not have the slot yet.
func (t *Table) overtaken(stamp time.Time) bool {
	return !t.left && !stamp.After(t.accepted)
}

// raise raises the floor; it never sinks.
func (t *Table) raise(floor time.Time) {
	t.floor = later(t.floor, floor)
}

// forgetBefore drops stamped keys up to the given stamp.
func (t *Table) forgetBefore(stamp time.Time) {
	for len(t.stamped) > 0 && !t.stamped[0].stamp.After(stamp) {
		t.evictStamped()
	}
}

// room makes room for a key with the given stamp. It reports false when the
// key itself is the oldest of a full table.
func (t *Table) room(stamp time.Time) bool {
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
	t.forget(e)
	if !raiseFloor.Off() {
		t.raise(e.stamp)
	}
	invariant.Check(!e.stamp.After(t.floor), "ForgottenBelowFloor", "%s: forgets stamp %s above %s", t.Slot, e.stamp, t.floor)
}

// forget removes a key. A claim on it stays valid.
func (t *Table) forget(e *entry) {
	if e.forgotten {
		return
	}
	e.forgotten = true
	delete(t.keys, e.key)
	if e.rule == policy.KeyStamped {
		heap.Remove(&t.stamped, e.index)
	}
	t.dropAnswer(e)
}

func (t *Table) dropAnswer(e *entry) {
	t.bytes -= e.answer.size()
	e.answer = nil
}

// keep stores an answer and drops the oldest ones beyond the bound.
func (t *Table) keep(e *entry, a *Answer) {
	if a == nil || a.size() > t.MaxAnswer || e.forgotten {
		return
	}
	e.answer = a
	t.bytes += a.size()
	t.answers = append(t.answers, e)
	for t.bytes > t.MaxAnswerBytes || len(t.answers) > 2*t.MaxKeys {
		t.dropAnswer(t.answers[0])
		t.answers = t.answers[1:]
	}
}

// Claim is the right to run a keyed request. It ends with Finish or Abort; the
// first of them counts. A claim that cannot be settled is finished as Unknown.
type Claim struct {
	table *Table
	entry *entry
	grant lease.Grant
	ended bool
}

// Fence returns slot and token, which every attempt under the claim carries.
func (c *Claim) Fence() (lease.Name, lease.Token) {
	return c.grant.Name, c.grant.Token
}

// Finish ends the claim with the outcome of the request. The answer is kept if
// the request ran and the answer is small enough; the table then owns it. An
// outcome NotRun must be binding, as for Abort.
func (c *Claim) Finish(o outcome.Outcome, a *Answer) {
	if o == outcome.NotRun {
		c.Abort()
		return
	}
	c.end(func(t *Table, e *entry) {
		e.state = stateUnknown
		if o == outcome.Run {
			e.state = stateFinished
			t.keep(e, a)
		}
		t.recordEnd(e, c.grant)
	})
}

// Abort ends the claim after binding answers that no attempt under it ran or
// will run. The key may then be used again.
func (c *Claim) Abort() {
	c.end(func(t *Table, e *entry) {
		if e.rule == policy.KeyStamped {
			t.forget(e)
			return
		}
		e.state = stateAborted
		t.recordEnd(e, c.grant)
	})
}

func (c *Claim) end(apply func(*Table, *entry)) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	invariant.Check(c.entry.state == stateRunning, "ClaimEndsRunning", "%s: claim ends in state %s", t.Slot, c.entry.state)
	apply(t, c.entry)
	t.open--
	t.signalIdle()
}

func (t *Table) signalIdle() {
	if t.closed && t.open == 0 {
		select {
		case t.idle <- struct{}{}:
		default:
		}
	}
}

// Drain accepts no newer keys and waits until the claims have ended or ctx
// ends. It returns the highest accepted stamp, for lease.Holder.Release, which
// is safe to call even if claims are still open.
//
// Until then, keys with stamps below the highest accepted one are accepted:
// requests can overtake each other on the way to the owner, and the next owner
// cannot tell whether such a key ran.
func (t *Table) Drain(ctx context.Context) time.Time {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	wait.For(ctx, overtakenWait)
	for {
		accepted, left := t.leave(ctx.Err() != nil)
		if left {
			return accepted
		}
		select {
		case <-t.idle:
		case <-ctx.Done():
		}
	}
}

// leave ends the acceptance of keys if no claims are open, or if forced.
func (t *Table) leave(force bool) (accepted time.Time, left bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.left = t.left || force || t.open == 0
	return t.accepted, t.left
}

// Len returns the number of keys that the table holds.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.keys)
}

// newClaim returns an identity that no other claim on any daemon has.
func (t *Table) newClaim(daemon fleet.DaemonID, incarnation fleet.Incarnation) string {
	t.claims++
	return string(daemon) + "/" + incarnation.String() + "/" + strconv.FormatUint(t.claims, 10)
}

func later(a, b time.Time) time.Time {
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
	h[i].index, h[j].index = i, j
}

// Push is called by container/heap.
func (h *stampHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop is called by container/heap.
func (h *stampHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.index = -1
	return e
}
