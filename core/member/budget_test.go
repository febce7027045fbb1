package member_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/member"
	"pollenscale/core/spread"
	"pollenscale/core/store"
	"pollenscale/standin/memstore"

	"github.com/matryer/is"
)

// budgetCase is a situation in which the load on the store must stay within its
// limits.
type budgetCase struct {
	Name, Guards string
	// Fleet is the number of daemons. Restarted of them start at the same time;
	// the others have already joined.
	Fleet, Restarted int
	// SeedsAnswer is set if the seeds of the restarted daemons answer.
	SeedsAnswer bool
	// StoreDown is set if the store refuses calls.
	StoreDown bool
	Seconds   int
	// MeanReads is the maximum mean number of reads per second; 0 means no check.
	MeanReads float64
}

// TestStoreBudget guards against more than 500 reads/s or 100 writes/s of
// membership and configuration in any second, in the cases of
// testdata/budget.json.
func TestStoreBudget(t *testing.T) {
	data, err := os.ReadFile("testdata/budget.json")
	is.New(t).NoErr(err)
	var cases []budgetCase
	is.New(t).NoErr(json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runBudget(t, c) })
		})
	}
}

func runBudget(t *testing.T, c budgetCase) {
	is := is.New(t)
	s := memstore.New()
	s.SetFaults(memstore.Faults{Down: c.StoreDown})
	ctx, cancel := context.WithTimeout(t.Context(), time.Duration(c.Seconds)*time.Second)
	defer cancel()
	random := rand.New(rand.NewPCG(7, 7))
	var mu sync.Mutex
	jitter := func(d time.Duration) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(random.Int64N(int64(d)))
	}
	var wg sync.WaitGroup
	for i := range c.Fleet {
		restarted := i < c.Restarted
		// The list is used for joining only; no datagrams are exchanged.
		list := member.New(fleet.Target{Daemon: fleet.DaemonID(fmt.Sprint("d", i)), PeerAddress: fmt.Sprint("d", i), State: fleet.Serving})
		wg.Go(func() {
			joined := !restarted
			if restarted {
				j := &member.Joiner{List: list, Seeds: []string{"seed"}, Tables: s.Tables(), Jitter: jitter, Call: func(context.Context, string, member.Request) (member.Reply, error) {
					if !c.SeedsAnswer {
						return member.Reply{}, context.DeadlineExceeded
					}
					return member.Reply{}, nil
				}}
				wg.Go(func() {
					if j.Join(ctx) == nil {
						mu.Lock()
						joined = true
						mu.Unlock()
					}
				})
			}
			runConfigReads(ctx, s.Tables(), jitter, c.Fleet, func() bool {
				mu.Lock()
				defer mu.Unlock()
				return joined
			})
		})
	}
	var before memstore.Counts
	peak, total := int64(0), int64(0)
	for second := 0; ctx.Err() == nil; second++ {
		time.Sleep(time.Second)
		now := s.Counts()
		reads := now.Reads + now.Lists + now.Refused - before.Reads - before.Lists - before.Refused
		writes := now.Transactions - before.Transactions
		before = now
		peak, total = max(peak, reads), total+reads
		if reads > 500 || writes > 100 {
			t.Errorf("second %d: %d reads, %d writes", second, reads, writes)
		}
	}
	wg.Wait()
	t.Logf("reads/s: peak %d, mean %.2f", peak, float64(total)/float64(c.Seconds))
	if c.MeanReads > 0 {
		is.True(float64(total)/float64(c.Seconds) <= c.MeanReads) // mean reads per second
	}
}

// runConfigReads performs the configuration reads of one daemon.
func runConfigReads(ctx context.Context, tables store.Tables, jitter func(time.Duration) time.Duration, members int, joined func() bool) {
	s := &spread.Spreader{
		Jitter:  jitter,
		Current: func() spread.Head { return spread.Head{Version: 1, Digest: "d"} },
		ReadStore: func(ctx context.Context, _ spread.Version) (spread.Update, error) {
			_, _, err := tables.Read(ctx, "config", "head")
			return spread.Update{}, err
		},
		Announce: func(spread.Head) {},
		Members: func() int {
			if joined() {
				return members
			}
			return 1
		},
		Joined: joined,
	}
	_ = s.Run(ctx) // always ends with the error of the context
}
