// Package daemon wires the components of a daemon together and runs them until
// the daemon has shut down gracefully.
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
	"pollenscale/core/budget"
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
	"pollenscale/io/client"
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
	// healthInterval is the interval between health checks of the target. Together
	// with the timeout of one check it bounds how long a draining state that only
	// the health endpoint reports goes undetected.
	healthInterval = 500 * time.Millisecond
	// sweepInterval is the interval between sweeps of the attempt table for state
	// of entries that stopped sending.
	sweepInterval = time.Minute
	// idlePollInterval is how often a stopping daemon checks for attempts in flight.
	idlePollInterval = 10 * time.Millisecond
)

// Daemon is the process beside one target. Its exported fields are the wired
// components and may be changed between New and Run.
type Daemon struct {
	Settings *settings.Settings
	Log      *slog.Logger
	Self     fleet.Target

	Dispatch   *dispatch.Dispatcher
	Serve      *serve.Server
	State      *serve.State
	Attempts   *attempt.Table
	Peer       *peer.Client
	PeerServer *peer.Server
	Caller     *caller.Server
	Target     *target.Client

	version string
	store   *storeClient
	tables  store.Tables
	objects store.Objects

	loadControl *loadControl
	links       *links
	meters      *meters
	guard       *client.Guard
	limits      budget.Limits
	crashes     *crashTracker
	keys        *keys
	uploads     *uploads
	members     *members
	config      *configuration
	sequence    atomic.Uint64

	callerListener   net.Listener
	peerListener     net.Listener
	gossipConn       *net.UDPConn
	operatorListener net.Listener
	operatorServer   *http.Server
}

// Option changes a daemon under construction.
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

// WithLimits sets what clients may occupy, which by default follows from the settings and from the
// limits of the process.
func WithLimits(limits budget.Limits) Option {
	return func(d *Daemon) { d.limits = limits }
}

// WithVersion sets the program version that the operator endpoints report.
func WithVersion(version string) Option {
	return func(d *Daemon) { d.version = version }
}

// New builds a daemon and opens its listeners. It serves no requests before Run.
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
	d.Self = fleet.Target{
		Daemon:        s.Daemon,
		Incarnation:   fleet.Incarnation(time.Now().UnixNano()),
		PeerAddress:   d.peerListener.Addr().String(),
		GossipAddress: d.gossipConn.LocalAddr().String(),
		Place:         fleet.Place{Region: s.Region, AvailabilityZone: s.AvailabilityZone},
		Service:       s.Target.Service,
		Slots:         s.Target.Slots,
	}
	d.build()
	return d, nil
}

// CallerAddress returns the listen address for requests of callers.
func (d *Daemon) CallerAddress() string {
	return d.callerListener.Addr().String()
}

func (d *Daemon) listen() error {
	var err error
	if d.callerListener, err = net.Listen("tcp", d.Settings.CallerAddress); err != nil {
		return errors.Wrap(err, "CallerAddress")
	}
	if d.peerListener, err = net.Listen("tcp", d.Settings.PeerAddress); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "PeerAddress"), d.callerListener.Close())
	}
	if d.gossipConn, err = gossip.Bind(d.gossipAddress()); err != nil {
		return errors.CombineErrors(err, errors.CombineErrors(d.callerListener.Close(), d.peerListener.Close()))
	}
	if d.Settings.OperatorAddress == "" {
		return nil
	}
	if d.operatorListener, err = net.Listen("tcp", d.Settings.OperatorAddress); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "OperatorAddress"), d.closeListeners())
	}
	return nil
}

func (d *Daemon) closeListeners() error {
	return errors.CombineErrors(d.callerListener.Close(), errors.CombineErrors(d.peerListener.Close(), d.gossipConn.Close()))
}

// gossipAddress returns the configured gossip address, or by default a free port on
// the host of the peer address.
func (d *Daemon) gossipAddress() string {
	if d.Settings.GossipAddress != "" {
		return d.Settings.GossipAddress
	}
	host, _, err := net.SplitHostPort(d.peerListener.Addr().String())
	if err != nil {
		return ":0"
	}
	return net.JoinHostPort(host, "0")
}

// build creates and wires the components.
func (d *Daemon) build() {
	d.Peer = peer.NewClient()
	d.buildState()
	d.buildTargetSide()
	d.buildEntrySide()
	if d.tables.Transact != nil {
		d.buildStoreComponents()
	}
	d.buildServers()
	d.State.OnChange = func(state fleet.State) {
		logs.With(d.Log, logs.Target).Info("state changed.", "state", state)
		d.loadControl.setState(state)
		d.members.setState(state)
	}
}

// buildState creates and wires configuration and membership.
func (d *Daemon) buildState() {
	d.config = newConfiguration(logs.With(d.Log, logs.Config), d.Settings.Policy, d.Peer, d.tables, d.objects)
	d.members = newMembers(logs.With(d.Log, logs.Member), d.Self, d.Settings.Seeds, d.gossipConn, d.Peer, d.tables, d.config.handleAnnouncement)
	d.config.spreader.Announce = func(h spread.Head) { d.members.list.SetConfig(uint64(h.Version), h.Digest) }
	d.config.spreader.Members = d.members.list.Size
	d.config.spreader.Joined = d.joined
	d.config.spreader.SameRegion = d.members.inOwnRegion
	d.config.spreader.Peers = d.members.randomPeers
}

func (d *Daemon) buildTargetSide() {
	d.Attempts = &attempt.Table{Incarnation: d.Self.Incarnation}
	d.loadControl = newLoadControl(d.Self, d.config.current().Service(d.Self.Service))
	d.config.holder.OnChange = func(set *policy.Set) {
		d.loadControl.setPolicy(set, d.Self.Service)
		d.links.reset()
	}
	d.members.setOnTargets(d.loadControl.chooser.SetTargets)
	d.links = newLinks(d.Self.Place.Region, d.config.current, d.members.daemonsInRegion)
	d.loadControl.chooser.HasLinkBudget = d.links.hasBudget
	d.crashes = newCrashTracker(logs.With(d.Log, logs.Poison), d.Self)
	d.crashes.serviceMembers = func() []fleet.Target { return d.members.serviceMembers(d.Self.Service) }
	d.crashes.sendReport = d.reportCrash
	d.members.onServiceMemberChange = d.handleServiceMemberChange
	d.Target = target.New(d.Settings.Target.Address)
	d.Target.OnState = d.State.ObserveAnswer
	d.Serve = &serve.Server{
		Service:    d.Self.Service,
		Attempts:   d.Attempts,
		Acquire:    d.loadControl.acquire,
		BeforeCall: d.crashes.beforeCall,
		Call:       d.Target.Call,
		Load:       d.Load,
		State:      d.State.Get,
	}
}

// logger returns the logger for messages of no particular component.
func (d *Daemon) logger() *slog.Logger {
	return logs.With(d.Log, logs.Daemon)
}

// joined reports whether a seed has answered or none is configured.
func (d *Daemon) joined() bool {
	return len(d.Settings.Seeds) == 0 || d.members.list.Joined()
}

// handleServiceMemberChange handles a membership change of another daemon of the
// own service.
func (d *Daemon) handleServiceMemberChange(t fleet.Target) {
	d.crashes.observeDaemon(t)
	switch {
	case d.keys == nil:
	case !t.State.TakesWork() && d.members.isSuccessor(t.Daemon):
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
	d.buildGuard()
	d.Dispatch = &dispatch.Dispatcher{
		Policy:      d.config.current,
		Occupy:      d.occupy,
		Sequencer:   &attempt.Sequencer{Daemon: d.Self.Daemon, Incarnation: d.Self.Incarnation},
		Choose:      d.chooseTarget,
		Observe:     d.observe,
		OnRequest:   d.loadControl.recordRequest,
		DecideRetry: d.loadControl.decideRetry,
		Fingerprint: d.crashes.fingerprint,
		Send:        d.send,
		Settle:      d.settle,
	}
	d.Serve.DispatchOwned = d.Dispatch.DoForwarded
}

// observe records the result of an attempt in load control and metrics.
func (d *Daemon) observe(r dispatch.Result) {
	d.loadControl.observe(r)
	d.meters.countAttempt(r)
}

// chooseTarget subscribes to the service and chooses a target of it. The first requests
// for a service wait until its targets are known.
func (d *Daemon) chooseTarget(ctx context.Context, c dispatch.TargetRequest) (fleet.Target, error) {
	d.members.subscribe(c.Request.Service)
	for {
		target, err := d.loadControl.chooseTarget(ctx, c)
		if err == nil || !d.members.awaitsDetails(c.Request.Service) || !wait.For(ctx, joinPollInterval) {
			return target, err
		}
	}
}

// buildStoreComponents creates and wires the components that need the platform's
// store.
func (d *Daemon) buildStoreComponents() {
	size := d.members.list.Size
	d.keys = newKeys(logs.With(d.Log, logs.Lease), d.Self, d.tables, size)
	d.keys.policy = d.config.current
	d.keys.keySlotOwner = d.members.keySlotOwner
	d.keys.onGrantsChange = d.members.setKeySlots
	d.Dispatch.Owner = d.keys.resolveOwner
	d.Dispatch.Claim = d.keys.claim
	d.Serve.CheckFence = d.keys.checkFence
	d.uploads = newUploads(d.Self, d.tables, d.objects, size)
	d.uploads.queue.Log = logs.With(d.Log, logs.Upload)
	d.uploads.policy = d.config.current
	d.uploads.load = d.Load
	d.uploads.invoke = d.Serve.Invoke
	d.uploads.settle = d.settle
	d.uploads.lookupMember = d.members.get
	d.Dispatch.AcceptDeferred = d.uploads.accept
}

func (d *Daemon) buildServers() {
	d.PeerServer = &peer.Server{
		Invoke:          d.invokeForPeer,
		Settle:          d.Attempts.Settle,
		Load:            d.Load,
		AllowProbe:      func() bool { return d.loadControl.probeLimiter.Allow(time.Now()) },
		ReportCrash:     d.crashes.handleReport,
		ExchangeMembers: d.members.handleExchange,
		FetchConfig:     d.config.handleFetch,
	}
	d.PeerServer.Guard = d.guard
	d.PeerServer.Init()
	d.Caller = &caller.Server{Do: d.meters.countRequests(d.Dispatch.Do), Guard: d.guard, Log: logs.With(d.Log, logs.Caller)}
	if d.uploads != nil {
		d.Caller.Uploads = d.uploads
	}
	if d.Settings.TraceEndpoint != "" {
		d.enableTracing()
	}
	d.Caller.Init()
	d.operatorServer = d.operatorEndpoints().Server()
}

// Load returns a load report of the target with the next sequence number.
func (d *Daemon) Load() fleet.Load {
	load := d.loadControl.queue.Load(time.Now())
	load.Daemon = d.Self.Daemon
	load.Incarnation = d.Self.Incarnation
	load.Sequence = d.sequence.Add(1)
	load.State = d.State.Get()
	return load
}

// send makes an attempt. An attempt at this daemon's own target does not use the
// network.
func (d *Daemon) send(ctx context.Context, t fleet.Target, ref attempt.Ref, r *call.Request) (*call.Answer, error) {
	if t.Daemon != d.Self.Daemon {
		d.links.paceBody(ctx, t, r)
		return d.Peer.Send(ctx, t, ref, r)
	}
	local := *r
	local.Header = maps.Clone(r.Header) // Invoke modifies the header
	return d.Serve.Invoke(ctx, ref, &local)
}

func (d *Daemon) settle(ctx context.Context, t fleet.Target, ref attempt.Ref) (attempt.Settlement, error) {
	if t.Daemon != d.Self.Daemon {
		return d.Peer.Settle(ctx, t, ref)
	}
	return d.Attempts.Settle(ref), nil
}

// Run serves until ctx ends, and then shuts down gracefully: the target gets no new
// requests, callers are asked to close their connections, and requests in flight
// complete.
func (d *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var g run.Group
	d.addServerActor(&g, "peer", func() error { return d.PeerServer.Serve(d.peerListener) }, d.PeerServer.Close)
	d.addServerActor(&g, "caller", func() error { return d.serveCallers(background) }, d.Caller.Close)
	if d.operatorListener != nil {
		d.addServerActor(&g, "operator", d.serveOperators, d.operatorServer.Close)
	}
	for _, task := range d.backgroundTasks() {
		g.Add(func() error { return ignoreCancelled(background, task(background)) }, func(error) { stop() })
	}
	g.Add(func() error { return d.pollTargetHealth(background) }, func(error) { stop() })
	g.Add(func() error { return d.sweepAttempts(background) }, func(error) { stop() })
	quit := make(chan struct{})
	g.Add(func() error {
		select {
		case <-ctx.Done():
			return d.drain()
		case <-quit:
			return nil
		}
	}, func(error) { close(quit) })
	d.logger().Info("serving.", "callers", d.CallerAddress(), "peers", d.Self.PeerAddress, "incarnation", d.Self.Incarnation)
	err := g.Run()
	d.Peer.Close()
	d.Target.Close()
	return err
}

const (
	// joinWait limits how long a daemon lets callers wait until it has joined the fleet.
	joinWait = 2 * time.Second
	// joinPollInterval is how often the daemon checks whether it has joined and knows the
	// targets of a service.
	joinPollInterval = 5 * time.Millisecond
)

// serveCallers serves callers once the daemon has joined, or after joinWait. Before that
// it knows no targets, and would refuse requests that it can serve a moment later.
// Connections of callers are accepted by the kernel in the meantime.
func (d *Daemon) serveCallers(ctx context.Context) error {
	for latest := time.Now().Add(joinWait); !d.joined() && time.Now().Before(latest); {
		if !wait.For(ctx, joinPollInterval) {
			break
		}
	}
	return d.Caller.Serve(d.callerListener)
}

// serveOperators serves the operator endpoints.
func (d *Daemon) serveOperators() error {
	return d.operatorServer.Serve(d.guard.Listen(d.operatorServer, d.operatorListener, budget.Metrics))
}

// backgroundTasks returns the loops that run until their context ends, concurrently
// with the servers.
func (d *Daemon) backgroundTasks() []func(context.Context) error {
	tasks := []func(context.Context) error{d.members.run, d.config.spreader.Run, d.loadControl.refreshQueue, d.crashes.runSync}
	if d.keys != nil {
		tasks = append(tasks, d.keys.run, d.uploads.run)
	}
	if d.store != nil {
		tasks = append(tasks, d.adjustStoreBudget, d.pollParkedUploads)
	}
	return tasks
}

// ignoreCancelled returns nil if err is the error of the ended context, and
// otherwise err.
func ignoreCancelled(ctx context.Context, err error) error {
	if errors.Is(err, ctx.Err()) {
		return nil
	}
	return err
}

// addServerActor adds an actor that runs a server. The first actor that returns
// stops the group and thereby closes all servers. The actor of a server that was
// shut down gracefully therefore blocks until the group is interrupted; otherwise
// responses in flight would be cut off.
func (d *Daemon) addServerActor(g *run.Group, name string, serve, stop func() error) {
	done, finish := context.WithCancel(context.Background())
	g.Add(func() error {
		if err := serve(); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, name)
		}
		<-done.Done()
		return nil
	}, func(error) {
		finish()
		if err := stop(); err != nil {
			d.logger().Debug("closing the server failed.", "part", name, "error", err)
		}
	})
}

// sweepAttempts periodically removes the attempt state of entries that stopped
// sending.
func (d *Daemon) sweepAttempts(ctx context.Context) error {
	return wait.Every(ctx, sweepInterval, d.Attempts.Sweep)
}

// pollTargetHealth checks the target's health now and periodically until ctx ends.
func (d *Daemon) pollTargetHealth(ctx context.Context) error {
	d.checkTargetHealth(ctx)
	return wait.Every(ctx, healthInterval, func() { d.checkTargetHealth(ctx) })
}

func (d *Daemon) checkTargetHealth(ctx context.Context) {
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
