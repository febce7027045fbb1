package attempt_test

import (
	"testing"

	"pollenscale/core/attempt"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"

	"github.com/matryer/is"
)

// TestCheck guards against running an attempt that arrives late, over a connection
// that had stopped responding, after its entry was told that it did not run; and
// against a Check that cancels an attempt in progress.
func TestCheck(t *testing.T) {
	is := is.New(t)
	table := &attempt.Table{Incarnation: own}
	sequencer := &attempt.Sequencer{Daemon: "e", Incarnation: 1}
	lost, known := sequencer.Open(fleet.Target{Daemon: "t", Incarnation: own}).Ref, sequencer.Open(fleet.Target{Daemon: "t", Incarnation: own}).Ref

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
