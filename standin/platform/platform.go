// Package platform serves a memstore over HTTP, as a stand-in for the
// platform's table service and object store.
//
// The paths below /tables and /objects are those that package io/tablestore
// calls. Below /admin the faults of the store are switched on and off:
//
//	GET  /admin/faults   the faults in force, as Faults
//	PUT  /admin/faults   sets all faults; {} ends them
//	GET  /admin/counts   the calls served, as memstore.Counts
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pollenscale/core/store"
	client "pollenscale/io/tablestore"
	"pollenscale/standin/memstore"
)

// maxRequestBytes bounds a request of the table service.
const maxRequestBytes = 16 << 20

// Faults are the faults in force, as the admin endpoint takes them.
type Faults struct {
	Down                bool
	Stale               bool
	LatencyMilliseconds int
	// LoseAnswer and RefuseShare are probabilities.
	LoseAnswer      float64
	RefuseShare     float64
	WritesPerSecond int
	ReadsPerSecond  int
	// Silent keeps connections open and answers nothing until the caller ends
	// the request.
	Silent bool
}

func (f Faults) memstore() memstore.Faults {
	out := memstore.Faults{
		Down: f.Down, Stale: f.Stale, LoseAnswer: f.LoseAnswer, RefuseShare: f.RefuseShare,
		WritesPerSecond: f.WritesPerSecond, ReadsPerSecond: f.ReadsPerSecond,
	}
	if f.LatencyMilliseconds > 0 {
		out.Latency = func() time.Duration { return time.Duration(f.LatencyMilliseconds) * time.Millisecond }
	}
	return out
}

type server struct {
	store   *memstore.Store
	tables  store.Tables
	objects store.Objects

	mu     sync.Mutex
	faults Faults
}

// New returns the handler that serves the store.
func New(s *memstore.Store) http.Handler {
	v := &server{store: s, tables: s.Tables(), objects: s.Objects()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /tables/transact", v.platform(v.transact))
	mux.HandleFunc("GET /tables/{table}/row", v.platform(v.read))
	mux.HandleFunc("GET /tables/{table}/rows", v.platform(v.list))
	mux.HandleFunc("PUT /objects/{id}", v.platform(v.put))
	mux.HandleFunc("GET /objects/{id}", v.platform(v.get))
	mux.HandleFunc("DELETE /objects/{id}", v.platform(v.delete))
	mux.HandleFunc("GET /admin/faults", v.getFaults)
	mux.HandleFunc("PUT /admin/faults", v.setFaults)
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) { answer(w, s.Counts()) })
	return mux
}

// platform applies the faults of the connection and turns errors into statuses.
func (v *server) platform(handle func(http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if v.current().Silent {
			// The end of the connection is noticed only once the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		err := handle(w, r)
		var bad *requestError
		switch {
		case err == nil:
		case errors.Is(err, store.ErrNotFound):
			http.Error(w, err.Error(), http.StatusNotFound)
		case errors.As(err, &bad):
			http.Error(w, err.Error(), http.StatusBadRequest)
		default:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	}
}

// requestError is a request that cannot be served as it stands.
type requestError struct{ error }

func (v *server) transact(w http.ResponseWriter, r *http.Request) error {
	var t store.Transaction
	if err := decode(w, r, &t); err != nil {
		return err
	}
	result, err := v.tables.Transact(r.Context(), t)
	if err != nil {
		return err
	}
	answer(w, result)
	return nil
}

func (v *server) read(w http.ResponseWriter, r *http.Request) error {
	row, at, err := v.tables.Read(r.Context(), store.Table(r.PathValue("table")), r.URL.Query().Get("key"))
	if err != nil {
		return err
	}
	answer(w, client.ReadResponse{Row: row, At: at})
	return nil
}

func (v *server) list(w http.ResponseWriter, r *http.Request) error {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil {
		return &requestError{errors.Wrap(err, "limit")}
	}
	rows, err := v.tables.List(r.Context(), store.Table(r.PathValue("table")), query.Get("prefix"), query.Get("after"), limit)
	if err != nil {
		return err
	}
	answer(w, client.ListResponse{Rows: rows})
	return nil
}

func (v *server) put(w http.ResponseWriter, r *http.Request) error {
	size, err := v.objects.Put(r.Context(), r.PathValue("id"), r.Body)
	if err != nil {
		return err
	}
	answer(w, client.PutResponse{Size: size})
	return nil
}

func (v *server) get(w http.ResponseWriter, r *http.Request) error {
	body, err := v.objects.Get(r.Context(), r.PathValue("id"))
	if err != nil {
		return err
	}
	defer body.Close() //nolint:errcheck // a read-only body
	if _, err := io.Copy(w, body); err != nil {
		// The status is sent already; an aborted connection tells the client
		// that the body is not whole.
		panic(http.ErrAbortHandler)
	}
	return nil
}

func (v *server) delete(w http.ResponseWriter, r *http.Request) error {
	if err := v.objects.Delete(r.Context(), r.PathValue("id")); err != nil {
		return err
	}
	w.WriteHeader(http.StatusNoContent)
	return nil
}

func (v *server) current() Faults {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.faults
}

func (v *server) getFaults(w http.ResponseWriter, _ *http.Request) {
	answer(w, v.current())
}

func (v *server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := decode(w, r, &f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.faults = f
	v.store.SetFaults(f.memstore())
	answer(w, f)
}

func decode(w http.ResponseWriter, r *http.Request, out any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		return &requestError{errors.Wrap(err, "decode the request")}
	}
	return nil
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the client notices a broken connection
}
