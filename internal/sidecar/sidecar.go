// Package sidecar implements the daemon that runs beside a target, in a deployment
// where the daemons discover each other through a shared table store. It applies the
// decision logic of the core packages along the path of a request: from the client to
// the daemon that receives it (the entry), to the daemon beside the chosen target, and
// to the target.
package sidecar

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"pollenscale/core/admit"
	"pollenscale/core/attempt"
	"pollenscale/core/budget"
	"pollenscale/core/choice"
	"pollenscale/core/fleet"
	"pollenscale/core/freshness"
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
	"pollenscale/io/client"
	"pollenscale/io/http1"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"golang.org/x/sync/singleflight"
)

// Sidecar is the daemon. Create one with New.
type Sidecar struct {
	protocol     Protocol
	tables       store.Tables
	log          *slog.Logger
	omittedLines func() uint64
	now          func() time.Time
	bootTime     func() freshness.Instant // counts also while the VM is suspended

	settings       atomic.Pointer[Settings]
	id             fleet.DaemonID
	ownIncarnation atomic.Uint64

	config           route.Holder
	freshness        configFreshness
	roster           *roster.Roster
	chooser          *choice.Chooser
	sentAttempts     attempt.Sequencer
	receivedAttempts attempt.Table
	announcer        *announce.Node

	localTarget localtarget.State
	poison      *poison.List
	marksOf     atomic.Pointer[fleet.Service] // whose marks of requests that crash targets are known
	limit       *limit.Limit
	queue       *admit.Queue
	targetPool  atomic.Pointer[http1.Pool]

	slowdown        slowdown.Tracker
	serviceTimes    worktime.Estimator
	probeGroup      singleflight.Group
	slowdownStarted chan struct{} // wakes probeWhileSlowed
	targetReport    targetReport
	coldTarget      coldTarget
	evacuations     evacuations
	lineage         retry.Lineage
	hanging         hanging

	mu           sync.Mutex
	peerPools    map[string]*http1.Pool
	retryBudgets map[fleet.Service]*retry.FleetBudget

	servers        []server // callers first, then peers
	publisher      publisher
	storeEra       *storeEra
	fetchRequests  chan fetchRequest // newer state to be read from other daemons
	watching       atomic.Bool       // this daemon watches the store for changes
	startedAt      time.Time
	restarted      atomic.Bool // the store has a record of an earlier process
	joined         atomic.Bool // the records of the other daemons have been read
	stopping       atomic.Bool
	stopsAt        atomic.Pointer[time.Time] // when requests in progress are cut off, nil unless stopping
	activeRequests atomic.Int64              // requests in progress that callers sent to this daemon
	activeAttempts atomic.Int64              // attempts in progress at the target
	meters         meters
	quotas         *quotas
	account        *budget.Account // of what clients occupy
	guard          *client.Guard
	longBodies     atomic.Int64 // runs at the target whose bodies are passed on as they arrive
}

// Option configures a daemon that New creates.
type Option func(*Sidecar)

// WithTables sets the store.
func WithTables(t store.Tables) Option { return func(s *Sidecar) { s.tables = t } }

// WithLog sets the logger; the default is slog.Default.
func WithLog(l *slog.Logger) Option { return func(s *Sidecar) { s.log = l } }

// WithOmittedLines sets the function that returns the number of omitted log lines.
func WithOmittedLines(count func() uint64) Option { return func(s *Sidecar) { s.omittedLines = count } }

// WithBootTime sets the clock that dates proofs; the default is the boot-time clock of the
// system.
func WithBootTime(now func() freshness.Instant) Option { return func(s *Sidecar) { s.bootTime = now } }

// New returns a daemon with the given settings.
func New(settings Settings, p Protocol, options ...Option) *Sidecar {
	s := &Sidecar{
		protocol: p, log: slog.Default(), omittedLines: func() uint64 { return 0 }, now: time.Now, bootTime: bootTime,
		id:              fleet.DaemonID(settings.PeerAddress()),
		limit:           limit.NewWarm(1),
		peerPools:       make(map[string]*http1.Pool),
		retryBudgets:    make(map[fleet.Service]*retry.FleetBudget),
		fetchRequests:   make(chan fetchRequest, 4),
		slowdownStarted: make(chan struct{}, 1),
		storeEra:        newStoreEra(),
		hanging:         hanging{wake: make(chan struct{}, 1)},
	}
	for _, o := range options {
		o(s)
	}
	s.settings.Store(&settings)
	s.startedAt = s.now()
	s.coldTarget = newColdTarget(s.startedAt)
	s.evacuations.enabled, s.evacuations.OnChange = settings.Evacuation > 0, s.evacuationsChanged
	s.meters = s.newMeters()
	s.quotas = s.newQuotas()
	s.setAccount(budget.New(budget.LimitsOf(settings.Memory, settings.Descriptors)))
	s.publisher.wake = make(chan struct{}, 1)
	s.ownIncarnation.Store(uint64(time.Now().UnixNano()))
	s.sentAttempts.Daemon = s.id
	s.sentAttempts.Incarnation, s.receivedAttempts.Incarnation = s.incarnation(), s.incarnation()
	s.chooser = choice.New(settings.Place)
	s.roster = roster.New(s.id)
	s.roster.OnChange = s.updateTargets
	s.queue = admit.New(queueRanks(), s.limit, admit.WithRate(&s.targetReport.rate), admit.WithColdLimit(s.coldTarget.Limit))
	s.poison = s.newPoisonList()
	s.config.OnChange = s.configChanged
	s.setTarget(settings.Target)
	return s
}

// Run serves until ctx ends or the process receives SIGTERM or SIGINT.
func (s *Sidecar) Run(ctx context.Context) error {
	settings := s.settings.Load()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	servers, err := s.listen(settings)
	if err != nil {
		return err
	}
	announcer, err := announce.Listen(settings.ListenAnnounce)
	if err != nil {
		return errors.CombineErrors(err, closeListeners(servers))
	}
	s.setAnnouncer(announcer)
	s.localTarget.AwaitMemory()

	var group run.Group
	add := func(f func(context.Context) error) {
		group.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	s.servers = servers
	for _, v := range servers {
		group.Add(func() error { return v.serve(ctx) }, func(error) {
			cancel()
			if err := v.Close(); err != nil {
				s.log.Warn("daemon: closing a listener failed.", "error", err)
			}
		})
	}
	group.Add(announcer.Receive, func(error) {
		if err := announcer.Close(); err != nil {
			s.log.Warn("daemon: closing the announce socket failed.", "error", err)
		}
	})
	add(announcer.Resend)
	add(s.watchConfig)
	add(s.askForProofs)
	add(s.readForProofs)
	add(s.maintainMembers)
	add(s.publishChanges)
	add(s.runFetches)
	add(s.probeWhileSlowed)
	add(s.watchColdness)
	add(s.probeForeign)
	add(s.handleSignals)
	add(s.runQuotas)
	add(func(ctx context.Context) error { return wait.Every(ctx, queueRefreshInterval, s.refreshQueue) })
	add(func(ctx context.Context) error { return wait.Every(ctx, sweepInterval, s.sweep) })
	add(func(ctx context.Context) error {
		return wait.Every(ctx, rateRecheckInterval, func() { s.recheckRateLimit(ctx) })
	})
	add(func(ctx context.Context) error { return wait.Every(ctx, settingsCheckInterval, s.checkSettings) })
	s.log.Info("daemon: started.", "daemon", s.id, "incarnation", s.incarnation(), "zone", settings.Place.AvailabilityZone)
	err = group.Run()
	s.log.Info("daemon: stopped.", "reason", err)
	if s.stopping.Load() || ctx.Err() != nil {
		return nil
	}
	return err
}

// setAnnouncer connects the daemon with the socket for messages to other daemons.
func (s *Sidecar) setAnnouncer(a *announce.Node) {
	s.announcer = a
	a.LocalMessage = s.ownMessage
	a.OnRecord = s.handleMessage
	a.OnAlive = s.roster.MarkReachable
	a.OnRelayFailure = s.substituteRelay
	a.OnConfigVersion = s.noteConfigVersion
	a.OnEvacuation = s.offerEvacuations
	a.ProofAge = s.proofAge
	a.OnAnswer = s.applyAnswer
	a.OnError = func(err error) { s.log.Debug("announce: socket or datagram error.", "error", err) }
}

const (
	// queueRefreshInterval is how often the deadlines of queued requests are checked.
	queueRefreshInterval = 20 * time.Millisecond
	// settingsCheckInterval is how often the settings are read again: they can change
	// without a signal to the daemon.
	settingsCheckInterval = 2 * time.Second
	// sweepInterval is how often idle connections, unreachable daemons and expired
	// records are checked.
	sweepInterval = 500 * time.Millisecond
)

func (s *Sidecar) refreshQueue() {
	if s.activeAttempts.Load() > 0 {
		s.queue.Refresh()
	}
}

func (s *Sidecar) sweep() {
	for _, address := range s.roster.DueProbes() {
		s.announcer.Probe(address)
	}
	if gone := s.roster.Forget(); len(gone) > 0 {
		s.log.Info("member: forgotten.", "daemons", gone)
	}
	s.mu.Lock()
	pools := make([]*http1.Pool, 0, len(s.peerPools)+1)
	for _, p := range s.peerPools {
		pools = append(pools, p)
	}
	s.mu.Unlock()
	pools = append(pools, s.targetPool.Load())
	for _, p := range pools {
		p.CloseExpired()
	}
}

// setTarget sets the address of the target beside the daemon and closes connections to
// the previous address.
func (s *Sidecar) setTarget(address string) {
	pool := http1.New(address)
	pool.OnDial = s.meters.targetDials.Inc
	if old := s.targetPool.Swap(pool); old != nil {
		old.Close()
	}
}

// peerPool returns the connection pool for the daemon at the address.
func (s *Sidecar) peerPool(address string) *http1.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peerPools[address]
	if p == nil {
		p = http1.New(address)
		s.peerPools[address] = p
	}
	return p
}

// retryBudget returns the retry budget of the service.
func (s *Sidecar) retryBudget(service fleet.Service) *retry.FleetBudget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.retryBudgets[service]
	if b == nil {
		limits := s.settings.Load().RetryBudget
		b = retry.NewFleetBudget(limits, s.budgetShares)
		b.Now, b.ExtraFrom = s.now, s.startedAt.Add(limits.Window)
		s.retryBudgets[service] = b
		s.meters.exportRetries(service, b)
	}
	return b
}

// budgetShares returns the number of daemons among which the extra retries of the fleet
// are divided. A daemon that has not read the records of the others does not know their
// number and uses none of the extra retries.
func (s *Sidecar) budgetShares() int {
	if !s.joined.Load() {
		return 0
	}
	return s.roster.Len()
}

// asOutcomeError returns err as an outcome error; any other error means that the
// outcome is unknown.
func asOutcomeError(err error) *outcome.Error {
	if e, ok := err.(*outcome.Error); ok { //nolint:errorlint // admission and choice return it unwrapped
		return e
	}
	return outcome.New(outcome.Unknown, outcome.TargetFailed, err.Error())
}
