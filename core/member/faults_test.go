package member_test

import (
	"encoding/json"
	"os"
	"slices"
	"testing"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/member"
	"pollenscale/internal/fleetsim"

	"github.com/matryer/is"
)

// step is a fault that a test case injects.
type step struct {
	AtMs     int
	Do       string
	Nodes    []int
	From, To string
	ForMs    int
}

// fault is a test case of testdata/faults.json.
type fault struct {
	Name, Guards string
	Daemons      int
	Loss         float64
	ExtraMs      int
	Steps        []step
	Seconds      int
	// DetectMs is the maximum time until all daemons have detected a kill; 0 means
	// no check.
	DetectMs int
	// MayLose are daemons that others may list as failed for a time.
	MayLose []int
	// StayListed requires that lost daemons stay in all lists as unreachable.
	StayListed bool
	// MaySplit allows daemons beyond a network partition to be listed as failed.
	MaySplit bool
	// HealedBySeconds is when all tables must have converged again; 0 means no
	// check.
	HealedBySeconds int
}

// observer checks the lists of all daemons while a test case runs.
type observer struct {
	t        *testing.T
	sim      *fleetsim.Sim
	c        fault
	seed     uint64
	killed   map[*fleetsim.Node]time.Time
	detected map[*fleetsim.Node]time.Duration
	latest   map[[2]int]member.Record
	muted    map[*fleetsim.Node]bool
}

// TestFaults runs the cases of testdata/faults.json, each of which names the
// failure that it guards against.
func TestFaults(t *testing.T) {
	data, err := os.ReadFile("testdata/faults.json")
	is.New(t).NoErr(err)
	var cases []fault
	is.New(t).NoErr(json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				runFault(t, c, seed+1)
			}
		})
	}
}

func runFault(t *testing.T, c fault, seed uint64) {
	sim := fleetsim.New(c.Daemons, seed, fleetsim.ProjectedLayout(c.Daemons))
	sim.Loss = c.Loss
	if c.ExtraMs > 0 {
		sim.ExtraDelay = func() time.Duration {
			return time.Duration(sim.Random.IntN(c.ExtraMs)) * time.Millisecond
		}
	}
	o := &observer{
		t: t, sim: sim, c: c, seed: seed,
		killed: map[*fleetsim.Node]time.Time{}, detected: map[*fleetsim.Node]time.Duration{},
		latest: map[[2]int]member.Record{}, muted: map[*fleetsim.Node]bool{},
	}
	sim.StartAll()
	for _, s := range c.Steps {
		sim.After(time.Duration(s.AtMs)*time.Millisecond, func() { o.do(s) })
	}
	const every = 200 * time.Millisecond
	for at := time.Duration(0); at < time.Duration(c.Seconds)*time.Second; at += every {
		sim.Run(every)
		o.observe()
		if c.HealedBySeconds > 0 && at >= time.Duration(c.HealedBySeconds)*time.Second {
			o.checkConverged()
		}
	}
	for n := range o.killed {
		if limit := time.Duration(c.DetectMs) * time.Millisecond; limit > 0 && (o.detected[n] == 0 || o.detected[n] > limit) {
			t.Errorf("seed %d: daemon %d was killed; all others detected it after %v", seed, n.Index, o.detected[n])
		}
	}
}

func (o *observer) do(s step) {
	nodes := make([]*fleetsim.Node, 0, len(s.Nodes))
	for _, i := range s.Nodes {
		nodes = append(nodes, o.sim.Nodes[i])
	}
	length := time.Duration(s.ForMs) * time.Millisecond
	in := func(n *fleetsim.Node, place string) bool {
		return string(n.Target.Place.Region) == place || string(n.Target.Place.AvailabilityZone) == place
	}
	cut := func(f func(a, b *fleetsim.Node) bool) {
		o.sim.Blocked = f
		o.sim.After(length, func() { o.sim.Blocked = func(_, _ *fleetsim.Node) bool { return false } })
	}
	switch s.Do {
	case "kill":
		for _, n := range nodes {
			o.kill(n)
		}
	case "killZone":
		for _, n := range o.sim.Nodes {
			if in(n, s.From) {
				o.kill(n)
			}
		}
	case "startZone":
		for _, n := range o.sim.Nodes {
			if in(n, s.From) {
				o.sim.Start(n, o.sim.Nodes[0], o.sim.Nodes[1], o.sim.Nodes[2])
			}
		}
	case "pause":
		for _, n := range nodes {
			o.sim.Pause(n, length)
		}
	case "deafen":
		cut(func(_, b *fleetsim.Node) bool { return slices.Contains(nodes, b) })
	case "cutOneWay":
		cut(func(a, b *fleetsim.Node) bool { return in(a, s.From) && in(b, s.To) })
	case "cut":
		cut(func(a, b *fleetsim.Node) bool { return in(a, s.From) && in(b, s.To) || in(b, s.From) && in(a, s.To) })
	case "isolate":
		cut(func(a, b *fleetsim.Node) bool { return in(a, s.From) != in(b, s.From) })
	case "flap":
		o.flap(nodes[0], o.sim.Now().Add(length))
	default:
		o.t.Fatalf("unknown step %q", s.Do)
	}
}

func (o *observer) kill(n *fleetsim.Node) {
	o.sim.Kill(n)
	o.killed[n] = o.sim.Now()
}

func (o *observer) flap(n *fleetsim.Node, until time.Time) {
	if o.sim.Now().After(until) {
		n.List.SetState(fleet.Serving)
		return
	}
	n.List.SetState(fleet.Draining)
	o.sim.After(20*time.Millisecond, func() { n.List.SetState(fleet.Serving) })
	o.sim.After(40*time.Millisecond, func() { o.flap(n, until) })
}

// observe checks the conditions that must hold at any time.
func (o *observer) observe() {
	unaware := map[*fleetsim.Node]int{}
	for _, a := range o.sim.Nodes {
		if !a.Up {
			continue
		}
		counts := map[fleet.Service]int{}
		seen := map[fleet.DaemonID]member.Record{}
		for _, r := range a.List.All() {
			seen[r.Daemon] = r
			counts[r.Service]++
		}
		for _, b := range o.sim.Nodes {
			if a == b {
				continue
			}
			r, listed := seen[b.Target.Daemon]
			o.checkNoRevert(a, b, r, listed)
			if o.c.StayListed && !listed {
				o.t.Fatalf("seed %d, %s: daemon %d dropped daemon %d from its list", o.seed, o.sim.Now().Format("05.000"), a.Index, b.Index)
			}
			gone := !listed || r.Health == member.Unreachable
			if !b.Up && !gone {
				unaware[b]++
			}
			allowed := !b.Up || o.killed[b] != (time.Time{}) || o.c.MaySplit || slices.Contains(o.c.MayLose, b.Index)
			if gone && !allowed {
				o.t.Fatalf("seed %d, %s: daemon %d lists the healthy daemon %d as %q", o.seed, o.sim.Now().Format("05.000"), a.Index, b.Index, r.Health)
			}
			if counts[b.Target.Service] == 0 && b.Target.Service != a.Target.Service {
				o.t.Fatalf("daemon %d lists no member of service %s", a.Index, b.Target.Service)
			}
		}
	}
	for n, at := range o.killed {
		if !n.Up && unaware[n] == 0 && o.detected[n] == 0 {
			o.detected[n] = o.sim.Now().Sub(at)
		}
	}
}

// checkNoRevert checks that a record is never replaced by an older one.
func (o *observer) checkNoRevert(a, b *fleetsim.Node, r member.Record, listed bool) {
	key := [2]int{a.Index, b.Index}
	old := o.latest[key]
	if !listed {
		return
	}
	older := r.Incarnation < old.Incarnation || r.Incarnation == old.Incarnation && r.Revision < old.Revision
	if older && a.Target.Incarnation <= old.Incarnation {
		o.t.Fatalf("daemon %d reverted from record %d/%d to %d/%d of daemon %d", a.Index, old.Incarnation, old.Revision, r.Incarnation, r.Revision, b.Index)
	}
	o.latest[key] = r
}

// checkConverged checks that each daemon has the current record of every other.
func (o *observer) checkConverged() {
	for _, b := range o.sim.Nodes {
		if !b.Up {
			continue
		}
		self := b.List.Self()
		for _, a := range o.sim.Nodes {
			if a == b || !a.Up {
				continue
			}
			r, ok := a.List.Get(self.Daemon)
			if !ok || r.Health == member.Unreachable || r.Incarnation != self.Incarnation || r.State != self.State {
				o.t.Fatalf("%s: daemon %d does not have the current record of daemon %d: %+v", o.sim.Now().Format("05.000"), a.Index, b.Index, r)
			}
		}
	}
}
