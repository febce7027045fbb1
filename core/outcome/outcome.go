// Package outcome defines whether a request ran, and why it failed.
//
// The outcome determines whether a request can be retried. A request that did
// not run can be retried safely. One whose outcome is unknown cannot, unless it
// is idempotent.
package outcome

import (
	"time"

	"pollenscale/core/fleet"

	"github.com/cockroachdb/errors"
)

// Outcome tells whether a request was run.
type Outcome string

// The outcomes of a request.
const (
	NotRun  Outcome = "NotRun"  // did not run and never will
	Run     Outcome = "Run"     // has run or is running
	Unknown Outcome = "Unknown" // may have run
)

// Valid reports whether o is one of the defined outcomes.
func (o Outcome) Valid() bool {
	return o == NotRun || o == Run || o == Unknown
}

// Reason is the stable name of the cause of a failure. It appears in problem
// details, metrics and logs.
type Reason string

// The reasons why daemons fail a request.
const (
	BadRequest       Reason = "BadRequest"     // malformed header or value
	UnknownService   Reason = "UnknownService" // no such service in the configuration
	NoTarget         Reason = "NoTarget"       // no target accepts requests
	DeadlineExceeded Reason = "DeadlineExceeded"
	CannotFinish     Reason = "CannotFinish" // would miss its deadline in the queue
	Overloaded       Reason = "Overloaded"
	Draining         Reason = "Draining"
	TooLarge         Reason = "TooLarge"
	Poison           Reason = "Poison"  // the request has crashed targets
	Running          Reason = "Running" // the first request with this key is in progress
	KeyUnknown       Reason = "KeyUnknown"
	NotOwner         Reason = "NotOwner"  // this daemon does not own the key's slot
	KeyReused        Reason = "KeyReused" // same key, different request
	StoreDown        Reason = "StoreDown"
	TargetFailed     Reason = "TargetFailed"
	TargetCrashed    Reason = "TargetCrashed"
	ConnectionLost   Reason = "ConnectionLost"
	Cancelled        Reason = "Cancelled"
	StaleAttempt     Reason = "StaleAttempt" // other incarnation, tombstone, or old fencing token
	RetryNotAllowed  Reason = "RetryNotAllowed"
)

// Error is a failed request with its outcome.
type Error struct {
	Outcome Outcome
	Reason  Reason
	Detail  string
	// RetryAt is the earliest time at which a retry can succeed, or zero if it is
	// not known.
	RetryAt time.Time
	// Hint is the ID of a daemon that is more likely to have capacity, or empty.
	Hint string
	// Load is the load report that came with the error, or nil.
	Load *fleet.Load
}

// Error implements error. It contains the reason, the outcome and the detail.
func (e *Error) Error() string {
	return string(e.Reason) + " (" + string(e.Outcome) + "): " + e.Detail
}

// New returns an error with the given outcome, reason and detail.
func New(o Outcome, r Reason, detail string) *Error {
	return &Error{Outcome: o, Reason: r, Detail: detail}
}

// Of returns the outcome of the Error in the chain of err. It returns Run if err
// is nil, and Unknown if there is no Error in the chain.
func Of(err error) Outcome {
	if err == nil {
		return Run
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return Unknown
}
