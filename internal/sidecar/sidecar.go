// Package sidecar is the daemon beside a target on a fleet whose daemons meet
// in a store. It assembles the decisions of core into the path of a request:
// client, entry, target's daemon, target.
package sidecar

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pollenscale/core/admit"
	"pollenscale/core/attempt"
	"pollenscale/core/choice"
	"pollenscale/core/fleet"
	"pollenscale/core/limit"
	"pollenscale/core/localtarget"
	"pollenscale/core/outcome"
	"pollenscale/core/poison"
	"pollenscale/core/retry"
	"pollenscale/core/roster"
	"pollenscale/core/route"
	"pollenscale/core/slowdown"
	"pollenscale/core/store"
	"pollenscale/core/wait"
	"pollenscale/core/worktime"
	"pollenscale/io/announce"
	"pollenscale/io/http1"

	"github.com/oklog/run"
	"golang.org/x/sync/singleflight"
)

// Sidecar is the daemon. Use New.
type Sidecar struct {
	protocol Protocol
	tables   store.Tables
	log      *slog.Logger
	omitted  func() uint64
	now      func() time.Time

	settings atomic.Pointer[Settings]
	id       fleet.DaemonID
	started  atomic.Uint64 // own incarnation

	holder  route.Holder
	roster  *roster.Roster
	chooser *choice.Chooser
	opener  attempt.Opener
	table   attempt.Table
	node    *announce.Node

	local  localtarget.State
	poison *poison.List
	limit  *limit.Limit
	queue  *admit.Queue
	target atomic.Pointer[http1.Pool]

	slowdown  slowdown.Tracker
	worktimes worktime.Table
	probing   singleflight.Group
	slowed    chan struct{} // wakes followSlowdown
	asked     atomic.Bool   // whether the target reports its load

	mu      sync.Mutex
	peers   map[string]*http1.Pool
	budgets map[fleet.Service]*retry.Shared

	publisher publisher
	news      chan news   // what other daemons know more
	watching  atomic.Bool // the daemon waits for changes at the store
	startedAt time.Time
	joined    atomic.Bool // the records of the others were read
	stopping  atomic.Bool
	active    atomic.Int64 // requests under way at the entry
	served    atomic.Int64 // attempts under way at the target
	meters    meters
}

// Option changes a daemon under construction.
type Option func(*Sidecar)

// WithTables sets the store.
func WithTables(t store.Tables) Option { return func(s *Sidecar) { s.tables = t } }

// WithLog sets the logger.
func WithLog(l *slog.Logger) Option { return func(s *Sidecar) { s.log = l } }

// WithOmitted sets the function that counts the log lines that were left out.
func WithOmitted(count func() uint64) Option { return func(s *Sidecar) { s.omitted = count } }

// New returns a daemon with the given settings.
func New(settings Settings, p Protocol, options ...Option) *Sidecar {
	s := &Sidecar{
		protocol: p, log: slog.Default(), omitted: func() uint64 { return 0 }, now: time.Now,
		id:      fleet.DaemonID(settings.PeerAddress()),
		limit:   limit.NewWarm(1),
		peers:   make(map[string]*http1.Pool),
		budgets: make(map[fleet.Service]*retry.Shared),
		news:    make(chan news, 4),
		slowed:  make(chan struct{}, 1),
	}
	for _, o := range options {
		o(s)
	}
	s.settings.Store(&settings)
	s.startedAt = s.now()
	s.meters = s.newMeters()
	s.publisher.wake = make(chan struct{}, 1)
	s.started.Store(uint64(time.Now().UnixNano()))
	s.opener.Daemon = s.id
	s.opener.Incarnation, s.table.Own = s.incarnation(), s.incarnation()
	s.chooser = choice.New(settings.Place)
	s.roster = roster.New(s.id)
	s.roster.OnChange = s.refreshTargets
	s.queue = admit.New(ranks(), s.limit)
	s.poison = s.newPoison()
	s.holder.OnChange = s.configChanged
	s.setTarget(settings.Target)
	return s
}

// server is an HTTP server with its listener.
type server struct {
	*http.Server
	listener net.Listener
}

// Run serves until ctx ends or the process is told to stop.
func (s *Sidecar) Run(ctx context.Context) error {
	settings := s.settings.Load()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	node, err := announce.Listen(settings.Announce)
	if err != nil {
		return err
	}
	s.node = node
	node.LocalMessage = s.ownMessage
	node.OnRecord = s.received
	node.OnAlive = s.roster.Heard
	node.OnRelayFailure = s.relayLost
	node.OnConfigVersion = s.newerConfig
	node.OnError = func(err error) { s.log.Debug("announce: failed.", "error", err) }

	var group run.Group
	add := func(f func(context.Context) error) {
		group.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	servers, err := s.listen(settings)
	if err != nil {
		return err
	}
	for _, v := range servers {
		group.Add(func() error { return v.Serve(v.listener) }, func(error) {
			if err := v.Close(); err != nil {
				s.log.Warn("daemon: a listener did not close.", "error", err)
			}
		})
	}
	group.Add(node.Receive, func(error) {
		if err := node.Close(); err != nil {
			s.log.Warn("daemon: the announce socket did not close.", "error", err)
		}
	})
	add(node.Resend)
	add(s.watchConfig)
	add(s.keepMembers)
	add(s.publish)
	add(s.followNews)
	add(s.followSlowdown)
	add(s.handleSignals)
	add(func(ctx context.Context) error { return wait.Every(ctx, refreshInterval, s.refresh) })
	add(func(ctx context.Context) error { return wait.Every(ctx, sweepInterval, s.sweep) })
	add(func(ctx context.Context) error { return wait.Every(ctx, settingsInterval, s.checkSettings) })
	s.log.Info("daemon: started.", "daemon", s.id, "incarnation", s.incarnation(), "zone", settings.Place.AvailabilityZone)
	err = group.Run()
	s.log.Info("daemon: stopped.", "reason", err)
	if s.stopping.Load() || ctx.Err() != nil {
		return nil
	}
	return err
}

const (
	// refreshInterval is how often queued requests are checked for their deadline.
	refreshInterval = 20 * time.Millisecond
	// settingsInterval is how often the settings are looked at: they can change
	// without a signal.
	settingsInterval = 2 * time.Second
	// sweepInterval is how often idle connections and delays are checked.
	sweepInterval = 500 * time.Millisecond
)

func (s *Sidecar) refresh() {
	if s.served.Load() > 0 {
		s.queue.Refresh()
	}
}

func (s *Sidecar) sweep() {
	for _, address := range s.roster.Probes() {
		s.node.Probe(address)
	}
	if gone := s.roster.Forget(); len(gone) > 0 {
		s.log.Info("member: forgotten.", "daemons", gone)
	}
	s.mu.Lock()
	pools := make([]*http1.Pool, 0, len(s.peers)+1)
	for _, p := range s.peers {
		pools = append(pools, p)
	}
	s.mu.Unlock()
	pools = append(pools, s.target.Load())
	for _, p := range pools {
		p.CloseExpired()
	}
}

func (s *Sidecar) listen(settings *Settings) ([]server, error) {
	callers := &http.Server{
		Handler: http.HandlerFunc(s.serveCaller), ReadHeaderTimeout: defaultHeaderTimeout,
		MaxHeaderBytes: defaultHeaderBytes, IdleTimeout: callerIdleTimeout, DisableGeneralOptionsHandler: true,
	}
	parts := []struct {
		address string
		server  *http.Server
	}{
		{settings.Callers, callers},
		{settings.Peers, &http.Server{Handler: http.HandlerFunc(s.servePeer), IdleTimeout: peerIdleTimeout, ReadHeaderTimeout: defaultHeaderTimeout}},
		{settings.Ready, &http.Server{Handler: http.HandlerFunc(s.serveReady), ReadHeaderTimeout: defaultHeaderTimeout}},
		{settings.Control, &http.Server{Handler: http.HandlerFunc(s.serveControl), ReadHeaderTimeout: defaultHeaderTimeout}},
		{settings.Metrics, &http.Server{Handler: http.HandlerFunc(s.serveMetrics), ReadHeaderTimeout: defaultHeaderTimeout}},
	}
	var servers []server
	for _, p := range parts {
		listener, err := net.Listen("tcp4", p.address)
		if err != nil && p.address == settings.Metrics {
			s.log.Error("daemon: no metrics.", "address", p.address, "error", err)
			continue
		}
		if err != nil {
			return nil, err
		}
		p.server.ErrorLog = slog.NewLogLogger(s.log.Handler(), slog.LevelDebug)
		servers = append(servers, server{Server: p.server, listener: listener})
	}
	return servers, nil
}

const (
	// defaultHeaderTimeout and defaultHeaderBytes apply to connections; the
	// configuration's limits are checked per request.
	defaultHeaderTimeout = 5 * time.Second
	defaultHeaderBytes   = 64 << 10
	// callerIdleTimeout is above any idle limit of a configuration, so that the
	// daemon does not close a connection that a client still uses.
	callerIdleTimeout = 75 * time.Second
	// peerIdleTimeout is above the time for which daemons keep idle connections.
	peerIdleTimeout = 30 * time.Second
)

// handleSignals reloads settings and stops the daemon.
func (s *Sidecar) handleSignals(ctx context.Context) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return nil
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				s.reload()
				continue
			}
			s.log.Info("daemon: stopping.", "signal", sig.String())
			return s.stop(ctx)
		}
	}
}

// reload takes over settings that may change while the daemon runs.
func (s *Sidecar) reload() {
	next, err := s.protocol.ReadSettings()
	if err != nil {
		s.log.Error("daemon: the settings cannot be read; the old ones stay in force.", "error", err)
		return
	}
	old := s.settings.Swap(&next)
	if next.Target != old.Target {
		s.setTarget(next.Target)
	}
	s.log.Info("daemon: settings reloaded.", "service", next.Service, "target", next.Target)
}

// checkSettings reloads the settings if they have changed.
func (s *Sidecar) checkSettings() {
	if next, err := s.protocol.ReadSettings(); err == nil && !next.Equal(s.settings.Load()) {
		s.reload()
	}
}

// setTarget changes the address of the target beside the daemon.
func (s *Sidecar) setTarget(address string) {
	pool := http1.New(address)
	pool.OnDial = s.meters.targetDials.Inc
	if old := s.target.Swap(pool); old != nil {
		old.Close()
	}
}

// peer returns the pool of connections to another daemon.
func (s *Sidecar) peer(address string) *http1.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[address]
	if p == nil {
		p = http1.New(address)
		s.peers[address] = p
	}
	return p
}

// budget returns the retry budget of a service.
func (s *Sidecar) budget(service fleet.Service) *retry.Shared {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[service]
	if b == nil {
		b = retry.NewShared(s.settings.Load().Retries, s.roster.Len)
		s.budgets[service] = b
	}
	return b
}

// asOutcome returns err as an outcome.
func asOutcome(err error) *outcome.Error {
	if e, ok := err.(*outcome.Error); ok { //nolint:errorlint // admission and choice return it unwrapped
		return e
	}
	return outcome.New(outcome.Unknown, outcome.TargetFailed, err.Error())
}
