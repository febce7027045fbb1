package soak

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeRow is a row as the store sends it.
type storeRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r storeRow) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// tableStore stands in for the platform's store, with its outages.
type tableStore struct {
	mu      sync.Mutex
	rows    map[string]storeRow
	version uint64
	changed chan struct{}
	down    bool    // answers 503
	silent  bool    // answers nothing
	lose    float64 // share of transactions whose answer is lost
	calls   int
}

func newStore() *tableStore {
	return &tableStore{rows: map[string]storeRow{}, changed: make(chan struct{})}
}

// put writes a row as the operator does.
func (s *tableStore) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	row := storeRow{Table: table, Key: key, Value: value, Ver: s.version}
	s.rows[row.id()] = row
	s.wake()
}

func (s *tableStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *tableStore) set(down, silent bool, lose float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.silent, s.lose = down, silent, lose
}

func (s *tableStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	down, silent, lose := s.down, s.silent, s.lose
	s.mu.Unlock()
	switch {
	case silent:
		<-r.Context().Done()
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case strings.HasSuffix(r.URL.Path, "/rows-tx"):
		s.transact(w, r, rand.Float64() < lose)
	case strings.HasSuffix(r.URL.Path, "/rows-get"):
		q := r.URL.Query()
		s.answer(w, http.StatusOK, s.list(func(row storeRow) bool {
			return row.Table == q.Get("table") && row.Key >= q.Get("from") && !row.Tombstone
		}))
	case strings.HasSuffix(r.URL.Path, "/rows-feed"):
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *tableStore) list(keep func(storeRow) bool) []storeRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []storeRow{}
	for _, row := range s.rows {
		if keep(row) {
			out = append(out, row)
		}
	}
	return out
}

func (s *tableStore) answer(w http.ResponseWriter, status int, rows []storeRow) {
	slices.SortFunc(rows, func(a, b storeRow) int { return cmp.Compare(a.Key, b.Key) })
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	data, err := json.Marshal(map[string]any{"rows": rows, "hasMore": false, "ver": version, "nowS": 1})
	if err != nil {
		panic(err)
	}
	w.WriteHeader(status)
	w.Write(data)
}

func (s *tableStore) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		rows := s.list(func(row storeRow) bool { return row.Table == q.Get("table") && row.Ver > after })
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, rows)
			return
		}
		select {
		case <-changed:
		case <-end:
			s.answer(w, http.StatusOK, nil)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *tableStore) transact(w http.ResponseWriter, r *http.Request, lost bool) {
	var t struct{ Expected, Puts, Remove []storeRow }
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	var conflicts []storeRow
	for _, e := range t.Expected {
		if row := s.rows[e.id()]; row.Ver != e.Ver {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) == 0 {
		s.version++
		for _, p := range t.Puts {
			p.Ver = s.version
			s.rows[p.id()] = p
		}
		s.wake()
	}
	s.mu.Unlock()
	if lost {
		hangUp(w)
		return
	}
	if len(conflicts) > 0 {
		s.answer(w, http.StatusPreconditionFailed, conflicts)
		return
	}
	s.answer(w, http.StatusOK, nil)
}

// hangUp resets the connection of a request.
func hangUp(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
