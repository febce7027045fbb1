// Package target is a stand-in for a target: a server with a number of slots
// and a service time, that can drain, start cold, shed, crash, and report its
// load late or falsely.
//
// Requests can ask for a behaviour of their own through header fields, so that
// tests need no side channel. Each request that runs is kept in a log.
package target

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	iotarget "pollenscale/io/target"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// Header fields by which a request asks for a behaviour.
const (
	// HeaderServiceTime is the time to serve the request, as a Go duration.
	HeaderServiceTime = "Standin-Service-Time"
	// HeaderAnswerBytes is the size of the answer.
	HeaderAnswerBytes = "Standin-Answer-Bytes"
	// HeaderChunked leaves the size of the answer out.
	HeaderChunked = "Standin-Chunked"
	// HeaderCutAfter cuts the answer off after a number of bytes.
	HeaderCutAfter = "Standin-Cut-After"
	// HeaderCrash crashes the target.
	HeaderCrash = "Standin-Crash"
	// HeaderID names the request in the log.
	HeaderID = "Standin-Id"
	// HeaderNonce names the request in the run log and comes back in the answer.
	HeaderNonce = "Nonce"
)

// logEntries bounds the log; the oldest entries are dropped.
const logEntries = 100000

// runEntries bounds the run log; later runs are not recorded, since readers
// rely on its start to stay the same.
const runEntries = 1000000

// Behaviour is how the target behaves. Lengths are Go durations in JSON as
// numbers of milliseconds.
type Behaviour struct {
	Slots fleet.Slots
	// ServiceMilliseconds is the mean service time; Spread varies it by up to
	// this share of it in both directions.
	ServiceMilliseconds float64
	Spread              float64
	// SlowFactor multiplies service times; 0 means 1.
	SlowFactor float64
	// ColdMilliseconds is how long after the start service takes ColdFactor as
	// long.
	ColdMilliseconds float64
	ColdFactor       float64
	// Shed refuses requests beyond the slots instead of letting them wait.
	Shed bool
	// FailFast answers each request with status 500 at once.
	FailFast bool
	// Draining refuses new requests as not run and shows it.
	Draining bool
	// HealthLagMilliseconds is the age of health reports.
	HealthLagMilliseconds float64
	// HealthState and HealthRunning, if set, are reported instead of the truth.
	HealthState   fleet.State
	HealthRunning *uint32
	// HealthDown makes the health endpoint fail.
	HealthDown bool
}

// LogEntry is one entry of the log.
type LogEntry struct {
	ID     string
	Key    string
	Method string
	URI    string
	// BodyBytes is how much of the request body arrived.
	BodyBytes int64
	At        time.Time
	// End is Done, Cancelled, CutOff or Crashed.
	End string
}

// Run is one entry of the run log at /runs, which load tests read to count how
// often a request ran.
type Run struct {
	Nonce  string
	Key    string
	Method string
	Path   string
	Status int
}

// Target is the stand-in. It is an http.Handler.
type Target struct {
	// Crash ends the process or, in tests, closes the listener.
	Crash func()

	instance string
	started  time.Time
	slots    chan struct{}

	mu        sync.Mutex
	behaviour Behaviour
	log       []LogEntry
	runs      []Run
	reports   []report
}

// report is the health at some moment.
type report struct {
	at     time.Time
	health iotarget.Health
}

// New returns a target with the given behaviour. Its slots are fixed.
func New(b Behaviour) *Target {
	return &Target{
		instance:  uuid.NewString(),
		started:   time.Now(),
		slots:     make(chan struct{}, max(1, b.Slots)),
		behaviour: b,
	}
}

// UpdateBehaviour changes the behaviour.
func (t *Target) UpdateBehaviour(change func(*Behaviour)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.behaviour)
}

// Log returns the requests that ran, in the order of their start.
func (t *Target) Log() []LogEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]LogEntry(nil), t.log...)
}

// Running returns the number of occupied slots.
func (t *Target) Running() int {
	return len(t.slots)
}

// Runs returns the runs that have ended, in the order of their end.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run{}, t.runs...)
}

// ServeHTTP serves a request, or the endpoints /health, /runs, /standin/log and
// /standin/behaviour.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		t.serveHealth(w)
	case "/standin/log":
		t.writeJSON(w, t.Log())
	case "/runs":
		t.writeJSON(w, t.Runs())
	case "/standin/behaviour":
		t.serveBehaviour(w, r)
	default:
		t.serve(w, r)
	}
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	b := t.current()
	if b.Draining {
		w.Header().Set(iotarget.HeaderState, string(fleet.Draining))
		t.shed(w)
		return
	}
	if b.FailFast {
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	if !t.acquire(r, b.Shed) {
		t.shed(w)
		return
	}
	defer func() { <-t.slots }()
	t.run(w, r, b)
}

// acquire takes a slot, waiting for it unless shed is set.
func (t *Target) acquire(r *http.Request, shed bool) bool {
	select {
	case t.slots <- struct{}{}:
		return true
	default:
	}
	if shed {
		return false
	}
	select {
	case t.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (t *Target) shed(w http.ResponseWriter) {
	w.Header().Set(iotarget.HeaderOutcome, string(outcome.NotRun))
	http.Error(w, "shed", http.StatusServiceUnavailable)
}

// run serves an admitted request.
func (t *Target) run(w http.ResponseWriter, r *http.Request, b Behaviour) {
	entry := t.begin(r)
	if r.Header.Get(HeaderCrash) != "" {
		t.end(entry, "Crashed", 0)
		t.record(r, 0)
		t.Crash()
		panic(http.ErrAbortHandler)
	}
	status := 0
	defer func() { t.record(r, status) }()
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		t.end(entry, "CutOff", size)
		panic(http.ErrAbortHandler)
	}
	if !t.work(r, b) {
		t.end(entry, "Cancelled", size)
		panic(http.ErrAbortHandler)
	}
	if b.Draining || t.current().Draining {
		w.Header().Set(iotarget.HeaderState, string(fleet.Draining))
	}
	if err := t.answer(w, r, size); err != nil {
		t.end(entry, "CutOff", size)
		panic(http.ErrAbortHandler)
	}
	t.end(entry, "Done", size)
	status = http.StatusOK
}

// record adds a run that has ended to the run log.
func (t *Target) record(r *http.Request, status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.runs) >= runEntries {
		return
	}
	t.runs = append(t.runs, Run{
		Nonce:  r.Header.Get(HeaderNonce),
		Key:    r.Header.Get("Idempotency-Key"),
		Method: r.Method,
		Path:   r.URL.Path,
		Status: status,
	})
}

// work takes the service time. It returns false when the request was cancelled
// or its deadline passed.
func (t *Target) work(r *http.Request, b Behaviour) bool {
	d := t.serviceTime(r, b)
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	deadline, stop := deadline(r)
	defer stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	case <-deadline:
		return false
	}
}

// deadline returns a channel that delivers at the request's deadline.
func deadline(r *http.Request) (<-chan time.Time, func()) {
	at, err := time.Parse(time.RFC3339Nano, r.Header.Get(iotarget.HeaderDeadline))
	if err != nil {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Until(at))
	return timer.C, func() { timer.Stop() }
}

func (t *Target) serviceTime(r *http.Request, b Behaviour) time.Duration {
	if d, err := time.ParseDuration(r.Header.Get(HeaderServiceTime)); err == nil {
		return d
	}
	ms := b.ServiceMilliseconds * (1 + b.Spread*(2*rand.Float64()-1))
	if b.SlowFactor > 0 {
		ms *= b.SlowFactor
	}
	if time.Since(t.started) < milliseconds(b.ColdMilliseconds) {
		ms *= max(1, b.ColdFactor)
	}
	return milliseconds(ms)
}

// answer writes the identity of the request, padded to the wanted size.
func (t *Target) answer(w http.ResponseWriter, r *http.Request, received int64) error {
	text := fmt.Sprintf("id=%s received=%d\n", r.Header.Get(HeaderID), received)
	size, err := strconv.ParseInt(r.Header.Get(HeaderAnswerBytes), 10, 64)
	if err != nil {
		size = int64(len(text))
	}
	if nonce := r.Header.Get(HeaderNonce); nonce != "" {
		w.Header().Set(HeaderNonce, nonce)
	}
	if r.Header.Get(HeaderChunked) == "" {
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	} else if err := http.NewResponseController(w).Flush(); err != nil {
		return err
	}
	cut, err := strconv.ParseInt(r.Header.Get(HeaderCutAfter), 10, 64)
	if err != nil {
		cut = size
	}
	if _, err := io.CopyN(w, io.MultiReader(newText(text), zeros{}), cut); err != nil {
		return err
	}
	if cut >= size {
		return nil
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		return err
	}
	return errors.New("cut off on request")
}

func (t *Target) begin(r *http.Request) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.log) >= logEntries {
		t.log = append(t.log[:0], t.log[logEntries/2:]...)
	}
	t.log = append(t.log, LogEntry{
		ID:     r.Header.Get(HeaderID),
		Key:    r.Header.Get("Idempotency-Key"),
		Method: r.Method,
		URI:    r.RequestURI,
		At:     time.Now(),
	})
	return len(t.log) - 1
}

func (t *Target) end(entry int, how string, size int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if entry < len(t.log) {
		t.log[entry].End, t.log[entry].BodyBytes = how, size
	}
}

func (t *Target) current() Behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.behaviour
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

func (t *Target) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// serveBehaviour changes the fields of the behaviour that the body names.
func (t *Target) serveBehaviour(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err == nil && len(data) > 0 {
		t.UpdateBehaviour(func(b *Behaviour) { err = json.Unmarshal(data, b) })
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.writeJSON(w, t.current())
}
