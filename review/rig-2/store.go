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

// row is a row of the platform's store, as PROTOCOL.md describes it.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in for the platform's store: linearizable, loses nothing.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	ver     uint64
	changed chan struct{}
	latency time.Duration
	down    bool // answers 503 and does nothing
	start   time.Time
	server  *http.Server
	address string
}

// storeLatency is the time of an answer of the store in SYSTEM.md.
const storeLatency = 4 * time.Millisecond

func startStore(ip string) (*store, error) {
	s := &store{rows: map[rowKey]row{}, changed: make(chan struct{}), latency: storeLatency, start: time.Now()}
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /pollenscale/rows-tx", s.tx)
	mux.HandleFunc("GET /pollenscale/rows-get", s.get)
	mux.HandleFunc("GET /pollenscale/rows-feed", s.feed)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		latency, down := s.latency, s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(latency)
		mux.ServeHTTP(w, r)
	})}
	s.address = l.Addr().String()
	go s.server.Serve(l)
	return s, nil
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if down {
		// Calls that wait are ended too.
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *store) setLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(row{Table: table, Key: key, Value: data, Ver: s.ver})
	return nil
}

func (s *store) apply(r row) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Tombstone {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(map[string]any{"rows": rows, "hasMore": more, "ver": s.ver, "nowS": time.Since(s.start).Seconds()})
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected, Puts, Remove []row
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, list := range [][]row{t.Puts, t.Remove} {
		for _, p := range list {
			if p.Table == "op" || p.Table == "servers" {
				w.WriteHeader(http.StatusForbidden)
				return
			}
		}
	}
	conflict := false
	var now []row
	for _, e := range t.Expected {
		have := s.rows[rowKey{e.Table, e.Part, e.Key}]
		conflict = conflict || have.Ver != e.Ver
		if have.Ver != 0 {
			now = append(now, have)
		}
	}
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, now, false)
		return
	}
	s.ver++
	for _, p := range t.Puts {
		p.Ver = s.ver
		s.apply(p)
	}
	for _, p := range t.Remove {
		p.Ver, p.Tombstone = s.ver, true
		s.apply(p)
	}
	s.answer(w, http.StatusOK, nil, false)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []row
	for k, v := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("target") == "" || k.key < q.Get("target")) {
			out = append(out, v)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	more := len(out) > limit
	if more {
		out = out[:limit]
	}
	s.answer(w, http.StatusOK, out, more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		var out []row
		for _, h := range s.history {
			if h.Table == q.Get("table") && h.Ver > after {
				out = append(out, h)
			}
		}
		if len(out) > 0 {
			s.answer(w, http.StatusOK, out, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			s.mu.Lock()
			s.answer(w, http.StatusOK, nil, false)
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}
