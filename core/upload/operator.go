package upload

import (
	"context"

	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/store"
)

// Status returns the record of an upload, or ErrNotFound.
func (c *Queue) Status(ctx context.Context, id ID) (Record, error) {
	record, _, _, err := c.find(ctx, id)
	return record, err
}

// find reads a record. The order of the tables follows the moves of a record,
// so that one that moves meanwhile is not missed.
func (c *Queue) find(ctx context.Context, id ID) (Record, store.Row, store.Table, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, table := range []store.Table{PendingTable, ParkedTable, DeliveredTable} {
		row, _, err := c.Tables.Read(ctx, table, string(id))
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

// List returns up to limit uploads of a service in a state, with ids greater
// than after. Accepted and Delivering ones are listed together.
func (c *Queue) List(ctx context.Context, service fleet.Service, state State, after ID, limit int) ([]Record, error) {
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
	rows, err := c.Tables.List(ctx, table, prefix(service), string(after), limit)
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

// Resume makes a parked upload wait for delivery again, after an operator has
// found out that it did not run.
func (c *Queue) Resume(ctx context.Context, id ID) error {
	return c.decide(ctx, id, PendingTable, func(r *Record) {
		r.State, r.Outcome, r.Detail = Accepted, outcome.NotRun, "resumed by an operator"
	})
}

// Dismiss records a parked upload as delivered, after an operator has found out
// that it ran, and removes its body.
func (c *Queue) Dismiss(ctx context.Context, id ID) error {
	return c.decide(ctx, id, DeliveredTable, func(r *Record) {
		r.State, r.Outcome, r.Detail = Delivered, outcome.Run, "dismissed by an operator"
	})
}

// decide moves a parked upload. Repeating a decision has no further effect.
func (c *Queue) decide(ctx context.Context, id ID, to store.Table, apply func(*Record)) error {
	record, row, table, err := c.find(ctx, id)
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
	result, err := c.transact(ctx, t)
	if err != nil {
		return err
	}
	if result.Committed && to == DeliveredTable {
		c.discard(ctx, record.Object)
	}
	return nil
}
