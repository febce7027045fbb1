package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/lease"
	"pollenscale/core/member"
	"pollenscale/core/store"
	"pollenscale/core/wait"
	"pollenscale/io/gossip"
	"pollenscale/io/peer"
	"pollenscale/io/peer/peerpb"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
)

const (
	// contactInterval is the mean time between checks of the own contact row.
	contactInterval = 10 * time.Minute
	// leaveRounds is the number of gossip rounds that pass on the last news.
	leaveRounds = 3
	// exchangeTimeout bounds one reconciliation.
	exchangeTimeout = 5 * time.Second
)

// members joins membership with its transports and its users.
type members struct {
	log       *slog.Logger
	own       fleet.Target
	list      *member.List
	transport *gossip.Transport
	joiner    *member.Joiner
	peer      *peer.Client
	// changed is given the targets of the subscribed services.
	changed func([]fleet.Target)
	// colleague is called when another daemon of the own service has changed.
	colleague func(fleet.Target)

	mu         sync.Mutex
	subscribed map[fleet.Service]bool
	// state is the state of the own target.
	state fleet.State
}

func newMembers(log *slog.Logger, own fleet.Target, seeds []string, conn *net.UDPConn, client *peer.Client, tables store.Tables, heard func(string, uint64, string)) *members {
	m := &members{
		log:        log,
		own:        own,
		peer:       client,
		state:      fleet.Cold,
		subscribed: map[fleet.Service]bool{own.Service: true},
	}
	self := own
	self.State = fleet.Cold
	m.list = member.New(self, member.WithOnChange(m.onChange))
	m.transport = gossip.New(conn, m.list,
		gossip.WithExchange(m.exchange),
		gossip.WithOnConfig(heard))
	m.joiner = &member.Joiner{List: m.list, Seeds: seeds, Call: m.call, Tables: tables}
	return m
}

func (m *members) onChange(c member.Change) {
	m.refresh()
	if c.Member.Service == m.own.Service && m.colleague != nil {
		m.colleague(c.Member.Target)
	}
}

// refresh passes the targets of the subscribed services on.
func (m *members) refresh() {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.own
	own.State = m.state
	targets := []fleet.Target{own}
	for service := range m.subscribed {
		for _, r := range m.list.Members(service) {
			targets = append(targets, r.Target)
		}
	}
	m.changed(targets)
}

// setChanged sets the function that is given the targets, and calls it.
func (m *members) setChanged(f func([]fleet.Target)) {
	m.mu.Lock()
	m.changed = f
	m.mu.Unlock()
	m.refresh()
}

// need subscribes to a service when a first request for it arrives.
func (m *members) need(service fleet.Service) {
	m.mu.Lock()
	known := m.subscribed[service]
	m.subscribed[service] = true
	m.mu.Unlock()
	if known {
		return
	}
	m.list.Subscribe(service)
	m.refresh()
}

// setState announces the state of the own target.
func (m *members) setState(state fleet.State) {
	m.mu.Lock()
	m.state = state
	m.mu.Unlock()
	m.list.SetState(state)
	m.refresh()
}

// leave announces that the own daemon is about to end, and waits until the news
// has been passed on.
func (m *members) leave() {
	m.setState(fleet.Leaving)
	time.Sleep(leaveRounds * member.GossipInterval)
}

// setKeySlots announces the leases that the own daemon holds.
func (m *members) setKeySlots(grants []lease.Grant) {
	slots := make([]member.KeySlot, 0, len(grants))
	for _, g := range grants {
		slots = append(slots, member.KeySlot{Slot: string(g.Name), Token: uint64(g.Token)})
	}
	m.list.SetKeySlots(slots)
}

// ownerOf returns the member with the highest token for a key slot.
func (m *members) ownerOf(service fleet.Service, name lease.Name) (fleet.Target, lease.Token, bool) {
	m.need(service)
	var owner fleet.Target
	var highest uint64
	for _, r := range m.list.Members(service) {
		if r.State == fleet.Leaving {
			continue
		}
		if token, ok := r.KeySlotToken(string(name)); ok && token > highest {
			owner, highest = r.Target, token
		}
	}
	return owner, lease.Token(highest), highest > 0
}

// near reports whether the daemon at a peer address is in the own region.
func (m *members) near(address string) bool {
	for _, r := range m.list.All() {
		if r.PeerAddress == address {
			return r.Place.Region == m.own.Place.Region
		}
	}
	return false
}

// colocated returns the number of daemons in the own region, this one included.
func (m *members) colocated() int {
	n := 1
	for _, r := range m.list.All() {
		if r.Place.Region == m.own.Place.Region {
			n++
		}
	}
	return n
}

// others returns the other daemons of a service.
func (m *members) others(service fleet.Service) []fleet.Target {
	records := m.list.Members(service)
	targets := make([]fleet.Target, 0, len(records))
	for _, r := range records {
		targets = append(targets, r.Target)
	}
	return targets
}

// successors is the number of daemons that look at once for the leases of a daemon
// that stops. With all of a service, 210 planned stops at once bring 784 reads/s.
const successors = 3

// succeeds reports whether the own daemon is one of the successors of another of
// its service.
func (m *members) succeeds(stopping fleet.DaemonID) bool {
	order := func(id fleet.DaemonID) uint64 { return xxhash.Sum64String(string(stopping) + "/" + string(id)) }
	own, before := order(m.own.Daemon), 0
	for _, t := range m.others(m.own.Service) {
		if t.Daemon != stopping && t.State.TakesWork() && order(t.Daemon) < own {
			before++
		}
	}
	return before < successors
}

// get returns a member by its id.
func (m *members) get(id fleet.DaemonID) (fleet.Target, bool) {
	if id == m.own.Daemon {
		return m.own, true
	}
	r, ok := m.list.Get(id)
	return r.Target, ok
}

func (m *members) call(ctx context.Context, address string, r member.Request) (member.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := m.peer.Control(address).ExchangeMembers(ctx, connect.NewRequest(gossip.EncodeRequest(r)))
	if err != nil {
		return member.Reply{}, err
	}
	return gossip.DecodeReply(reply.Msg)
}

func (m *members) exchange(ctx context.Context, x member.Exchange) error {
	return m.list.Reconcile(ctx, m.call, x)
}

// answer serves the reconciliation of another daemon.
func (m *members) answer(_ context.Context, r *peerpb.ExchangeMembersRequest) (*peerpb.ExchangeMembersResponse, error) {
	request, err := gossip.DecodeRequest(r)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return gossip.EncodeReply(m.list.HandleRequest(request)), nil
}

// run takes part in membership until ctx ends.
func (m *members) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.transport.Run(ctx) })
	group.Go(func() error {
		if err := m.joiner.Join(ctx); err != nil {
			return err
		}
		m.log.Info("joined.", "members", m.list.Size())
		return m.joiner.Rejoin(ctx)
	})
	group.Go(func() error { return m.publishContact(ctx) })
	return group.Wait()
}

// publishContact keeps the own contact row, for daemons whose seeds are gone.
func (m *members) publishContact(ctx context.Context) error {
	if m.joiner.Tables.Read == nil {
		return nil
	}
	for wait.For(ctx, contactInterval/2+rand.N(contactInterval)) {
		if err := m.joiner.PublishContact(ctx); err != nil {
			m.log.Info("contact not published.", "error", err)
		}
	}
	return nil
}
