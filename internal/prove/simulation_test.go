package prove

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"strconv"
	"sync"
	"time"

	"pollenscale/core/attempt"
	"pollenscale/core/fleet"
	"pollenscale/core/idempotency"
	"pollenscale/core/invariant"
	"pollenscale/core/lease"
	"pollenscale/core/poison"
	"pollenscale/core/upload"
	"pollenscale/standin/memstore"

	"golang.org/x/sync/errgroup"
)

const (
	service    = fleet.Service("reservas")
	hostCount  = 4
	faultPhase = 4 * time.Minute // during which calls are made and faults occur
	// recoveryPhase is the time without faults for deliveries to complete. It is longer
	// than poison.ForgetAfter, since an upload that was in flight at a crash is a
	// suspect, which only one target takes until it is forgotten.
	recoveryPhase = 12 * time.Minute
)

// simulation is the state of one run: VMs with daemons and targets, a store, a network, callers.
type simulation struct {
	seed  uint64
	ctx   context.Context
	group *errgroup.Group
	store *memstore.Store
	hosts []*host
	start time.Time
	// smallTables makes key tables evict keys during the run.
	smallTables bool

	mu               sync.Mutex
	random           *rand.Rand
	storeClockOffset time.Duration
	partitions       map[[2]int]int // number of faults that block the direction
	lossProbability  float64
	lateProbability  float64
	violations       []string
	executions       []execution
	calls            []*call
	uploads          []*uploadCopy
	crashes          map[poison.Fingerprint]*poisonCrashes
}

// execution is one execution at a target.
type execution struct {
	callID int // call copy, or 0
	key    idempotency.Key
	upload string
	body   string
}

func newSimulation(ctx context.Context, seed uint64) *simulation {
	w := &simulation{
		seed:       seed,
		start:      time.Now(),
		random:     rand.New(rand.NewPCG(seed, 0)),
		partitions: map[[2]int]int{},
		crashes:    map[poison.Fingerprint]*poisonCrashes{},
	}
	w.group, w.ctx = errgroup.WithContext(ctx)
	w.smallTables = w.random.IntN(3) == 0
	w.store = memstore.New(memstore.WithSeed(seed), memstore.WithNow(w.storeNow))
	for i := range hostCount {
		h := &host{world: w, index: i, id: fleet.DaemonID("d" + strconv.Itoa(i))}
		h.random = rand.New(rand.NewPCG(seed, uint64(100+i)))
		w.hosts = append(w.hosts, h)
	}
	for _, h := range w.hosts {
		h.startProcess()
	}
	return w
}

func (w *simulation) storeNow() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Add(w.storeClockOffset)
}

// randomFloat draws from the random numbers of the run.
func (w *simulation) randomFloat() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64()
}

func (w *simulation) randomInt(n int) int {
	return int(w.randomFloat() * float64(n))
}

func (w *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.randomFloat()*float64(high-low))
}

func (w *simulation) addViolation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func (w *simulation) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-w.ctx.Done():
		return false
	}
}

func (w *simulation) spawn(f func()) {
	w.group.Go(func() error {
		f()
		return nil
	})
}

// host is a VM with a target and successive daemon processes.
type host struct {
	world  *simulation
	index  int
	id     fleet.DaemonID
	target target

	mu           sync.Mutex
	random       *rand.Rand
	process      *process
	paused       chan struct{} // closed when the pause ends; nil when running
	wallOffset   time.Duration
	monotonicLag time.Duration
	starts       int
}

func (h *host) currentProcess() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// process is one incarnation of a daemon.
type process struct {
	host        *host
	incarnation fleet.Incarnation
	ctx         context.Context
	cancel      context.CancelFunc
	attempts    *attempt.Table
	sequencer   *attempt.Sequencer
	fencing     fencingTokens
	holder      *lease.Holder
	recorder    *idempotency.Recorder
	tables      map[lease.Name]*idempotency.Table
	poison      *poison.List
	uploads     *upload.Queue

	mu             sync.Mutex
	uploadSequence uint64 // of ids of uploads
	openUploads    map[upload.Attempt]attempt.OpenAttempt
}

// startProcess starts a new process, unless one runs already.
func (h *host) startProcess() {
	w := h.world
	if h.currentProcess() != nil {
		return
	}
	p := &process{host: h, tables: map[lease.Name]*idempotency.Table{}}
	p.fencing.tokens = map[lease.Name]lease.Token{}
	p.openUploads = map[upload.Attempt]attempt.OpenAttempt{}
	p.ctx, p.cancel = context.WithCancel(w.ctx)
	h.mu.Lock()
	h.starts++
	p.incarnation = fleet.Incarnation(h.starts)
	p.attempts = &attempt.Table{Incarnation: p.incarnation}
	p.sequencer = &attempt.Sequencer{Daemon: h.id, Incarnation: p.incarnation}
	h.process = p
	h.mu.Unlock()
	names := make([]lease.Name, idempotency.KeySlots)
	for i := range names {
		names[i] = idempotency.LeaseName(service, i)
	}
	tables := p.gatedTables(w.store.Tables())
	p.holder = lease.New(tables, h.id, p.incarnation,
		lease.WithClock(p.clock),
		lease.WithRandom(h.randomFloat),
		lease.WithVacant(func() []lease.Name { return append([]lease.Name(nil), names...) }),
		lease.WithFleetSize(func() int { return hostCount }))
	p.recorder = idempotency.NewRecorder(tables, h.id, p.incarnation)
	for _, name := range names {
		options := []idempotency.Option{idempotency.WithClock(p.clock), idempotency.WithRecorder(p.recorder)}
		if w.smallTables {
			options = append(options, idempotency.WithBounds(4, 100, 300))
		}
		p.tables[name] = idempotency.New(name, p.grant, options...)
	}
	p.startPoison()
	p.startUploadQueue(tables)
	p.spawn(func() { _ = p.holder.Run(p.ctx) })
	p.spawn(func() { _ = p.recorder.Run(p.ctx) })
	p.spawn(func() { _ = p.uploads.Run(p.ctx) })
}

func (h *host) randomFloat() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.Float64()
}

// kill ends the process without a shutdown.
func (h *host) kill() {
	h.mu.Lock()
	p := h.process
	h.process = nil
	h.mu.Unlock()
	if p != nil {
		p.cancel()
	}
}

// stop shuts the process down gracefully.
func (h *host) stop() {
	p := h.currentProcess()
	if p == nil {
		return
	}
	p.runAndWait(func() {
		ctx, cancel := context.WithTimeout(p.ctx, 20*time.Second)
		defer cancel()
		_ = p.uploads.Drain(ctx)
		for name, table := range p.tables {
			upTo := table.Drain(ctx)
			p.randomDelay()
			_ = p.holder.Release(ctx, name, upTo)
		}
	})
	h.kill()
}

// pause suspends the process. With stopClocks, the hypervisor stops both clocks
// too, and the wall clock is corrected a second after the pause.
func (h *host) pause(d time.Duration, stopClocks bool) {
	h.mu.Lock()
	if h.paused != nil {
		h.mu.Unlock()
		return
	}
	resumed := make(chan struct{})
	h.paused = resumed
	h.mu.Unlock()
	h.world.sleep(d)
	h.mu.Lock()
	h.paused = nil
	if stopClocks {
		h.monotonicLag += d
		h.wallOffset -= d
	}
	h.mu.Unlock()
	close(resumed)
	if stopClocks {
		h.world.sleep(time.Second)
		h.stepClock(d)
	}
}

func (h *host) stepClock(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wallOffset += d
}

func (h *host) readClocks() lease.Reading {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	return lease.Reading{Monotonic: now.Sub(h.world.start) - h.monotonicLag, Wall: now.Add(h.wallOffset).Round(0)}
}

// spawn runs f as part of the process. The goroutines of a killed process exit at
// their next checkpoint.
func (p *process) spawn(f func()) {
	p.host.world.spawn(f)
}

// runAndWait runs f as part of the process and waits until f returns or the process
// ends. It reports whether f returned.
func (p *process) runAndWait(f func()) bool {
	finished := make(chan bool, 1)
	p.spawn(func() {
		complete := false
		defer func() { finished <- complete }()
		f()
		complete = true
	})
	select {
	case complete := <-finished:
		return complete
	case <-p.ctx.Done():
		return false
	}
}

// checkpoint blocks while the process is paused, and exits the goroutine if the
// process was killed.
func (p *process) checkpoint() {
	for {
		p.host.mu.Lock()
		paused := p.host.paused
		p.host.mu.Unlock()
		if p.ctx.Err() != nil {
			runtime.Goexit()
		}
		if paused == nil {
			return
		}
		select {
		case <-paused:
		case <-p.ctx.Done():
		}
	}
}

// randomDelay sleeps up to 3 ms, so that faults can occur between any two actions.
func (p *process) randomDelay() {
	p.host.world.sleep(time.Duration(p.host.randomFloat() * float64(3*time.Millisecond)))
	p.checkpoint()
}

// clock reads the clocks. A pause may follow the reading at once.
func (p *process) clock() lease.Reading {
	r := p.host.readClocks()
	p.checkpoint()
	return r
}

func (p *process) grant(name lease.Name) (lease.Grant, bool) {
	g, ok := p.holder.Grant(name)
	p.randomDelay()
	return g, ok
}

func (p *process) nextSequence() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.uploadSequence++
	return p.uploadSequence
}

func discardLogger() *slog.Logger {
	return slog.New(slog.DiscardHandler)
}

// recordInvariantViolations adds invariant violations to those of the run.
func (w *simulation) recordInvariantViolations() (restore func()) {
	return invariant.SetHandler(func(name invariant.Name, detail string) {
		w.addViolation("invariant %s: %s", name, detail)
	})
}
