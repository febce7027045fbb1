package roster_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/roster"

	"github.com/matryer/is"
)

// fleetOf returns the roster of daemon "d0" in a fleet of n daemons in three regions
// of two zones each.
func fleetOf(n int) *roster.Roster {
	r := roster.New("d0")
	for i := range n {
		region := fleet.Region(fmt.Sprint("region-", i%3))
		r.Merge(roster.Record{
			Daemon: fleet.DaemonID(fmt.Sprint("d", i)), Incarnation: 1, PeerAddress: fmt.Sprint("peer-", i),
			AnnounceAddress: fmt.Sprint("announce-", i), Target: "t", Service: "agenda", State: fleet.Serving,
			Place: fleet.Place{Region: region, AvailabilityZone: fleet.AvailabilityZone(fmt.Sprint(region, "-", i/3%2))},
		})
	}
	return r
}

// TestRecipients guards against announcements whose traffic between regions grows
// with the fleet, and against daemons of the own region that receive none.
func TestRecipients(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{24, 90, 300} {
		a := fleetOf(n).Recipients("region-0")
		is.Equal(len(a.Direct), n/3-1)
		is.Equal(len(a.Relays), 4)
	}
	r := fleetOf(6)
	relay := r.Recipients("region-0").Relays[0]
	other := r.AlternateRelay(relay)
	is.True(other != relay && other != "")
}

// TestLeavingTargetReturns guards against use of a leaving target after its daemon has restarted.
func TestLeavingTargetReturns(t *testing.T) {
	is := is.New(t)
	r := roster.New("own")
	rec := roster.Record{Daemon: "d1", Incarnation: 1, PeerAddress: "p", Target: "i-1", Born: 5, State: fleet.Serving}
	state := func() fleet.State { return r.Targets()[0].State }
	r.Merge(rec)
	r.MarkLeaving("d1", 0) // another process
	is.Equal(state(), fleet.Serving)
	r.MarkLeaving("d1", 1)
	is.Equal(state(), fleet.Draining)
	rec.Incarnation = 2
	is.True(r.Merge(rec))
	is.Equal(state(), fleet.Draining)
	rec.Incarnation, rec.Born = 3, 6
	is.True(r.Merge(rec))
	is.Equal(state(), fleet.Serving)
}

// TestDepartureOverwritten guards against use of a target that has left, after the restarted
// daemon beside it has published a record that does not know it.
func TestDepartureOverwritten(t *testing.T) {
	is := is.New(t)
	before := roster.Record{
		Daemon: "d1", Incarnation: 1, Sequence: 2, PeerAddress: "p", Target: "i-1", Born: 5,
		State: fleet.Draining, TargetState: fleet.Draining,
	}
	restarted := roster.Record{Daemon: "d1", Incarnation: 2, PeerAddress: "p"}
	late := restarted
	late.Sequence, late.Target, late.Born, late.State, late.TargetState = 1, "i-1", 5, fleet.Serving, fleet.Serving
	for _, order := range [][]roster.Record{{before, restarted, late}, {restarted, before, late}, {restarted, late, before}} {
		r := roster.New("own")
		changes := 0
		r.OnChange = func() { changes++ }
		for _, rec := range order {
			r.Merge(rec)
		}
		is.Equal(r.Targets()[0].State, fleet.Draining)
		is.Equal(changes, len(order)) // the chooser is told of each
		is.True(!r.Merge(before))
		is.Equal(changes, len(order))
		known, _ := r.Record("d1")
		is.True(known.Departures.Covers("i-1", 5)) // the daemon itself can be told
		next := late
		next.Sequence, next.Born = 2, 6
		is.True(r.Merge(next))
		is.Equal(r.Targets()[0].State, fleet.Serving)
	}
}

// TestUnreachable guards against requests that are sent to an unreachable daemon as
// probes, and against a daemon that stays excluded although it is back.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	r := fleetOf(6)
	r.Now = func() time.Time { return now }
	used := func() bool {
		return slices.ContainsFunc(r.Targets(), func(t fleet.Target) bool { return t.Daemon == "d3" })
	}
	is.True(r.MarkUnreachable("d3"))
	is.True(!r.MarkUnreachable("d3"))
	probes := 0
	for range 120 {
		now = now.Add(100 * time.Millisecond)
		probes += len(r.DueProbes())
		is.True(!used())
	}
	is.True(probes >= 6 && probes <= 10) // within 12 s
	r.MarkReachable("d3")
	is.True(used())
	is.Equal(len(r.DueProbes()), 0)
}

// TestShouldWatch guards against a zone in which no daemon watches the store, and
// against a store that all daemons of the fleet watch.
func TestShouldWatch(t *testing.T) {
	is := is.New(t)
	place := fleet.Place{Region: "scl", AvailabilityZone: "scl-a"}
	now := time.Unix(100, 0)
	zone := map[fleet.DaemonID]*roster.Roster{}
	ids := []fleet.DaemonID{"a", "b", "c", "d", "e"}
	for _, id := range ids {
		r := roster.New(id)
		r.Now = func() time.Time { return now }
		for _, other := range ids {
			r.Merge(roster.Record{Daemon: other, Incarnation: 1, PeerAddress: string(other), Place: place})
		}
		zone[id] = r
	}
	// run lets the daemons that are up exchange a heartbeat every second, and
	// returns those that watch at the end.
	run := func(seconds int, up string) string {
		watching := ""
		for range seconds {
			now = now.Add(time.Second)
			watching = ""
			for _, id := range ids {
				if !strings.Contains(up, string(id)) {
					continue
				}
				watches := zone[id].ShouldWatch(place)
				if watches {
					watching += string(id)
				}
				for _, other := range ids {
					zone[other].SetWatching(id, watches)
				}
			}
		}
		return watching
	}
	for _, r := range zone {
		r.SetWatching("a", true)
		r.SetWatching("b", true)
	}
	is.Equal(run(10, "abcde"), "ab")
	is.Equal(run(10, "bcde"), "bc")
	is.Equal(run(3, "de"), "de")
	is.Equal(run(10, "abcde"), "ab")
}

// TestWatcherAddresses guards against questions to daemons that no longer watch the store,
// or that are in another zone.
func TestWatcherAddresses(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := roster.New("own")
	r.Now = func() time.Time { return now }
	here, there := fleet.Place{AvailabilityZone: "a"}, fleet.Place{AvailabilityZone: "b"}
	for id, place := range map[fleet.DaemonID]fleet.Place{"own": here, "watcher": here, "other": here, "far": there} {
		r.Merge(roster.Record{Daemon: id, Incarnation: 1, PeerAddress: string(id), AnnounceAddress: string(id), Place: place})
		r.SetWatching(id, id != "other")
	}
	is.Equal(r.WatcherAddresses(here), []string{"watcher"})
	now = now.Add(3 * time.Second)
	is.Equal(len(r.WatcherAddresses(here)), 0)
}

// TestForget guards against records of replaced VMs that are kept and probed forever
// or that other daemons reinstate, and against a daemon that stays forgotten after a
// message from it has arrived.
func TestForget(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	r := roster.New("d0")
	r.Now = func() time.Time { return now }
	old := roster.Record{Daemon: "d1", Incarnation: 5, PeerAddress: "p", AnnounceAddress: "a", Target: "t"}
	is.True(r.Merge(old))
	r.MarkUnreachable("d1")
	probes := 0
	for range 60 {
		now = now.Add(time.Minute)
		probes += len(r.DueProbes())
	}
	is.True(probes <= 61)
	is.Equal(len(r.Forget()), 0)
	now = now.Add(2 * time.Hour)
	is.Equal(len(r.Forget()), 1)
	is.True(!r.Merge(old)) // as forwarded by a daemon that still has it
	is.True(r.Forgotten(old))
	is.Equal(r.Len(), 0)
	r.MarkReachable("d1") // message from the daemon itself
	is.True(r.Merge(old))
	next := old
	next.Incarnation++
	now = now.Add(3 * time.Hour)
	is.Equal(len(r.Forget()), 1)
	is.True(r.Merge(next))
}
