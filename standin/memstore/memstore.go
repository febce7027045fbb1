// Package memstore is an in-memory stand-in for the platform's table service
// and object store, with faults that can be switched on.
//
// It stands in for the platform in tests and, behind HTTP, in the demo. The
// faults are those that the platform is known for: it is down, slow, refuses
// for load, answers reads from an older state, or loses an answer after the
// write took effect.
package memstore

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"pollenscale/core/store"
)

// Faults are the faults in force. The zero value has none.
type Faults struct {
	// Down refuses every call.
	Down bool
	// DelayUntil holds each call until the given time.
	DelayUntil time.Time
	// Latency returns the delay of one call, nil for none.
	Latency func() time.Duration
	// LoseAnswer is the probability that a committed transaction is answered
	// with an error.
	LoseAnswer float64
	// RefuseShare is the probability that a call is refused without effect.
	RefuseShare float64
	// Stale answers reads from the state at the moment it was set.
	Stale bool
	// WritesPerSecond and ReadsPerSecond cap the calls; 0 means no cap.
	WritesPerSecond int
	ReadsPerSecond  int
}

// Counts are the calls served since the start.
type Counts struct {
	Transactions int64
	RowsWritten  int64
	Reads        int64
	Lists        int64
	Refused      int64
}

type address struct {
	table store.Table
	key   string
}

type cell struct {
	value   []byte
	version store.Version
}

// Store is an in-memory store. Use New.
type Store struct {
	// Now is the store's clock.
	Now func() time.Time

	mu      sync.Mutex
	random  *rand.Rand
	faults  Faults
	rows    map[address]cell
	stale   map[address]cell
	objects map[string][]byte
	next    store.Version
	counts  Counts
	window  time.Time
	writes  int
	reads   int
}

// Option changes a store under construction.
type Option func(*Store)

// WithSeed sets the seed of random faults.
func WithSeed(seed uint64) Option {
	return func(s *Store) { s.random = rand.New(rand.NewPCG(seed, 1)) }
}

// WithNow sets the store's clock.
func WithNow(now func() time.Time) Option {
	return func(s *Store) { s.Now = now }
}

// New returns an empty store without faults.
func New(options ...Option) *Store {
	s := &Store{
		Now:     time.Now,
		random:  rand.New(rand.NewPCG(1, 1)),
		rows:    map[address]cell{},
		objects: map[string][]byte{},
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// SetFaults puts faults in force. Turning Stale on keeps the present state for
// later reads.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Stale && !s.faults.Stale {
		s.stale = make(map[address]cell, len(s.rows))
		for k, v := range s.rows {
			s.stale[k] = v
		}
	}
	s.faults = f
}

// Counts returns the calls served since the start.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Tables returns the table service of the store.
func (s *Store) Tables() store.Tables {
	return store.Tables{Transact: s.transact, Read: s.read, List: s.list}
}

// Objects returns the object store of the store.
func (s *Store) Objects() store.Objects {
	return store.Objects{Put: s.put, Get: s.get, Delete: s.delete}
}

// admit waits out the latency in force and applies refusals. It returns
// ErrUnavailable when the call is refused.
func (s *Store) admit(ctx context.Context, write bool) error {
	s.mu.Lock()
	var wait time.Duration
	if s.faults.Latency != nil {
		wait = s.faults.Latency()
	}
	if d := s.faults.DelayUntil.Sub(s.Now()); d > wait {
		wait = d
	}
	s.mu.Unlock()
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return store.ErrUnavailable
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuses(write) {
		s.counts.Refused++
		return store.ErrUnavailable
	}
	return ctx.Err()
}

func (s *Store) refuses(write bool) bool {
	if s.faults.Down {
		return true
	}
	if s.faults.RefuseShare > 0 && s.random.Float64() < s.faults.RefuseShare {
		return true
	}
	now := s.Now()
	if now.Sub(s.window) >= time.Second {
		s.window, s.writes, s.reads = now, 0, 0
	}
	if write {
		s.writes++
		return s.faults.WritesPerSecond > 0 && s.writes > s.faults.WritesPerSecond
	}
	s.reads++
	return s.faults.ReadsPerSecond > 0 && s.reads > s.faults.ReadsPerSecond
}

func (s *Store) transact(ctx context.Context, t store.Transaction) (store.Result, error) {
	if err := s.admit(ctx, true); err != nil {
		return store.Result{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Transactions++
	result := store.Result{At: s.Now()}
	for _, c := range t.Conditions {
		have := s.rows[address{c.Table, c.Key}]
		if have.version != c.Version {
			result.Conflicts = append(result.Conflicts, row(c.Table, c.Key, have))
		}
	}
	if len(result.Conflicts) > 0 {
		return result, nil
	}
	for _, w := range t.Writes {
		result.Versions = append(result.Versions, s.write(w))
	}
	result.Committed = true
	if s.faults.LoseAnswer > 0 && s.random.Float64() < s.faults.LoseAnswer {
		return store.Result{}, store.ErrUnavailable
	}
	return result, nil
}

func (s *Store) write(w store.Write) store.Version {
	s.counts.RowsWritten++
	s.next++
	at := address{w.Table, w.Key}
	if w.Delete {
		delete(s.rows, at)
		return 0
	}
	s.rows[at] = cell{value: bytes.Clone(w.Value), version: s.next}
	return s.next
}

func (s *Store) read(ctx context.Context, table store.Table, key string) (store.Row, time.Time, error) {
	if err := s.admit(ctx, false); err != nil {
		return store.Row{}, time.Time{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	return row(table, key, s.visible()[address{table, key}]), s.Now(), nil
}

func (s *Store) list(ctx context.Context, table store.Table, prefix, after string, limit int) ([]store.Row, error) {
	if err := s.admit(ctx, false); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Lists++
	var rows []store.Row
	for at, c := range s.visible() {
		if at.table == table && strings.HasPrefix(at.key, prefix) && at.key > after {
			rows = append(rows, row(at.table, at.key, c))
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if limit > 0 && len(rows) > limit {
		rows = rows[:limit]
	}
	return rows, nil
}

func (s *Store) visible() map[address]cell {
	if s.faults.Stale {
		return s.stale
	}
	return s.rows
}

func (s *Store) put(ctx context.Context, id string, body io.Reader) (int64, error) {
	if err := s.admit(ctx, true); err != nil {
		return 0, err
	}
	data, err := io.ReadAll(body)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[id] = data
	if s.faults.LoseAnswer > 0 && s.random.Float64() < s.faults.LoseAnswer {
		return 0, store.ErrUnavailable
	}
	return int64(len(data)), nil
}

func (s *Store) get(ctx context.Context, id string) (io.ReadCloser, error) {
	if err := s.admit(ctx, false); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[id]
	if !ok {
		return nil, store.ErrNotFound
	}
	return io.NopCloser(bytes.NewReader(data)), nil
}

func (s *Store) delete(ctx context.Context, id string) error {
	if err := s.admit(ctx, true); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, id)
	return nil
}

func row(table store.Table, key string, c cell) store.Row {
	return store.Row{Table: table, Key: key, Value: bytes.Clone(c.value), Version: c.version}
}
