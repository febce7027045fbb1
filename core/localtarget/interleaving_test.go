package localtarget_test

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"pollenscale/core/departure"
	"pollenscale/core/fleet"
	"pollenscale/core/localtarget"
	"pollenscale/core/roster"

	"github.com/matryer/is"
)

// world is a daemon, its row in the store, a peer, and two lives of the target beside it.
type world struct {
	leave   string
	now     time.Time
	daemon  *localtarget.State
	process fleet.Incarnation
	row     roster.Record
	away    bool // the store
	peer    *roster.Roster
	// sequence is that of the latest heartbeat of the first life.
	sequence int64
	left     bool
	born     int64         // of the second life, 0 before its start
	acked    departure.Set // what the target was told
	told     departure.Set // what the peer was told
}

const firstBorn = 1000

func newWorld(leave string) *world {
	w := &world{leave: leave, now: time.UnixMilli(2 * firstBorn), peer: roster.New("peer"), sequence: 1}
	w.restart()
	w.heartbeat()
	return w
}

// events are the steps that are interleaved. Each may occur at any time and repeatedly.
var events = []func(*world){
	(*world).heartbeat, (*world).lateHeartbeat, (*world).depart, (*world).restart, (*world).toggleStore, (*world).gossip, (*world).nextLife,
}

func (w *world) apply(event func(*world)) {
	w.now = w.now.Add(600 * time.Millisecond)
	event(w)
	if !w.away {
		w.write()
	}
}

func (w *world) send(born, sequence int64, draining bool) {
	w.daemon.ApplyHeartbeat(localtarget.Heartbeat{ID: "a", Service: "agenda", Born: born, Sequence: sequence, Draining: draining, Slots: 4}, w.now)
}

func (w *world) heartbeat() {
	if !w.left {
		w.sequence++
		w.send(firstBorn, w.sequence, false)
	}
}

func (w *world) lateHeartbeat() { w.send(firstBorn, 1, false) }

func (w *world) depart() {
	w.left = true
	switch w.leave {
	case "Deregister":
		w.daemon.Leave("a", firstBorn, w.now)
	case "DeregisterWithoutBorn":
		if w.born > 0 {
			return // the later life is meant then
		}
		w.daemon.Leave("a", 0, w.now)
	case "Drain":
		w.sequence++
		w.send(firstBorn, w.sequence, true)
	}
	if !w.away {
		w.acked = w.acked.Add(departure.Departure{Target: "a", Born: firstBorn})
	}
}

func (w *world) restart() {
	w.process++
	w.daemon = &localtarget.State{}
	w.daemon.AwaitMemory()
}

func (w *world) toggleStore() { w.away = !w.away }

func (w *world) nextLife() {
	if !w.left {
		return
	}
	if w.born == 0 {
		w.born = w.now.UnixMilli()
	}
	w.send(w.born, w.now.UnixMilli(), false)
}

func (w *world) record() roster.Record {
	v := w.daemon.View()
	return roster.Record{
		Daemon: "d", Incarnation: w.process, Sequence: uint64(w.now.UnixMilli()), PeerAddress: "p", Target: v.ID, Born: v.Born,
		State: v.State, TargetState: v.State, Departures: w.daemon.Departures(),
	}
}

// write replaces the row, after what an earlier process has left there is recalled.
func (w *world) write() {
	m := localtarget.Memory{Departures: w.row.AllDepartures()}
	if w.row.Incarnation < w.process {
		m.View = localtarget.View{ID: w.row.Target, Born: w.row.Born, State: w.row.TargetState}
	}
	w.daemon.Recall(m, w.now)
	w.daemon.MemoryKnown(w.now)
	w.row = w.record()
}

// gossip sends the record to the peer, which sends back departures that it lacks.
func (w *world) gossip() {
	w.peer.Merge(w.record())
	w.told = w.told.Join(w.daemon.Departures())
	known, _ := w.peer.Record("d")
	w.daemon.Recall(localtarget.Memory{Departures: known.Departures}, w.now)
}

// check returns what does not hold, "" if all does.
func (w *world) check() string {
	v := w.daemon.View()
	switch {
	case v.State == fleet.Serving && w.acked.Covers(v.ID, v.Born):
		return "the daemon uses an incarnation whose departure is acknowledged"
	case !w.away && !w.row.AllDepartures().Contains(w.acked):
		return "the store has lost an acknowledged departure"
	}
	known, _ := w.peer.Record("d")
	for _, t := range w.peer.Targets() {
		if t.State.TakesWork() && w.told.Covers(known.Target, known.Born) {
			return "the peer uses an incarnation although it was told of the departure"
		}
	}
	return ""
}

// TestInterleavings guards against an order of heartbeats, departure, restarts, outages and
// gossip after which a target that was told that it has left gets requests, or its next life
// gets none.
func TestInterleavings(t *testing.T) {
	var cases []struct {
		Name, Leave string
		Depth       int
	}
	data, err := os.ReadFile("testdata/interleavings.json")
	is.New(t).NoErr(err)
	is.New(t).NoErr(json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			order := make([]int, c.Depth)
			count := 0
			for more := true; more; more = next(order) {
				play(t, c.Leave, order)
				count++
			}
			t.Logf("%d orders of %d events", count, c.Depth)
		})
	}
}

// next advances to the next order of events, and reports whether there is one.
func next(order []int) bool {
	for i := range order {
		if order[i]++; order[i] < len(events) {
			return true
		}
		order[i] = 0
	}
	return false
}

func play(t *testing.T, leave string, order []int) {
	w := newWorld(leave)
	for i, event := range order {
		w.apply(events[event])
		if failure := w.check(); failure != "" {
			t.Fatalf("%s after the events %v", failure, order[:i+1])
		}
	}
	w.away = false
	w.left = true
	w.apply((*world).gossip)
	w.apply((*world).nextLife)
	if v := w.daemon.View(); v.Born != w.born || v.State != fleet.Serving {
		t.Fatalf("the next life is not used after the events %v", order)
	}
}
