package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's table store, as PROTOCOL.md describes it.
type store struct {
	mu      sync.Mutex
	rows    map[string]row // by table and key
	ver     uint64
	changed chan struct{} // closed at the next change
	silent  bool          // calls that arrive get no answer and have no effect
	started time.Time
	server  *http.Server
}

type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func rowID(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

func newStore(address string) (*store, error) {
	s := &store{rows: map[string]row{}, changed: make(chan struct{}), started: time.Now()}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /pollenscale/rows-tx", s.transact)
	mux.HandleFunc("GET /pollenscale/rows-get", s.get)
	mux.HandleFunc("GET /pollenscale/rows-feed", s.feed)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isSilent() {
			<-r.Context().Done()
			return
		}
		time.Sleep(4 * time.Millisecond)
		mux.ServeHTTP(w, r)
	})}
	go s.server.Serve(l)
	return s, nil
}

func (s *store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

func (s *store) setSilent(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = on
}

// put is a write of the operator.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows[rowID(table, "", key)] = row{Table: table, Key: key, Value: value, Ver: s.ver}
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if rows == nil {
		rows = []row{}
	}
	json.NewEncoder(w).Encode(map[string]any{"rows": rows, "hasMore": more, "ver": s.ver, "nowS": time.Since(s.started).Seconds()})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct{ Expected, Puts, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	met := true
	for _, e := range t.Expected {
		have, ok := s.rows[rowID(e.Table, e.Part, e.Key)]
		if !ok {
			have = row{Table: e.Table, Part: e.Part, Key: e.Key}
		}
		current = append(current, have)
		met = met && have.Ver == e.Ver
	}
	if !met {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.ver++
	for _, p := range t.Puts {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		p.Ver = s.ver
		s.rows[rowID(p.Table, p.Part, p.Key)] = p
	}
	for _, d := range t.Remove {
		delete(s.rows, rowID(d.Table, d.Part, d.Key))
	}
	s.notify()
	s.answer(w, http.StatusOK, nil, false)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 || limit <= 0 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, have := range s.rows {
		if have.Table == q.Get("table") && have.Part == q.Get("part") && have.Key >= q.Get("from") &&
			(q.Get("target") == "" || have.Key < q.Get("target")) {
			rows = append(rows, have)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	s.answer(w, http.StatusOK, rows, more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []row
		for _, have := range s.rows {
			if have.Table == q.Get("table") && have.Ver > after {
				rows = append(rows, have)
			}
		}
		sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
		changed := s.changed
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			s.mu.Lock()
			s.answer(w, http.StatusOK, nil, false)
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}
