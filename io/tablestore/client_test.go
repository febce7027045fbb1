package tablestore_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pollenscale/core/store"
	"pollenscale/io/tablestore"
	"pollenscale/standin/memstore"
	standin "pollenscale/standin/platform"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// serve starts a server with handler and returns a client of it with an ample
// budget and short timeouts.
func serve(t *testing.T, handler http.Handler, options ...tablestore.Option) (*tablestore.Client, string) {
	t.Helper()
	server := httptest.NewServer(handler)
	options = append([]tablestore.Option{
		tablestore.WithBudget(10_000, 10_000, 1000),
		tablestore.WithTimeouts(300*time.Millisecond, 100*time.Millisecond, 300*time.Millisecond),
	}, options...)
	client := tablestore.New(server.URL, server.URL, options...)
	t.Cleanup(func() { client.Close(); server.CloseClientConnections(); server.Close() })
	return client, server.URL
}

// TestFaults guards against a call to a faulty store that hangs, is reported as
// successful although its outcome is unknown, or is retried although it may have
// taken effect.
func TestFaults(t *testing.T) {
	data, err := os.ReadFile("testdata/faults.json")
	is.New(t).NoErr(err)
	var cases []struct {
		Name                            string
		Faults                          json.RawMessage
		OnlyReads                       bool
		WantTransact, WantRead, WantPut string
		// WantKept is set if the writes took effect.
		WantKept bool
	}
	is.New(t).NoErr(json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			s := memstore.New()
			client, url := serve(t, standin.New(s))
			seed := store.Transaction{Writes: []store.Write{{Table: "t", Key: "a/b c", Value: []byte{0, 255}}}}
			_, err := client.Tables().Transact(t.Context(), seed)
			is.NoErr(err)
			setFaults(t, url, string(c.Faults))
			start := time.Now()
			row, _, err := client.Tables().Read(t.Context(), "t", "a/b c")
			is.Equal(result(err, "Row"), c.WantRead)
			is.True(err != nil || bytes.Equal(row.Value, []byte{0, 255}))
			if c.OnlyReads {
				return
			}
			before := s.Counts()
			one := store.Transaction{Conditions: []store.Condition{{Table: "t", Key: "new"}}, Writes: []store.Write{{Table: "t", Key: "new"}}}
			got, err := client.Tables().Transact(t.Context(), one)
			is.Equal(result(err, "Committed"), c.WantTransact)
			is.Equal(got.Committed, err == nil)
			is.True(s.Counts().Transactions-before.Transactions <= 1)
			size, err := client.Objects().Put(t.Context(), "o/1", strings.NewReader("body"))
			is.Equal(result(err, "Stored"), c.WantPut)
			is.True(err != nil || size == 4)
			is.True(time.Since(start) < 3*time.Second)
			setFaults(t, url, "{}")
			row, _, err = client.Tables().Read(t.Context(), "t", "new")
			is.NoErr(err)
			is.Equal(row.Version != 0, c.WantKept)
			_, err = client.Objects().Get(t.Context(), "o/1")
			is.Equal(err == nil, c.WantKept)
			is.Equal(errors.Is(err, store.ErrNotFound), !c.WantKept)
			is.NoErr(client.Objects().Delete(t.Context(), "o/1"))
		})
	}
}

func result(err error, success string) string {
	if err == nil {
		return success
	}
	if errors.Is(err, store.ErrUnavailable) {
		return "Unavailable"
	}
	return err.Error()
}

func setFaults(t *testing.T, url, faults string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, url+"/admin/faults", strings.NewReader(faults))
	is.New(t).NoErr(err)
	response, err := http.DefaultClient.Do(request)
	is.New(t).NoErr(err)
	is.New(t).NoErr(response.Body.Close())
	is.New(t).Equal(response.StatusCode, http.StatusOK)
}

// TestList guards against rows out of order or beyond the limit.
func TestList(t *testing.T) {
	is := is.New(t)
	client, _ := serve(t, standin.New(memstore.New()))
	for _, key := range []string{"p/3", "p/1", "q/1", "p/2"} {
		_, err := client.Tables().Transact(t.Context(), store.Transaction{Writes: []store.Write{{Table: "t", Key: key}}})
		is.NoErr(err)
	}
	rows, err := client.Tables().List(t.Context(), "t", "p/", "p/1", 1)
	is.NoErr(err)
	is.Equal(len(rows), 1)
	is.Equal(rows[0].Key, "p/2")
}

// TestConflict guards against reporting a failed condition as an error, which
// would leave the outcome unknown.
func TestConflict(t *testing.T) {
	is := is.New(t)
	client, _ := serve(t, standin.New(memstore.New()))
	one := store.Transaction{Conditions: []store.Condition{{Table: "t", Key: "k"}}, Writes: []store.Write{{Table: "t", Key: "k", Value: []byte("v")}}}
	first, err := client.Tables().Transact(t.Context(), one)
	is.NoErr(err)
	second, err := client.Tables().Transact(t.Context(), one)
	is.NoErr(err)
	is.Equal(second.Committed, false)
	is.Equal(second.Conflicts, []store.Row{{Table: "t", Key: "k", Value: []byte("v"), Version: first.Versions[0]}})
}

// TestBudget guards against exceeding the request budget with retries.
func TestBudget(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int64
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	client, _ := serve(t, handler, tablestore.WithBudget(10, 10, 3))
	ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
	defer cancel()
	for range 5 {
		_, _, err := client.Tables().Read(ctx, "t", "k")
		is.True(errors.Is(err, store.ErrUnavailable))
	}
	is.True(requests.Load() <= 3+3)
}

// TestAdaptiveLimiter guards against retries that keep a failing platform
// overloaded, and against a rate that stays low after the platform has recovered.
func TestAdaptiveLimiter(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int64
	var up atomic.Bool
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		if !up.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "{}")
	})
	client, _ := serve(t, handler, tablestore.WithBudget(200, 200, 1), tablestore.WithTimeouts(600*time.Millisecond, 100*time.Millisecond, time.Second))
	read := func(calls int) (failed int) {
		ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
		defer cancel()
		var group errgroup.Group
		var failures atomic.Int64
		for range calls {
			group.Go(func() error {
				if _, _, err := client.Tables().Read(ctx, "t", "k"); err != nil {
					failures.Add(1)
				}
				return nil
			})
		}
		_ = group.Wait()
		return int(failures.Load())
	}
	is.Equal(read(20), 20)
	is.True(requests.Load() <= 40) // 20 first attempts, then 10/s; about 120 with the full budget
	up.Store(true)
	recovered := false
	for end := time.Now().Add(5 * time.Second); !recovered && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		recovered = read(1) == 0 && read(20) == 0
	}
	is.True(recovered)
}

// TestBoundedMemory guards against holding an object in memory as a whole.
func TestBoundedMemory(t *testing.T) {
	is := is.New(t)
	const size = 256 << 20
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = io.Copy(w, io.LimitReader(zeros{}, size))
			return
		}
		n, _ := io.Copy(io.Discard, r.Body)
		_ = json.NewEncoder(w).Encode(tablestore.PutResponse{Size: n})
	})
	client, _ := serve(t, handler)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	n, err := client.Objects().Put(t.Context(), "o", io.LimitReader(zeros{}, size))
	is.NoErr(err)
	is.Equal(n, int64(size))
	body, err := client.Objects().Get(t.Context(), "o")
	is.NoErr(err)
	n, err = io.Copy(io.Discard, body)
	is.NoErr(err)
	is.Equal(n, int64(size))
	is.NoErr(body.Close())
	runtime.ReadMemStats(&after)
	is.True(after.TotalAlloc-before.TotalAlloc < 4<<20)
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// TestTruncatedObject guards against taking a truncated object for a complete one,
// in either direction, and against a stalled transfer that never ends.
func TestTruncatedObject(t *testing.T) {
	is := is.New(t)
	s := memstore.New()
	client, _ := serve(t, standin.New(s))
	broken := io.MultiReader(strings.NewReader("half"), errorReader{})
	_, err := client.Objects().Put(t.Context(), "o", broken)
	is.True(err != nil)
	_, err = client.Objects().Get(t.Context(), "o")
	is.True(errors.Is(err, store.ErrNotFound))
	stalled, w := io.Pipe()
	defer w.Close()
	_, err = client.Objects().Put(t.Context(), "o", stalled)
	is.True(errors.Is(err, store.ErrUnavailable))

	cut := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "half")
		w.(http.Flusher).Flush()
		if r.URL.Path == "/objects/stalled" {
			<-r.Context().Done()
		}
		panic(http.ErrAbortHandler)
	})
	other, _ := serve(t, cut)
	for _, id := range []string{"cut", "stalled"} {
		body, err := other.Objects().Get(t.Context(), id)
		is.NoErr(err)
		_, err = io.ReadAll(body)
		is.True(errors.Is(err, store.ErrUnavailable))
		is.NoErr(body.Close())
	}
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, errors.New("disk full") }
