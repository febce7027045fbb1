package retry_test

import (
	"testing"
	"time"

	"pollenscale/core/retry"

	"github.com/matryer/is"
)

// TestFleetBudget guards against daemons that together retry more than the fleet's
// limits allow while every attempt fails, in any position of the sliding window.
func TestFleetBudget(t *testing.T) {
	is := is.New(t)
	limits := retry.FleetLimits{Ratio: 0.2, ExtraRetries: 58, Window: 10 * time.Second}
	const (
		daemons  = 24
		attempts = 100 // per request
	)
	now := time.Unix(1000, 0)
	var fleet []*retry.FleetBudget
	for range daemons {
		b := retry.NewFleetBudget(limits, func() int { return daemons })
		b.Now = func() time.Time { return now }
		fleet = append(fleet, b)
	}
	const tick, ticks = 100 * time.Millisecond, 400
	requests, retries := make([]float64, ticks), make([]float64, ticks)
	for i := range ticks {
		now = now.Add(tick)
		for j, b := range fleet {
			if (i+j)%5 != 0 {
				continue
			}
			b.RecordRequest()
			requests[i]++
			for tries := 0; tries < attempts && b.Allow(); tries++ {
				retries[i]++
			}
		}
	}
	window := int(limits.Window / tick)
	for end := window; end <= ticks; end++ {
		sent, retried := 0.0, 0.0
		for i := end - window; i < end; i++ {
			sent += requests[i]
			retried += retries[i]
		}
		is.True(retried <= limits.Ratio*sent+limits.ExtraRetries) // in every window
		is.True(retried > 0)
	}
}
