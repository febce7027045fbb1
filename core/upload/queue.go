package upload

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/invariant"
	"pollenscale/core/outcome"
	"pollenscale/core/store"
	"pollenscale/core/wait"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

const (
	// claimDuration is how long a claim prevents other daemons from claiming the
	// record. They settle its attempt before they take over, so the duration
	// affects the delay after a crash, but not correctness.
	claimDuration = 30 * time.Second
	// settleTimeout is how long after the expiry of a claim its attempt is settled
	// with a daemon that does not respond. After that the outcome is Unknown.
	settleTimeout = 10 * time.Minute
	// maxListed is the maximum number of records that one poll lists.
	maxListed = 64
	// minPollInterval and maxPollInterval limit the mean pause between polls.
	// pollIntervalPerDaemon scales it with the fleet, so that 3,400 daemons make
	// about 110 reads a second.
	minPollInterval       = 500 * time.Millisecond
	maxPollInterval       = 30 * time.Second
	pollIntervalPerDaemon = 10 * time.Millisecond
	// minRedeliveryDelay and maxRedeliveryDelay limit the exponential backoff
	// after a delivery that failed.
	minRedeliveryDelay = time.Second
	maxRedeliveryDelay = time.Minute
)

// Queue accepts uploads, and delivers those of one service to the target of this
// daemon. The queues of all daemons share their records. Use New to create one.
type Queue struct {
	Tables      store.Tables
	Objects     store.Objects
	Service     fleet.Service
	Self        fleet.DaemonID
	Incarnation fleet.Incarnation

	// HasCapacity reports whether the target of this daemon can take an upload.
	HasCapacity func() bool
	// OpenAttempt returns a new attempt at that target. It stays open, and its
	// tombstone is kept, until CloseAttempt is called with it.
	OpenAttempt func() (Attempt, bool)
	// CloseAttempt is called when no record refers to the attempt any more.
	CloseAttempt func(Attempt)
	// Deliver sends the upload to the target. It returns the status code of the
	// response, or an error for which outcome.Of returns whether the delivery ran.
	Deliver func(context.Context, Attempt, Record, io.Reader) (status int, err error)
	// SettleAttempt obtains the final outcome of an attempt from the target's
	// daemon, and whether it is still running. An error means that the daemon did
	// not respond; a daemon that has restarted returns outcome.Unknown.
	SettleAttempt func(context.Context, Attempt) (o outcome.Outcome, running bool, err error)
	// FleetSize returns the number of daemons that share the store.
	FleetSize func() int
	// Random returns a number in [0, 1). It is used for jitter and to select a
	// record.
	Random func() float64
	// NewUUID returns a random UUID.
	NewUUID func() string
	Log     *slog.Logger

	delivering chan struct{} // semaphore; holds one value during a delivery
	mu         sync.Mutex    // guards draining
	draining   bool
}

// Option configures a queue in New.
type Option func(*Queue)

// WithRandom sets the source of random numbers.
func WithRandom(random func() float64) Option {
	return func(q *Queue) { q.Random = random }
}

// WithNewUUID sets the function that generates UUIDs.
func WithNewUUID(newUUID func() string) Option {
	return func(q *Queue) { q.NewUUID = newUUID }
}

// WithFleetSize sets the function that counts the daemons that share the store.
func WithFleetSize(size func() int) Option {
	return func(q *Queue) { q.FleetSize = size }
}

// New returns a queue that accepts uploads. The caller sets HasCapacity,
// OpenAttempt, CloseAttempt, Deliver and SettleAttempt before it calls Run.
func New(tables store.Tables, objects store.Objects, service fleet.Service, self fleet.DaemonID, incarnation fleet.Incarnation, options ...Option) *Queue {
	q := &Queue{
		Tables:       tables,
		Objects:      objects,
		Service:      service,
		Self:         self,
		Incarnation:  incarnation,
		CloseAttempt: func(Attempt) {},
		delivering:   make(chan struct{}, 1),
		FleetSize:    func() int { return 1 },
		Random:       rand.Float64,
		NewUUID:      uuid.NewString,
		Log:          slog.Default(),
	}
	for _, o := range options {
		o(q)
	}
	return q
}

// Run polls for uploads and delivers them while the target has capacity, until
// ctx is done.
func (q *Queue) Run(ctx context.Context) error {
	for {
		pause := time.Duration((0.5 + q.Random()) * float64(q.pollInterval()))
		if !wait.For(ctx, pause) {
			return ctx.Err()
		}
		for q.HasCapacity() {
			done, err := q.DeliverOne(ctx)
			if err != nil {
				q.Log.Warn("cannot deliver uploads.", "error", err)
			}
			if !done || err != nil {
				break
			}
		}
	}
}

func (q *Queue) pollInterval() time.Duration {
	return min(max(time.Duration(q.FleetSize())*pollIntervalPerDaemon, minPollInterval), maxPollInterval)
}

// DeliverOne claims one pending record, if there is any, and delivers it. It
// reports whether it found one.
func (q *Queue) DeliverOne(ctx context.Context) (bool, error) {
	select {
	case q.delivering <- struct{}{}:
	case <-ctx.Done():
		return false, ctx.Err()
	}
	defer func() { <-q.delivering }()
	if q.isDraining() {
		return false, nil
	}
	row, now, ok, err := q.pickClaimable(ctx)
	if err != nil || !ok {
		return false, err
	}
	record, err := decode(row)
	if err != nil {
		return false, err
	}
	if record.State == Delivering {
		var again bool
		if record, row, again, err = q.takeOverClaim(ctx, record, row, now); err != nil || !again {
			return again, err
		}
	}
	assertRepeatable(record)
	attempt, ok := q.OpenAttempt()
	if !ok {
		return false, nil
	}
	record.State, record.Attempt = Delivering, attempt
	record.Token++
	record.ClaimedUntil = now.Add(claimDuration)
	version, ok, err := q.move(ctx, row, record, PendingTable)
	if err != nil || !ok {
		// The claim may still take effect later. Its attempt is never sent, so the
		// daemon that takes over the claim settles it as NotRun.
		return false, err
	}
	return true, q.deliver(ctx, record, store.Row{Table: PendingTable, Key: row.Key, Version: version}, now)
}

// Drain stops claiming records and waits until the current delivery has ended or
// ctx is done. It is called before Run is stopped in a planned shutdown.
func (q *Queue) Drain(ctx context.Context) error {
	q.mu.Lock()
	q.draining = true
	q.mu.Unlock()
	select {
	case q.delivering <- struct{}{}:
		<-q.delivering
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (q *Queue) isDraining() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.draining
}

// pickClaimable selects a random pending record and reports whether it can be
// claimed now. It also returns the time of the store.
func (q *Queue) pickClaimable(ctx context.Context) (store.Row, time.Time, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := q.Tables.List(ctx, PendingTable, prefix(q.Service), "", maxListed)
	if err != nil || len(rows) == 0 {
		return store.Row{}, time.Time{}, false, err
	}
	chosen := rows[int(q.Random()*float64(len(rows)))]
	row, now, err := q.Tables.Read(ctx, PendingTable, chosen.Key)
	if err != nil || row.Version == 0 {
		return store.Row{}, now, false, err
	}
	record, err := decode(row)
	if err != nil {
		return store.Row{}, now, false, err
	}
	tooEarly := record.State == Delivering && now.Before(record.ClaimedUntil) || now.Before(record.NotBefore)
	return row, now, !tooEarly, nil
}

// takeOverClaim settles the attempt of an expired claim. It reports whether the
// record can be delivered again; if not, the record was left as it is or parked.
func (q *Queue) takeOverClaim(ctx context.Context, record Record, row store.Row, now time.Time) (Record, store.Row, bool, error) {
	if settleAttempt.Off() {
		return record, row, true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, running, err := q.SettleAttempt(ctx, record.Attempt)
	if err != nil {
		if now.Before(record.ClaimedUntil.Add(settleTimeout)) {
			return record, row, false, nil
		}
		o = outcome.Unknown
	}
	switch {
	case running:
		return record, row, false, nil
	case o == outcome.NotRun, record.Request.Idempotent, parkUnknown.Off():
		record.State, record.Outcome = Accepted, o
		return record, row, true, nil
	}
	record.Outcome = o
	record.Detail = "the delivery was interrupted and its answer is lost"
	return record, row, false, q.park(ctx, row, record)
}

// deliver delivers a claimed upload and records the result.
func (q *Queue) deliver(ctx context.Context, record Record, row store.Row, now time.Time) error {
	defer q.CloseAttempt(record.Attempt)
	body, err := q.Objects.Get(ctx, record.Object)
	if err != nil {
		if errors.Is(err, store.ErrNotFound) {
			return q.parkMissingBody(ctx, row, record)
		}
		record.Outcome = outcome.NotRun
		return q.requeue(ctx, row, record, now)
	}
	status, err := q.Deliver(ctx, record.Attempt, record, body)
	_ = body.Close() // fully read, or not needed any more
	record.Status = status
	record.Outcome = outcome.Of(err)
	if err != nil {
		record.Detail = err.Error()
	}
	if record.Outcome == outcome.Unknown && !parkUnknown.Off() {
		record.Outcome = q.settleOwnAttempt(ctx, record.Attempt)
	}
	switch {
	case err == nil && status < http.StatusBadRequest:
		return q.recordDelivery(ctx, row, record)
	case record.Outcome == outcome.NotRun, record.Request.Idempotent && (err != nil || retryableStatus(status)), parkUnknown.Off():
		return q.requeue(ctx, row, record, now)
	}
	return q.park(ctx, row, record)
}

// parkMissingBody parks a claimed upload whose body does not exist. If the claim
// was lost in the meantime, nothing changes: another daemon has delivered the
// upload and deleted the body.
func (q *Queue) parkMissingBody(ctx context.Context, row store.Row, record Record) error {
	record.State, record.Detail = Parked, "the body is missing"
	_, own, err := q.move(ctx, row, record, ParkedTable)
	invariant.Check(!own, "UploadBodyKept", "%s: object %s does not exist", record.ID, record.Object)
	return err
}

// retryableStatus reports whether an idempotent delivery with this status code is
// retried.
func retryableStatus(status int) bool {
	return status >= 500 || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

// settleOwnAttempt obtains the outcome of an attempt of this daemon whose response
// was lost. An attempt that is still running counts as Unknown.
func (q *Queue) settleOwnAttempt(ctx context.Context, attempt Attempt) outcome.Outcome {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if o, _, err := q.SettleAttempt(ctx, attempt); err == nil && o == outcome.NotRun {
		return o
	}
	return outcome.Unknown
}

// recordDelivery moves the record to the delivered ones and then deletes the body.
func (q *Queue) recordDelivery(ctx context.Context, row store.Row, record Record) error {
	record.State, record.Detail = Delivered, ""
	if keepObjectUntilDelivered.Off() {
		q.deleteObject(ctx, record.Object)
	}
	_, ok, err := q.move(ctx, row, record, DeliveredTable)
	if err != nil || !ok {
		return err
	}
	q.deleteObject(ctx, record.Object)
	return nil
}

func (q *Queue) park(ctx context.Context, row store.Row, record Record) error {
	record.State = Parked
	_, _, err := q.move(ctx, row, record, ParkedTable)
	return err
}

// requeue makes an upload pending again whose delivery did not run or may be
// repeated.
func (q *Queue) requeue(ctx context.Context, row store.Row, record Record, now time.Time) error {
	record.State = Accepted
	assertRepeatable(record)
	record.NotBefore = now.Add(min(minRedeliveryDelay<<min(record.Failures, 10), maxRedeliveryDelay))
	record.Failures++
	_, _, err := q.move(ctx, row, record, PendingTable)
	return err
}

// assertRepeatable checks the invariant that only uploads that did not run or are
// idempotent are delivered again.
func assertRepeatable(r Record) {
	notRun := r.Outcome == "" || r.Outcome == outcome.NotRun
	invariant.Check(r.State == Accepted && (notRun || r.Request.Idempotent), "UploadRepeatedSafely",
		"%s: delivered again in state %s after outcome %s", r.ID, r.State, r.Outcome)
}

// move writes the record to a table and removes it from the pending ones, on
// condition that the version of its row is unchanged. A write without a response
// is retried until ctx is done. It returns false if another daemon has changed
// the record.
func (q *Queue) move(ctx context.Context, row store.Row, record Record, to store.Table) (store.Version, bool, error) {
	t := store.Transaction{
		Conditions: []store.Condition{{Table: PendingTable, Key: row.Key, Version: row.Version}},
		Writes:     []store.Write{{Table: to, Key: row.Key, Value: record.encode()}},
	}
	if claimRecord.Off() {
		t.Conditions = nil
	}
	if to != PendingTable {
		t.Conditions = append(t.Conditions, store.Condition{Table: to, Key: row.Key})
		t.Writes = append(t.Writes, store.Write{Table: PendingTable, Key: row.Key, Delete: true})
	}
	for pause := minWriteBackoff; ; pause = min(2*pause, maxWriteBackoff) {
		result, err := q.transact(ctx, t)
		if err == nil && result.Committed {
			return result.Versions[0], true, nil
		}
		if err == nil {
			version, own := findOwnWrite(result.Conflicts, to, record)
			return version, own, nil
		}
		if !wait.For(ctx, pause) {
			return 0, false, err
		}
	}
}

// findOwnWrite reports whether the conflicts show that the record was written by
// an earlier try of this daemon whose response was lost.
func findOwnWrite(conflicts []store.Row, to store.Table, record Record) (store.Version, bool) {
	for _, row := range conflicts {
		if row.Table != to || row.Version == 0 {
			continue
		}
		have, err := decode(row)
		if err == nil && have.State == record.State && have.Token == record.Token && have.Attempt == record.Attempt {
			return row.Version, true
		}
	}
	return 0, false
}
