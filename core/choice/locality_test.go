package choice_test

import (
	"testing"
	"time"

	"pollenscale/core/choice"
	"pollenscale/core/fleet"

	"github.com/matryer/is"
)

// TestStaysLocal guards against requests that go to another region although a
// target in the local region would meet the soft deadline, and against long
// bodies that leave their zone or region without need.
func TestStaysLocal(t *testing.T) {
	local := fleet.Place{Region: "scl", AvailabilityZone: "scl-a"}
	now := time.Unix(1000, 0)
	targets := []fleet.Target{
		{Daemon: "home", Incarnation: 1, Place: local, Service: "agenda", State: fleet.Serving, Slots: 9},
		{Daemon: "sister", Incarnation: 1, Place: fleet.Place{Region: "scl", AvailabilityZone: "scl-b"}, Service: "agenda", State: fleet.Serving, Slots: 9},
		{Daemon: "far", Incarnation: 1, Place: fleet.Place{Region: "bog", AvailabilityZone: "bog-a"}, Service: "agenda", State: fleet.Serving, Slots: 9},
	}
	const waiting, work = 150 * time.Millisecond, 120 * time.Millisecond
	cases := []struct {
		name    string
		request choice.Request
		want    fleet.DaemonID
		queues  bool
	}{
		{"local targets meet the soft deadline", choice.Request{SoftDeadline: now.Add(300 * time.Millisecond), Tried: []fleet.DaemonID{"home", "sister"}}, "home", true},
		{"local targets miss the soft deadline", choice.Request{SoftDeadline: now.Add(250 * time.Millisecond), Tried: []fleet.DaemonID{"home", "sister"}}, "far", false},
		{"a long body stays in the zone", choice.Request{SoftDeadline: now.Add(300 * time.Millisecond), Bulk: true, Tried: []fleet.DaemonID{"home"}}, "home", true},
		{"a long body leaves the zone if it would be late", choice.Request{SoftDeadline: now.Add(200 * time.Millisecond), Bulk: true, Tried: []fleet.DaemonID{"home"}}, "sister", false},
		{"a long body stays in the region even if late", choice.Request{SoftDeadline: now.Add(200 * time.Millisecond), Bulk: true, Tried: []fleet.DaemonID{"home", "sister"}}, "home", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			chooser := choice.New(local)
			chooser.Now = func() time.Time { return now }
			chooser.SetTargets(targets)
			for _, target := range targets[:2] {
				wait := waiting
				if target.Daemon == "sister" {
					wait += time.Millisecond
				}
				chooser.ObserveAt(fleet.Load{
					Daemon: target.Daemon, Incarnation: 1, Sequence: 1, State: fleet.Serving, Slots: 9, Running: 9,
					WaitLow: wait, WaitUrgent: wait, Service: work,
				}, now)
			}
			r := c.request
			r.Service, r.ServiceTime = "agenda", work
			got, err := chooser.Pick(r)
			is.NoErr(err)
			is.Equal(got.Target.Daemon, c.want)
			is.Equal(got.StartBy.IsZero(), c.queues)
		})
	}
}

// TestSlowTarget guards against picking a target that has become slow because its
// queue is short, and against avoiding it permanently.
func TestSlowTarget(t *testing.T) {
	is := is.New(t)
	local := fleet.Place{Region: "scl", AvailabilityZone: "scl-a"}
	now := time.Unix(1000, 0)
	chooser := choice.New(local)
	chooser.Now = func() time.Time { return now }
	chooser.SetTargets([]fleet.Target{
		{Daemon: "slow", Incarnation: 1, Place: local, Service: "agenda", State: fleet.Serving, Slots: 9},
		{Daemon: "sister", Incarnation: 1, Place: fleet.Place{Region: "scl", AvailabilityZone: "scl-b"}, Service: "agenda", State: fleet.Serving, Slots: 9},
	})
	const work = 120 * time.Millisecond
	chooser.Observe(fleet.Load{Daemon: "slow", Incarnation: 1, Sequence: 1, State: fleet.Serving, Slots: 9, Service: work, Pace: 5})
	chooser.Observe(fleet.Load{Daemon: "sister", Incarnation: 1, Sequence: 1, State: fleet.Serving, Slots: 9, Running: 6, Service: work, Pace: 1})
	slowPicks := func() (slow int) {
		for range 100 {
			c, err := chooser.Pick(choice.Request{Service: "agenda", ServiceTime: work, SoftDeadline: now.Add(400 * time.Millisecond)})
			is.NoErr(err)
			if c.Target.Daemon == "slow" {
				slow++
			}
			chooser.Done(c, choice.Result{})
		}
		return slow
	}
	is.True(slowPicks() < 5)
	now = now.Add(10 * time.Second)
	is.True(slowPicks() > 50)
}
