package gossip_test

import (
	"context"
	"testing"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/member"
	"pollenscale/io/gossip"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// TestLoopback guards against a transport that loses state changes or
// configuration versions between real sockets, or that does not stop.
func TestLoopback(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	group, ctx := errgroup.WithContext(ctx)
	defer func() {
		cancel()
		_ = group.Wait() // returns context.Canceled
	}()
	versions := make(chan uint64, 1000)
	a := open(t, "a")
	b := open(t, "b", gossip.WithOnConfig(func(_ string, v uint64, _ string) {
		select {
		case versions <- v:
		default:
		}
	}))
	// The first contact is a reconciliation, which uses io/peer.
	b.list.Merge(b.list.Request(), a.list.HandleRequest(b.list.Request()))
	group.Go(func() error { return a.transport.Run(ctx) })
	group.Go(func() error { return b.transport.Run(ctx) })

	a.list.SetState(fleet.Draining)
	a.list.SetConfig(7, "digest")
	is.True(within(3*time.Second, func() bool {
		r, ok := b.list.Get("a")
		return ok && r.State == fleet.Draining
	})) // the state reaches b within 3 s
	is.True(within(3*time.Second, func() bool { return <-versions == 7 })) // the version reaches b
	is.True(within(3*time.Second, func() bool { return a.list.Size() == 2 }))
}

// TestMalformed guards against malformed datagrams that crash the daemon or are
// accepted.
func TestMalformed(t *testing.T) {
	is := is.New(t)
	good, err := gossip.Encode(member.Datagram{Kind: member.Ping, From: "a", Updates: []member.Record{
		{Target: fleet.Target{Daemon: "x", Incarnation: 1, State: fleet.Serving}, Revision: 1, Health: member.Alive},
	}})
	is.NoErr(err)
	_, err = gossip.Decode(good)
	is.NoErr(err)
	for n := range good[:len(good)-1] {
		_, _ = gossip.Decode(good[:n]) // must not panic
	}
	for _, d := range []member.Datagram{
		{Kind: "Other", From: "a"},
		{Kind: member.Ping},
		{Kind: member.Ping, From: "a", Updates: []member.Record{{Target: fleet.Target{Daemon: "x", Incarnation: 1, State: "Odd"}, Revision: 1, Health: member.Alive}}},
		{Kind: member.Ping, From: "a", Updates: []member.Record{{Target: fleet.Target{Daemon: "x", Incarnation: 1, State: fleet.Cold}, Revision: 1, Health: "Odd"}}},
	} {
		data, err := gossip.Encode(d)
		is.NoErr(err)
		_, err = gossip.Decode(data)
		is.True(err != nil) // rejected
	}
}

type daemon struct {
	list      *member.List
	transport *gossip.Transport
}

func open(t *testing.T, id string, options ...gossip.Option) daemon {
	t.Helper()
	target := fleet.Target{
		Daemon: fleet.DaemonID(id), Incarnation: 1, PeerAddress: id + ":1",
		GossipAddress: reserve(t), Service: "s", State: fleet.Serving, Slots: 4,
	}
	list := member.New(target)
	transport, err := gossip.Listen(target.GossipAddress, list, options...)
	is.New(t).NoErr(err)
	return daemon{list, transport}
}

// reserve returns an unused loopback address.
func reserve(t *testing.T) string {
	t.Helper()
	probe, err := gossip.Listen("127.0.0.1:0", member.New(fleet.Target{Daemon: "probe", Service: "s"}))
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_ = probe.Run(ctx) // closes the socket
	return probe.Address()
}

func within(d time.Duration, ok func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}
