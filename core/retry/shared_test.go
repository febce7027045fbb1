package retry_test

import (
	"testing"
	"time"

	"pollenscale/core/retry"

	"github.com/matryer/is"
)

// TestSharedBudget guards against daemons that together repeat more than the
// fleet allows while every attempt fails, at the edges of the windows too.
func TestSharedBudget(t *testing.T) {
	is := is.New(t)
	terms := retry.FleetLimits{Ratio: 0.2, ExtraRetries: 58, Window: 10 * time.Second}
	const (
		daemons  = 24
		attempts = 100 // of one request
	)
	now := time.Unix(1000, 0)
	var fleet []*retry.FleetBudget
	for range daemons {
		b := retry.NewFleetBudget(terms, func() int { return daemons })
		b.Now = func() time.Time { return now }
		fleet = append(fleet, b)
	}
	const tick, ticks = 100 * time.Millisecond, 400
	requests, repeats := make([]float64, ticks), make([]float64, ticks)
	for i := range ticks {
		now = now.Add(tick)
		for j, b := range fleet {
			if (i+j)%5 != 0 {
				continue
			}
			b.RecordRequest()
			requests[i]++
			for tries := 0; tries < attempts && b.Allow(); tries++ {
				repeats[i]++
			}
		}
	}
	window := int(terms.Window / tick)
	for end := window; end <= ticks; end++ {
		sent, again := 0.0, 0.0
		for i := end - window; i < end; i++ {
			sent += requests[i]
			again += repeats[i]
		}
		is.True(again <= terms.Ratio*sent+terms.ExtraRetries) // in every window
		is.True(again > 0)
	}
}
