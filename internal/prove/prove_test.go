// Package prove holds the long randomised run of the promises that no request
// runs twice and that nothing accepted is lost.
//
// Each run has its own seed and happens in virtual time. Faults occur alone and
// in pairs; the seed selects them. Random numbers are drawn from the seed, but
// goroutines that are runnable at the same virtual time are scheduled by the Go
// runtime, so that a seed repeats a run closely and not always exactly.
package prove

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pollenscale/core/outcome"
	"pollenscale/standin/memstore"
)

var (
	seedFlag = flag.Uint64("seed", 1, "seed of the first randomised run")
	runsFlag = flag.Int("runs", 0, "number of randomised runs; 0 means the fixed seeds")
)

// fixedRuns are the runs of an ordinary test: each fault alone, and some pairs.
const fixedRuns = 20

// fault is something that goes wrong for a while.
type fault struct {
	name  string
	apply func(w *world)
	// hidesCrashes marks faults that can keep a crash report from a daemon.
	hidesCrashes bool
}

var faults = []fault{
	{"kill", func(w *world) {
		h := w.hosts[w.intn(hosts)]
		h.kill()
		w.sleep(w.between(100*time.Millisecond, 5*time.Second))
		h.boot()
	}, true},
	{"stop", func(w *world) {
		h := w.hosts[w.intn(hosts)]
		h.stop()
		w.sleep(w.between(100*time.Millisecond, 5*time.Second))
		h.boot()
	}, false},
	{"pause", func(w *world) {
		w.hosts[w.intn(hosts)].pause(w.between(100*time.Millisecond, 100*time.Second), w.intn(2) == 0)
	}, true},
	{"cut-one-way", func(w *world) { w.cut(false) }, true},
	{"cut-two-way", func(w *world) { w.cut(true) }, true},
	{"lost-messages", func(w *world) {
		w.network(0.3, 0, w.between(5*time.Second, 40*time.Second))
	}, true},
	{"late-messages", func(w *world) {
		w.network(0, 0.3, w.between(5*time.Second, 40*time.Second))
	}, true},
	{"store-down", func(w *world) {
		w.storeFault(memstore.Faults{Down: true}, w.between(time.Second, 90*time.Second))
	}, false},
	{"store-slow", func(w *world) {
		most := w.between(500*time.Millisecond, 5*time.Second)
		w.storeFault(memstore.Faults{Latency: func() time.Duration { return w.between(0, most) }}, w.between(5*time.Second, 60*time.Second))
	}, false},
	{"store-stale", func(w *world) {
		w.storeFault(memstore.Faults{Stale: true}, w.between(5*time.Second, 90*time.Second))
	}, false},
	{"store-loses-answers", func(w *world) {
		w.storeFault(memstore.Faults{LoseAnswer: 0.5}, w.between(5*time.Second, 60*time.Second))
	}, false},
	{"store-refuses", func(w *world) {
		w.storeFault(memstore.Faults{RefuseShare: 0.7}, w.between(5*time.Second, 60*time.Second))
	}, false},
	{"clock-step", func(w *world) {
		w.hosts[w.intn(hosts)].stepClock(w.between(-2*time.Minute, 2*time.Minute))
	}, false},
	{"store-clock-step", func(w *world) {
		step := w.between(-30*time.Second, 30*time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.storeStep += step
	}, false},
	{"target-crash", func(w *world) {
		if p := w.hosts[w.intn(hosts)].current(); p != nil {
			p.do(p.crash)
		}
	}, false},
}

func (w *world) cut(both bool) {
	a := w.intn(hosts)
	b := (a + 1 + w.intn(hosts-1)) % hosts
	w.changeCut(a, b, both, 1)
	w.sleep(w.between(time.Second, 80*time.Second))
	w.changeCut(a, b, both, -1)
}

func (w *world) changeCut(a, b int, both bool, by int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[[2]int{a, b}] += by
	if both {
		w.cuts[[2]int{b, a}] += by
	}
}

func (w *world) network(lose, late float64, length time.Duration) {
	w.setNetwork(lose, late)
	w.sleep(length)
	w.setNetwork(0, 0)
}

func (w *world) setNetwork(lose, late float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loseMessages, w.delayLong = lose, late
}

func (w *world) storeFault(f memstore.Faults, length time.Duration) {
	w.store.SetFaults(f)
	w.sleep(length)
	w.store.SetFaults(memstore.Faults{})
}

// choose returns the faults of a seed: none, each alone, then all pairs in turn.
func choose(seed uint64) []fault {
	n := uint64(len(faults))
	i := seed % (1 + n + n*n)
	switch {
	case i == 0:
		return nil
	case i <= n:
		return []fault{faults[i-1]}
	}
	i -= n + 1
	return []fault{faults[i/n], faults[i%n]}
}

func names(list []fault) string {
	all := make([]string, len(list))
	for i, f := range list {
		all[i] = f.name
	}
	return strings.Join(all, "+")
}

// totals show that runs are not empty.
type totals struct {
	calls, run, notRun, unknown, broken, uploads, accepted, crashes int
}

// simulate makes one run and returns the violated promises.
func simulate(seed uint64) (problems []string, sum totals) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := newWorld(ctx, seed)
	defer w.watchInvariants()()
	chosen := choose(seed)
	w.callers(150)
	w.uploaders(40)
	withPoison := seed%2 == 0
	if withPoison {
		w.poisonous()
	}
	hidden, targetsCrash := false, false
	for _, f := range chosen {
		hidden = hidden || f.hidesCrashes
		targetsCrash = targetsCrash || f.name == "target-crash"
		// Each fault occurs three times, so that faults of a pair overlap or
		// follow each other.
		for range 3 {
			at := w.between(5*time.Second, duration)
			w.spawn(func() {
				if w.sleep(at) {
					f.apply(w)
				}
			})
		}
	}
	w.sleep(duration + quiet)
	cancel()
	_ = w.group.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkCalls()
	w.mu.Unlock()
	w.checkUploads(context.Background())
	w.mu.Lock()
	if withPoison && !hidden {
		w.checkPoison(2, targetsCrash)
	}
	return w.problems, w.totals()
}

func (w *world) totals() totals {
	sum := totals{calls: len(w.calls), uploads: len(w.uploads)}
	for _, c := range w.calls {
		switch {
		case !c.answered:
			sum.broken++
		case c.reply.outcome == outcome.Run:
			sum.run++
		case c.reply.outcome == outcome.NotRun:
			sum.notRun++
		default:
			sum.unknown++
		}
	}
	for _, u := range w.uploads {
		if u.id != "" {
			sum.accepted++
		}
	}
	for _, n := range w.crashes {
		sum.crashes += n
	}
	return sum
}

// TestPromises guards against a key that runs twice, a 'not run' that is not
// true, an answer to another request, and an upload that is lost or runs twice,
// under each fault alone and in pairs.
func TestPromises(t *testing.T) {
	first, runs := *seedFlag, *runsFlag
	if runs == 0 {
		runs = fixedRuns
	}
	var all totals
	for i := range runs {
		seed := first + uint64(i)
		var problems []string
		var sum totals
		synctest.Test(t, func(*testing.T) { problems, sum = simulate(seed) })
		all.add(sum)
		for _, p := range problems {
			t.Errorf("seed %d (%s): %s", seed, names(choose(seed)), p)
		}
		if len(problems) > 0 {
			t.Logf("repeat with: make prove SEED=%d RUNS=1", seed)
		}
	}
	t.Logf("%d runs from seed %d: %s", runs, first, all)
	if all.run < all.calls/3 || all.accepted == 0 {
		t.Errorf("too little ran for the test to mean anything: %s", all)
	}
}

func (t *totals) add(o totals) {
	t.calls += o.calls
	t.run += o.run
	t.notRun += o.notRun
	t.unknown += o.unknown
	t.broken += o.broken
	t.uploads += o.uploads
	t.accepted += o.accepted
	t.crashes += o.crashes
}

func (t totals) String() string {
	return fmt.Sprintf("%d calls (%d run, %d not run, %d unknown, %d broken), %d uploads (%d accepted), %d crashes by poison",
		t.calls, t.run, t.notRun, t.unknown, t.broken, t.uploads, t.accepted, t.crashes)
}
