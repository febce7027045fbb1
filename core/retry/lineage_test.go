package retry_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pollenscale/core/exchange"
	"pollenscale/core/fleet"
	"pollenscale/core/retry"

	"github.com/matryer/is"
)

// retryFleet is a fleet whose targets of the front service call the back service.
type retryFleet struct {
	random  *rand.Rand
	now     time.Time
	limits  retry.FleetLimits
	tick    time.Duration
	daemons []*retryDaemon
	failed  map[fleet.Service]float64 // share of runs that fail, by service
	calls   int                       // calls of each run of the front service
	nextID  int

	requests, extra map[fleet.Service][]float64 // by tick
}

// retryDaemon is an entry and the daemon beside a target of the front service.
type retryDaemon struct {
	budgets map[fleet.Service]*retry.FleetBudget
	lineage *retry.Lineage
	weight  float64
}

const (
	front = fleet.Service("front")
	back  = fleet.Service("back")
	// maxAttempts is the number of targets to which a request is sent at most.
	maxAttempts = 4
)

func (f *retryFleet) newDaemon(weight float64, extraFrom time.Time) *retryDaemon {
	d := &retryDaemon{budgets: map[fleet.Service]*retry.FleetBudget{}, lineage: &retry.Lineage{}, weight: weight}
	for _, service := range []fleet.Service{front, back} {
		b := retry.NewFleetBudget(f.limits, func() int { return len(f.daemons) })
		b.Now, b.ExtraFrom = func() time.Time { return f.now }, extraFrom
		d.budgets[service] = b
	}
	return d
}

// send makes a request at the entry and reports whether it succeeds. ofRepeat is set for a
// call of a repeated run.
func (f *retryFleet) send(entry *retryDaemon, service fleet.Service, parent exchange.RequestID, ofRepeat bool, tick int) bool {
	f.nextID++
	id := exchange.RequestID(fmt.Sprint(parent, ".", f.nextID))
	known := entry.lineage.Call(parent, service)
	budget := entry.budgets[service]
	budget.RecordRequest()
	f.requests[service][tick]++
	grant := budget.NewGrant()
	defer grant.Close()
	if known && !grant.Take() {
		return false
	}
	for attempt := range maxAttempts {
		if attempt > 0 && !grant.Take() {
			return false
		}
		grant.Use()
		if attempt > 0 || ofRepeat {
			// Retries arrive up to 300 ms after they are granted.
			f.extra[service][min(tick+f.random.IntN(4), len(f.extra[service])-1)]++
		}
		if f.run(service, id, ofRepeat || attempt > 0, tick) {
			return true
		}
	}
	return false
}

// run runs a request at a random target and reports whether it succeeds.
func (f *retryFleet) run(service fleet.Service, id exchange.RequestID, repeat bool, tick int) bool {
	if service == back {
		return f.random.Float64() >= f.failed[back]
	}
	at := f.daemons[f.random.IntN(len(f.daemons))]
	defer at.lineage.Begin(id, repeat)()
	for range f.calls {
		if !f.send(at, back, id, repeat, tick) {
			return false
		}
	}
	return f.random.Float64() >= f.failed[front]
}

// TestCallsOfRepeats guards against a fleet that exceeds its retry budget at a service whose
// callers are retried, with daemons unequal in traffic, a burst and restarts.
func TestCallsOfRepeats(t *testing.T) {
	data, err := os.ReadFile("testdata/fleets.json")
	is.New(t).NoErr(err)
	var cases []struct {
		Name                string
		Daemons, Calls      int
		ExtraRetries        float64
		RequestsPerSecond   float64
		BurstFactor         float64
		FailedFront         float64
		FailedBack          float64
		RestartEverySeconds float64
		// MinSpent is the smallest share of the limit that the retries have to reach in one
		// window at least.
		MinSpent float64
	}
	is.New(t).NoErr(json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			const tick, ticks = 100 * time.Millisecond, 600
			f := &retryFleet{
				random: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0), tick: tick, calls: c.Calls,
				limits:   retry.FleetLimits{Ratio: 0.2, ExtraRetries: c.ExtraRetries, Window: 10 * time.Second},
				failed:   map[fleet.Service]float64{front: c.FailedFront, back: c.FailedBack},
				requests: map[fleet.Service][]float64{front: make([]float64, ticks), back: make([]float64, ticks)},
				extra:    map[fleet.Service][]float64{front: make([]float64, ticks), back: make([]float64, ticks)},
			}
			weights := 0.0
			for i := range c.Daemons {
				f.daemons = append(f.daemons, f.newDaemon(1/float64(1+i%12), time.Time{}))
				weights += f.daemons[i].weight
			}
			restartAt := f.now.Add(time.Duration(c.RestartEverySeconds * float64(time.Second)))
			for i := range ticks {
				f.now = f.now.Add(tick)
				rate := c.RequestsPerSecond * tick.Seconds()
				if i >= ticks/2 && i < ticks/2+ticks/6 {
					rate *= c.BurstFactor
				}
				if c.RestartEverySeconds > 0 && f.now.After(restartAt) {
					at := f.random.IntN(c.Daemons)
					f.daemons[at] = f.newDaemon(f.daemons[at].weight, f.now.Add(f.limits.Window))
					restartAt = f.now.Add(time.Duration(c.RestartEverySeconds * float64(time.Second)))
				}
				for _, d := range f.daemons {
					for n := rate * d.weight / weights; f.random.Float64() < n; n-- {
						f.send(d, front, "", false, i)
					}
				}
			}
			f.check(t, front, c.MinSpent)
			f.check(t, back, c.MinSpent)
		})
	}
}

// check checks the retries of a service in every window.
func (f *retryFleet) check(t *testing.T, service fleet.Service, minSpent float64) {
	t.Helper()
	window := int(f.limits.Window / f.tick)
	spent := 0.0
	for end := 2 * window; end <= len(f.extra[service]); end++ {
		retries, requests := 0.0, [3]float64{}
		for i := end - window; i < end; i++ {
			retries += f.extra[service][i]
			// The requests are those of this window, the one before, or the one half before.
			for k := range requests {
				requests[k] += f.requests[service][i-k*window/2]
			}
		}
		limit := f.limits.Ratio*max(requests[0], requests[1], requests[2]) + f.limits.ExtraRetries
		spent = max(spent, retries/limit)
		if retries > limit {
			t.Fatalf("%s: %g retries in the window that ends at tick %d, at most %g are allowed", service, retries, end, limit)
		}
	}
	if spent < minSpent {
		t.Errorf("%s: at most %.3f of the limit is spent, want %.3f", service, spent, minSpent)
	}
	t.Logf("%s: up to %.3f of the limit spent", service, spent)
}
