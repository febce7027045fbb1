package config

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"pollenscale/core/invariant"
	"pollenscale/core/policy"
)

// defaultMaxHistory is the default number of past changes that a holder keeps for
// its peers. It holds five bursts of 50 publishes.
const defaultMaxHistory = 256

// Errors of Apply and ApplySnapshot. The version in force is unchanged after each.
var (
	// ErrGap means that earlier changes are missing and must be fetched first.
	ErrGap = errors.New("changes before this one are missing")
	// ErrRefused means that the version is invalid and must not be propagated.
	ErrRefused = errors.New("configuration refused")
)

// Holder holds the version in force in one daemon. It never reverts to an older
// version. The zero value is ready to use and holds version 0.
type Holder struct {
	// MaxHistory bounds the past changes kept for peers; 0 means 256.
	MaxHistory int
	// OnChange, if set, is called after each change of the version in force, in
	// order. It must not call Apply.
	OnChange func(*policy.Set)

	current atomic.Pointer[activeVersion]
	refused atomic.Uint64

	// mu serialises changes. Readers only load current.
	mu        sync.Mutex
	history   []Change // the latest changes, without a gap
	announced uint64   // the highest announced version
	cache     renderCache
}

// activeVersion is a valid version with its rendered policy. It is immutable.
type activeVersion struct {
	snapshot Snapshot
	set      *policy.Set
}

// Current returns the policy in force, or nil before the first version. It
// takes no lock.
func (h *Holder) Current() *policy.Set {
	if c := h.current.Load(); c != nil {
		return c.set
	}
	return nil
}

// Version returns the version in force; its Number is 0 before the first.
func (h *Holder) Version() Version {
	return h.Snapshot().Version
}

// Snapshot returns the version in force with its documents, which must not be
// modified.
func (h *Holder) Snapshot() Snapshot {
	if c := h.current.Load(); c != nil {
		return c.snapshot
	}
	return Snapshot{Version: Version{Digest: Documents{}.Digest()}}
}

// Refused returns the number of versions that were refused as invalid.
func (h *Holder) Refused() uint64 {
	return h.refused.Load()
}

// Announce records that a peer or the store holds version number, and reports
// whether there is an announced version to fetch. Until it has a version in force,
// a holder applies nothing older than the highest announced version, so that a
// daemon that restarts during a store outage does not revert to the version of a
// lagging peer.
func (h *Holder) Announce(number uint64) (behind bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.announced = max(h.announced, number)
	return h.announced > h.Version().Number
}

// Behind returns the number of announced versions that are not in force.
func (h *Holder) Behind() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.announced - min(h.announced, h.Version().Number)
}

// Apply puts the next version in force and reports whether the version in force
// changed. A change that is in force already, or older, is ignored. The error is
// ErrGap, ErrRefused or nil.
func (h *Holder) Apply(change Change) (bool, error) {
	return h.ApplyUpdate(Update{Changes: []Change{change}})
}

// ApplySnapshot puts a version in force regardless of the versions in between. It
// reports whether the version in force changed. The error is ErrGap, ErrRefused or
// nil.
func (h *Holder) ApplySnapshot(snapshot Snapshot) (bool, error) {
	return h.ApplyUpdate(Update{Snapshot: &snapshot})
}

// ApplyUpdate puts the last valid version of the update in force, without the
// versions before it. It reports whether the version in force changed, which is
// possible even if it returns an error.
func (h *Holder) ApplyUpdate(u Update) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.Snapshot()
	s := updateState{holder: h, inForce: current.Version, reached: current, history: h.history}
	if u.Snapshot != nil {
		s.applySnapshot(*u.Snapshot)
	}
	for i := 0; i < len(u.Changes) && !s.stopped; i++ {
		s.applyChange(u.Changes[i])
	}
	if s.lastValid == nil {
		return false, s.err
	}
	if current.Number == 0 && s.reached.Number < h.announced {
		return false, errors.Wrapf(ErrGap, "version %d is older than the announced %d", s.reached.Number, h.announced)
	}
	h.history = s.history
	h.install(s.lastValid)
	return true, s.err
}

// updateState is the state of ApplyUpdate as it processes the versions of an
// update in order.
type updateState struct {
	holder  *Holder
	inForce Version
	// reached is the latest version processed, valid or not; lastValid is the latest
	// valid one.
	reached   Snapshot
	lastValid *activeVersion
	// history are the changes up to lastValid, without a gap.
	history []Change
	// stopped is set when later changes cannot be applied.
	stopped bool
	err     error
}

func (s *updateState) applySnapshot(next Snapshot) {
	if next.Number <= s.reached.Number {
		s.checkDigest(next.Version)
		return
	}
	change := Change{Version: next.Version}
	if next.Number == s.reached.Number+1 {
		change.Documents = s.reached.Documents.Delta(next.Documents)
	} else {
		s.history = nil
	}
	s.advance(next, change)
}

func (s *updateState) applyChange(c Change) {
	if c.Number <= s.reached.Number {
		s.checkDigest(c.Version)
		return
	}
	if c.Number != s.reached.Number+1 {
		s.err = errors.Wrapf(ErrGap, "version %d after %d", c.Number, s.reached.Number)
		s.stopped = true
		return
	}
	s.advance(Snapshot{Version: c.Version, Documents: s.reached.Documents.With(c.Documents)}, c)
}

// checkDigest refuses a version that has the number of the version in force and a
// different digest.
func (s *updateState) checkDigest(got Version) {
	if got.Number == s.inForce.Number && got.Digest != s.inForce.Digest {
		s.refuse("version %d has digest %.12s, in force is %.12s", got.Number, got.Digest, s.inForce.Digest)
		s.stopped = true
	}
}

func (s *updateState) advance(next Snapshot, c Change) {
	if got := next.Documents.Digest(); got != next.Digest {
		s.refuse("version %d has digest %.12s, announced was %.12s", next.Number, got, next.Digest)
		s.stopped = true
		return
	}
	s.reached = next
	set, err := s.holder.cache.render(next.Number, next.Documents)
	if err != nil {
		s.refuse("version %d: %v", next.Number, err)
		// The change must not be propagated, so the history starts over.
		s.history = nil
		return
	}
	s.lastValid = &activeVersion{snapshot: next, set: set}
	s.err = nil
	s.keepChange(c)
}

func (s *updateState) refuse(format string, args ...any) {
	s.holder.refused.Add(1)
	s.err = errors.Mark(errors.Newf("configuration refused: %s", fmt.Sprintf(format, args...)), ErrRefused)
}

// keepChange adds the change to the history kept for peers. A change after a gap
// has no Documents and is not kept.
func (s *updateState) keepChange(c Change) {
	if c.Documents == nil {
		return
	}
	limit := s.holder.MaxHistory
	if limit == 0 {
		limit = defaultMaxHistory
	}
	extra := max(0, len(s.history)+1-limit)
	s.history = append(append([]Change(nil), s.history[extra:]...), c)
}

// Update is what a holder needs to get from one version to a later one: a snapshot,
// if set, followed by changes in order.
type Update struct {
	Snapshot *Snapshot
	Changes  []Change
}

// Empty reports whether the update has neither a snapshot nor changes.
func (u Update) Empty() bool {
	return u.Snapshot == nil && len(u.Changes) == 0
}

// UpdateFrom returns the update for a peer that holds version number: the changes
// since, or a snapshot if some of them are no longer kept.
func (h *Holder) UpdateFrom(number uint64) Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.Snapshot()
	if number >= current.Number {
		return Update{}
	}
	if len(h.history) > 0 && h.history[0].Number <= number+1 {
		skip := number + 1 - h.history[0].Number
		return Update{Changes: append([]Change(nil), h.history[skip:]...)}
	}
	return Update{Snapshot: &current}
}

func (h *Holder) install(next *activeVersion) {
	current, number := h.Version().Number, next.snapshot.Number
	invariant.Check(number > current, "config_never_reverts", "version %d after %d", number, current)
	h.current.Store(next)
	h.announced = max(h.announced, number)
	if h.OnChange != nil {
		h.OnChange(next.set)
	}
}
