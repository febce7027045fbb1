// Package fleetsim runs the control logic of many daemons in one process, in
// virtual time and over a simulated network with faults.
//
// Datagrams are encoded and decoded as on the wire, so that bytes and processor
// time are those of the real codec. Tests and internal/slopes use it. It is not
// a model of a cluster: there are no calls, targets or disks.
package fleetsim

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/member"
	"pollenscale/io/gossip"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// Overheads per message on the wire in bytes.
const (
	udpOverhead  = 28  // IPv4 and UDP headers
	callOverhead = 300 // HTTP/2 frames, headers and TCP headers of one call
)

// ErrUnreachable is returned by calls that a fault prevents.
var ErrUnreachable = errors.New("peer unreachable")

// Layout is the shape of the simulated fleet.
type Layout struct {
	Regions        int
	ZonesPerRegion int
	Services       int
	// CrossZoneDelay and RegionDelay are one-way delays.
	CrossZoneDelay   time.Duration
	CrossRegionDelay time.Duration
}

// ProjectedLayout is the layout of the size in two years for n daemons.
func ProjectedLayout(n int) Layout {
	return Layout{
		Regions: 4, ZonesPerRegion: 3, Services: max(4, n*330/3400),
		CrossZoneDelay: 500 * time.Microsecond, CrossRegionDelay: 8 * time.Millisecond,
	}
}

// Traffic counts the messages of one daemon.
type Traffic struct {
	Sent, Received           int
	SentBytes, ReceivedBytes int
	// ConfigBytes is the part of ReceivedBytes that is configuration content.
	ConfigBytes int
	// RegionBytes is the part of SentBytes that leaves the region.
	RegionBytes int
}

// Node is one simulated daemon.
type Node struct {
	Index   int
	Target  fleet.Target
	List    *member.List
	Traffic Traffic
	Up      bool
	// PausedUntil holds datagrams and ticks until then.
	PausedUntil time.Time
	// OnDatagram is told the configuration version of each datagram received.
	OnDatagram func(n *Node, peerAddress string, d member.Datagram)

	// Config is the configuration of the daemon; nil without EnableConfig.
	Config *ConfigState

	generation int
	inbox      []delivery
}

type delivery struct {
	from string
	data []byte
}

// Sim is a simulated fleet. Use New.
type Sim struct {
	Layout Layout
	Nodes  []*Node
	Random *rand.Rand
	// Blocked reports whether datagrams and calls from a to b are lost.
	Blocked func(a, b *Node) bool
	// Loss is the probability that a datagram is lost.
	Loss float64
	// ExtraDelay returns an additional delay of a datagram; nil for none.
	ExtraDelay func() time.Duration
	// Subscriptions is the number of random services that each daemon calls.
	Subscriptions int
	// FetchFromAnyRegion lets daemons fetch configuration from any region at once.
	FetchFromAnyRegion bool
	// Options are passed to each list.
	Options []member.Option

	now       time.Time
	events    events
	order     int
	config    *ConfigStore
	byAddress map[string]*Node
}

type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event for container/heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event for container/heap.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// New returns a fleet of n daemons that are not yet started.
func New(n int, seed uint64, layout Layout) *Sim {
	s := &Sim{
		Layout:        layout,
		Random:        rand.New(rand.NewPCG(seed, 3)),
		Blocked:       func(_, _ *Node) bool { return false },
		Subscriptions: 3,
		now:           time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		byAddress:     map[string]*Node{},
	}
	for i := range n {
		s.Nodes = append(s.Nodes, s.node(i))
	}
	return s
}

func (s *Sim) node(i int) *Node {
	zones := s.Layout.Regions * s.Layout.ZonesPerRegion
	zone := i % zones
	region := zone % s.Layout.Regions
	service := (i / zones) % s.Layout.Services
	n := &Node{Index: i, Target: fleet.Target{
		Daemon:        fleet.DaemonID(fmt.Sprintf("service-%03d-vm-%05d", service, i)),
		PeerAddress:   fmt.Sprintf("10.%d.%d.%d:7400", zone, i/250, i%250),
		GossipAddress: fmt.Sprintf("10.%d.%d.%d:7401", zone, i/250, i%250),
		Place: fleet.Place{
			Region:           fleet.Region(fmt.Sprintf("region-%d", region)),
			AvailabilityZone: fleet.AvailabilityZone(fmt.Sprintf("region-%d-%d", region, zone/s.Layout.Regions)),
		},
		Service: fleet.Service(fmt.Sprintf("service-%03d", service)),
		State:   fleet.Serving,
		Slots:   12,
	}}
	s.byAddress[n.Target.GossipAddress] = n
	s.byAddress[n.Target.PeerAddress] = n
	return n
}

// Now is the virtual clock.
func (s *Sim) Now() time.Time { return s.now }

// At runs f at a time.
func (s *Sim) At(at time.Time, f func()) {
	s.order++
	heap.Push(&s.events, event{at, s.order, f})
}

// After runs f after a time.
func (s *Sim) After(d time.Duration, f func()) { s.At(s.now.Add(d), f) }

// Run advances the virtual time.
func (s *Sim) Run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e, ok := heap.Pop(&s.events).(event)
		if !ok {
			return
		}
		s.now = e.at
		e.do()
	}
	s.now = end
}

// StartAll starts all daemons with full tables, as if they had joined long ago.
func (s *Sim) StartAll() {
	var records []member.Record
	for _, n := range s.Nodes {
		s.create(n)
		records = append(records, n.List.Self())
	}
	data, err := proto.Marshal(gossip.EncodeReply(member.Reply{Members: records}))
	if err != nil {
		panic(err)
	}
	for _, n := range s.Nodes {
		n.List.Merge(member.Request{}, decodeReply(data))
		s.loop(n)
	}
}

// Start starts one daemon, which joins through the given seeds.
func (s *Sim) Start(n *Node, seeds ...*Node) {
	s.create(n)
	s.loop(n)
	for _, seed := range seeds {
		if s.exchange(n, member.Exchange{PeerAddress: seed.Target.PeerAddress, Services: []fleet.Service{n.Target.Service}}) {
			return
		}
	}
}

func (s *Sim) create(n *Node) {
	n.generation++
	n.Up = true
	n.inbox = nil
	n.Target.Incarnation = fleet.Incarnation(s.now.UnixNano())
	n.List = member.New(n.Target, append(s.Options, member.WithNow(s.Now), member.WithSeed(s.Random.Uint64()))...)
	for range s.Subscriptions {
		n.List.Subscribe(s.Nodes[s.Random.IntN(len(s.Nodes))].Target.Service)
	}
	if s.config != nil {
		s.attach(n)
	}
}

// Kill stops a daemon without notice.
func (s *Sim) Kill(n *Node) {
	n.Up = false
	n.generation++
}

// Pause stops a daemon for a while; datagrams wait in its socket.
func (s *Sim) Pause(n *Node, d time.Duration) {
	n.PausedUntil = s.now.Add(d)
}

// loop ticks a daemon as io/gossip does.
func (s *Sim) loop(n *Node) {
	generation := n.generation
	var tick func()
	tick = func() {
		if n.generation != generation {
			return
		}
		if s.now.Before(n.PausedUntil) {
			s.At(n.PausedUntil, tick)
			return
		}
		inbox := n.inbox
		n.inbox = nil
		out, next := n.List.Tick()
		s.carryOut(n, out)
		for _, d := range inbox {
			s.receive(n, d)
		}
		limit := s.now.Add(member.GossipInterval)
		if next.After(limit) {
			next = limit
		}
		if !next.After(s.now) {
			next = s.now.Add(time.Millisecond)
		}
		s.At(next, tick)
	}
	s.After(time.Duration(s.Random.Int64N(int64(member.GossipInterval))), tick)
}

func (s *Sim) carryOut(n *Node, out member.Output) {
	for _, e := range out.Send {
		s.send(n, e)
	}
	for _, x := range out.Exchange {
		s.After(20*time.Millisecond, func() { s.exchange(n, x) })
	}
}

func (s *Sim) send(n *Node, e member.Envelope) {
	data, err := gossip.Encode(e.Datagram)
	if err != nil {
		panic(err)
	}
	if len(data) > member.MaxDatagram {
		panic(fmt.Sprintf("datagram of %d bytes", len(data)))
	}
	n.Traffic.Sent++
	n.Traffic.SentBytes += len(data) + udpOverhead
	to := s.byAddress[e.To]
	if to != nil && to.Target.Place.Region != n.Target.Place.Region {
		n.Traffic.RegionBytes += len(data) + udpOverhead
	}
	if to == nil || s.Blocked(n, to) || s.Loss > 0 && s.Random.Float64() < s.Loss {
		return
	}
	d := s.Delay(n, to)
	if s.ExtraDelay != nil {
		d += s.ExtraDelay()
	}
	generation := to.generation
	s.After(d, func() {
		if !to.Up || to.generation != generation {
			return
		}
		if s.now.Before(to.PausedUntil) {
			to.inbox = append(to.inbox, delivery{n.Target.GossipAddress, data})
			return
		}
		s.receive(to, delivery{n.Target.GossipAddress, data})
	})
}

func (s *Sim) receive(n *Node, d delivery) {
	n.Traffic.Received++
	n.Traffic.ReceivedBytes += len(d.data) + udpOverhead
	datagram, err := gossip.Decode(d.data)
	if err != nil {
		panic(err)
	}
	s.carryOut(n, n.List.Receive(d.from, datagram))
	if n.OnDatagram != nil {
		n.OnDatagram(n, n.List.PeerAddress(datagram.From), datagram)
	}
}

// Delay is the one-way delay between two daemons, with up to 20% of jitter.
func (s *Sim) Delay(a, b *Node) time.Duration {
	d := s.Layout.CrossZoneDelay
	switch {
	case a.Target.Place.Region != b.Target.Place.Region:
		d = s.Layout.CrossRegionDelay
	case a.Target.Place.AvailabilityZone == b.Target.Place.AvailabilityZone:
		d /= 2
	}
	return d + time.Duration(s.Random.Int64N(int64(d)/5+1))
}

// Reachable reports whether a call from a to b gets an answer now.
func (s *Sim) Reachable(a, b *Node) bool {
	return b != nil && b.Up && a.Up && !s.now.Before(b.PausedUntil) && !s.Blocked(a, b) && !s.Blocked(b, a)
}

// NodeAt returns the daemon with a peer or gossip address, or nil.
func (s *Sim) NodeAt(address string) *Node { return s.byAddress[address] }

// exchange carries out a reconciliation.
func (s *Sim) exchange(n *Node, x member.Exchange) bool {
	if !n.Up || s.now.Before(n.PausedUntil) {
		return false
	}
	return n.List.Reconcile(context.Background(), s.CallFrom(n), x) == nil
}

// CallFrom returns the function by which a daemon calls ExchangeMembers of others.
func (s *Sim) CallFrom(n *Node) member.Call {
	return func(_ context.Context, address string, r member.Request) (member.Reply, error) {
		to := s.byAddress[address]
		if !s.Reachable(n, to) {
			return member.Reply{}, ErrUnreachable
		}
		request, err := proto.Marshal(gossip.EncodeRequest(r))
		if err != nil {
			return member.Reply{}, err
		}
		s.RecordMessage(n, to, len(request))
		reply, err := proto.Marshal(gossip.EncodeReply(to.List.HandleRequest(r)))
		if err != nil {
			return member.Reply{}, err
		}
		s.RecordMessage(to, n, len(reply))
		return decodeReply(reply), nil
	}
}

// RecordMessage counts one message of a call.
func (s *Sim) RecordMessage(from, to *Node, size int) {
	from.Traffic.Sent++
	from.Traffic.SentBytes += size + callOverhead
	if from.Target.Place.Region != to.Target.Place.Region {
		from.Traffic.RegionBytes += size + callOverhead
	}
	to.Traffic.Received++
	to.Traffic.ReceivedBytes += size + callOverhead
}

// FullList returns the list of one daemon that knows all others.
func (s *Sim) FullList() *member.List {
	var records []member.Record
	for _, n := range s.Nodes {
		r := member.Record{Target: n.Target, Revision: 1, DetailsRevision: 1, Health: member.Alive, Detailed: true}
		r.Incarnation = fleet.Incarnation(s.now.UnixNano())
		records = append(records, r)
	}
	list := member.New(s.Nodes[0].Target, member.WithNow(s.Now))
	list.Merge(member.Request{}, member.Reply{Members: records})
	return list
}
