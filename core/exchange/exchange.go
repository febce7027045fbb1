// Package exchange defines the request and response metadata that a daemon acts
// on, independent of the header names on the wire.
package exchange

import (
	"time"

	"pollenscale/core/fleet"
)

// RequestID identifies one attempt of a client. Targets echo it.
type RequestID string

// TargetID identifies one incarnation of a target.
type TargetID string

// Request is the metadata in the header of a client's request.
type Request struct {
	ID RequestID
	// Parent is the request whose run made this call, empty if it is unknown or a client
	// sent the request.
	Parent RequestID
	// Deadline is when the client stops waiting, or zero if not specified.
	Deadline time.Time
	// Key is the key of the client's organisation, empty if the request has none. It is never
	// passed on or logged.
	Key string
}

// ForwardedRequest is the metadata that is added to a request for the target.
type ForwardedRequest struct {
	ID       RequestID
	Deadline time.Time
	// Target is the only incarnation of the target that may run the request.
	Target TargetID
	// Caller is the service on the machine where the request originated.
	Caller fleet.Service
	// Organisation is the one that holds the client's key, empty if there is none.
	Organisation fleet.Organisation
}

// Load is the load that a target reports in the header of a response.
type Load struct {
	Running uint32
	Waiting uint32
	Slots   fleet.Slots
	// Slowdown is the current processing time relative to the usual one, which is 1.
	Slowdown float64
}

// Rate is a number of requests per second.
type Rate float64

// Response is the metadata in the header of a target's response.
type Response struct {
	// ID is the request that the response belongs to, or empty if not specified.
	ID RequestID
	// Target is the incarnation that responded, or empty if not specified.
	Target TargetID
	// FromTarget is set if the response carries the target's proof of origin.
	FromTarget bool
	// NotExecuted is set if the target states that it did not run the request.
	NotExecuted bool
	// Misdirected is set if another target than the addressed one responded.
	Misdirected bool
	// Leaving is set if the target states that it is about to stop.
	Leaving bool
	// Load is nil if the target reports none.
	Load *Load
	// RateLimit is the rate that the target takes from all daemons together, nil if it
	// states none.
	RateLimit *Rate
	// ColdLeft is how long the target stays cold, nil if it does not state that.
	ColdLeft *time.Duration
}
