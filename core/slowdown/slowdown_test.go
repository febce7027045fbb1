package slowdown_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pollenscale/core/admit"
	"pollenscale/core/limit"
	"pollenscale/core/policy"
	"pollenscale/core/slowdown"

	"github.com/matryer/is"
)

const (
	usualServiceTime = 120 * time.Millisecond
	objective        = 400 * time.Millisecond
	deadline         = time.Second
	slowLevel        = 5
)

// neighbour slows a target down for phases of about 100 ms, a quarter of the time.
type neighbour struct {
	rng   *rand.Rand
	slow  bool
	until time.Time
}

func (n *neighbour) level(now time.Time) slowdown.Level {
	for !now.Before(n.until) {
		n.slow = !n.slow
		mean := 330.0
		if n.slow {
			mean = 110
		}
		n.until = n.until.Add(time.Duration(n.rng.ExpFloat64() * mean * float64(time.Millisecond)))
	}
	if n.slow {
		return slowLevel
	}
	return 1
}

// simulate sends 20 requests per second for 20 s to a target with 9 slots and a noisy
// neighbour. It returns the share of requests that are answered within the latency
// objective.
func simulate(t *testing.T, gated bool) float64 {
	var share float64
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 2))
		noise := &neighbour{rng: rand.New(rand.NewPCG(3, 4)), until: time.Now()}
		queue := admit.New(&policy.Service{Ranks: []policy.Rank{{Name: "one", Worth: 1}}}, limit.NewWarm(9))
		var tracker slowdown.Tracker
		var mu sync.Mutex
		probe := func() bool {
			mu.Lock()
			defer mu.Unlock()
			tracker.Observe(noise.level(time.Now()), time.Now())
			if tracker.Slow() {
				queue.Pause()
				return true
			}
			queue.Resume()
			return false
		}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		if gated {
			group.Go(func() {
				for ctx.Err() == nil {
					time.Sleep(15 * time.Millisecond)
					if paused, queued := queue.Paused(); paused && queued > 0 {
						probe()
					}
				}
			})
		}
		inTime, sent := 0, 400
		var requests sync.WaitGroup
		for range sent {
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(50*time.Millisecond)))
			requests.Go(func() {
				begin := time.Now()
				for {
					ticket, err := queue.AcquireTicket(ctx, admit.Request{Rank: "one", Deadline: begin.Add(deadline)})
					if err != nil {
						return
					}
					if gated && probe() {
						ticket.ReleaseUnused()
						continue
					}
					mu.Lock()
					serviceTime := time.Duration(noise.level(time.Now())) * usualServiceTime
					mu.Unlock()
					time.Sleep(serviceTime)
					ticket.Release()
					break
				}
				if time.Since(begin) <= objective {
					mu.Lock()
					inTime++
					mu.Unlock()
				}
			})
		}
		requests.Wait()
		cancel()
		group.Wait()
		share = float64(inTime) / float64(sent)
	})
	return share
}

// TestNoisyNeighbour guards against requests that start while a noisy neighbour slows
// the target down: they take 600 ms and miss their objective of 400 ms.
func TestNoisyNeighbour(t *testing.T) {
	is := is.New(t)
	without, with := simulate(t, false), simulate(t, true)
	t.Logf("answered in time: %.3f without and %.3f with waiting for the end of slow phases", without, with)
	is.True(with >= 0.9)
	is.True(with >= without+0.1)
}

// TestLastingSlowdown guards against a permanently slow target that gets no requests at
// all. Once it has been slow in all windows, it no longer counts as slowed down.
func TestLastingSlowdown(t *testing.T) {
	is := is.New(t)
	var tracker slowdown.Tracker
	at := time.Unix(1000, 0)
	tracker.Observe(1, at)
	for range 200 {
		at = at.Add(20 * time.Millisecond)
		tracker.Observe(4, at)
	}
	is.True(!tracker.Slow())
	tracker.Observe(20, at.Add(time.Millisecond))
	is.True(tracker.Slow())
	tracker.Observe(1, at) // older than the latest report
	is.True(tracker.Slow())
}
