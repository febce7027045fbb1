// Package prove tests by randomised simulation that no request runs twice and
// that no accepted upload is lost.
//
// Each run has its own seed and happens in virtual time. Faults occur alone and
// in pairs; the seed selects them. Random numbers are drawn from the seed, but
// goroutines that are runnable at the same virtual time are scheduled by the Go
// runtime, so a seed reproduces a run closely but not always exactly.
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

// fixedRuns is the number of runs without -runs: each fault alone, and some pairs.
const fixedRuns = 20

// fault is a temporary failure that is injected into a run.
type fault struct {
	name  string
	apply func(w *simulation)
	// hidesCrashes marks faults that can prevent a crash report from reaching a daemon.
	hidesCrashes bool
}

var faults = []fault{
	{"kill", func(w *simulation) {
		h := w.hosts[w.randomInt(hostCount)]
		h.kill()
		w.sleep(w.randomDuration(100*time.Millisecond, 5*time.Second))
		h.startProcess()
	}, true},
	{"stop", func(w *simulation) {
		h := w.hosts[w.randomInt(hostCount)]
		h.stop()
		w.sleep(w.randomDuration(100*time.Millisecond, 5*time.Second))
		h.startProcess()
	}, false},
	{"pause", func(w *simulation) {
		w.hosts[w.randomInt(hostCount)].pause(w.randomDuration(100*time.Millisecond, 100*time.Second), w.randomInt(2) == 0)
	}, true},
	{"cut-one-way", func(w *simulation) { w.partition(false) }, true},
	{"cut-two-way", func(w *simulation) { w.partition(true) }, true},
	{"lost-messages", func(w *simulation) {
		w.networkFault(0.3, 0, w.randomDuration(5*time.Second, 40*time.Second))
	}, true},
	{"late-messages", func(w *simulation) {
		w.networkFault(0, 0.3, w.randomDuration(5*time.Second, 40*time.Second))
	}, true},
	{"store-down", func(w *simulation) {
		w.storeFault(memstore.Faults{Down: true}, w.randomDuration(time.Second, 90*time.Second))
	}, false},
	{"store-slow", func(w *simulation) {
		most := w.randomDuration(500*time.Millisecond, 5*time.Second)
		w.storeFault(memstore.Faults{Latency: func() time.Duration { return w.randomDuration(0, most) }}, w.randomDuration(5*time.Second, 60*time.Second))
	}, false},
	{"store-stale", func(w *simulation) {
		w.storeFault(memstore.Faults{Stale: true}, w.randomDuration(5*time.Second, 90*time.Second))
	}, false},
	{"store-loses-answers", func(w *simulation) {
		w.storeFault(memstore.Faults{LoseAnswer: 0.5}, w.randomDuration(5*time.Second, 60*time.Second))
	}, false},
	{"store-refuses", func(w *simulation) {
		w.storeFault(memstore.Faults{RefuseShare: 0.7}, w.randomDuration(5*time.Second, 60*time.Second))
	}, false},
	{"clock-step", func(w *simulation) {
		w.hosts[w.randomInt(hostCount)].stepClock(w.randomDuration(-2*time.Minute, 2*time.Minute))
	}, false},
	{"store-clock-step", func(w *simulation) {
		step := w.randomDuration(-30*time.Second, 30*time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.storeClockOffset += step
	}, false},
	{"target-crash", func(w *simulation) {
		if p := w.hosts[w.randomInt(hostCount)].currentProcess(); p != nil {
			p.runAndWait(p.crashTarget)
		}
	}, false},
}

func (w *simulation) partition(both bool) {
	a := w.randomInt(hostCount)
	b := (a + 1 + w.randomInt(hostCount-1)) % hostCount
	w.addPartition(a, b, both, 1)
	w.sleep(w.randomDuration(time.Second, 80*time.Second))
	w.addPartition(a, b, both, -1)
}

func (w *simulation) addPartition(a, b int, both bool, by int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partitions[[2]int{a, b}] += by
	if both {
		w.partitions[[2]int{b, a}] += by
	}
}

func (w *simulation) networkFault(lose, late float64, length time.Duration) {
	w.setNetworkFault(lose, late)
	w.sleep(length)
	w.setNetworkFault(0, 0)
}

func (w *simulation) setNetworkFault(lose, late float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lossProbability, w.lateProbability = lose, late
}

func (w *simulation) storeFault(f memstore.Faults, length time.Duration) {
	w.store.SetFaults(f)
	w.sleep(length)
	w.store.SetFaults(memstore.Faults{})
}

// faultsForSeed returns the faults of a seed. Successive seeds have no fault, each
// fault alone, then each pair.
func faultsForSeed(seed uint64) []fault {
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

func faultNames(list []fault) string {
	all := make([]string, len(list))
	for i, f := range list {
		all[i] = f.name
	}
	return strings.Join(all, "+")
}

// counts summarise runs, and show that they exercised the system.
type counts struct {
	calls, run, notRun, unknown, unanswered, uploads, accepted, poisonCrashes int
}

// runSimulation makes one run and returns the violated guarantees.
func runSimulation(seed uint64) (problems []string, sum counts) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := newSimulation(ctx, seed)
	defer w.recordInvariantViolations()()
	chosen := faultsForSeed(seed)
	w.startCallers(150)
	w.startUploaders(40)
	withPoison := seed%2 == 0
	if withPoison {
		w.startPoisonCallers()
	}
	hidden, targetsCrash := false, false
	for _, f := range chosen {
		hidden = hidden || f.hidesCrashes
		targetsCrash = targetsCrash || f.name == "target-crash"
		// Each fault occurs three times, so that faults of a pair overlap or
		// follow each other.
		for range 3 {
			at := w.randomDuration(5*time.Second, faultPhase)
			w.spawn(func() {
				if w.sleep(at) {
					f.apply(w)
				}
			})
		}
	}
	w.sleep(faultPhase + recoveryPhase)
	cancel()
	_ = w.group.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkCalls()
	w.mu.Unlock()
	w.checkUploads(context.Background())
	w.mu.Lock()
	if withPoison && !hidden {
		w.checkPoison(1, targetsCrash)
	}
	return w.violations, w.counts()
}

func (w *simulation) counts() counts {
	sum := counts{calls: len(w.calls), uploads: len(w.uploads)}
	for _, c := range w.calls {
		switch {
		case !c.answered:
			sum.unanswered++
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
	for _, c := range w.crashes {
		sum.poisonCrashes += len(c.begun)
	}
	return sum
}

// TestPromises guards against a key that runs twice, a 'not run' that is not
// true, an answer to another request, and an upload that is lost or runs twice,
// under single faults and pairs of faults.
func TestPromises(t *testing.T) {
	first, runs := *seedFlag, *runsFlag
	if runs == 0 {
		runs = fixedRuns
	}
	var all counts
	for i := range runs {
		seed := first + uint64(i)
		var problems []string
		var sum counts
		synctest.Test(t, func(*testing.T) { problems, sum = runSimulation(seed) })
		all.add(sum)
		for _, p := range problems {
			t.Errorf("seed %d (%s): %s", seed, faultNames(faultsForSeed(seed)), p)
		}
		if len(problems) > 0 {
			t.Logf("repeat with: make prove SEED=%d RUNS=1", seed)
		}
	}
	t.Logf("%d runs from seed %d: %s", runs, first, all)
	if all.run < all.calls/3 || all.accepted == 0 {
		t.Errorf("too few calls ran or no upload was accepted: %s", all)
	}
}

func (t *counts) add(o counts) {
	t.calls += o.calls
	t.run += o.run
	t.notRun += o.notRun
	t.unknown += o.unknown
	t.unanswered += o.unanswered
	t.uploads += o.uploads
	t.accepted += o.accepted
	t.poisonCrashes += o.poisonCrashes
}

func (t counts) String() string {
	return fmt.Sprintf("%d calls (%d run, %d not run, %d unknown, %d broken), %d uploads (%d accepted), %d crashes by poison",
		t.calls, t.run, t.notRun, t.unknown, t.unanswered, t.uploads, t.accepted, t.poisonCrashes)
}
