package member_test

import (
	"context"
	"testing"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/member"
	"pollenscale/internal/fleetsim"
	"pollenscale/standin/memstore"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestSubscription guards against details that are kept for services without a
// subscription or missing for subscribed ones, and against changes that are not
// reported.
func TestSubscription(t *testing.T) {
	is := is.New(t)
	var changes []member.Change
	sim := fleetsim.New(48, 1, fleetsim.ProjectedLayout(48))
	sim.Subscriptions = 0
	sim.Options = []member.Option{member.WithOnChange(func(c member.Change) { changes = append(changes, c) })}
	sim.StartAll()
	a, b := sim.Nodes[0], sim.Nodes[12]
	is.True(a.Target.Service != b.Target.Service)
	for _, r := range a.List.Members(b.Target.Service) {
		is.True(!r.Detailed && r.Slots == 0) // no details without a subscription
	}
	a.List.Subscribe(b.Target.Service)
	sim.Run(3 * time.Second)
	members := a.List.Members(b.Target.Service)
	is.Equal(len(members), 12)
	for _, r := range members {
		is.True(r.Detailed && r.Slots == 12) // details of a subscribed service
	}
	changes = nil
	b.List.SetKeySlots([]member.KeySlot{{Slot: "s/0", Token: 9}})
	sim.Run(time.Second)
	r, ok := a.List.Get(b.Target.Daemon)
	token, owned := r.KeySlotToken("s/0")
	is.True(ok && owned && token == 9)
	is.True(len(changes) > 0) // the change is reported
	a.List.Unsubscribe(b.Target.Service)
	r, _ = a.List.Get(b.Target.Daemon)
	is.True(!r.Detailed) // details are dropped
}

// TestSuperseded guards against an older process that keeps running beside a newer
// one with the same daemon ID.
func TestSuperseded(t *testing.T) {
	is := is.New(t)
	l := member.New(fleet.Target{Daemon: "a", Incarnation: 5, Service: "s", State: fleet.Serving, GossipAddress: "a"})
	gossip := func(i fleet.Incarnation) member.Datagram {
		return member.Datagram{Kind: member.Gossip, From: "b", Updates: []member.Record{{
			Target: fleet.Target{Daemon: "a", Incarnation: i, State: fleet.Serving, GossipAddress: "a"}, Revision: 1, Health: member.Alive,
		}}}
	}
	l.Receive("b", gossip(4))
	is.True(!l.Superseded())
	l.Receive("b", gossip(6))
	is.True(l.Superseded())
}

// TestJoinThroughStore guards against a daemon that cannot join because all its
// configured seeds have been replaced.
func TestJoinThroughStore(t *testing.T) {
	is := is.New(t)
	sim := fleetsim.New(24, 1, fleetsim.ProjectedLayout(24))
	sim.StartAll()
	s := memstore.New(memstore.WithNow(sim.Now))
	for _, n := range sim.Nodes {
		j := &member.Joiner{List: n.List, Tables: s.Tables()}
		is.NoErr(j.PublishContact(t.Context()))
		is.NoErr(j.PublishContact(t.Context())) // writes nothing the second time
	}
	is.Equal(s.Counts().RowsWritten, int64(24)) // at most 2 per zone
	newcomer := sim.Nodes[5]
	sim.Kill(newcomer)
	sim.Run(3 * time.Second)
	sim.Start(newcomer)
	slept := time.Duration(0)
	j := &member.Joiner{
		List: newcomer.List, Seeds: []string{"10.99.0.1:7400"}, Tables: s.Tables(), Call: sim.CallFrom(newcomer),
		Sleep: func(_ context.Context, d time.Duration) error {
			slept += d
			if slept > time.Minute {
				return errors.New("joining took too long")
			}
			return nil
		},
	}
	is.NoErr(j.Join(t.Context()))
	is.Equal(newcomer.List.Size(), 24)
	sim.Run(5 * time.Second)
	r, ok := sim.Nodes[0].List.Get(newcomer.Target.Daemon)
	is.True(ok && r.Incarnation == newcomer.Target.Incarnation) // known to others
}

// TestSuspicionAfterPause guards against a process that declares a suspect dead
// right after a pause, while the suspect's refutation waits in its socket.
func TestSuspicionAfterPause(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	target := func(id string) fleet.Target {
		return fleet.Target{Daemon: fleet.DaemonID(id), Incarnation: 1, GossipAddress: id, PeerAddress: id, Service: "s", State: fleet.Serving}
	}
	l := member.New(target("a"), member.WithNow(func() time.Time { return now }), member.WithSeed(1))
	var records []member.Record
	for _, id := range []string{"b", "c", "d", "e"} {
		records = append(records, member.Record{Target: target(id), Revision: 1, DetailsRevision: 1, Health: member.Alive})
	}
	l.Merge(member.Request{}, member.Reply{Members: records})
	for range 200 { // b does not answer; the others do, and send a Nack for b
		out, _ := l.Tick()
		for _, e := range out.Send {
			answer := member.Datagram{Kind: member.Ack, Sequence: e.Datagram.Sequence, From: fleet.DaemonID(e.To), Subject: e.Datagram.Subject}
			if e.Datagram.Kind == member.PingRequest {
				answer.Kind = member.Nack
			}
			if e.To != "b" && e.Datagram.Kind != member.Gossip {
				l.Receive(e.To, answer)
			}
		}
		if r, _ := l.Get("b"); r.Health == member.Suspect {
			break
		}
		now = now.Add(20 * time.Millisecond)
	}
	r, _ := l.Get("b")
	is.Equal(r.Health, member.Suspect)
	now = now.Add(time.Second)
	l.Tick()
	r, _ = l.Get("b")
	is.Equal(r.Health, member.Suspect) // not declared dead right after the pause
}

// TestKeySlotOwnerPropagation guards against daemons that learn too late who owns a
// key slot. After a planned stop callers wait 2 s, in which two changes have to
// reach them: that of the previous owner and that of the next one.
func TestKeySlotOwnerPropagation(t *testing.T) {
	const (
		seeds, restarts = 100, 10
		step            = 10 * time.Millisecond
		maxDelay        = time.Second
	)
	layout := fleetsim.Layout{Regions: 1, ZonesPerRegion: 1, Services: 2, CrossZoneDelay: time.Millisecond}
	var worst time.Duration
	for seed := range uint64(seeds) {
		sim := fleetsim.New(5, seed, layout)
		sim.Subscriptions = 0
		sim.StartAll()
		sim.Run(3 * time.Second)
		service := sim.Nodes[1].Target.Service
		for i := range restarts {
			restarted, owner := sim.Nodes[i%5], sim.Nodes[1+2*(i%2)]
			if owner == restarted {
				owner = sim.Nodes[1+2*((i+1)%2)]
			}
			restarted.List.SetState(fleet.Leaving)
			sim.Run(3 * member.GossipInterval)
			sim.Kill(restarted)
			sim.Start(restarted, owner)
			for _, n := range sim.Nodes {
				n.List.Subscribe(service)
			}
			sim.Run(600 * time.Millisecond)
			token := uint64(i + 1)
			owner.List.SetKeySlots([]member.KeySlot{{Slot: "s/0", Token: token}})
			var took time.Duration
			for ; took < 3*maxDelay && !ownerKnown(sim, owner, token); took += step {
				sim.Run(step)
			}
			worst = max(worst, took)
		}
	}
	t.Logf("known after %v at the latest", worst)
	is.New(t).True(worst <= maxDelay)
}

// ownerKnown reports whether all other daemons know that owner owns the slot with
// the given token.
func ownerKnown(sim *fleetsim.Sim, owner *fleetsim.Node, token uint64) bool {
	for _, n := range sim.Nodes {
		if n == owner {
			continue
		}
		r, ok := n.List.Get(owner.Target.Daemon)
		if got, held := r.KeySlotToken("s/0"); !ok || !held || got != token {
			return false
		}
	}
	return true
}
