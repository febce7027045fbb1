package announce_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/roster"
	"pollenscale/io/announce"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// daemon is a node with what it has heard.
type daemon struct {
	*announce.Node
	mu       sync.Mutex
	messages []announce.Message
	alive    []fleet.DaemonID
	lost     []string
}

func start(t *testing.T, id fleet.DaemonID) *daemon {
	t.Helper()
	node, err := announce.Listen("127.0.0.1:0")
	is.New(t).NoErr(err)
	d := &daemon{Node: node}
	node.LocalMessage = func() announce.Message {
		return announce.Message{From: roster.Record{Daemon: id, Sequence: 1}, Version: 7}
	}
	node.OnRecord = func(m announce.Message) { d.note(func() { d.messages = append(d.messages, m) }) }
	node.OnAlive = func(id fleet.DaemonID) { d.note(func() { d.alive = append(d.alive, id) }) }
	node.OnRelayFailure = func(relay string) { d.note(func() { d.lost = append(d.lost, relay) }) }
	var group errgroup.Group
	group.Go(node.Receive)
	group.Go(func() error { return node.Resend(t.Context()) })
	t.Cleanup(func() {
		is.New(t).NoErr(node.Close())
		is.New(t).NoErr(group.Wait())
	})
	return d
}

func (d *daemon) note(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

func (d *daemon) heard() (messages, alive, lost int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.messages), len(d.alive), len(d.lost)
}

// eventually waits for a condition that datagrams bring about.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal(what)
}

// TestAnnounce guards against announcements that are repeated although they were
// acknowledged, and against acknowledgements that carry a whole record.
func TestAnnounce(t *testing.T) {
	a, b := start(t, "a"), start(t, "b")
	a.Announce(announce.Update, []string{b.Address()})
	eventually(t, "no acknowledgement", func() bool { _, alive, _ := a.heard(); return alive == 1 })
	time.Sleep(500 * time.Millisecond) // four times the pause between repetitions
	received, _, _ := b.heard()
	is.New(t).Equal(received, 1)
	received, _, _ = a.heard()
	is.New(t).Equal(received, 0)
}

// TestRelay guards against a region that misses a change since the daemon that
// was to pass it on is gone, and against endless attempts to find another.
func TestRelay(t *testing.T) {
	silent, err := net.ListenPacket("udp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer silent.Close()
	a, b, c := start(t, "a"), start(t, "b"), start(t, "c")
	a.Announce(announce.Relay, []string{silent.LocalAddr().String()})
	eventually(t, "the loss was not reported", func() bool { _, _, lost := a.heard(); return lost == 1 })
	a.ReplaceRelay(silent.LocalAddr().String())
	a.ReplaceRelay(b.Address())
	eventually(t, "no message for the substitute", func() bool { received, _, _ := b.heard(); return received == 1 })
	b.Forward(b.messages[0].From, []string{c.Address()})
	eventually(t, "not passed on", func() bool { received, _, _ := c.heard(); return received == 1 })
	is.New(t).Equal(c.messages[0].From.Daemon, fleet.DaemonID("a"))
	is.New(t).Equal(c.messages[0].Purpose, announce.Relayed)
	time.Sleep(700 * time.Millisecond)
	_, _, lost := a.heard()
	is.New(t).Equal(lost, 1)
}

// TestProbe guards against a probe that costs more than it needs, and against a
// sign of life that goes unnoticed at either end.
func TestProbe(t *testing.T) {
	a, b := start(t, "a"), start(t, "b")
	a.Probe(b.Address())
	eventually(t, "no answer to the probe", func() bool { _, alive, _ := a.heard(); return alive == 1 })
	is.New(t).Equal(a.alive[0], fleet.DaemonID("b"))
	received, alive, _ := b.heard()
	is.New(t).Equal(received, 0)
	is.New(t).Equal(alive, 1)
}
