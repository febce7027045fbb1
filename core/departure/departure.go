// Package departure holds which incarnations of targets have left. Several processes of a
// daemon, its row in the store and the other daemons each know some of the departures that
// were acknowledged. Sets of them are joined, so that the order in which they are learned
// has no effect.
package departure

import (
	"cmp"
	"slices"

	"pollenscale/core/exchange"

	"github.com/cockroachdb/errors"
)

// MaxSize is the largest number of departures in a Set. A target ends some seconds after
// its departure, so that the earlier ones no longer matter.
const MaxSize = 8

// Departure states that an incarnation of a target and all earlier ones with the same ID
// have left.
type Departure struct {
	Target exchange.TargetID
	// Born is the start time of the incarnation in Unix milliseconds.
	Born int64
}

// compare orders departures from the latest start to the earliest.
func compare(a, b Departure) int {
	return cmp.Or(cmp.Compare(b.Born, a.Born), cmp.Compare(a.Target, b.Target))
}

// Set is a set of at most MaxSize departures, one for each target, in the order of compare.
// Its methods do not change it.
type Set []Departure

// Covers reports whether an incarnation of a target has left.
func (s Set) Covers(id exchange.TargetID, born int64) bool {
	return slices.ContainsFunc(s, func(d Departure) bool { return d.Target == id && d.Born >= born })
}

// Contains reports whether joining o does not change the set.
func (s Set) Contains(o Set) bool {
	for _, d := range o {
		tooEarly := len(s) == MaxSize && compare(d, s[MaxSize-1]) > 0
		if !tooEarly && !s.Covers(d.Target, d.Born) {
			return false
		}
	}
	return true
}

// Add returns the set with one more departure.
func (s Set) Add(d Departure) Set { return s.Join(Set{d}) }

// Join returns the departures of both sets, without the earliest ones if they exceed
// MaxSize. It is associative, commutative and idempotent.
func (s Set) Join(o Set) Set {
	if s.Contains(o) {
		return s
	}
	all := slices.SortedFunc(slices.Values(slices.Concat(s, o)), compare)
	joined := make(Set, 0, len(all))
	for _, d := range all {
		if len(joined) < MaxSize && !joined.Covers(d.Target, d.Born) {
			joined = append(joined, d)
		}
	}
	return joined
}

// Validate returns why the set cannot have been published by a daemon, nil if it can.
func (s Set) Validate() error {
	if len(s) > MaxSize {
		return errors.Newf("%d departures", len(s))
	}
	for _, d := range s {
		if d.Target == "" || d.Born < 0 {
			return errors.Newf("departure of the target %q, started at %d", d.Target, d.Born)
		}
	}
	return nil
}
