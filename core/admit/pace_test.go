package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// simulate starts a request of 100 ms every 20 ms for the given time and returns the
// highest and the last pace. Each request takes factor(elapsed) times as long as
// expected.
func simulate(p *pace, begin time.Time, length time.Duration, factor func(time.Duration) float64) (most, last float64) {
	const work = 100 * time.Millisecond
	type job struct{ start, end time.Time }
	var running []job
	for at := time.Duration(0); at < length; at += 20 * time.Millisecond {
		now := begin.Add(at)
		kept := running[:0]
		for _, j := range running {
			if j.end.After(now) {
				kept = append(kept, j)
				continue
			}
			p.end(j.start, j.end, work, true)
		}
		running = kept
		last = p.value(now)
		most = max(most, last)
		p.start(now, work)
		running = append(running, job{now, now.Add(time.Duration(float64(work) * factor(at)))})
	}
	for _, j := range running {
		p.end(j.start, j.end, work, true)
	}
	return most, last
}

// TestPace guards against a slow target that is detected only by its first slow
// answers, against one that still counts as slow after it has recovered, and against
// one that counts as slow because of single slow requests.
func TestPace(t *testing.T) {
	is := is.New(t)
	begin := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 1))
	usual := func(time.Duration) float64 { return 0.7 + 0.6*random.Float64() }

	p := &pace{}
	most, _ := simulate(p, begin, 20*time.Second, func(at time.Duration) float64 {
		if random.IntN(20) == 0 {
			return 5 // slowed down by a noisy neighbour
		}
		return usual(at)
	})
	is.True(most < 2.5)

	p = &pace{}
	_, atUsual := simulate(p, begin, 2*time.Second, usual)
	is.Equal(atUsual, 1.0)
	begin = begin.Add(3 * time.Second)
	_, early := simulate(p, begin, 400*time.Millisecond, func(time.Duration) float64 { return 8 })
	is.True(early > 2.5) // before the first slow answer
	is.Equal(len(p.running), 0)
	_, slow := simulate(p, begin.Add(time.Second), 3*time.Second, func(time.Duration) float64 { return 5 })
	is.True(slow > 3.5)
	_, recovered := simulate(p, begin.Add(6*time.Second), time.Second, usual)
	is.Equal(recovered, 1.0)
}
