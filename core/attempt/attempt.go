// Package attempt tracks attempts, so that each runs at most once and the daemon
// that sent one can learn with certainty whether it ran.
//
// An attempt is one transmission of a request from an entry daemon to the
// daemon beside a target. The entry numbers its attempts with a Sequencer; the
// target's daemon records them in a Table.
package attempt

import (
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
)

// Sequence numbers the attempts of one entry daemon at one target's daemon.
// The first is 1.
type Sequence uint64

// ID identifies one attempt of one entry daemon.
type ID struct {
	Daemon      fleet.DaemonID
	Incarnation fleet.Incarnation
	Sequence    Sequence
}

// Ref refers to an attempt in messages between daemons.
type Ref struct {
	ID ID
	// Target is the incarnation of the target's daemon to which the attempt is
	// addressed.
	Target fleet.Incarnation
	// OpenFrom is the entry's lowest sequence number that is not closed. It is the
	// watermark below which the target's daemon may forget attempts.
	OpenFrom Sequence
}

// State is the state of an attempt at the target's daemon.
type State string

// The states of an attempt.
const (
	Queued   State = "Queued"   // admitted, not yet sent to the target
	Running  State = "Running"  // sent to the target
	Finished State = "Finished" // the target answered or failed
	NotRun   State = "NotRun"   // did not run and never will
)

// Settlement is the binding answer about an attempt.
type Settlement struct {
	Outcome outcome.Outcome
	// Running is set if the attempt has not finished yet.
	Running bool
}
