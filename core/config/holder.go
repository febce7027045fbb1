package config

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"pollenscale/core/invariant"
	"pollenscale/core/policy"
)

// defaultKeep is the number of past changes that a holder passes on as deltas.
// A burst of 50 publishes fits five times.
const defaultKeep = 256

// Errors of Apply and ApplySnapshot. Each leaves the version in force as it is.
var (
	// ErrGap means that changes before this one are missing: fetch them.
	ErrGap = errors.New("changes before this one are missing")
	// ErrRefused means that the version failed its checks and must not be
	// propagated.
	ErrRefused = errors.New("configuration refused")
)

// Holder holds the version in force in one daemon. It never goes back to an
// older one. The zero value is ready to use and holds version 0.
type Holder struct {
	// MaxHistory is the number of past changes kept for peers; 0 means 256.
	MaxHistory int
	// OnChange is called after each change of the version in force, in order,
	// if set. It must not call Apply.
	OnChange func(*policy.Set)

	current atomic.Pointer[held]
	refused atomic.Uint64

	// mu orders the changes; readers need only current.
	mu        sync.Mutex
	history   []Change
	announced uint64
	cache     cache
}

// held is a version in force; it is immutable.
type held struct {
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

// Snapshot returns all of the version in force. The documents must not be
// changed.
func (h *Holder) Snapshot() Snapshot {
	if c := h.current.Load(); c != nil {
		return c.snapshot
	}
	return Snapshot{Version: Version{Digest: Documents{}.Digest()}}
}

// Refused returns how many versions failed their checks.
func (h *Holder) Refused() uint64 {
	return h.refused.Load()
}

// Announce records that a peer or the store holds version number, and reports
// whether it is to be fetched. Before its first version a holder puts nothing
// older than the highest announced version in force, so that a daemon that
// restarts during a store outage does not revert to what a lagging peer holds.
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

// Apply puts the next version in force. It reports whether the version in force
// changed: a change that is already in force or older is passed over. The error
// is ErrGap, ErrRefused or nil.
func (h *Holder) Apply(change Change) (bool, error) {
	return h.ApplyUpdate(Update{Changes: []Change{change}})
}

// ApplySnapshot puts a version in force, whatever lies between. It reports
// whether the version in force changed. The error is ErrGap, ErrRefused or nil.
func (h *Holder) ApplySnapshot(snapshot Snapshot) (bool, error) {
	return h.ApplyUpdate(Update{Snapshot: &snapshot})
}

// ApplyUpdate puts the last valid version of the update in force, none of those
// before it. It reports whether the version in force changed, which it can
// together with an error.
func (h *Holder) ApplyUpdate(u Update) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	have := h.Snapshot()
	s := steps{holder: h, have: have.Version, at: have, history: h.history}
	if u.Snapshot != nil {
		s.snapshot(*u.Snapshot)
	}
	for i := 0; i < len(u.Changes) && !s.stopped; i++ {
		s.change(u.Changes[i])
	}
	if s.best == nil {
		return false, s.err
	}
	if have.Number == 0 && s.at.Number < h.announced {
		return false, errors.Wrapf(ErrGap, "version %d is older than the announced %d", s.at.Number, h.announced)
	}
	h.history = s.history
	h.install(s.best)
	return true, s.err
}

// steps follows an update from version to version.
type steps struct {
	holder *Holder
	have   Version
	// at is the version reached, valid or not; best is the last valid one.
	at   Snapshot
	best *held
	// history leads to best without a gap.
	history []Change
	// stopped is set when later changes cannot be applied.
	stopped bool
	err     error
}

func (s *steps) snapshot(next Snapshot) {
	if next.Number <= s.at.Number {
		s.known(next.Version)
		return
	}
	change := Change{Version: next.Version}
	if next.Number == s.at.Number+1 {
		change.Documents = s.at.Documents.Delta(next.Documents)
	} else {
		s.history = nil
	}
	s.enter(next, change)
}

func (s *steps) change(c Change) {
	if c.Number <= s.at.Number {
		s.known(c.Version)
		return
	}
	if c.Number != s.at.Number+1 {
		s.err = errors.Wrapf(ErrGap, "version %d after %d", c.Number, s.at.Number)
		s.stopped = true
		return
	}
	s.enter(Snapshot{Version: c.Version, Documents: s.at.Documents.With(c.Documents)}, c)
}

// known refuses another configuration under the number in force.
func (s *steps) known(got Version) {
	if got.Number == s.have.Number && got.Digest != s.have.Digest {
		s.refuse("version %d has digest %.12s, in force is %.12s", got.Number, got.Digest, s.have.Digest)
		s.stopped = true
	}
}

func (s *steps) enter(next Snapshot, c Change) {
	if got := next.Documents.Digest(); got != next.Digest {
		s.refuse("version %d has digest %.12s, announced was %.12s", next.Number, got, next.Digest)
		s.stopped = true
		return
	}
	s.at = next
	set, err := s.holder.cache.render(next.Number, next.Documents)
	if err != nil {
		s.refuse("version %d: %v", next.Number, err)
		// The change must not be propagated, so that the history starts anew.
		s.history = nil
		return
	}
	s.best = &held{snapshot: next, set: set}
	s.err = nil
	s.remember(c)
}

func (s *steps) refuse(format string, args ...any) {
	s.holder.refused.Add(1)
	s.err = errors.Mark(errors.Newf("configuration refused: %s", fmt.Sprintf(format, args...)), ErrRefused)
}

// remember keeps the change for peers if it follows the ones kept. A change
// after a gap has no Documents.
func (s *steps) remember(c Change) {
	if c.Documents == nil {
		return
	}
	keep := s.holder.MaxHistory
	if keep == 0 {
		keep = defaultKeep
	}
	extra := max(0, len(s.history)+1-keep)
	s.history = append(append([]Change(nil), s.history[extra:]...), c)
}

// Update leads from some version to a later one: a snapshot, if set, and then
// changes in order.
type Update struct {
	Snapshot *Snapshot
	Changes  []Change
}

// Empty reports whether the update holds nothing new.
func (u Update) Empty() bool {
	return u.Snapshot == nil && len(u.Changes) == 0
}

// UpdateFrom returns what a peer that holds version number lacks: the changes, or a
// snapshot when some of them are no longer kept.
func (h *Holder) UpdateFrom(number uint64) Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	have := h.Snapshot()
	if number >= have.Number {
		return Update{}
	}
	if len(h.history) > 0 && h.history[0].Number <= number+1 {
		skip := number + 1 - h.history[0].Number
		return Update{Changes: append([]Change(nil), h.history[skip:]...)}
	}
	return Update{Snapshot: &have}
}

func (h *Holder) install(next *held) {
	have, number := h.Version().Number, next.snapshot.Number
	invariant.Check(number > have, "config_never_reverts", "version %d after %d", number, have)
	h.current.Store(next)
	h.announced = max(h.announced, number)
	if h.OnChange != nil {
		h.OnChange(next.set)
	}
}
