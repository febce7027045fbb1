package dispatch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"testing/synctest"

	"pollenscale/core/attempt"
	"pollenscale/core/call"
	"pollenscale/core/dispatch"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/policy"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// scriptedAttempt is the scripted result of one attempt. An empty outcome means an
// answer.
type scriptedAttempt struct {
	Outcome outcome.Outcome
	Reason  outcome.Reason
	// Settled is the binding answer to Settle, empty if Settle fails.
	Settled outcome.Outcome
	// ReadsBody is set if the attempt reads the body beyond its head.
	ReadsBody bool
}

type dispatchCase struct {
	Name, Method, Key string
	// Owner is Own, Other, or empty if no owner can be reached.
	Owner string
	// TimeoutMilliseconds is the timeout of the request, 1000 by default. The owner
	// of a key is looked up every 50 ms, so 120 ms allow three lookups.
	TimeoutMilliseconds policy.Milliseconds
	Sent                []scriptedAttempt
	WantOutcome         outcome.Outcome // Run for an answer
	WantReason          outcome.Reason
	WantClaims          int
}

// TestDo guards against a second attempt without a binding 'not run', and against
// answering 'not run' to the caller of a request that may have run. All scripted
// attempts must be made, and no others.
func TestDo(t *testing.T) {
	data, err := os.ReadFile("testdata/cases.json")
	is.New(t).NoErr(err)
	var cases []dispatchCase
	is.New(t).NoErr(json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) { synctest.Test(t, c.run) })
	}
}

func (c dispatchCase) run(t *testing.T) {
	is := is.New(t)
	made, claims := 0, 0
	d := c.dispatcher(&made, &claims)
	body := strings.Repeat("x", 2*call.ReplayBytes)
	answer, err := d.Do(t.Context(), &call.Request{
		Service: "agenda", Method: c.Method, Path: "/", URI: "/", Key: c.Key,
		ContentLength: int64(len(body)), Body: call.NewBody(strings.NewReader(body), int64(len(body))),
	})
	is.Equal(made, len(c.Sent)) // number of attempts
	is.Equal(claims, c.WantClaims)
	is.Equal(outcome.Of(err), c.WantOutcome)
	if err == nil {
		is.NoErr(answer.Body.Close())
		return
	}
	var e *outcome.Error
	is.True(errors.As(err, &e))
	is.Equal(e.Reason, c.WantReason)
}

func (c dispatchCase) dispatcher(made, claims *int) *dispatch.Dispatcher {
	if c.TimeoutMilliseconds == 0 {
		c.TimeoutMilliseconds = 1000
	}
	service := &policy.Service{
		Name:        "agenda",
		Ranks:       []policy.Rank{{Name: "lookup", Timeout: c.TimeoutMilliseconds}},
		DefaultRank: "lookup",
		Routes:      []policy.Route{{Method: "GET", Idempotent: true}, {Method: "PUT", KeyRule: policy.KeyStamped}},
	}
	d := &dispatch.Dispatcher{
		Policy:    func() *policy.Set { return &policy.Set{Services: map[fleet.Service]*policy.Service{"agenda": service}} },
		Sequencer: &attempt.Sequencer{Daemon: "e", Incarnation: 1},
		Choose: func(_ context.Context, c dispatch.TargetRequest) (fleet.Target, error) {
			return fleet.Target{Daemon: fleet.DaemonID(fmt.Sprint(len(c.Tried)))}, nil
		},
		Send: func(_ context.Context, _ fleet.Target, _ attempt.Ref, r *call.Request) (*call.Answer, error) {
			*made++
			if *made > len(c.Sent) {
				return nil, outcome.New(outcome.NotRun, outcome.NoTarget, "attempt not in the script")
			}
			return c.Sent[*made-1].result(r)
		},
		Settle: func(context.Context, fleet.Target, attempt.Ref) (attempt.Settlement, error) {
			if o := c.Sent[*made-1].Settled; o != "" {
				return attempt.Settlement{Outcome: o}, nil
			}
			return attempt.Settlement{}, errors.New("no connection")
		},
		Claim: func(context.Context, *policy.Service, *call.Request) (*dispatch.Claim, error) {
			*claims++
			return &dispatch.Claim{Finish: func(dispatch.Completion) {}}, nil
		},
	}
	if c.Owner != "" {
		d.Owner = func(context.Context, *policy.Service, *call.Request) (fleet.Target, bool, error) {
			return fleet.Target{Daemon: "owner"}, c.Owner == "Own", nil
		}
	}
	return d
}

func (s scriptedAttempt) result(r *call.Request) (*call.Answer, error) {
	if s.ReadsBody {
		if _, err := r.Body.Rest().Read(make([]byte, 1)); err != nil {
			return nil, err
		}
	}
	if s.Outcome != "" {
		return nil, outcome.New(s.Outcome, s.Reason, "scripted")
	}
	return &call.Answer{Outcome: outcome.Run, Status: 200, Body: io.NopCloser(strings.NewReader(""))}, nil
}
