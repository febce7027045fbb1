// Package freshness decides whether a daemon knows recently enough that its configuration
// was the newest in the store. It makes no calls: proofs are added by its caller, and all
// instants are readings of a clock that counts the time since the boot of the VM, also
// while the VM is suspended.
package freshness

import (
	"slices"
	"sync"
	"time"

	"pollenscale/core/route"
	"pollenscale/internal/mutant"
)

// Instant is a reading of the boot-time clock.
type Instant time.Duration

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Add returns the instant that is d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Proof states that no configuration newer than Version was in the store at At. A daemon
// with this version, or a newer one, had the newest configuration at that instant.
type Proof struct {
	Version route.Version
	At      Instant
}

// maxProofs limits the proofs that are kept: one for the version in force, and those of
// newer versions that are still being fetched.
const maxProofs = 8

// requireVersion is a mechanism that tests can switch off.
var requireVersion = mutant.New("freshness/version-of-proof")

// Proofs holds the latest proofs. The zero value holds none.
type Proofs struct {
	mu sync.Mutex
	// proofs are in order of both version and instant: a proof of a newer version is of
	// use only if it is also later.
	proofs []Proof
}

// Add adds a proof.
func (p *Proofs) Add(added Proof) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.ContainsFunc(p.proofs, func(o Proof) bool { return o.covers(added) }) {
		return
	}
	p.proofs = slices.DeleteFunc(p.proofs, added.covers)
	at := 0
	for at < len(p.proofs) && p.proofs[at].Version < added.Version {
		at++
	}
	p.proofs = slices.Insert(p.proofs, at, added)
	if len(p.proofs) > maxProofs {
		p.proofs = slices.Delete(p.proofs, 0, 1)
	}
}

// covers reports whether p proves at least as much as o.
func (p Proof) covers(o Proof) bool { return p.Version <= o.Version && p.At >= o.At }

// Latest returns the latest instant at which a daemon with the version provably had the
// newest configuration. It returns false if there is no proof.
func (p *Proofs) Latest(version route.Version) (Instant, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, proof := range slices.Backward(p.proofs) {
		if proof.Version <= version || requireVersion.Off() {
			return proof.At, true
		}
	}
	return 0, false
}

// Age returns the age of the latest proof for the version. It returns false if there is
// none.
func (p *Proofs) Age(version route.Version, now Instant) (time.Duration, bool) {
	at, ok := p.Latest(version)
	return now.Sub(at), ok
}

// Accepts reports whether a request with a key may be accepted by the configuration with
// the version. The instant must have been read after the request arrived. A clock that
// went back proves nothing.
func (p *Proofs) Accepts(l Limits, version route.Version, now Instant) bool {
	age, ok := p.Age(version, now)
	return ok && age >= 0 && age <= l.maxAge()
}

// Limits derives the ages that matter from the time after which a removed key must no
// longer be accepted by any daemon.
type Limits struct {
	Revocation time.Duration
}

const (
	// acceptedShare is the share of the revocation time up to which a proof counts. The
	// rest allows for clocks that run at different rates.
	acceptedShare = 0.95
	// watchShare is the share for which a call waits for changes in the store: 1 s of 5 s.
	// A proof dates from the moment the call was sent, so those of a daemon that watches
	// the store are between one and two waits old.
	watchShare = 0.2
	// askShare is the share after which other daemons are asked for a newer proof. Answers
	// of watchers are between 0.2 and 0.4 of the revocation time old.
	askShare = 0.3
	// urgentShare is the share after which further daemons are asked, and more often.
	urgentShare = 0.5
	// readShare is the share after which the daemon reads the configuration itself. In
	// calm conditions an answer arrives before that: an answer that is 0.4 old is followed
	// by a question when it is 0.5 old.
	readShare = 0.65
	// askIntervalShare is the share between two questions, 0.7 s of 5 s.
	askIntervalShare = 0.14
	// urgentIntervalShare is the share between them when the proof is about to expire.
	urgentIntervalShare = 0.05
	// readIntervalShare and failedReadIntervalShare are the shares between two reads of the
	// store, 1 s and 2 s of 5 s: many daemons read at once when the store fails.
	readIntervalShare       = 0.2
	failedReadIntervalShare = 0.4
)

func share(d time.Duration, of float64) time.Duration { return time.Duration(of * float64(d)) }

// Enabled reports whether requests with a key need a proof.
func (l Limits) Enabled() bool { return l.Revocation > 0 }

func (l Limits) maxAge() time.Duration { return share(l.Revocation, acceptedShare) }

// WatchTime returns how long a call that waits for changes may take.
func (l Limits) WatchTime(longest time.Duration) time.Duration {
	if !l.Enabled() {
		return longest
	}
	return min(longest, share(l.Revocation, watchShare))
}

// AskInterval returns the time between two questions to other daemons.
func (l Limits) AskInterval() time.Duration { return share(l.Revocation, askIntervalShare) }

// UrgentInterval returns the time between two questions when the proof is about to expire.
func (l Limits) UrgentInterval() time.Duration { return share(l.Revocation, urgentIntervalShare) }

// ReadInterval returns the time between two reads of the store. It is longer after a read
// that failed.
func (l Limits) ReadInterval(failed bool) time.Duration {
	if failed {
		return share(l.Revocation, failedReadIntervalShare)
	}
	return share(l.Revocation, readIntervalShare)
}

// Action is how a daemon obtains a newer proof.
type Action string

// The actions in order of urgency.
const (
	// None is needed while the proof is recent.
	None Action = "None"
	// Ask means to ask a watcher of the own zone.
	Ask Action = "Ask"
	// Urgent means to ask random daemons as well.
	Urgent Action = "Urgent"
	// Read means to read the store, too.
	Read Action = "Read"
)

// Action returns what a daemon with the version has to do for a newer proof.
func (p *Proofs) Action(l Limits, version route.Version, now Instant) Action {
	age, ok := p.Age(version, now)
	switch {
	case !l.Enabled():
		return None
	case !ok || age < 0 || age > share(l.Revocation, readShare):
		return Read
	case age > share(l.Revocation, urgentShare):
		return Urgent
	case age > share(l.Revocation, askShare):
		return Ask
	}
	return None
}
