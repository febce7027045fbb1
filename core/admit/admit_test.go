package admit_test

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pollenscale/core/admit"
	"pollenscale/core/fleet"
	"pollenscale/core/limit"
	"pollenscale/core/outcome"
	"pollenscale/core/policy"

	"github.com/matryer/is"
)

func load(t *testing.T, name string, into any) {
	data, err := os.ReadFile("testdata/" + name)
	is.New(t).NoErr(err)
	is.New(t).NoErr(json.Unmarshal(data, into))
}

type step struct {
	AtMs         int
	Submit       string
	Release      string
	Cancel       string
	Fail         string
	Foreign      int // requests at the target without a ticket, from this step on
	Rank         fleet.Rank
	Organisation fleet.Organisation
	DeadlineMs   int
	StartByMs    int
	ObjectiveMs  int
	Nested       bool
	Want         map[string]string // state of tickets after the step
}

// TestScripts guards against a queue that serves ranks, organisations or deadlines
// out of order, keeps requests that cannot finish in time, or gives a rank less than
// its floor.
func TestScripts(t *testing.T) {
	var cases []struct {
		Name    string
		Slots   fleet.Slots
		Service policy.Service
		Steps   []step
	}
	load(t, "scripts.json", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			start := time.Unix(0, 0)
			now := start
			at := func(ms int) time.Time {
				if ms == 0 {
					return time.Time{}
				}
				return start.Add(time.Duration(ms) * time.Millisecond)
			}
			q := admit.New(&c.Service, limit.NewWarm(c.Slots))
			q.Now = func() time.Time { return now }
			tickets := map[string]*admit.Ticket{}
			states := map[string]string{}
			for i, s := range c.Steps {
				now = start.Add(time.Duration(s.AtMs) * time.Millisecond)
				switch {
				case s.Submit != "":
					states[s.Submit] = "queued"
					tickets[s.Submit] = q.Submit(admit.Request{
						Rank: s.Rank, Organisation: s.Organisation, Deadline: at(s.DeadlineMs), StartBy: at(s.StartByMs),
						Objective: at(s.ObjectiveMs), Nested: s.Nested,
					}, func(err *outcome.Error) {
						states[s.Submit] = "granted"
						if err != nil {
							states[s.Submit] = string(err.Reason)
						}
					})
				case s.Release != "":
					tickets[s.Release].Release()
				case s.Cancel != "":
					tickets[s.Cancel].Cancel()
				case s.Fail != "":
					tickets[s.Fail].Fail()
				case s.Foreign > 0:
					q.SetForeign(s.Foreign)
				default:
					q.Refresh()
				}
				for id, want := range s.Want {
					if states[id] != want {
						t.Fatalf("step %d: ticket %s is %s, want %s", i, id, states[id], want)
					}
				}
			}
		})
	}
}

// TestAcquire guards against a blocked caller that keeps its place in the queue after
// its deadline, and against an error whose outcome is not NotRun.
func TestAcquire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := admit.New(&policy.Service{}, limit.NewWarm(1))
		release, err := q.Acquire(context.Background(), admit.Request{})
		is.NoErr(err)
		_, err = q.Acquire(context.Background(), admit.Request{Deadline: time.Now().Add(time.Second)})
		var refused *outcome.Error
		is.True(errors.As(err, &refused))
		is.Equal(refused.Outcome, outcome.NotRun)
		is.Equal(q.Load(time.Now()).Queued, uint32(0))
		release()
		again, err := q.Acquire(context.Background(), admit.Request{})
		is.NoErr(err)
		again()
		is.Equal(q.Load(time.Now()).Running, uint32(0))
	})
}

// TestFailFast guards against a target that fails fast and thereby gets more requests
// than a healthy one.
func TestFailFast(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	q := admit.New(&policy.Service{}, limit.NewWarm(4))
	q.Now = func() time.Time { return now }
	granted := 0
	submit := func() *admit.Ticket {
		return q.Submit(admit.Request{}, func(err *outcome.Error) {
			if err == nil {
				granted++
			}
		})
	}
	first := submit()
	now = now.Add(100 * time.Millisecond)
	first.Release()
	for range 20 {
		before := granted
		ticket := submit()
		now = now.Add(time.Millisecond)
		if granted == before {
			is.True(ticket.Cancel())
			continue
		}
		ticket.Fail()
	}
	is.True(granted < 15) // 20 if slots are not held after failures
	before := granted
	submit()
	is.Equal(granted, before)
	now = now.Add(100 * time.Millisecond)
	q.Refresh()
	is.Equal(granted, before+1)
}
