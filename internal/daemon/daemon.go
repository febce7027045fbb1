// Package daemon assembles the parts of a daemon and runs them until it is
// stopped gracefully.
package daemon

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"pollenscale/core/attempt"
	"pollenscale/core/call"
	"pollenscale/core/dispatch"
	"pollenscale/core/fleet"
	"pollenscale/core/policy"
	"pollenscale/core/serve"
	"pollenscale/core/spread"
	"pollenscale/core/store"
	"pollenscale/core/wait"
	"pollenscale/internal/logs"
	"pollenscale/internal/settings"
	"pollenscale/io/caller"
	"pollenscale/io/gossip"
	"pollenscale/io/peer"
	"pollenscale/io/peer/peerpb"
	"pollenscale/io/target"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
)

const (
	// healthInterval bounds, together with the timeout of one read, how long a
	// sign of draining in the health endpoint goes unnoticed.
	healthInterval = 500 * time.Millisecond
	// sweepInterval is how often state of silent entries is looked for.
	sweepInterval = time.Minute
	// idlePoll is how often a stopping daemon looks for work under way.
	idlePoll = 10 * time.Millisecond
)

// Daemon is one daemon. Its exported fields join the parts and may be changed
// between New and Run.
type Daemon struct {
	Settings *settings.Settings
	Log      *slog.Logger
	Own      fleet.Target

	Dispatch *dispatch.Dispatcher
	Serve    *serve.Server
	State    *serve.State
	Attempts *attempt.Table
	Peer     *peer.Client
	PeerSide *peer.Server
	Caller   *caller.Server
	Target   *target.Client

	version string
	store   *storeClient
	tables  store.Tables
	objects store.Objects

	balance  *balance
	links    *links
	meters   *meters
	crashes  *crashes
	keys     *keys
	uploads  *uploads
	members  *members
	config   *configuration
	sequence atomic.Uint64

	callerL    net.Listener
	peerL      net.Listener
	gossipConn *net.UDPConn
	operatorL  net.Listener
	operators  *http.Server
}

// Option changes a daemon as it is built.
type Option func(*Daemon)

// WithLog sets the logger.
func WithLog(log *slog.Logger) Option {
	return func(d *Daemon) { d.Log = log }
}

// WithStore sets the platform's table service and object store. Without them
// the daemon owns no keys and takes no uploads.
func WithStore(tables store.Tables, objects store.Objects) Option {
	return func(d *Daemon) { d.tables, d.objects = tables, objects }
}

// WithVersion sets the version that operators see.
func WithVersion(version string) Option {
	return func(d *Daemon) { d.version = version }
}

// New builds a daemon and opens its ports. The daemon does not serve before Run.
func New(s *settings.Settings, options ...Option) (*Daemon, error) {
	d := &Daemon{Settings: s, Log: slog.Default(), State: &serve.State{}}
	for _, o := range options {
		o(d)
	}
	if s.PlatformAddress != "" {
		d.store = newStoreClient(s.PlatformAddress)
		d.tables, d.objects = d.store.tables(), d.store.Objects()
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.Own = fleet.Target{
		Daemon:        s.Daemon,
		Incarnation:   fleet.Incarnation(time.Now().UnixNano()),
		PeerAddress:   d.peerL.Addr().String(),
		GossipAddress: d.gossipConn.LocalAddr().String(),
		Place:         fleet.Place{Region: s.Region, AvailabilityZone: s.AvailabilityZone},
		Service:       s.Target.Service,
		Slots:         s.Target.Slots,
	}
	d.build()
	return d, nil
}

// CallerAddress returns the address that takes requests of callers.
func (d *Daemon) CallerAddress() string {
	return d.callerL.Addr().String()
}

func (d *Daemon) listen() error {
	var err error
	if d.callerL, err = net.Listen("tcp", d.Settings.CallerAddress); err != nil {
		return errors.Wrap(err, "CallerAddress")
	}
	if d.peerL, err = net.Listen("tcp", d.Settings.PeerAddress); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "PeerAddress"), d.callerL.Close())
	}
	if d.gossipConn, err = gossip.Bind(d.gossipAddress()); err != nil {
		return errors.CombineErrors(err, errors.CombineErrors(d.callerL.Close(), d.peerL.Close()))
	}
	if d.Settings.OperatorAddress == "" {
		return nil
	}
	if d.operatorL, err = net.Listen("tcp", d.Settings.OperatorAddress); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "OperatorAddress"), d.closeListeners())
	}
	return nil
}

func (d *Daemon) closeListeners() error {
	return errors.CombineErrors(d.callerL.Close(), errors.CombineErrors(d.peerL.Close(), d.gossipConn.Close()))
}

// gossipAddress returns the address of the settings, or a free port beside the
// peer address.
func (d *Daemon) gossipAddress() string {
	if d.Settings.GossipAddress != "" {
		return d.Settings.GossipAddress
	}
	host, _, err := net.SplitHostPort(d.peerL.Addr().String())
	if err != nil {
		return ":0"
	}
	return net.JoinHostPort(host, "0")
}

// build joins the parts.
func (d *Daemon) build() {
	d.Peer = peer.NewClient()
	d.buildState()
	d.buildTargetSide()
	d.buildEntrySide()
	if d.tables.Transact != nil {
		d.buildStoreUsers()
	}
	d.buildServers()
	d.State.Changed = func(state fleet.State) {
		logs.With(d.Log, logs.Target).Info("state changed.", "state", state)
		d.balance.setState(state)
		d.members.setState(state)
	}
}

// buildState joins configuration and membership.
func (d *Daemon) buildState() {
	d.config = newConfiguration(logs.With(d.Log, logs.Config), d.Settings.Policy, d.Peer, d.tables, d.objects)
	d.members = newMembers(logs.With(d.Log, logs.Member), d.Own, d.Settings.Seeds, d.gossipConn, d.Peer, d.tables, d.config.heard)
	d.config.spreader.Announce = func(h spread.Head) { d.members.list.SetConfig(uint64(h.Version), h.Digest) }
	d.config.spreader.Members = d.members.list.Size
	d.config.spreader.Joined = d.joined
	d.config.spreader.SameRegion = d.members.near
}

func (d *Daemon) buildTargetSide() {
	d.Attempts = &attempt.Table{Incarnation: d.Own.Incarnation}
	d.balance = newBalance(d.Own, d.config.current().Service(d.Own.Service))
	d.config.holder.OnChange = func(set *policy.Set) {
		d.balance.setPolicy(set, d.Own.Service)
		d.links.reset()
	}
	d.members.setChanged(d.balance.chooser.SetTargets)
	d.links = newLinks(d.Own.Place.Region, d.config.current, d.members.colocated)
	d.balance.chooser.HasLinkBudget = d.links.spare
	d.crashes = newCrashes(logs.With(d.Log, logs.Poison), d.Own)
	d.crashes.members = func() []fleet.Target { return d.members.others(d.Own.Service) }
	d.crashes.report = d.reportCrash
	d.members.colleague = d.colleague
	d.Target = target.New(d.Settings.Target.Address)
	d.Target.OnState = d.State.ObserveAnswer
	d.Serve = &serve.Server{
		Service:    d.Own.Service,
		Attempts:   d.Attempts,
		Acquire:    d.balance.acquire,
		BeforeCall: d.crashes.handover,
		Call:       d.Target.Call,
		Load:       d.Load,
		State:      d.State.Get,
	}
}

// own returns the logger of the daemon as a whole.
func (d *Daemon) own() *slog.Logger {
	return logs.With(d.Log, logs.Daemon)
}

// joined reports whether a seed has answered, or none is configured.
func (d *Daemon) joined() bool {
	return len(d.Settings.Seeds) == 0 || d.members.list.Joined()
}

// colleague is told of changes of the other daemons of the own service.
func (d *Daemon) colleague(t fleet.Target) {
	d.crashes.meet(t)
	switch {
	case d.keys == nil:
	case !t.State.TakesWork() && d.members.succeeds(t.Daemon):
		d.keys.holder.RecheckNow()
	default:
		d.keys.holder.Recheck()
	}
}

func (d *Daemon) reportCrash(ctx context.Context, address string, m *peerpb.ReportCrashRequest) error {
	_, err := d.Peer.Control(address).ReportCrash(ctx, connect.NewRequest(m))
	return err
}

func (d *Daemon) buildEntrySide() {
	d.meters = &meters{policy: d.config.current, set: metrics.NewSet()}
	d.Dispatch = &dispatch.Dispatcher{
		Policy:      d.config.current,
		Sequencer:   &attempt.Sequencer{Daemon: d.Own.Daemon, Incarnation: d.Own.Incarnation},
		Choose:      d.choose,
		Observe:     d.observe,
		OnRequest:   d.balance.called,
		DecideRetry: d.balance.mayRetry,
		Fingerprint: d.crashes.fingerprint,
		Send:        d.send,
		Settle:      d.settle,
	}
	d.Serve.DispatchOwned = d.Dispatch.DoForwarded
}

// observe takes the result of an attempt.
func (d *Daemon) observe(r dispatch.Result) {
	d.balance.observe(r)
	d.meters.attempt(r)
}

// choose subscribes to the service and picks a target.
func (d *Daemon) choose(ctx context.Context, c dispatch.TargetRequest) (fleet.Target, error) {
	d.members.need(c.Request.Service)
	return d.balance.choose(ctx, c)
}

// buildStoreUsers joins the parts that need the platform's store.
func (d *Daemon) buildStoreUsers() {
	size := d.members.list.Size
	d.keys = newKeys(logs.With(d.Log, logs.Lease), d.Own, d.tables, size)
	d.keys.policy = d.config.current
	d.keys.ownerOf = d.members.ownerOf
	d.keys.changed = d.members.setKeySlots
	d.Dispatch.Owner = d.keys.owner
	d.Dispatch.Claim = d.keys.claim
	d.Serve.CheckFence = d.keys.fenced
	d.uploads = newUploads(d.Own, d.tables, d.objects, size)
	d.uploads.courier.Log = logs.With(d.Log, logs.Upload)
	d.uploads.policy = d.config.current
	d.uploads.load = d.Load
	d.uploads.invoke = d.Serve.Invoke
	d.uploads.settle = d.settle
	d.uploads.memberOf = d.members.get
	d.Dispatch.AcceptDeferred = d.uploads.accept
}

func (d *Daemon) buildServers() {
	d.PeerSide = &peer.Server{
		Invoke:          d.Serve.Invoke,
		Settle:          d.Attempts.Settle,
		Load:            d.Load,
		AllowProbe:      func() bool { return d.balance.gate.Allow(time.Now()) },
		ReportCrash:     d.crashes.receive,
		ExchangeMembers: d.members.answer,
		FetchConfig:     d.config.answer,
	}
	d.PeerSide.Init()
	d.Caller = &caller.Server{Do: d.meters.do(d.Dispatch.Do), Log: logs.With(d.Log, logs.Caller)}
	if d.uploads != nil {
		d.Caller.Uploads = d.uploads
	}
	if d.Settings.TraceEndpoint != "" {
		d.trace()
	}
	d.Caller.Init()
	d.operators = d.endpoints().Server()
}

// Load returns the current load of the target.
func (d *Daemon) Load() fleet.Load {
	load := d.balance.queue.Load(time.Now())
	load.Daemon = d.Own.Daemon
	load.Incarnation = d.Own.Incarnation
	load.Sequence = d.sequence.Add(1)
	load.State = d.State.Get()
	return load
}

// send makes an attempt, without the network if the target is beside this
// daemon.
func (d *Daemon) send(ctx context.Context, t fleet.Target, ref attempt.Ref, r *call.Request) (*call.Answer, error) {
	if t.Daemon != d.Own.Daemon {
		d.links.pace(ctx, t, r)
		return d.Peer.Send(ctx, t, ref, r)
	}
	own := *r
	own.Header = maps.Clone(r.Header) // the target side changes it
	return d.Serve.Invoke(ctx, ref, &own)
}

func (d *Daemon) settle(ctx context.Context, t fleet.Target, ref attempt.Ref) (attempt.Settlement, error) {
	if t.Daemon != d.Own.Daemon {
		return d.Peer.Settle(ctx, t, ref)
	}
	return d.Attempts.Settle(ref), nil
}

// Run serves until ctx ends, and then stops gracefully: the target takes no new
// work, callers are asked to leave, and work under way completes.
func (d *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var g run.Group
	d.addServer(&g, "peer", func() error { return d.PeerSide.Serve(d.peerL) }, d.PeerSide.Close)
	d.addServer(&g, "caller", func() error { return d.Caller.Serve(d.callerL) }, d.Caller.Close)
	if d.operatorL != nil {
		d.addServer(&g, "operator", func() error { return d.operators.Serve(d.operatorL) }, d.operators.Close)
	}
	for _, part := range d.background() {
		g.Add(func() error { return ended(background, part(background)) }, func(error) { stop() })
	}
	g.Add(func() error { return d.watchTarget(background) }, func(error) { stop() })
	g.Add(func() error { return d.sweep(background) }, func(error) { stop() })
	quit := make(chan struct{})
	g.Add(func() error {
		select {
		case <-ctx.Done():
			return d.drain()
		case <-quit:
			return nil
		}
	}, func(error) { close(quit) })
	d.own().Info("serving.", "callers", d.CallerAddress(), "peers", d.Own.PeerAddress, "incarnation", d.Own.Incarnation)
	err := g.Run()
	d.Peer.Close()
	d.Target.Close()
	return err
}

// background returns the parts that run beside the servers.
func (d *Daemon) background() []func(context.Context) error {
	parts := []func(context.Context) error{d.members.run, d.config.spreader.Run, d.balance.run, d.crashes.run}
	if d.keys != nil {
		parts = append(parts, d.keys.run, d.uploads.run)
	}
	if d.store != nil {
		parts = append(parts, d.shareStore, d.watchParked)
	}
	return parts
}

// ended passes over the error of a part that ended because its context did.
func ended(ctx context.Context, err error) error {
	if errors.Is(err, ctx.Err()) {
		return nil
	}
	return err
}

// addServer adds a server. The first actor that ends stops the group, so the
// actor of a server that was shut down in an orderly way lasts until the group
// is stopped; otherwise answers under way would be cut off.
func (d *Daemon) addServer(g *run.Group, part string, serve, stop func() error) {
	done, finish := context.WithCancel(context.Background())
	g.Add(func() error {
		if err := serve(); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, part)
		}
		<-done.Done()
		return nil
	}, func(error) {
		finish()
		if err := stop(); err != nil {
			d.own().Debug("closing failed.", "part", part, "error", err)
		}
	})
}

// sweep removes the state of silent entries.
func (d *Daemon) sweep(ctx context.Context) error {
	return wait.Every(ctx, sweepInterval, d.Attempts.Sweep)
}

// watchTarget reads the target's health.
func (d *Daemon) watchTarget(ctx context.Context) error {
	d.checkTarget(ctx)
	return wait.Every(ctx, healthInterval, func() { d.checkTarget(ctx) })
}

func (d *Daemon) checkTarget(ctx context.Context) {
	health, err := d.Target.Health(ctx, d.Settings.Target.HealthPath)
	if err == nil {
		d.State.ObserveHealth(health.State, health.Instance)
		return
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		d.State.SetUnreachable()
	}
}
