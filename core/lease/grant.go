package lease

import (
	"encoding/json"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/store"
	"pollenscale/internal/mutant"
)

// Mechanisms that tests switch off one at a time.
var (
	checkExpiry   = mutant.New("lease/expiry")
	capStamps     = mutant.New("lease/stamp-limit")
	waitForExpiry = mutant.New("lease/wait-for-expiry")
	earlierStamps = mutant.New("lease/earlier-stamps")
	settleLost    = mutant.New("lease/settle-lost-answer")
	useWallClock  = mutant.New("lease/wall-clock")
)

// Name names a lease.
type Name string

// Token rises by one with each new holder of a lease.
type Token uint64

// Tables of the table service. The fence row of a lease is written only when
// the holder changes, so that a transaction can depend on the token without
// conflicting with renewals.
const (
	LeaseTable store.Table = "leases"
	FenceTable store.Table = "fences"
)

const (
	// TTL is the time for which a renewal holds.
	TTL = 60 * time.Second
	// RenewInterval is the time between renewals; two may fail before the lease ends.
	RenewInterval = 20 * time.Second
	// MaxStampLead is how far a stamp may lie ahead of store time.
	MaxStampLead = 2 * time.Second
)

// Grant is a lease as its holder knows it. It is a value; a later renewal does
// not change it.
type Grant struct {
	Name  Name
	Token Token
	// Expiry is the end of the lease in store time.
	Expiry time.Time
	// StampFloor is the highest stamp that an earlier holder can have accepted. It
	// is zero if there was no earlier holder.
	StampFloor time.Time
	// Fence holds exactly as long as no other holder follows.
	Fence store.Condition

	clock sample
}

// ValidAt reports whether the store cannot have granted the lease to another
// daemon before the reading r.
func (g Grant) ValidAt(r Reading) bool {
	if checkExpiry.Off() {
		return true
	}
	return g.clock.latest(r).Before(g.Expiry)
}

// StampLimit returns the highest stamp that the holder may accept at r. It
// never exceeds Expiry plus MaxStampLead, however wrong the clocks are, so that
// the stamps of successive holders are disjoint.
func (g Grant) StampLimit(r Reading) time.Time {
	now := g.clock.earliest(r)
	if now.After(g.Expiry) && !capStamps.Off() {
		now = g.Expiry
	}
	return now.Add(MaxStampLead)
}

// record is the value of a lease row.
type record struct {
	Holder      fleet.DaemonID
	Incarnation fleet.Incarnation
	Token       Token
	Expiry      time.Time
	After       time.Time
	Released    bool
	// AcceptedUpTo is the highest stamp that any holder has accepted, set by a
	// release.
	AcceptedUpTo time.Time
}

func parse(row store.Row) (record, error) {
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
		panic(err) // a record has only plain fields
	}
	return value
}

// acceptedBefore returns the highest stamp that the holder in rec or an earlier
// one can have accepted.
func (rec record) acceptedBefore() time.Time {
	switch {
	case rec.Token == 0, earlierStamps.Off():
		return time.Time{}
	case rec.Released:
		return rec.AcceptedUpTo
	}
	return later(rec.After, rec.Expiry.Add(MaxStampLead))
}

// free reports whether another daemon may take the lease at store time now.
func (rec record) free(now time.Time) bool {
	return waitForExpiry.Off() || rec.Token == 0 || rec.Released || !now.Before(rec.Expiry)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
