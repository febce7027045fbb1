package attempt_test

import (
	"encoding/json"
	"os"
	"testing"

	"pollenscale/core/attempt"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const own fleet.Incarnation = 7

// step is one message to the table or one event at the target.
type step struct {
	Do          string // Begin, Start, Finish or Settle
	Incarnation fleet.Incarnation
	Sequence    attempt.Sequence
	Target      fleet.Incarnation
	OpenFrom    attempt.Sequence
	Want        outcome.Outcome // of a refusal or settlement, empty if accepted
	WantLen     int
}

// TestTable guards against attempts that run after they were settled as not run,
// that run twice, or that run at another incarnation than the addressed one.
func TestTable(t *testing.T) {
	data, err := os.ReadFile("testdata/steps.json")
	is.New(t).NoErr(err)
	var cases []struct {
		Name  string
		Steps []step
	}
	is.New(t).NoErr(json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			table := &attempt.Table{Incarnation: own}
			records := map[attempt.Sequence]*attempt.Record{}
			for _, s := range c.Steps {
				is.Equal(s.apply(table, records), s.Want)
				is.Equal(table.Len(), s.WantLen)
			}
		})
	}
}

func (s step) apply(table *attempt.Table, records map[attempt.Sequence]*attempt.Record) outcome.Outcome {
	ref := attempt.Ref{
		ID:       attempt.ID{Daemon: "e", Incarnation: max(1, s.Incarnation), Sequence: s.Sequence},
		Target:   own,
		OpenFrom: s.OpenFrom,
	}
	if s.Target != 0 {
		ref.Target = s.Target
	}
	var err error
	switch s.Do {
	case "Begin":
		var r *attempt.Record
		if r, err = table.Begin(ref, nil); err == nil {
			records[s.Sequence] = r
		}
	case "Start":
		err = records[s.Sequence].Start()
	case "Finish":
		records[s.Sequence].Finish(outcome.Run)
	case "Settle":
		return table.Settle(ref).Outcome
	}
	if err != nil {
		return outcome.Of(err)
	}
	return ""
}

// TestAtMostOnce guards against an attempt that runs twice or after a binding 'not
// run', and against a table that keeps records of closed attempts. It delivers,
// duplicates, settles and closes attempts in random order.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &attempt.Table{Incarnation: own}
		sequencer := &attempt.Sequencer{Daemon: "e", Incarnation: 1}
		var open []attempt.OpenAttempt
		queued := map[attempt.Sequence]*attempt.Record{}
		ran, notRun := map[attempt.Sequence]int{}, map[attempt.Sequence]bool{}
		pick := func(t *rapid.T) int {
			if len(open) == 0 {
				t.Skip()
			}
			return rapid.IntRange(0, len(open)-1).Draw(t, "open")
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(*rapid.T) { open = append(open, sequencer.Open(fleet.Target{Daemon: "t", Incarnation: own})) },
			"deliver": func(t *rapid.T) {
				ref := open[pick(t)].Ref
				if r, err := table.Begin(ref, nil); err == nil {
					queued[ref.ID.Sequence] = r
				}
			},
			"run": func(t *rapid.T) {
				sequence := open[pick(t)].Ref.ID.Sequence
				r := queued[sequence]
				if r == nil {
					t.Skip()
				}
				delete(queued, sequence)
				if r.Start() == nil {
					ran[sequence]++
					r.Finish(outcome.Run)
				}
			},
			"settle": func(t *rapid.T) {
				ref := open[pick(t)].Ref
				if table.Settle(ref).Outcome == outcome.NotRun {
					notRun[ref.ID.Sequence] = true
				}
			},
			"close": func(t *rapid.T) {
				i := pick(t)
				open[i].Close()
				open = append(open[:i], open[i+1:]...)
			},
			"": func(t *rapid.T) {
				for sequence, n := range ran {
					if n > 1 || notRun[sequence] {
						t.Fatalf("attempt %d ran %d times, settled as not run: %v", sequence, n, notRun[sequence])
					}
				}
			},
		})
		for _, o := range open {
			o.Close()
		}
		table.Settle(sequencer.Open(fleet.Target{Daemon: "t", Incarnation: own}).Ref)
		if table.Len() != 1 {
			t.Fatalf("%d records after all attempts but one were closed", table.Len())
		}
	})
}
