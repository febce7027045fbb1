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
	"pollenscale/internal/settings"
	"pollenscale/io/caller"
	"pollenscale/io/peer"
	"pollenscale/io/target"

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

	slots    *serve.Slots
	peers    *peerList
	sequence atomic.Uint64
	callerL  net.Listener
	peerL    net.Listener
}

// Option changes a daemon as it is built.
type Option func(*Daemon)

// WithLog sets the logger.
func WithLog(log *slog.Logger) Option {
	return func(d *Daemon) { d.Log = log }
}

// New builds a daemon and opens its ports. The daemon does not serve before Run.
func New(s *settings.Settings, options ...Option) (*Daemon, error) {
	d := &Daemon{Settings: s, Log: slog.Default(), State: &serve.State{}}
	for _, o := range options {
		o(d)
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.Own = fleet.Target{
		Daemon:        s.Daemon,
		Incarnation:   fleet.Incarnation(time.Now().UnixNano()),
		PeerAddress:   d.peerL.Addr().String(),
		GossipAddress: s.GossipAddress,
		Place:         fleet.Place{Region: s.Region, AvailabilityZone: s.AvailabilityZone},
		Service:       s.Target.Service,
		Slots:         s.Target.Slots,
	}
	d.State.Changed = func(state fleet.State) {
		d.Log.Info("target: state changed.", "state", state)
	}
	d.buildTargetSide()
	d.buildEntrySide()
	d.buildServers()
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
	return nil
}

func (d *Daemon) buildTargetSide() {
	d.Attempts = &attempt.Table{Own: d.Own.Incarnation}
	d.slots = serve.NewSlots(d.Own.Slots)
	d.Target = target.New(d.Settings.Target.Address)
	d.Target.SeenState = d.State.Sign
	d.Serve = &serve.Server{
		Service:  d.Own.Service,
		Attempts: d.Attempts,
		Acquire:  d.slots.Acquire,
		Call:     d.Target.Call,
		Load:     d.Load,
		State:    d.State.Get,
	}
}

func (d *Daemon) buildEntrySide() {
	d.Peer = peer.NewClient()
	d.peers = newPeerList(d.Settings, d.Own, time.Now)
	d.peers.probe = d.probe
	d.Dispatch = &dispatch.Dispatcher{
		Policy:  func() *policy.Set { return d.Settings.Policy },
		Opener:  &attempt.Opener{Daemon: d.Own.Daemon, Incarnation: d.Own.Incarnation},
		Choose:  d.peers.choose,
		Begin:   d.peers.begin,
		Observe: d.peers.observe,
		Send:    d.send,
		Settle:  d.settle,
	}
	d.Serve.Own = d.Dispatch.Own
}

func (d *Daemon) buildServers() {
	d.PeerSide = &peer.Server{Invoke: d.Serve.Invoke, Settle: d.Attempts.Settle, Load: d.Load}
	d.PeerSide.Start()
	d.Caller = &caller.Server{Do: d.Dispatch.Do, Log: d.Log}
	d.Caller.Start()
}

// Load returns the current load of the target.
func (d *Daemon) Load() fleet.Load {
	return d.slots.Load(fleet.Load{
		Daemon:      d.Own.Daemon,
		Incarnation: d.Own.Incarnation,
		Sequence:    d.sequence.Add(1),
		State:       d.State.Get(),
	})
}

// send makes an attempt, without the network if the target is beside this
// daemon.
func (d *Daemon) send(ctx context.Context, t fleet.Target, ref attempt.Ref, r *call.Request) (*call.Answer, error) {
	if t.Daemon != d.Own.Daemon {
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

func (d *Daemon) probe(ctx context.Context, address string, service fleet.Service) (fleet.Load, error) {
	if address == d.Own.PeerAddress {
		return d.Load(), nil
	}
	return d.Peer.Probe(ctx, address, service)
}

// Run serves until ctx ends, and then stops gracefully: the target takes no new
// work, callers are asked to leave, and work under way completes.
func (d *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var g run.Group
	d.addServer(&g, "peer", func() error { return d.PeerSide.Serve(d.peerL) }, d.PeerSide.Close)
	d.addServer(&g, "caller", func() error { return d.Caller.Serve(d.callerL) }, d.Caller.Close)
	g.Add(func() error { return d.peers.run(background) }, func(error) { stop() })
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
	d.Log.Info("daemon: serving.", "callers", d.CallerAddress(), "peers", d.Own.PeerAddress, "incarnation", d.Own.Incarnation)
	err := g.Run()
	d.Peer.Close()
	d.Target.Close()
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
			d.Log.Debug("daemon: closing failed.", "part", part, "error", err)
		}
	})
}

// sweep removes the state of silent entries.
func (d *Daemon) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.Attempts.Sweep()
		}
	}
}

// watchTarget reads the target's health.
func (d *Daemon) watchTarget(ctx context.Context) error {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		d.checkTarget(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (d *Daemon) checkTarget(ctx context.Context) {
	health, err := d.Target.Health(ctx, d.Settings.Target.HealthPath)
	if err == nil {
		d.State.Report(health.State, health.Instance)
		return
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		d.State.Unreachable()
	}
}
