// Package outcome says what became of a request: whether it was run.
//
// The distinction decides what may happen next. A request that was not run can
// be sent again safely; one whose outcome is unknown cannot, unless it is
// idempotent.
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
	Run     Outcome = "Run"     // ran, or is running
	Unknown Outcome = "Unknown" // may have run
)

// Valid reports whether o is one of the named outcomes.
func (o Outcome) Valid() bool {
	return o == NotRun || o == Run || o == Unknown
}

// Reason is a stable name for why a request failed. It appears in problem
// details, metrics and logs.
type Reason string

// The reasons for which daemons fail a request.
const (
	BadRequest       Reason = "BadRequest"     // malformed header or value
	UnknownService   Reason = "UnknownService" // no such service in the configuration
	NoTarget         Reason = "NoTarget"       // no target takes work
	DeadlineExceeded Reason = "DeadlineExceeded"
	CannotFinish     Reason = "CannotFinish" // would miss its deadline in the queue
	Overloaded       Reason = "Overloaded"
	Draining         Reason = "Draining"
	TooLarge         Reason = "TooLarge"
	Poison           Reason = "Poison"  // crashed targets before
	Running          Reason = "Running" // the first request with this key is under way
	KeyUnknown       Reason = "KeyUnknown"
	NotOwner         Reason = "NotOwner"  // this daemon does not own the key's slot
	KeyReused        Reason = "KeyReused" // same key, different request
	StoreDown        Reason = "StoreDown"
	TargetFailed     Reason = "TargetFailed"
	TargetCrashed    Reason = "TargetCrashed"
	ConnectionLost   Reason = "ConnectionLost"
	Cancelled        Reason = "Cancelled"
	StaleAttempt     Reason = "StaleAttempt" // other incarnation, tombstone, or old token
	RetryNotAllowed  Reason = "RetryNotAllowed"
)

// Error is a failed request with its outcome.
type Error struct {
	Outcome Outcome
	Reason  Reason
	Detail  string
	// RetryAt is the earliest useful time of a retry, zero when none is known.
	RetryAt time.Time
	// Hint is the id of a daemon that is more likely to have room, if any.
	Hint string
	// Load is the load report that came with a refusal, nil without one.
	Load *fleet.Load
}

// Error returns reason, outcome and detail as one line.
func (e *Error) Error() string {
	return string(e.Reason) + " (" + string(e.Outcome) + "): " + e.Detail
}

// New returns an error with the given outcome, reason and detail.
func New(o Outcome, r Reason, detail string) *Error {
	return &Error{Outcome: o, Reason: r, Detail: detail}
}

// Of returns the outcome that err carries. An error without one is Unknown,
// and a nil error is Run.
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
