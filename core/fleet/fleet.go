// Package fleet defines the types by which daemons describe themselves to each
// other: services, targets, their places, and the load that they report.
//
// The types are plain values. All packages below core and io share them, so that
// the compiler rejects an ID of one kind where another is expected.
package fleet

import (
	"strconv"
	"time"
)

// Service identifies a group of targets that serve the same requests.
type Service string

// Organisation identifies a customer on whose behalf a request is made.
type Organisation string

// Region identifies a group of availability zones with low latency between them.
type Region string

// AvailabilityZone identifies a part of a region that can fail as a whole.
type AvailabilityZone string

// Rank identifies a priority class of requests, with its own worth and deadline.
type Rank string

// DaemonID identifies a daemon and the target that it serves for the lifetime of
// their VM.
type DaemonID string

// Incarnation distinguishes the successive processes of one daemon. It is the start
// time of the process in nanoseconds, so that it increases with each start.
type Incarnation uint64

// Slots is the number of requests that a target can run concurrently.
type Slots uint32

// Bytes is a size in bytes.
type Bytes int64

// State is the lifecycle state of a target.
type State string

// The lifecycle states of a target.
const (
	Cold     State = "Cold"     // started, not yet at full speed
	Serving  State = "Serving"  // takes new work
	Draining State = "Draining" // completes its work and takes no new work
	Leaving  State = "Leaving"  // has no work and is about to stop
)

// TakesWork reports whether new requests may be sent to a target in state s.
func (s State) TakesWork() bool {
	return s == Cold || s == Serving
}

// Valid reports whether s is one of the defined states.
func (s State) Valid() bool {
	switch s {
	case Cold, Serving, Draining, Leaving:
		return true
	}
	return false
}

// Place is the location of a process.
type Place struct {
	Region           Region
	AvailabilityZone AvailabilityZone
}

// Target describes a target to other daemons. The addresses are those of the
// target's daemon, as IP and port.
type Target struct {
	Daemon        DaemonID
	Incarnation   Incarnation
	PeerAddress   string
	GossipAddress string
	Place         Place
	Service       Service
	State         State
	Slots         Slots
}

// Load is the load of a target as its daemon observed it at some moment.
type Load struct {
	Daemon      DaemonID
	Incarnation Incarnation
	// Sequence increases with each report of an incarnation.
	Sequence uint64
	State    State
	Slots    Slots
	Running  uint32
	Queued   uint32
	// WaitLow and WaitUrgent are the expected queueing times of a new request of the
	// least urgent and of the most urgent rank.
	WaitLow    time.Duration
	WaitUrgent time.Duration
	// Service is the smoothed service time.
	Service time.Duration
	// Pace is the ratio of the actual to the expected service time of requests; 1 is
	// normal, 0 means unknown.
	Pace float64
}

// String returns the incarnation as a decimal number.
func (i Incarnation) String() string {
	return strconv.FormatUint(uint64(i), 10)
}
