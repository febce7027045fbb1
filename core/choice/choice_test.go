package choice_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	"pollenscale/core/choice"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

func testPlace() fleet.Place { return fleet.Place{Region: "scl", AvailabilityZone: "scl-1"} }

// TestScripts guards against picking targets that take no work, have been tried,
// fail, or are further away than necessary.
func TestScripts(t *testing.T) {
	data, err := os.ReadFile("testdata/scripts.json")
	is.New(t).NoErr(err)
	var cases []struct {
		Name    string
		Targets []fleet.Target
		Loads   []fleet.Load
		Fail    fleet.DaemonID
		FailAll bool
		Tried   []fleet.DaemonID
		Hint    fleet.DaemonID
		Final   bool
		// Want holds, by target, the minimum and maximum number of picks out of
		// 1,000. The key "none" counts picks that found no target.
		Want map[fleet.DaemonID][2]int
		// WantQueues says whether the picks queue at their target.
		WantQueues bool
	}
	is.New(t).NoErr(json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1, 0)
			chooser := choice.New(testPlace())
			chooser.Now = func() time.Time { return now }
			chooser.SetTargets(c.Targets)
			for _, l := range c.Loads {
				chooser.Observe(l)
			}
			got := map[fleet.DaemonID]int{}
			for range 1000 {
				picked, err := chooser.Pick(choice.Request{Service: "agenda", Tried: c.Tried, Hint: c.Hint, Final: c.Final})
				if err != nil {
					var refused *outcome.Error
					is.True(errors.As(err, &refused))
					is.Equal(refused.Outcome, outcome.NotRun)
					got["none"]++
					continue
				}
				id := picked.Target.Daemon
				got[id]++
				is.Equal(picked.StartBy.IsZero(), c.WantQueues)
				chooser.Done(picked, choice.Result{Failed: c.FailAll || id == c.Fail})
			}
			for id, want := range c.Want {
				if got[id] < want[0] || got[id] > want[1] {
					t.Errorf("%d picks of %s, want %v", got[id], id, want)
				}
			}
		})
	}
}

// BenchmarkPick measures picks against the goal of 1 µs and no allocation each.
func BenchmarkPick(b *testing.B) {
	for _, known := range []int{10, 100, 3400} {
		b.Run(fmt.Sprint(known), func(b *testing.B) {
			chooser := choice.New(testPlace())
			chooser.SetTargets(testTargets(known))
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				r := choice.Request{Service: "agenda"}
				for pb.Next() {
					c, err := chooser.Pick(r)
					if err != nil {
						b.Error(err)
					}
					chooser.Done(c, choice.Result{})
				}
			})
		})
	}
}

// TestPickDoesNotAllocate guards against an allocation per pick.
func TestPickDoesNotAllocate(t *testing.T) {
	chooser := choice.New(testPlace())
	chooser.SetTargets(testTargets(100))
	allocations := testing.AllocsPerRun(1000, func() {
		c, _ := chooser.Pick(choice.Request{Service: "agenda"})
		chooser.Done(c, choice.Result{})
	})
	is.New(t).Equal(allocations, 0.0)
}

// TestConcurrent guards against data races between picks, load reports and
// changes of the set of targets. It needs the race detector to find them.
func TestConcurrent(t *testing.T) {
	chooser := choice.New(testPlace())
	chooser.SetTargets(testTargets(10))
	var group errgroup.Group
	for worker := range 4 {
		group.Go(func() error {
			for i := range 500 {
				if i%50 == 0 {
					chooser.SetTargets(testTargets(10 + worker))
				}
				c, err := chooser.Pick(choice.Request{Service: "agenda"})
				if err != nil {
					return err
				}
				chooser.Observe(fleet.Load{Daemon: c.Target.Daemon, Sequence: uint64(i), Slots: 9})
				chooser.Done(c, choice.Result{Failed: i%3 == 0})
			}
			return nil
		})
	}
	is.New(t).NoErr(group.Wait())
}

func testTargets(n int) []fleet.Target {
	var targets []fleet.Target
	for i := range n {
		place := fleet.Place{Region: "scl", AvailabilityZone: fleet.AvailabilityZone(fmt.Sprint("scl-", i%2))}
		if i%3 != 0 {
			place.Region = "gru"
		}
		targets = append(targets, fleet.Target{
			Daemon: fleet.DaemonID(fmt.Sprint("d", i)), Place: place, Service: "agenda", State: fleet.Serving, Slots: 9,
		})
	}
	return targets
}
