// Package quota decides which requests of an organisation are within its quota, which holds
// over all daemons together.
//
// Organisations are divided into slots by a hash of their names. One daemon owns a slot through
// a lease in the table store (Leases). It holds a token bucket for each organisation of the
// slot; the daemons that receive requests ask it for tokens and keep those that they do not use
// at once for up to TokenLifetime (Cache).
//
// The package has no clock: all times are readings of a clock that also runs while a VM is
// suspended, passed as arguments.
package quota

import (
	"cmp"
	"slices"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/internal/mutant"

	"github.com/cespare/xxhash/v2"
)

// Mechanisms that mutation tests switch off one at a time.
var (
	checkLease       = mutant.New("quota/lease-expiry")
	startEmpty       = mutant.New("quota/empty-after-takeover")
	expireTokens     = mutant.New("quota/token-lifetime")
	awaitOwnerExpiry = mutant.New("quota/wait-for-expiry")
)

// Instant is a reading of the boot-time clock of a VM.
type Instant time.Duration

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Slot is a number of a slot of organisations, from 0 to Slots-1.
type Slot int

const (
	// Slots is the number of slots. It is fixed, so that a configuration with another number
	// of organisations does not move an organisation to a slot with another owner.
	Slots = 128
	// organisationsPerGroup is the number of limited organisations for each group of slots
	// that prefers the same daemon as owner. Each owner renews its leases in one call, so that
	// the number of groups bounds the calls to the store.
	organisationsPerGroup = 8
	// TokenLifetime is how long after the question was sent a token may be used.
	TokenLifetime = 500 * time.Millisecond
)

// SlotOf returns the slot of an organisation.
func SlotOf(o fleet.Organisation) Slot { return Slot(xxhash.Sum64String(string(o)) % Slots) }

// Groups returns the number of groups of slots for a number of limited organisations.
func Groups(organisations int) int {
	return min(Slots, max(1, (organisations+organisationsPerGroup-1)/organisationsPerGroup))
}

// Candidate is a daemon that may own slots.
type Candidate struct {
	Daemon fleet.DaemonID
	// Working is set if the target beside the daemon takes work. Other daemons, which may be
	// about to stop, are preferred less.
	Working bool
}

// candidatesPerGroup is the number of daemons that try to own the slots of a group. With two,
// the loss of one does not leave the slots without an owner until all daemons have noticed.
const candidatesPerGroup = 2

// Rank returns the preferred owners of the slots of each group, by rendezvous hashing.
func Rank(candidates []Candidate, groups int) [][]fleet.DaemonID {
	type scored struct {
		Candidate
		score uint64
	}
	hashes := make([]uint64, len(candidates))
	for i, c := range candidates {
		hashes[i] = xxhash.Sum64String(string(c.Daemon))
	}
	out := make([][]fleet.DaemonID, groups)
	for g := range out {
		var best []scored
		for i, c := range candidates {
			s := scored{Candidate: c, score: mix(hashes[i] ^ mix(uint64(g)+1))}
			if len(best) == candidatesPerGroup && !better(s.Working, s.score, best[1].Working, best[1].score) {
				continue
			}
			best = append(best, s)
			slices.SortFunc(best, func(a, b scored) int {
				if a.Working != b.Working {
					return map[bool]int{true: -1, false: 1}[a.Working]
				}
				return cmp.Compare(b.score, a.score)
			})
			best = best[:min(len(best), candidatesPerGroup)]
		}
		for _, b := range best {
			out[g] = append(out[g], b.Daemon)
		}
	}
	return out
}

func better(working bool, score uint64, thanWorking bool, than uint64) bool {
	if working != thanWorking {
		return working
	}
	return score > than
}

// mix distributes the bits of a hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
