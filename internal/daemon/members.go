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
	// contactInterval is the mean interval between checks of the own contact row.
	contactInterval = 10 * time.Minute
	// leaveRounds is the number of gossip rounds that spread the Leaving state before
	// the daemon exits.
	leaveRounds = 3
	// exchangeTimeout bounds one exchange with a peer or one read of the configuration
	// from the store.
	exchangeTimeout = 5 * time.Second
	// detailsWait is how long requests for a service that was just subscribed wait for the
	// details of its targets, which take two exchanges with a member of it.
	detailsWait = time.Second
)

// members connects the membership list with its transports and with the components
// that use it.
type members struct {
	log        *slog.Logger
	self       fleet.Target
	list       *member.List
	transport  *gossip.Transport
	joiner     *member.Joiner
	peerClient *peer.Client
	// onTargets is called with the targets of the subscribed services.
	onTargets func([]fleet.Target)
	// onServiceMemberChange is called when another daemon of the own service has
	// changed.
	onServiceMemberChange func(fleet.Target)

	mu         sync.Mutex
	subscribed map[fleet.Service]bool
	// detailsDue holds when the targets of a service that was subscribed are known at the
	// latest.
	detailsDue map[fleet.Service]time.Time
	// state is the state of the own target.
	state fleet.State
}

func newMembers(log *slog.Logger, self fleet.Target, seeds []string, conn *net.UDPConn, client *peer.Client, tables store.Tables, onAnnouncement func(string, uint64, string)) *members {
	m := &members{
		log:        log,
		self:       self,
		peerClient: client,
		state:      fleet.Cold,
		subscribed: map[fleet.Service]bool{self.Service: true},
		detailsDue: map[fleet.Service]time.Time{},
	}
	record := self
	record.State = fleet.Cold
	m.list = member.New(record, member.WithOnChange(m.onChange))
	m.transport = gossip.New(conn, m.list,
		gossip.WithExchange(m.reconcile),
		gossip.WithOnConfig(onAnnouncement))
	m.joiner = &member.Joiner{List: m.list, Seeds: seeds, Call: m.requestExchange, Tables: tables}
	return m
}

func (m *members) onChange(c member.Change) {
	m.updateTargets()
	if c.Member.Service == m.self.Service && m.onServiceMemberChange != nil {
		m.onServiceMemberChange(c.Member.Target)
	}
}

// updateTargets passes the current targets of the subscribed services to onTargets.
func (m *members) updateTargets() {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.self
	self.State = m.state
	targets := []fleet.Target{self}
	for service := range m.subscribed {
		for _, r := range m.list.Members(service) {
			targets = append(targets, r.Target)
		}
	}
	m.onTargets(targets)
}

// setOnTargets sets onTargets and calls it with the current targets.
func (m *members) setOnTargets(f func([]fleet.Target)) {
	m.mu.Lock()
	m.onTargets = f
	m.mu.Unlock()
	m.updateTargets()
}

// subscribe subscribes to a service unless it is subscribed already.
func (m *members) subscribe(service fleet.Service) {
	m.mu.Lock()
	known := m.subscribed[service]
	m.subscribed[service] = true
	if !known {
		m.detailsDue[service] = time.Now().Add(detailsWait)
	}
	m.mu.Unlock()
	if known {
		return
	}
	m.list.Subscribe(service)
	m.updateTargets()
}

// awaitsDetails reports whether the service was subscribed so recently that its targets
// may not be known yet.
func (m *members) awaitsDetails(service fleet.Service) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Before(m.detailsDue[service])
}

// setState announces the state of the own target.
func (m *members) setState(state fleet.State) {
	m.mu.Lock()
	m.state = state
	m.mu.Unlock()
	m.list.SetState(state)
	m.updateTargets()
}

// leave announces that the own daemon is about to exit, and waits until gossip has
// spread it.
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

// keySlotOwner returns the member that announces the highest fencing token for a key
// slot.
func (m *members) keySlotOwner(service fleet.Service, name lease.Name) (fleet.Target, lease.Token, bool) {
	m.subscribe(service)
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

// inOwnRegion reports whether the daemon at a peer address is in the own region.
func (m *members) inOwnRegion(address string) bool {
	for _, r := range m.list.All() {
		if r.PeerAddress == address {
			return r.Place.Region == m.self.Place.Region
		}
	}
	return false
}

// randomPeers returns the peer addresses of up to n random members.
func (m *members) randomPeers(n int) []string {
	records := m.list.All()
	rand.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	var peers []string
	for _, r := range records {
		if len(peers) < n && r.PeerAddress != "" && r.Daemon != m.self.Daemon {
			peers = append(peers, r.PeerAddress)
		}
	}
	return peers
}

// daemonsInRegion returns the number of daemons in the own region, this one included.
func (m *members) daemonsInRegion() int {
	n := 1
	for _, r := range m.list.All() {
		if r.Place.Region == m.self.Place.Region {
			n++
		}
	}
	return n
}

// serviceMembers returns the daemons of a service except this one.
func (m *members) serviceMembers(service fleet.Service) []fleet.Target {
	records := m.list.Members(service)
	targets := make([]fleet.Target, 0, len(records))
	for _, r := range records {
		targets = append(targets, r.Target)
	}
	return targets
}

// maxSuccessors is the number of daemons that check immediately for the leases of a
// daemon that is stopping. If all daemons of its service did, 210 simultaneous planned
// stops would cause 784 reads/s.
const maxSuccessors = 3

// isSuccessor reports whether the own daemon is one of the successors of another daemon
// of its service, which rendezvous hashing selects.
func (m *members) isSuccessor(stopping fleet.DaemonID) bool {
	order := func(id fleet.DaemonID) uint64 { return xxhash.Sum64String(string(stopping) + "/" + string(id)) }
	selfOrder, preceding := order(m.self.Daemon), 0
	for _, t := range m.serviceMembers(m.self.Service) {
		if t.Daemon != stopping && t.State.TakesWork() && order(t.Daemon) < selfOrder {
			preceding++
		}
	}
	return preceding < maxSuccessors
}

// get returns the target of a member by daemon ID.
func (m *members) get(id fleet.DaemonID) (fleet.Target, bool) {
	if id == m.self.Daemon {
		return m.self, true
	}
	r, ok := m.list.Get(id)
	return r.Target, ok
}

func (m *members) requestExchange(ctx context.Context, address string, r member.Request) (member.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := m.peerClient.Control(address).ExchangeMembers(ctx, connect.NewRequest(gossip.EncodeRequest(r)))
	if err != nil {
		return member.Reply{}, err
	}
	return gossip.DecodeReply(reply.Msg)
}

func (m *members) reconcile(ctx context.Context, x member.Exchange) error {
	return m.list.Reconcile(ctx, m.requestExchange, x)
}

// handleExchange answers a reconciliation request of another daemon.
func (m *members) handleExchange(_ context.Context, r *peerpb.ExchangeMembersRequest) (*peerpb.ExchangeMembersResponse, error) {
	request, err := gossip.DecodeRequest(r)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return gossip.EncodeReply(m.list.HandleRequest(request)), nil
}

// run runs the membership protocol until ctx ends.
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

// publishContact keeps the own contact row in the store up to date. Daemons none of
// whose seeds can be reached join through these rows.
func (m *members) publishContact(ctx context.Context) error {
	if m.joiner.Tables.Read == nil {
		return nil
	}
	for wait.For(ctx, contactInterval/2+rand.N(contactInterval)) {
		if err := m.joiner.PublishContact(ctx); err != nil {
			m.log.Info("contact row not published.", "error", err)
		}
	}
	return nil
}
