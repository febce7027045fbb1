// Package store describes the platform's table service and object store as the
// core needs them: rows with versions, transactions of conditions and writes,
// and whole objects.
//
// Tables and Objects are structs of function fields. In a daemon, package
// io/tablestore fills them; in tests, package standin/memstore does.
//
// An error of Transact means that the outcome is not known: the transaction may
// have taken effect. Callers settle this by reading back, with an identity of
// their own inside the rows that they write.
package store

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrUnavailable is returned when the store did not answer or refused for load.
var ErrUnavailable = errors.New("store unavailable")

// ErrCompacted is returned by Tables.Watch when the changes since the version are
// no longer known; the caller reads the rows anew.
var ErrCompacted = errors.New("history is no longer available")

// ErrNotFound is returned by Objects.Get for an object that does not exist.
var ErrNotFound = errors.New("object not found")

// Table names a table.
type Table string

// Version is the version of a row. It rises with each write; 0 means absent.
type Version uint64

// Row is a row as read. A row that does not exist has version 0.
type Row struct {
	Table   Table
	Key     string
	Value   []byte
	Version Version
	// Deleted is set in changes for a row that was removed.
	Deleted bool
}

// Changes are the rows of a table that changed after a version, in order.
type Changes struct {
	Rows []Row
	// Version is where the next watch continues.
	Version Version
}

// Condition requires a row to have exactly the version; 0 requires its absence.
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

// Transaction is applied as a whole or not at all.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// Result is the answer to a transaction.
type Result struct {
	Committed bool
	// At is the commit time by the store's clock, or the time of the refusal.
	At time.Time
	// Versions are the versions of the written rows, in the order of Writes.
	Versions []Version
	// Conflicts are the rows whose conditions failed, as they are now.
	Conflicts []Row
}

// Tables is the table service.
type Tables struct {
	// Transact applies a transaction. A returned error leaves the outcome open.
	Transact func(context.Context, Transaction) (Result, error)
	// Read returns a row and the store's time.
	Read func(context.Context, Table, string) (Row, time.Time, error)
	// List returns up to limit rows whose key has the prefix and is greater
	// than after, in order of their keys.
	List func(ctx context.Context, table Table, prefix, after string, limit int) ([]Row, error)
	// Watch returns the changes after a version as soon as there are any, and no
	// changes at the given time. Stores without it leave it nil.
	Watch func(ctx context.Context, table Table, after Version, until time.Time) (Changes, error)
}

// Objects is the object store. An object is written once and never changed.
type Objects struct {
	// Put stores an object whole, or returns an error and leaves the outcome open.
	Put func(ctx context.Context, id string, body io.Reader) (size int64, err error)
	// Get opens an object; the caller closes it.
	Get func(ctx context.Context, id string) (io.ReadCloser, error)
	// Delete removes an object; removing an absent one is no error.
	Delete func(ctx context.Context, id string) error
}
