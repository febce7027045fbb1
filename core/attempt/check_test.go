package attempt_test

import (
	"testing"

	"pollenscale/core/attempt"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"

	"github.com/matryer/is"
)

// TestCheck guards against an attempt that arrives late over a silent connection
// after its entry was told that it never arrived, and against a question that
// stops an attempt under way.
func TestCheck(t *testing.T) {
	is := is.New(t)
	table := &attempt.Table{Incarnation: own}
	opener := &attempt.Sequencer{Daemon: "e", Incarnation: 1}
	lost, known := opener.Open(fleet.Target{Daemon: "t", Incarnation: own}).Ref, opener.Open(fleet.Target{Daemon: "t", Incarnation: own}).Ref

	is.Equal(table.Check(lost).Outcome, outcome.NotRun)
	_, err := table.Begin(lost, nil)
	is.Equal(outcome.Of(err), outcome.NotRun)

	stopped := false
	record, err := table.Begin(known, func() { stopped = true })
	is.NoErr(err)
	is.Equal(table.Check(known), attempt.Settlement{Outcome: outcome.Run, Running: true})
	is.True(!stopped)
	is.NoErr(record.Start())
	record.Finish(outcome.Run)
	is.Equal(table.Check(known), attempt.Settlement{Outcome: outcome.Run})
}
