// Package exchange describes requests and answers as the daemon needs them to
// decide, apart from the names that they have on the wire.
package exchange

import (
	"time"

	"pollenscale/core/fleet"
)

// RequestID names one attempt of a client. Targets echo it.
type RequestID string

// TargetID names one incarnation of a target.
type TargetID string

// Request is what the header of a client's request says.
type Request struct {
	ID RequestID
	// Deadline is when the client stops waiting; zero when it does not say.
	Deadline time.Time
}

// ForwardedRequest is what a target is told beside the request itself.
type ForwardedRequest struct {
	ID       RequestID
	Deadline time.Time
	// Target is the only incarnation that may run the request.
	Target TargetID
	// Caller is the service on the machine where the request originated.
	Caller fleet.Service
}

// Load is what a target reports of itself with an answer.
type Load struct {
	Running uint32
	Waiting uint32
	Slots   fleet.Slots
	// Slowdown is how long work takes now relative to the usual time; 1 is usual.
	Slowdown float64
}

// Response is what the header of a target's answer says.
type Response struct {
	// ID is the request that the answer belongs to, empty if it names none.
	ID RequestID
	// Target is the incarnation that answered, if it says so.
	Target TargetID
	// FromTarget is set when the target vouches for having made the answer.
	FromTarget bool
	// NotExecuted is set when the target states that it did not run the request.
	NotExecuted bool
	// Load is nil when the target reports none.
	Load *Load
}
