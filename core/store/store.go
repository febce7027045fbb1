// Package store defines the interface of the core packages to the platform's table
// service and object store: versioned rows, conditional transactions and immutable
// objects.
//
// Tables and Objects are structs of function fields. Package io/tablestore
// implements them in a daemon, package standin/memstore in tests.
//
// If Transact returns an error, the outcome is unknown: the transaction may have
// taken effect. Callers determine the outcome by reading the rows back, and
// therefore write an ID of their own into them.
package store

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrUnavailable is returned if the store did not answer or rejected the call
// because of overload.
var ErrUnavailable = errors.New("store unavailable")

// ErrCompacted is returned by Tables.Watch if the changes since the version are no
// longer available. The caller must read all rows again.
var ErrCompacted = errors.New("history is no longer available")

// ErrNotFound is returned by Objects.Get for an object that does not exist.
var ErrNotFound = errors.New("object not found")

// Table is the name of a table.
type Table string

// Version is the version of a row. It increases with each write; 0 means absent.
type Version uint64

// Era counts how often the store has come back from an older copy of itself. Writes of an
// earlier era may be lost although they were acknowledged, and versions that were given
// out then are given out again. It is 0 if the store does not report it.
type Era uint64

// Rate is a number of calls per second.
type Rate float64

// Limits are the rates that the store accepts from all daemons together. A rate of 0 is
// not known.
type Limits struct {
	Reads, Writes Rate
}

const (
	// maxSpreadShare is the share of a rate that calls which are spread over time use.
	maxSpreadShare = 0.5
	// maxSpread bounds the time over which calls are spread.
	maxSpread = 2 * time.Minute
)

// Spread returns the time over which calls have to be spread that all daemons make for
// the same reason, so that they leave room for other calls. It is 0 if the rate is not
// known.
func (r Rate) Spread(calls int) time.Duration {
	if r <= 0 {
		return 0
	}
	spread := float64(calls) / float64(maxSpreadShare*r)
	return time.Duration(min(spread, maxSpread.Seconds()) * float64(time.Second))
}

// Row is the result of a read. A row that does not exist has version 0.
type Row struct {
	Table   Table
	Key     string
	Value   []byte
	Version Version
	// Deleted is set in Changes for a row that was deleted.
	Deleted bool
}

// Changes are the rows of a table that changed after a version, in order.
type Changes struct {
	Rows []Row
	// More is set if further changes did not fit into the response.
	More bool
	// Version is the version from which the next watch continues.
	Version Version
	Era     Era
}

// Snapshot is a row at the moment of a version of the store.
type Snapshot struct {
	Row Row
	// Version is the version from which a watch continues. It is that of the store: the
	// history since the version of the row may no longer be available.
	Version Version
	Era     Era
}

// Condition requires a row to have exactly this version; 0 requires that the row is
// absent.
type Condition struct {
	Table   Table
	Key     string
	Version Version
}

// Write sets or deletes a row.
type Write struct {
	Table  Table
	Key    string
	Value  []byte
	Delete bool
}

// Transaction is applied atomically if all of its conditions are met.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// Result is the answer to a transaction.
type Result struct {
	Committed bool
	// At is the time of the commit or of the rejection, by the store's clock.
	At time.Time
	// Versions are the versions of the written rows, in the order of Writes.
	Versions []Version
	// Conflicts are the current rows whose conditions were not met.
	Conflicts []Row
	Era       Era
}

// Tables is the table service.
type Tables struct {
	// Transact applies a transaction. If it returns an error, the outcome is unknown.
	Transact func(context.Context, Transaction) (Result, error)
	// Read returns a row and the time of the store's clock.
	Read func(context.Context, Table, string) (Row, time.Time, error)
	// List returns up to limit rows whose key has the prefix and is greater than
	// after, sorted by key.
	List func(ctx context.Context, table Table, prefix, after string, limit int) ([]Row, error)
	// Snapshot reads a row together with the version from which Watch continues. It is
	// nil if the store does not support watches.
	Snapshot func(context.Context, Table, string) (Snapshot, error)
	// Watch waits for changes after a version and returns them. It returns no changes
	// if there are none by the given time. It is nil if the store does not support
	// watches.
	Watch func(ctx context.Context, table Table, after Version, until time.Time) (Changes, error)
}

// Objects is the object store. An object is written once and never changed.
type Objects struct {
	// Put stores an object completely. If it returns an error, the outcome is
	// unknown.
	Put func(ctx context.Context, id string, body io.Reader) (size int64, err error)
	// Get opens an object. The caller must close it.
	Get func(ctx context.Context, id string) (io.ReadCloser, error)
	// Delete deletes an object. Deleting an absent object is not an error.
	Delete func(ctx context.Context, id string) error
}
