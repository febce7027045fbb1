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
	// maxBatch bounds the rows of one transaction.
	maxBatch = 32
	// maxLater bounds the results that wait for a store outage to end. A result
	// that is dropped leaves its row open, which is answered 'unknown'.
	maxLater = 1024
	// callTimeout bounds one call to the store.
	callTimeout = 2 * time.Second
	// defaultSpacing is the least time between two transactions of a daemon.
	defaultSpacing = 20 * time.Millisecond
	// retryAfter is the pause after a transaction without an answer.
	retryAfter = time.Second
)

// Recorder writes the rows of recorded keys for all tables of a daemon, several
// in one transaction. Use NewRecorder, and Run.
type Recorder struct {
	Tables      store.Tables
	Self        fleet.DaemonID
	Incarnation fleet.Incarnation
	// Spacing is the least time between two transactions.
	Spacing func() time.Duration

	writes chan write
	later  []write
}

// write sets one row under a fence. Done receives the result exactly once; a
// write with Result set is retried until it is settled.
type write struct {
	fence   store.Condition
	row     string
	version store.Version
	value   []byte
	result  bool
	done    func(written)
}

// written is the result of a write.
type written struct {
	version store.Version // set if the write took effect
	err     error         // the outcome is not known
	fenced  bool          // another daemon owns the slot
	row     store.Row     // the row that refused the write
}

// NewRecorder returns a recorder for one incarnation of a daemon.
func NewRecorder(tables store.Tables, self fleet.DaemonID, incarnation fleet.Incarnation) *Recorder {
	return &Recorder{
		Tables:      tables,
		Self:        self,
		Incarnation: incarnation,
		Spacing:     func() time.Duration { return defaultSpacing },
		writes:      make(chan write, 4*maxBatch),
	}
}

// Run commits writes until ctx ends.
func (r *Recorder) Run(ctx context.Context) error {
	retry := time.NewTicker(retryAfter)
	defer retry.Stop()
	for {
		var batch []write
		select {
		case <-ctx.Done():
			return ctx.Err()
		case w := <-r.writes:
			batch = r.gather(w)
		case <-retry.C:
			n := min(len(r.later), maxBatch)
			batch = append(batch, r.later[:n]...)
			r.later = r.later[n:]
		}
		if len(batch) == 0 {
			continue
		}
		r.commit(ctx, batch)
		if !wait.For(ctx, r.Spacing()) {
			return ctx.Err()
		}
	}
}

// gather returns the write and those that wait behind it.
func (r *Recorder) gather(first write) []write {
	batch := []write{first}
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

// commit writes a batch. Writes to a row that is in the batch already follow in
// a transaction of their own, in order.
func (r *Recorder) commit(ctx context.Context, batch []write) {
	for len(batch) > 0 {
		var now, next []write
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

// transact sends one transaction and answers its writes. It returns those that
// failed only because of others in the transaction.
func (r *Recorder) transact(ctx context.Context, batch []write) []write {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := r.Tables.Transact(ctx, transaction(batch))
	if err != nil {
		for _, w := range batch {
			r.postpone(w, err)
		}
		return nil
	}
	if result.Committed {
		for i, w := range batch {
			w.done(written{version: result.Versions[i]})
		}
		return nil
	}
	refused := map[store.Condition]store.Row{}
	for _, row := range result.Conflicts {
		refused[store.Condition{Table: row.Table, Key: row.Key}] = row
	}
	var again []write
	for _, w := range batch {
		if _, ok := refused[store.Condition{Table: w.fence.Table, Key: w.fence.Key}]; ok {
			w.done(written{fenced: true})
			continue
		}
		if row, ok := refused[store.Condition{Table: KeyTable, Key: w.row}]; ok {
			w.done(written{row: row})
			continue
		}
		again = append(again, w)
	}
	return again
}

// postpone keeps a result for later; any other write fails now.
func (r *Recorder) postpone(w write, err error) {
	if w.result && len(r.later) < maxLater {
		r.later = append(r.later, w)
		return
	}
	w.done(written{err: err})
}

func transaction(batch []write) store.Transaction {
	var t store.Transaction
	fences := map[store.Condition]bool{}
	for _, w := range batch {
		if !fences[w.fence] && !bindFence.Off() {
			fences[w.fence] = true
			t.Conditions = append(t.Conditions, w.fence)
		}
		if !bindAbsence.Off() {
			t.Conditions = append(t.Conditions, store.Condition{Table: KeyTable, Key: w.row, Version: w.version})
		}
		t.Writes = append(t.Writes, store.Write{Table: KeyTable, Key: w.row, Value: w.value})
	}
	return t
}
