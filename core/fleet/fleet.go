// Package fleet names the things that daemons know of each other: services,
// targets, the places where they run, and the load that they report.
//
// The types are plain values. They are shared by all packages below core and
// io, so that an id of one kind cannot be passed for another.
package fleet

import (
	"strconv"
	"time"
)

// Service names a group of targets that serve the same requests.
type Service string

// Organisation names a customer on whose behalf a request is made.
type Organisation string

// Region names a group of availability zones with short links between them.
type Region string

// AvailabilityZone names a part of a region that fails as a whole.
type AvailabilityZone string

// Rank names a class of requests with a worth and a deadline of its own.
type Rank string

// DaemonID names a daemon, and the target beside it, for as long as its VM lives.
type DaemonID string

// Incarnation tells the successive processes of one daemon apart. It is the
// start time of the process in nanoseconds, so that it rises with each start.
type Incarnation uint64

// Slots counts requests that a target can run at the same time.
type Slots uint32

// Bytes is a size in bytes.
type Bytes int64

// State is what a target is ready for.
type State string

// The states of a target.
const (
	Cold     State = "Cold"     // started, not yet at full speed
	Serving  State = "Serving"  // takes new work
	Draining State = "Draining" // completes its work and takes no more
	Leaving  State = "Leaving"  // has no work and is about to stop
)

// TakesWork reports whether a target in state s may be sent new requests.
func (s State) TakesWork() bool {
	return s == Cold || s == Serving
}

// Valid reports whether s is one of the named states.
func (s State) Valid() bool {
	switch s {
	case Cold, Serving, Draining, Leaving:
		return true
	}
	return false
}

// Place is where a process runs.
type Place struct {
	Region           Region
	AvailabilityZone AvailabilityZone
}

// Target is a target as other daemons know it. The addresses are those of the
// daemon beside it, as IP and port.
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

// Load is the load of a target as its daemon saw it at some moment.
type Load struct {
	Daemon      DaemonID
	Incarnation Incarnation
	// Sequence rises with each report of one incarnation.
	Sequence uint64
	State    State
	Slots    Slots
	Running  uint32
	Queued   uint32
	// WaitLow and WaitUrgent are the expected waits of a new request of the
	// lowest and of the most urgent rank.
	WaitLow    time.Duration
	WaitUrgent time.Duration
	// Service is the smoothed service time.
	Service time.Duration
	// Pace is how long requests take relative to what is expected of them; 1 is
	// usual, 0 not known.
	Pace float64
}

// String returns the incarnation in decimal digits.
func (i Incarnation) String() string {
	return strconv.FormatUint(uint64(i), 10)
}
