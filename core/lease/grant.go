package lease

import (
	"encoding/json"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/store"
	"pollenscale/internal/mutant"
)

// Mechanisms that mutation tests disable one at a time.
var (
	checkExpiry    = mutant.New("lease/expiry")
	limitStamps    = mutant.New("lease/stamp-limit")
	waitForExpiry  = mutant.New("lease/wait-for-expiry")
	keepStampFloor = mutant.New("lease/earlier-stamps")
	adoptOwnWrites = mutant.New("lease/settle-lost-answer")
	useWallClock   = mutant.New("lease/wall-clock")
)

// Name identifies a lease.
type Name string

// Token is the fencing token of a lease. It increases by one with each new holder.
type Token uint64

// Tables of the table service. The fence row of a lease is written only when the
// holder changes, so that a transaction can be conditional on the token without
// conflicting with renewals.
const (
	LeaseTable store.Table = "leases"
	FenceTable store.Table = "fences"
)

const (
	// TTL is the time from a renewal to the expiry of the lease.
	TTL = 60 * time.Second
	// RenewInterval is the time between renewals. Two renewals may fail before the
	// lease expires.
	RenewInterval = 20 * time.Second
	// MaxStampLead is how far a stamp may be ahead of the store's clock.
	MaxStampLead = 2 * time.Second
)

// Grant is the holder's view of a lease at one moment. It is a value: a later
// renewal does not change it.
type Grant struct {
	Name  Name
	Token Token
	// Expiry is the expiry of the lease by the store's clock.
	Expiry time.Time
	// StampFloor is the highest stamp that an earlier holder may have accepted. It
	// is zero if there was no earlier holder.
	StampFloor time.Time
	// Fence is a condition that is met until another holder acquires the lease.
	Fence store.Condition

	clock clockSample
}

// ValidAt reports whether the lease is certain not to have expired at r, so that
// the store cannot have granted it to another daemon.
func (g Grant) ValidAt(r Reading) bool {
	if checkExpiry.Off() {
		return true
	}
	return g.clock.latest(r).Before(g.Expiry)
}

// StampLimit returns the highest stamp that the holder may accept at r. It never
// exceeds Expiry plus MaxStampLead, however wrong the clocks are, so that
// successive holders accept disjoint ranges of stamps.
func (g Grant) StampLimit(r Reading) time.Time {
	now := g.clock.earliest(r)
	if now.After(g.Expiry) && !limitStamps.Off() {
		now = g.Expiry
	}
	return now.Add(MaxStampLead)
}

// record is the JSON value of a lease row.
type record struct {
	Holder      fleet.DaemonID
	Incarnation fleet.Incarnation
	Token       Token
	Expiry      time.Time
	// After is the StampFloor of the holder's grant.
	After    time.Time
	Released bool
	// AcceptedUpTo is the highest stamp that any holder has accepted. It is set
	// when the lease is released.
	AcceptedUpTo time.Time
}

func decodeRecord(row store.Row) (record, error) {
	var rec record
	if row.Version == 0 {
		return rec, nil
	}
	err := json.Unmarshal(row.Value, &rec)
	return rec, err
}

func (rec record) encode() []byte {
	value, err := json.Marshal(rec)
	if err != nil {
		panic(err) // cannot fail: all fields are encodable
	}
	return value
}

// stampFloor returns the highest stamp that the holder named in rec or an earlier
// holder may have accepted.
func (rec record) stampFloor() time.Time {
	switch {
	case rec.Token == 0, keepStampFloor.Off():
		return time.Time{}
	case rec.Released:
		return rec.AcceptedUpTo
	}
	return laterTime(rec.After, rec.Expiry.Add(MaxStampLead))
}

// available reports whether another daemon may acquire the lease when the store's
// clock shows now.
func (rec record) available(now time.Time) bool {
	return waitForExpiry.Off() || rec.Token == 0 || rec.Released || !now.Before(rec.Expiry)
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
