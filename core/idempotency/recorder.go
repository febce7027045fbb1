package idempotency

import (
	"context"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/store"
	"pollenscale/core/wait"
)

// KeyTable is the table of recorded keys.
const KeyTable store.Table = "keys"

const (
	// maxBatch is the maximum number of rows in a transaction.
	maxBatch = 32
	// maxRetries is the maximum number of results that are queued during a store
	// outage. A result that is dropped leaves its row in stateRunning, for which
	// a new owner returns outcome Unknown.
	maxRetries = 1024
	// callTimeout is the timeout of one call to the store.
	callTimeout = 2 * time.Second
	// defaultMinInterval is the minimum pause between two transactions of a
	// daemon.
	defaultMinInterval = 20 * time.Millisecond
	// retryInterval is the interval at which results are written again whose
	// transaction got no response.
	retryInterval = time.Second
)

// Recorder writes the rows of recorded keys for all tables of a daemon and
// batches them into transactions. Use NewRecorder to create one and call Run.
type Recorder struct {
	Tables      store.Tables
	Self        fleet.DaemonID
	Incarnation fleet.Incarnation
	// MinInterval returns the minimum pause between two transactions.
	MinInterval func() time.Duration

	writes  chan rowWrite
	retries []rowWrite
}

// rowWrite is a write of one row on condition that the fence holds. The function
// done is called with the result, once. A write with isResult set is retried
// until the store responds.
type rowWrite struct {
	fence    store.Condition
	row      string
	version  store.Version
	value    []byte
	isResult bool
	done     func(writeResult)
}

// writeResult is the result of a rowWrite.
type writeResult struct {
	version     store.Version // set if the write took effect
	err         error         // set if it is unknown whether the write took effect
	fenceFailed bool          // another daemon owns the slot
	conflict    store.Row     // the current row, if its version caused a conflict
}

// NewRecorder returns a recorder for one incarnation of a daemon.
func NewRecorder(tables store.Tables, self fleet.DaemonID, incarnation fleet.Incarnation) *Recorder {
	return &Recorder{
		Tables:      tables,
		Self:        self,
		Incarnation: incarnation,
		MinInterval: func() time.Duration { return defaultMinInterval },
		writes:      make(chan rowWrite, 4*maxBatch),
	}
}

// Run commits queued writes until ctx is done.
func (r *Recorder) Run(ctx context.Context) error {
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	for {
		var batch []rowWrite
		select {
		case <-ctx.Done():
			return ctx.Err()
		case w := <-r.writes:
			batch = r.nextBatch(w)
		case <-retry.C:
			n := min(len(r.retries), maxBatch)
			batch = append(batch, r.retries[:n]...)
			r.retries = r.retries[n:]
		}
		if len(batch) == 0 {
			continue
		}
		r.commit(ctx, batch)
		if !wait.For(ctx, r.MinInterval()) {
			return ctx.Err()
		}
	}
}

// nextBatch returns the given write and those queued behind it, up to maxBatch.
func (r *Recorder) nextBatch(first rowWrite) []rowWrite {
	batch := []rowWrite{first}
	for len(batch) < maxBatch {
		select {
		case w := <-r.writes:
			batch = append(batch, w)
		default:
			return batch
		}
	}
	return batch
}

// commit writes a batch. If it holds several writes of the same row, the later
// ones follow in separate transactions, in order.
func (r *Recorder) commit(ctx context.Context, batch []rowWrite) {
	for len(batch) > 0 {
		var now, next []rowWrite
		rows := map[string]bool{}
		for _, w := range batch {
			if rows[w.row] {
				next = append(next, w)
				continue
			}
			rows[w.row] = true
			now = append(now, w)
		}
		for len(now) > 0 {
			now = r.transact(ctx, now)
		}
		batch = next
	}
}

// transact sends one transaction and reports the results of its writes. It
// returns the writes that failed only because others in the transaction had
// conflicts.
func (r *Recorder) transact(ctx context.Context, batch []rowWrite) []rowWrite {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := r.Tables.Transact(ctx, buildTransaction(batch))
	if err != nil {
		for _, w := range batch {
			r.retryLater(w, err)
		}
		return nil
	}
	if result.Committed {
		for i, w := range batch {
			w.done(writeResult{version: result.Versions[i]})
		}
		return nil
	}
	conflicts := map[store.Condition]store.Row{}
	for _, row := range result.Conflicts {
		conflicts[store.Condition{Table: row.Table, Key: row.Key}] = row
	}
	var again []rowWrite
	for _, w := range batch {
		if _, ok := conflicts[store.Condition{Table: w.fence.Table, Key: w.fence.Key}]; ok {
			w.done(writeResult{fenceFailed: true})
			continue
		}
		if row, ok := conflicts[store.Condition{Table: KeyTable, Key: w.row}]; ok {
			w.done(writeResult{conflict: row})
			continue
		}
		again = append(again, w)
	}
	return again
}

// retryLater queues a write of a result for another attempt, and fails any other
// write.
func (r *Recorder) retryLater(w rowWrite, err error) {
	if w.isResult && len(r.retries) < maxRetries {
		r.retries = append(r.retries, w)
		return
	}
	w.done(writeResult{err: err})
}

func buildTransaction(batch []rowWrite) store.Transaction {
	var t store.Transaction
	fences := map[store.Condition]bool{}
	for _, w := range batch {
		if !fences[w.fence] && !requireFence.Off() {
			fences[w.fence] = true
			t.Conditions = append(t.Conditions, w.fence)
		}
		if !requireRowAbsence.Off() {
			t.Conditions = append(t.Conditions, store.Condition{Table: KeyTable, Key: w.row, Version: w.version})
		}
		t.Writes = append(t.Writes, store.Write{Table: KeyTable, Key: w.row, Value: w.value})
	}
	return t
}
