// Package upload implements a durable queue for deferred uploads.
//
// An upload is accepted once its body is in the object store and its record is
// in the table service. A daemon whose target has capacity claims the record,
// which raises the token and names the delivery attempt, before it delivers the
// upload. If a claim expires without a result, another daemon first settles that
// attempt, that is, it obtains the attempt's final outcome from the target's
// daemon, so that an upload that is not idempotent does not run twice. A record
// is in one of three tables: pending, delivered or parked. Parked uploads, the
// dead letters of the queue, wait for the decision of an operator.
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

// Mechanisms that mutation tests disable one at a time.
var (
	objectFirst              = mutant.New("upload/object-before-record")
	resolveLostInsert        = mutant.New("upload/settle-accept")
	settleAttempt            = mutant.New("upload/settle-attempt")
	claimRecord              = mutant.New("upload/conditional-claim")
	parkUnknown              = mutant.New("upload/park-unknown")
	keepObjectUntilDelivered = mutant.New("upload/keep-object-until-delivered")
	oneUploadPerKey          = mutant.New("upload/one-upload-per-key")
	checkStoreFirst          = mutant.New("upload/check-store-first")
)

// Tables that hold the records, in the table service.
const (
	PendingTable   store.Table = "uploads"
	DeliveredTable store.Table = "uploads-delivered"
	ParkedTable    store.Table = "uploads-parked"
)

// ErrNotFound is returned if there is no record with the given ID.
var ErrNotFound = errors.New("upload: no such upload")

// ID identifies an upload. It starts with the name of the service.
type ID string

// State is the state of an upload.
type State string

// The states of an upload.
const (
	Accepted   State = "Accepted"   // waits for a target with capacity
	Delivering State = "Delivering" // claimed; an attempt may be in progress
	Delivered  State = "Delivered"  // the target responded with success
	Parked     State = "Parked"     // waits for an operator; the body is kept
)

// Attempt identifies a delivery attempt, with the fields of an ID and target in
// package attempt.
type Attempt struct {
	Daemon            fleet.DaemonID
	Incarnation       fleet.Incarnation
	Sequence          uint64
	Target            fleet.DaemonID
	TargetIncarnation fleet.Incarnation
}

// Request is an upload as sent by the caller, without its body.
type Request struct {
	Service      fleet.Service
	Organisation fleet.Organisation
	Method       string
	URI          string
	Header       map[string][]string
	// Size is the Content-Length of the body, or -1 if unknown.
	Size       fleet.Bytes
	Idempotent bool
	// Key is the idempotency key, or empty. Requests with the same key are
	// accepted as one upload.
	Key string
	// Fingerprint detects different requests with the same key.
	Fingerprint uint64
}

// Record is the stored state of an upload, encoded as JSON.
type Record struct {
	ID      ID
	Request Request
	// Object is the ID of the body in the object store.
	Object string
	Size   fleet.Bytes
	State  State
	// Token increases with each claim.
	Token uint64
	// Attempt is the last delivery attempt. It is set while Delivering, and when
	// Parked after an attempt.
	Attempt Attempt
	// ClaimedUntil is the expiry of the claim, by the clock of the store.
	ClaimedUntil time.Time
	// NotBefore is the earliest time of the next claim after a failed delivery, by
	// the clock of the store.
	NotBefore time.Time
	// Failures counts the deliveries that were put back in the queue.
	Failures int
	// Outcome, Status and Detail describe the result of the last delivery.
	Outcome outcome.Outcome
	Status  int
	Detail  string
}

func (r Record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // all fields of a record can be encoded
	}
	return value
}

func decode(row store.Row) (Record, error) {
	var r Record
	err := json.Unmarshal(row.Value, &r)
	return r, errors.Wrapf(err, "upload: damaged record %q", row.Key)
}

// prefix returns the common prefix of the IDs of a service.
func prefix(service fleet.Service) string {
	return url.PathEscape(string(service)) + "/"
}
