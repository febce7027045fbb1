// Package upload keeps deferred uploads until they are delivered.
//
// An upload is accepted once its body is in the object store and a record of it
// is in the table service. A daemon whose target has room claims the record
// with a token and names the attempt in it before it delivers. When the claim
// has ended without a result, another daemon settles that attempt first, so
// that a delivery that is not idempotent does not run twice. A record is in one
// of three tables: pending, delivered or parked.
package upload

import (
	"encoding/json"
	"net/url"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/store"
	"pollenscale/internal/mutant"

	"github.com/cockroachdb/errors"
)

// Mechanisms that tests switch off one at a time.
var (
	objectFirst     = mutant.New("upload/object-before-record")
	settleAccept    = mutant.New("upload/settle-accept")
	settleAttempt   = mutant.New("upload/settle-attempt")
	claimRecord     = mutant.New("upload/conditional-claim")
	parkUnknown     = mutant.New("upload/park-unknown")
	keepObject      = mutant.New("upload/keep-object-until-delivered")
	oneUploadPerKey = mutant.New("upload/one-upload-per-key")
	checkStoreFirst = mutant.New("upload/check-store-first")
)

// Tables of the table service.
const (
	PendingTable   store.Table = "uploads"
	DeliveredTable store.Table = "uploads-delivered"
	ParkedTable    store.Table = "uploads-parked"
)

// ErrNotFound is returned for an id without a record.
var ErrNotFound = errors.New("upload: no such upload")

// ID identifies an upload. It contains the service.
type ID string

// State is the state of an upload.
type State string

// The states of an upload.
const (
	Accepted   State = "Accepted"   // waits for a target with room
	Delivering State = "Delivering" // claimed; an attempt may be under way
	Delivered  State = "Delivered"  // the target answered with success
	Parked     State = "Parked"     // an operator decides; the body is kept
)

// Attempt is the attempt of a delivery, as package attempt identifies it.
type Attempt struct {
	Daemon            fleet.DaemonID
	Incarnation       fleet.Incarnation
	Sequence          uint64
	Target            fleet.DaemonID
	TargetIncarnation fleet.Incarnation
}

// Request is an upload as the caller sends it, without its body.
type Request struct {
	Service      fleet.Service
	Organisation fleet.Organisation
	Method       string
	URI          string
	Header       map[string][]string
	// Size is the announced size of the body, or -1.
	Size       fleet.Bytes
	Idempotent bool
	// Key is the idempotency key, or empty. Uploads with the same key are one.
	Key string
	// Fingerprint tells different requests with the same key apart.
	Fingerprint uint64
}

// Record is an upload as it is recorded.
type Record struct {
	ID      ID
	Request Request
	// Object is the id of the body in the object store.
	Object string
	Size   fleet.Bytes
	State  State
	// Token rises with each claim.
	Token uint64
	// Attempt is set while Delivering, and when Parked after an attempt.
	Attempt Attempt
	// ClaimedUntil is the end of the claim in store time.
	ClaimedUntil time.Time
	// NotBefore is the earliest next claim in store time, after a failure.
	NotBefore time.Time
	// Failures counts the deliveries that did not run.
	Failures int
	// Outcome, Status and Detail describe the last delivery.
	Outcome outcome.Outcome
	Status  int
	Detail  string
}

func (r Record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // a record has only plain fields
	}
	return value
}

func decode(row store.Row) (Record, error) {
	var r Record
	err := json.Unmarshal(row.Value, &r)
	return r, errors.Wrapf(err, "upload: damaged record %q", row.Key)
}

// prefix returns the start of all ids of a service.
func prefix(service fleet.Service) string {
	return url.PathEscape(string(service)) + "/"
}
