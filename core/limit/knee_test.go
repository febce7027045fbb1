package limit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pollenscale/core/limit"

	"github.com/matryer/is"
)

// saturate simulates a saturated target with 9 slots for 30 s. Requests that start as
// the 8th or 9th take slow times as long, such as 1.7. It returns the number of
// requests served in the second half and the final limit.
func saturate(seed uint64, slow float64, limited func(*limit.Limit) int) (served, last int) {
	const slots, work = 9, 150 * time.Millisecond
	rng := rand.New(rand.NewPCG(seed, 1))
	l := limit.NewWarm(slots)
	type job struct {
		level      int
		start, end time.Time
	}
	var running []job
	begin := time.Unix(1000, 0)
	for now := begin; now.Sub(begin) < 30*time.Second; now = now.Add(time.Millisecond) {
		kept := running[:0]
		for _, j := range running {
			if j.end.After(now) {
				kept = append(kept, j)
				continue
			}
			took := j.end.Sub(j.start)
			l.Observe(took, len(running), true)
			l.ObserveConcurrency(j.level, took, work)
			if now.Sub(begin) > 15*time.Second {
				served++
			}
		}
		running = kept
		// The load rises over the first seconds, so that all levels get samples.
		most := min(limited(l), 1+int(now.Sub(begin)/(300*time.Millisecond)))
		for len(running) < most || len(running) == most && most == limited(l) && l.AllowTrial(len(running), now) {
			took := float64(work) * (0.7 + 0.6*rng.Float64())
			if len(running)+1 > 7 {
				took *= slow
			}
			running = append(running, job{level: len(running) + 1, start: now, end: now.Add(time.Duration(took))})
		}
	}
	return served, l.Value()
}

// TestKnee guards against a target that is filled up to its announced slots although
// its throughput is higher at lower concurrency, and against slots that stay unused at
// a target without a knee.
func TestKnee(t *testing.T) {
	all := func(*limit.Limit) int { return 9 }
	learned := func(l *limit.Limit) int { return l.Value() }
	for seed := range uint64(5) {
		is := is.New(t)
		without, _ := saturate(seed, 1.7, all)
		with, last := saturate(seed, 1.7, learned)
		t.Logf("served in 15 s: %d with all slots, %d up to the knee", without, with)
		is.Equal(last, 7)
		is.True(float64(with) > 1.2*float64(without))

		plain, _ := saturate(seed, 1, all)
		kept, last := saturate(seed, 1, learned)
		is.Equal(last, 9)
		is.True(float64(kept) > 0.98*float64(plain))
	}
}

// TestKneeAfterRestart guards against a target that keeps a low limit for long because
// its first requests were slow for another reason, such as a cold start.
func TestKneeAfterRestart(t *testing.T) {
	is := is.New(t)
	const work = 100 * time.Millisecond
	l := limit.NewWarm(9)
	for range 20 {
		l.ObserveConcurrency(1, work, work)
		l.ObserveConcurrency(8, 2*work, work)
	}
	is.Equal(l.Value(), 7)
	now := time.Unix(1000, 0)
	is.True(!l.AllowTrial(7, now)) // the first call starts the interval
	for range 2 {
		now = now.Add(time.Second)
		is.True(l.AllowTrial(7, now))
		l.ObserveConcurrency(8, work, work)
	}
	is.Equal(l.Value(), 9)
}

// TestKneeKeepsSlots guards against a target whose limit falls too far because slow
// calls to other services or a noisy neighbour slow it down under load.
func TestKneeKeepsSlots(t *testing.T) {
	const work = 100 * time.Millisecond
	for seed := range uint64(5) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 2))
		l := limit.NewWarm(9)
		lowest := 9
		for range 3000 {
			n := 1 + rng.IntN(l.Value())
			took := time.Duration(float64(work) * (0.7 + 0.6*rng.Float64()) * (1 + 0.1*float64(n)))
			if rng.IntN(8) == 0 {
				took *= 5
			}
			l.ObserveConcurrency(n, took, work)
			lowest = min(lowest, l.Value())
		}
		is.True(lowest >= 6)
	}
}
