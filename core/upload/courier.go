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
	// claimLength is how long other daemons leave a claimed record alone. They
	// settle its attempt before they take it over, so that the length matters
	// for the delay after a crash and not for safety.
	claimLength = 30 * time.Second
	// giveUpSettling is how long after the end of a claim a target's daemon that
	// does not answer is asked; then the outcome is taken as unknown.
	giveUpSettling = 10 * time.Minute
	// listLimit bounds the records of one look.
	listLimit = 64
	// pollFirst and pollMost bound the mean pause between looks; pollPerDaemon
	// scales it, so that 3,400 daemons make about 110 reads a second.
	pollFirst     = 500 * time.Millisecond
	pollMost      = 30 * time.Second
	pollPerDaemon = 10 * time.Millisecond
	// failFirst and failMost bound the pause after a delivery that did not run.
	failFirst = time.Second
	failMost  = time.Minute
)

// Queue accepts and delivers the uploads of a service. Use New.
type Queue struct {
	Tables      store.Tables
	Objects     store.Objects
	Service     fleet.Service
	Self        fleet.DaemonID
	Incarnation fleet.Incarnation

	// HasCapacity reports whether the target beside this daemon can take an upload.
	HasCapacity func() bool
	// OpenAttempt returns a new attempt at that target. It stays open, and a tombstone
	// of it is kept, until Close is called with it.
	OpenAttempt func() (Attempt, bool)
	// CloseAttempt is called when no record names the attempt any more.
	CloseAttempt func(Attempt)
	// Deliver sends the upload. It returns the target's status, or an error
	// whose outcome.Of says whether the delivery ran.
	Deliver func(context.Context, Attempt, Record, io.Reader) (status int, err error)
	// SettleAttempt asks the target's daemon for a binding answer about an attempt,
	// and whether it is still running. An error means that the daemon did not
	// answer; a daemon that has restarted answers outcome.Unknown.
	SettleAttempt func(context.Context, Attempt) (o outcome.Outcome, running bool, err error)
	// FleetSize returns the number of daemons that share the store.
	FleetSize func() int
	// Random returns a number in [0, 1) that spreads calls to the store.
	Random func() float64
	// NewUUID returns a random UUID.
	NewUUID func() string
	Log     *slog.Logger

	busy   chan struct{} // holds one value during a delivery
	mu     sync.Mutex    // guards closed
	closed bool
}

// Option changes a courier under construction.
type Option func(*Queue)

// WithRandom sets the source of jitter.
func WithRandom(random func() float64) Option {
	return func(c *Queue) { c.Random = random }
}

// WithNewUUID sets the source of ids.
func WithNewUUID(newUUID func() string) Option {
	return func(c *Queue) { c.NewUUID = newUUID }
}

// WithFleetSize sets the function that counts the daemons sharing the store.
func WithFleetSize(size func() int) Option {
	return func(c *Queue) { c.FleetSize = size }
}

// New returns a courier that accepts uploads. Its functions Room, Open, Close,
// Deliver and Settle are set before Run is called.
func New(tables store.Tables, objects store.Objects, service fleet.Service, self fleet.DaemonID, incarnation fleet.Incarnation, options ...Option) *Queue {
	c := &Queue{
		Tables:       tables,
		Objects:      objects,
		Service:      service,
		Self:         self,
		Incarnation:  incarnation,
		CloseAttempt: func(Attempt) {},
		busy:         make(chan struct{}, 1),
		FleetSize:    func() int { return 1 },
		Random:       rand.Float64,
		NewUUID:      uuid.NewString,
		Log:          slog.Default(),
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Run delivers uploads whenever the target has room, until ctx ends.
func (c *Queue) Run(ctx context.Context) error {
	for {
		pause := time.Duration((0.5 + c.Random()) * float64(c.pollPause()))
		if !wait.For(ctx, pause) {
			return ctx.Err()
		}
		for c.HasCapacity() {
			done, err := c.DeliverOne(ctx)
			if err != nil {
				c.Log.Warn("cannot deliver.", "error", err)
			}
			if !done || err != nil {
				break
			}
		}
	}
}

func (c *Queue) pollPause() time.Duration {
	return min(max(time.Duration(c.FleetSize())*pollPerDaemon, pollFirst), pollMost)
}

// DeliverOne takes one record that waits, if there is any, and delivers it. It
// reports whether it found one.
func (c *Queue) DeliverOne(ctx context.Context) (bool, error) {
	select {
	case c.busy <- struct{}{}:
	case <-ctx.Done():
		return false, ctx.Err()
	}
	defer func() { <-c.busy }()
	if c.draining() {
		return false, nil
	}
	row, now, ok, err := c.pick(ctx)
	if err != nil || !ok {
		return false, err
	}
	record, err := decode(row)
	if err != nil {
		return false, err
	}
	if record.State == Delivering {
		var again bool
		if record, row, again, err = c.takeOver(ctx, record, row, now); err != nil || !again {
			return again, err
		}
	}
	checkRepeatable(record)
	attempt, ok := c.OpenAttempt()
	if !ok {
		return false, nil
	}
	record.State, record.Attempt = Delivering, attempt
	record.Token++
	record.ClaimedUntil = now.Add(claimLength)
	version, ok, err := c.move(ctx, row, record, PendingTable)
	if err != nil || !ok {
		// The claim may take effect later. Its attempt is not sent; the next
		// daemon settles it as not run.
		return false, err
	}
	return true, c.deliver(ctx, record, store.Row{Table: PendingTable, Key: row.Key, Version: version}, now)
}

// Drain takes no further records and waits for the delivery under way, or for
// the end of ctx. A planned stop calls it before it ends Run.
func (c *Queue) Drain(ctx context.Context) error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	select {
	case c.busy <- struct{}{}:
		<-c.busy
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Queue) draining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// pick returns a random record that may be claimed, with the store's time.
func (c *Queue) pick(ctx context.Context) (store.Row, time.Time, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := c.Tables.List(ctx, PendingTable, prefix(c.Service), "", listLimit)
	if err != nil || len(rows) == 0 {
		return store.Row{}, time.Time{}, false, err
	}
	chosen := rows[int(c.Random()*float64(len(rows)))]
	row, now, err := c.Tables.Read(ctx, PendingTable, chosen.Key)
	if err != nil || row.Version == 0 {
		return store.Row{}, now, false, err
	}
	record, err := decode(row)
	if err != nil {
		return store.Row{}, now, false, err
	}
	wait := record.State == Delivering && now.Before(record.ClaimedUntil) || now.Before(record.NotBefore)
	return row, now, !wait, nil
}

// takeOver settles the attempt of a claim that has ended. It reports whether
// the record can be delivered again; otherwise it stays as it is or was parked.
func (c *Queue) takeOver(ctx context.Context, record Record, row store.Row, now time.Time) (Record, store.Row, bool, error) {
	if settleAttempt.Off() {
		return record, row, true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, running, err := c.SettleAttempt(ctx, record.Attempt)
	if err != nil {
		if now.Before(record.ClaimedUntil.Add(giveUpSettling)) {
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
	return record, row, false, c.park(ctx, row, record)
}

// deliver sends a claimed upload and records the result.
func (c *Queue) deliver(ctx context.Context, record Record, row store.Row, now time.Time) error {
	defer c.CloseAttempt(record.Attempt)
	body, err := c.Objects.Get(ctx, record.Object)
	if err != nil {
		if errors.Is(err, store.ErrNotFound) {
			return c.missing(ctx, row, record)
		}
		record.Outcome = outcome.NotRun
		return c.putBack(ctx, row, record, now)
	}
	status, err := c.Deliver(ctx, record.Attempt, record, body)
	_ = body.Close() // read to the end or not needed any more
	record.Status = status
	record.Outcome = outcome.Of(err)
	if err != nil {
		record.Detail = err.Error()
	}
	if record.Outcome == outcome.Unknown && !parkUnknown.Off() {
		record.Outcome = c.settled(ctx, record.Attempt)
	}
	switch {
	case err == nil && status < http.StatusBadRequest:
		return c.finish(ctx, row, record)
	case record.Outcome == outcome.NotRun, record.Request.Idempotent && (err != nil || repeatable(status)), parkUnknown.Off():
		return c.putBack(ctx, row, record, now)
	}
	return c.park(ctx, row, record)
}

// missing handles a claimed upload whose body is gone. If the claim was lost
// meanwhile, another daemon has delivered the upload and removed the body.
func (c *Queue) missing(ctx context.Context, row store.Row, record Record) error {
	record.State, record.Detail = Parked, "the body is missing"
	_, own, err := c.move(ctx, row, record, ParkedTable)
	invariant.Check(!own, "UploadBodyKept", "%s: object %s is gone", record.ID, record.Object)
	return err
}

// repeatable reports whether an idempotent delivery with this status is repeated.
func repeatable(status int) bool {
	return status >= 500 || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

// settled asks for the outcome of an own attempt whose answer was lost. An
// attempt that still runs counts as unknown.
func (c *Queue) settled(ctx context.Context, attempt Attempt) outcome.Outcome {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if o, _, err := c.SettleAttempt(ctx, attempt); err == nil && o == outcome.NotRun {
		return o
	}
	return outcome.Unknown
}

// finish records the delivery and then removes the body.
func (c *Queue) finish(ctx context.Context, row store.Row, record Record) error {
	record.State, record.Detail = Delivered, ""
	if keepObject.Off() {
		c.discard(ctx, record.Object)
	}
	_, ok, err := c.move(ctx, row, record, DeliveredTable)
	if err != nil || !ok {
		return err
	}
	c.discard(ctx, record.Object)
	return nil
}

func (c *Queue) park(ctx context.Context, row store.Row, record Record) error {
	record.State = Parked
	_, _, err := c.move(ctx, row, record, ParkedTable)
	return err
}

// putBack returns an upload whose delivery did not run, or may be repeated.
func (c *Queue) putBack(ctx context.Context, row store.Row, record Record, now time.Time) error {
	record.State = Accepted
	checkRepeatable(record)
	record.NotBefore = now.Add(min(failFirst<<min(record.Failures, 10), failMost))
	record.Failures++
	_, _, err := c.move(ctx, row, record, PendingTable)
	return err
}

// checkRepeatable asserts that another delivery cannot run the upload twice.
func checkRepeatable(r Record) {
	settled := r.Outcome == "" || r.Outcome == outcome.NotRun
	invariant.Check(r.State == Accepted && (settled || r.Request.Idempotent), "UploadRepeatedSafely",
		"%s: delivered again in state %s after outcome %s", r.ID, r.State, r.Outcome)
}

// move writes the record to a table and removes it from the pending ones,
// conditional on the version of its row. A write without an answer is sent
// again until ctx ends. It reports false if another daemon was faster.
func (c *Queue) move(ctx context.Context, row store.Row, record Record, to store.Table) (store.Version, bool, error) {
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
	for pause := retryPause; ; pause = min(2*pause, retryMost) {
		result, err := c.transact(ctx, t)
		if err == nil && result.Committed {
			return result.Versions[0], true, nil
		}
		if err == nil {
			version, own := written(result.Conflicts, to, record)
			return version, own, nil
		}
		if !wait.For(ctx, pause) {
			return 0, false, err
		}
	}
}

// written reports whether the conflicts show that the record was written by an
// earlier transaction whose answer was lost.
func written(conflicts []store.Row, to store.Table, record Record) (store.Version, bool) {
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
