package measure

import (
	"fmt"
	"testing"
	"time"

	"pollenscale/core/choice"
	"pollenscale/core/fleet"
)

const (
	pickCase  = "cost of a pick"
	pickCount = 200_000
)

func pickSizes() []int { return []int{10, 100, 3400} }

// measurePick measures the real time of Pick followed by Done on one core.
func measurePick(name string, known int, seed uint64) []Result {
	c := choice.New(zones("scl", 0))
	var records []fleet.Target
	for i := range known {
		records = append(records, fleet.Target{
			Daemon: fleet.DaemonID(fmt.Sprint("target-", i)), Place: regionPlace(i),
			Service: service, State: fleet.Serving, Slots: slots,
		})
	}
	c.SetTargets(records)
	pick := func() {
		picked, err := c.Pick(choice.Request{Service: service})
		if err == nil {
			c.Done(picked, choice.Result{})
		}
	}
	start := time.Now()
	for range pickCount {
		pick()
	}
	r := results{caseName: pickCase, policy: name, seed: seed}
	r.add("Time", float64(time.Since(start).Nanoseconds())/pickCount, "ns")
	r.add("Allocations", testing.AllocsPerRun(1000, pick), "per pick")
	return r.list
}
