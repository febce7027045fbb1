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
	// Keep is the number of past changes kept for peers; 0 means 256.
	Keep int
	// OnChange is called after each change of the version in force, in order,
	// if set. It must not call Apply.
	OnChange func(*policy.Set)

	current atomic.Pointer[held]
	refused atomic.Uint64

	// mu orders the changes; readers need only current.
	mu        sync.Mutex
	history   []Change
	announced uint64
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
	h.mu.Lock()
	defer h.mu.Unlock()
	have := h.Snapshot()
	if change.Number <= have.Number {
		return false, h.sameVersion(have.Version, change.Version)
	}
	if change.Number != have.Number+1 {
		return false, errors.Wrapf(ErrGap, "version %d after %d", change.Number, have.Number)
	}
	if err := h.install(Snapshot{Version: change.Version, Documents: have.Documents.With(change.Documents)}); err != nil {
		return false, err
	}
	h.remember(change)
	return true, nil
}

// ApplySnapshot puts a version in force, whatever lies between. It reports
// whether the version in force changed. The error is ErrRefused or nil.
func (h *Holder) ApplySnapshot(snapshot Snapshot) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	have := h.Snapshot()
	if snapshot.Number <= have.Number {
		return false, h.sameVersion(have.Version, snapshot.Version)
	}
	if err := h.install(snapshot); err != nil {
		return false, err
	}
	if snapshot.Number == have.Number+1 {
		h.remember(Change{Version: snapshot.Version, Documents: have.Documents.Delta(snapshot.Documents)})
	} else {
		h.history = nil
	}
	return true, nil
}

// ApplyUpdate applies what a peer or the store returned for After.
func (h *Holder) ApplyUpdate(u Update) (changed bool, err error) {
	if u.Snapshot != nil {
		changed, err = h.ApplySnapshot(*u.Snapshot)
	}
	for _, c := range u.Changes {
		if err != nil {
			return changed, err
		}
		var one bool
		one, err = h.Apply(c)
		changed = changed || one
	}
	return changed, err
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

// After returns what a peer that holds version number lacks: the changes, or a
// snapshot when some of them are no longer kept.
func (h *Holder) After(number uint64) Update {
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

// sameVersion refuses another configuration under the number in force.
func (h *Holder) sameVersion(have, got Version) error {
	if got.Number == have.Number && got.Digest != have.Digest {
		return h.refuse("version %d has digest %.12s, in force is %.12s", got.Number, got.Digest, have.Digest)
	}
	return nil
}

func (h *Holder) refuse(format string, args ...any) error {
	h.refused.Add(1)
	return errors.Mark(errors.Newf("configuration refused: %s", fmt.Sprintf(format, args...)), ErrRefused)
}

func (h *Holder) install(next Snapshot) error {
	have := h.Version()
	if have.Number == 0 && next.Number < h.announced {
		return errors.Wrapf(ErrGap, "version %d is older than the announced %d", next.Number, h.announced)
	}
	if got := next.Documents.Digest(); got != next.Digest {
		return h.refuse("version %d has digest %.12s, announced was %.12s", next.Number, got, next.Digest)
	}
	set, err := Render(next.Number, next.Documents)
	if err != nil {
		return h.refuse("version %d: %v", next.Number, err)
	}
	invariant.Check(next.Number > have.Number, "config_never_reverts", "version %d after %d", next.Number, have.Number)
	h.current.Store(&held{snapshot: next, set: set})
	h.announced = max(h.announced, next.Number)
	if h.OnChange != nil {
		h.OnChange(set)
	}
	return nil
}

func (h *Holder) remember(c Change) {
	keep := h.Keep
	if keep == 0 {
		keep = defaultKeep
	}
	h.history = append(h.history, c)
	if extra := len(h.history) - keep; extra > 0 {
		h.history = append([]Change(nil), h.history[extra:]...)
	}
}
