// Package evacuation keeps the set of availability zones that are evacuated: their targets get no
// requests.
//
// The operator evacuates a zone by a row in the store. Daemons that watch the store read the rows
// and changes of them, and pass the set on to the others. A set is complete at the version of the
// store that it carries, so that of two sets the one with the newer version is right.
package evacuation

import (
	"slices"
	"sync"
	"sync/atomic"

	"pollenscale/core/fleet"
	"pollenscale/core/store"
	"pollenscale/internal/mutant"
)

// Mechanisms that mutation tests switch off one at a time.
var (
	newestWins   = mutant.New("evacuation/newest")
	skipIncluded = mutant.New("evacuation/included")
)

// Set is the set of evacuated zones at a version of the store. It is immutable; the zero value is
// not known.
type Set struct {
	Era     store.Era                `json:",omitempty"`
	Version store.Version            `json:",omitempty"`
	Zones   []fleet.AvailabilityZone `json:",omitempty"` // in ascending order
}

// Known reports whether the set was read from the store.
func (s Set) Known() bool { return s.Version > 0 }

// Contains reports whether a zone is evacuated.
func (s Set) Contains(zone fleet.AvailabilityZone) bool { return slices.Contains(s.Zones, zone) }

// newer reports whether s replaces o. Versions are comparable within an era only.
func (s Set) newer(o Set) bool {
	if s.Era != o.Era {
		return s.Era > o.Era
	}
	return s.Version > o.Version
}

// Change is a row of a zone that was written or deleted.
type Change struct {
	Zone    fleet.AvailabilityZone
	Version store.Version
	// Back is set if the row was deleted.
	Back bool
}

// Changes are all changes between two versions of the store.
type Changes struct {
	Era         store.Era
	After, Upto store.Version
	Rows        []Change
}

// Holder holds the newest known set. It is safe for concurrent use. The zero value knows none.
type Holder struct {
	// OnChange is called after a set has come into force that has other zones than the one
	// before or is the first known one, in order and with a lock held.
	OnChange func(before, now Set)

	mu      sync.Mutex
	current atomic.Pointer[Set]
}

// Current returns the newest known set.
func (h *Holder) Current() Set {
	if s := h.current.Load(); s != nil {
		return *s
	}
	return Set{}
}

// Offer puts a complete set into force if it is newer than the current one, and reports whether
// it did.
func (h *Holder) Offer(s Set) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.offer(s)
}

func (h *Holder) offer(s Set) bool {
	before := h.Current()
	if !s.Known() || !s.newer(before) && !newestWins.Off() {
		return false
	}
	s.Zones = slices.Compact(slices.Sorted(slices.Values(s.Zones)))
	h.current.Store(&s)
	if h.OnChange != nil && (!before.Known() || !slices.Equal(before.Zones, s.Zones)) {
		h.OnChange(before, s)
	}
	return true
}

// Apply applies changes to the current set, unless it includes them. It ignores them if the set is
// not known or older than the version after which they were made.
func (h *Holder) Apply(c Changes) bool {
	if len(c.Rows) == 0 {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.Current()
	if !current.Known() || c.Era != current.Era {
		return false
	}
	zones := slices.Clone(current.Zones)
	for _, row := range c.Rows {
		if row.Version <= current.Version && row.Version > c.After && !skipIncluded.Off() {
			continue
		}
		zones = slices.DeleteFunc(zones, func(z fleet.AvailabilityZone) bool { return z == row.Zone })
		if !row.Back {
			zones = append(zones, row.Zone)
		}
	}
	return h.offer(Set{Era: c.Era, Version: max(c.Upto, c.Rows[len(c.Rows)-1].Version), Zones: zones})
}
