package upload

import (
	"context"

	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/store"
)

// Status returns the record of an upload, or ErrNotFound.
func (q *Queue) Status(ctx context.Context, id ID) (Record, error) {
	record, _, _, err := q.find(ctx, id)
	return record, err
}

// find reads a record. It searches the tables in the order in which records move
// between them, so that a record that moves during the search is not missed.
func (q *Queue) find(ctx context.Context, id ID) (Record, store.Row, store.Table, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, table := range []store.Table{PendingTable, ParkedTable, DeliveredTable} {
		row, _, err := q.Tables.Read(ctx, table, string(id))
		if err != nil {
			return Record{}, store.Row{}, "", err
		}
		if row.Version != 0 {
			record, err := decode(row)
			return record, row, table, err
		}
	}
	return Record{}, store.Row{}, "", ErrNotFound
}

// List returns up to limit uploads of a service in a state, with IDs greater than
// after. Accepted and Delivering uploads are listed together.
func (q *Queue) List(ctx context.Context, service fleet.Service, state State, after ID, limit int) ([]Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	table := PendingTable
	switch state {
	case Delivered:
		table = DeliveredTable
	case Parked:
		table = ParkedTable
	case Accepted, Delivering:
	}
	rows, err := q.Tables.List(ctx, table, prefix(service), string(after), limit)
	if err != nil {
		return nil, err
	}
	records := make([]Record, 0, len(rows))
	for _, row := range rows {
		record, err := decode(row)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// Resume returns a parked upload to the queue, after an operator has determined
// that it did not run.
func (q *Queue) Resume(ctx context.Context, id ID) error {
	return q.moveParked(ctx, id, PendingTable, func(r *Record) {
		r.State, r.Outcome, r.Detail = Accepted, outcome.NotRun, "resumed by an operator"
	})
}

// Dismiss marks a parked upload as delivered, after an operator has determined
// that it ran, and deletes its body.
func (q *Queue) Dismiss(ctx context.Context, id ID) error {
	return q.moveParked(ctx, id, DeliveredTable, func(r *Record) {
		r.State, r.Outcome, r.Detail = Delivered, outcome.Run, "dismissed by an operator"
	})
}

// moveParked moves a parked upload to another table. It does nothing if the
// upload is not parked any more, so that it can be repeated.
func (q *Queue) moveParked(ctx context.Context, id ID, to store.Table, apply func(*Record)) error {
	record, row, table, err := q.find(ctx, id)
	if err != nil {
		return err
	}
	if table != ParkedTable {
		return nil
	}
	apply(&record)
	t := store.Transaction{
		Conditions: []store.Condition{{Table: ParkedTable, Key: row.Key, Version: row.Version}, {Table: to, Key: row.Key}},
		Writes: []store.Write{
			{Table: to, Key: row.Key, Value: record.encode()},
			{Table: ParkedTable, Key: row.Key, Delete: true},
		},
	}
	result, err := q.transact(ctx, t)
	if err != nil {
		return err
	}
	if result.Committed && to == DeliveredTable {
		q.deleteObject(ctx, record.Object)
	}
	return nil
}
