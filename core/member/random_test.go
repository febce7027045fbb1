package member_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/member"
	"pollenscale/core/store"
	"pollenscale/internal/fleetsim"
	"pollenscale/standin/memstore"

	"github.com/matryer/is"
)

// naive is the reference implementation: each daemon writes a row to the store and
// reads all rows every second. A member is listed until its row is naiveTimeout
// old.
type naive struct {
	tables store.Tables
	sim    *fleetsim.Sim
	views  map[*fleetsim.Node]map[fleet.DaemonID]fleet.Incarnation
}

const naiveTimeout = 3 * time.Second

type naiveRow struct {
	Incarnation fleet.Incarnation
	At          time.Time
}

func (v *naive) poll() {
	ctx := context.Background()
	for _, n := range v.sim.Nodes {
		if !n.Up || v.sim.Now().Before(n.PausedUntil) {
			continue
		}
		value, err := json.Marshal(naiveRow{n.Target.Incarnation, v.sim.Now()})
		if err != nil {
			panic(err)
		}
		_, _ = v.tables.Transact(ctx, store.Transaction{Writes: []store.Write{{Table: "members", Key: string(n.Target.Daemon), Value: value}}}) // a failed write is repeated in the next poll
	}
	for _, n := range v.sim.Nodes {
		rows, err := v.tables.List(ctx, "members", "", "", 0)
		if err != nil {
			continue
		}
		view := map[fleet.DaemonID]fleet.Incarnation{}
		for _, row := range rows {
			var r naiveRow
			if err := json.Unmarshal(row.Value, &r); err != nil {
				panic(err)
			}
			if v.sim.Now().Sub(r.At) < naiveTimeout {
				view[fleet.DaemonID(row.Key)] = r.Incarnation
			}
		}
		v.views[n] = view
	}
	v.sim.After(time.Second, v.poll)
}

// TestRandomFaults guards against combinations of faults that TestFaults does not
// cover and that empty lists, revert records or keep tables from converging. After
// the faults the lists must equal those of the naive implementation. The environment
// variables SEED and RUNS set the first seed and the number of seeds.
func TestRandomFaults(t *testing.T) {
	first, runs := envInt("SEED", 1), envInt("RUNS", 4)
	for i := range runs {
		seed := uint64(first + i)
		t.Run("seed "+strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runRandom(t, seed)
		})
	}
}

func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

func runRandom(t *testing.T, seed uint64) {
	const daemons = 60
	sim := fleetsim.New(daemons, seed, fleetsim.ProjectedLayout(daemons))
	random := rand.New(rand.NewPCG(seed, 9))
	o := &observer{
		t: t, sim: sim, c: fault{MaySplit: true}, seed: seed,
		killed: map[*fleetsim.Node]time.Time{}, detected: map[*fleetsim.Node]time.Duration{},
		latest: map[[2]int]member.Record{},
	}
	sim.StartAll()
	config := sim.EnableConfig()
	reference := &naive{
		tables: memstore.New(memstore.WithNow(sim.Now)).Tables(), sim: sim,
		views: map[*fleetsim.Node]map[fleet.DaemonID]fleet.Incarnation{},
	}
	reference.poll()
	for range 12 {
		config.Publish(1+random.IntN(3), 100)
		randomFault(o, random)
		sim.Run(time.Duration(random.IntN(5000)) * time.Millisecond)
		o.observe()
	}
	sim.Blocked, sim.Loss, sim.ExtraDelay = func(_, _ *fleetsim.Node) bool { return false }, 0, nil
	config.Down, config.StaleBy = false, 0
	for _, n := range sim.Nodes {
		if !n.Up && random.IntN(2) == 0 {
			sim.Start(n, sim.Nodes...)
		}
	}
	// The longest pause ends after 8 s; probes of lost members, reconciliations
	// and the removal of refuted reports take up to 60 s after that.
	sim.Run(70 * time.Second)
	o.observe()
	o.checkConverged()
	o.checkReference(reference)
	o.checkConfig(config)
}

func randomFault(o *observer, random *rand.Rand) {
	region := func() string { return "region-" + strconv.Itoa(random.IntN(4)) }
	zone := func() string { return region() + "-" + strconv.Itoa(random.IntN(3)) }
	node := random.IntN(len(o.sim.Nodes))
	length := 500 + random.IntN(8000)
	switch random.IntN(12) {
	case 0:
		o.do(step{Do: "kill", Nodes: []int{node}})
	case 1:
		o.do(step{Do: "killZone", From: zone()})
	case 2:
		for _, n := range o.sim.Nodes {
			if !n.Up {
				o.sim.Start(n, o.sim.Nodes...)
			}
		}
	case 3:
		o.do(step{Do: "pause", Nodes: []int{node}, ForMs: length})
	case 4:
		o.do(step{Do: "deafen", Nodes: []int{node}, ForMs: length})
	case 5:
		o.do(step{Do: "cutOneWay", From: region(), To: zone(), ForMs: length})
	case 6:
		o.do(step{Do: "cut", From: region(), To: region(), ForMs: length})
	case 7:
		o.do(step{Do: "isolate", From: region(), ForMs: length})
	case 8:
		o.do(step{Do: "isolate", From: zone(), ForMs: length})
	case 9:
		o.sim.Loss = random.Float64() * 0.2
	case 10:
		o.sim.ExtraDelay = func() time.Duration { return time.Duration(random.IntN(60)) * time.Millisecond }
	case 11:
		if n := o.sim.Nodes[node]; n.Up {
			o.do(step{Do: "flap", Nodes: []int{node}, ForMs: length})
		}
	}
}

// checkReference compares the members that are alive with those of the reference.
func (o *observer) checkReference(reference *naive) {
	for _, n := range o.sim.Nodes {
		if !n.Up {
			continue
		}
		alive := map[fleet.DaemonID]fleet.Incarnation{n.Target.Daemon: n.Target.Incarnation}
		for _, r := range n.List.All() {
			if r.Health == member.Alive {
				alive[r.Daemon] = r.Incarnation
			}
		}
		is.New(o.t).Equal(alive, reference.views[n]) // same members as the reference
	}
}

// checkConfig checks that each daemon has the last version and never reverted to an
// older one.
func (o *observer) checkConfig(c *fleetsim.ConfigStore) {
	for _, n := range o.sim.Nodes {
		if !n.Up {
			continue
		}
		is.New(o.t).True(!n.Config.Reverted)                            // never an older version
		is.New(o.t).Equal(int(n.Config.Head().Version), len(c.Changes)) // last version in force
		for _, r := range n.List.Members(n.Target.Service) {
			is.New(o.t).True(r.Health != member.Alive || r.Detailed) // details of the own service
		}
	}
	reads := []int{}
	for _, count := range c.Reads {
		reads = append(reads, count)
	}
	is.New(o.t).True(slices.Max(reads) < 100) // reads of the store in any second
}
