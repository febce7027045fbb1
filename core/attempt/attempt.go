// Package attempt keeps track of attempts, so that each runs at most once and
// a daemon can be told with certainty whether one ran.
//
// An attempt is one transmission of a request from an entry daemon to the
// daemon beside a target. The entry numbers its attempts with an Opener; the
// target's daemon records them in a Table.
package attempt

import (
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
)

// Sequence numbers the attempts of one entry daemon at one target's daemon.
// The first is 1.
type Sequence uint64

// ID names one attempt of one entry daemon.
type ID struct {
	Daemon      fleet.DaemonID
	Incarnation fleet.Incarnation
	Sequence    Sequence
}

// Ref is an attempt as a message between daemons refers to it.
type Ref struct {
	ID ID
	// Target is the incarnation of the target's daemon that the attempt addresses.
	Target fleet.Incarnation
	// OpenFrom is the lowest sequence number that the entry still has open.
	OpenFrom Sequence
}

// State is how far an attempt got at the target's daemon.
type State string

// The states of an attempt.
const (
	Queued   State = "Queued"   // admitted, not handed to the target
	Running  State = "Running"  // handed to the target
	Finished State = "Finished" // the target answered or broke off
	NotRun   State = "NotRun"   // did not run and never will
)

// Settlement is the binding answer about an attempt.
type Settlement struct {
	Outcome outcome.Outcome
	// Running is set while the target still works on the attempt.
	Running bool
}
