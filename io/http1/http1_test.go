package http1_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pollenscale/io/http1"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// exchange is a case of testdata/exchanges.json: what the peer sends and what the
// client returns.
type exchange struct {
	Name        string
	Guards      string
	Answers     []string
	Close       bool // after the response
	Reset       bool
	Want        []string
	Connections int32
}

// peer is a server that sends Answers[n] as the response to the n-th request,
// counted over all connections.
type peer struct {
	exchange
	listener    net.Listener
	connections atomic.Int32
	mu          sync.Mutex
	served      int
}

func startPeer(t *testing.T, e exchange) *peer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{exchange: e, listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			p.connections.Add(1)
			go p.serve(conn)
		}
	}()
	return p
}

func (p *peer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		p.mu.Lock()
		n := p.served
		p.served++
		p.mu.Unlock()
		if n >= len(p.Answers) {
			return
		}
		io.WriteString(conn, p.Answers[n])
		if p.Reset {
			time.Sleep(20 * time.Millisecond) // the client reads the response before the reset
			conn.(*net.TCPConn).SetLinger(0)
			return
		}
		if p.Close {
			return
		}
	}
}

// TestExchanges guards against the failures named in testdata/exchanges.json.
func TestExchanges(t *testing.T) {
	data, err := os.ReadFile("testdata/exchanges.json")
	is.New(t).NoErr(err)
	var cases []exchange
	is.New(t).NoErr(json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			p := startPeer(t, c)
			pool := http1.New(p.listener.Addr().String())
			defer pool.Close()
			for i, want := range c.Want {
				is.Equal(roundTrip(t, pool, strconv.Itoa(i+1)), want) // c.Guards
				time.Sleep(30 * time.Millisecond)
			}
			is.Equal(p.connections.Load(), c.Connections)
		})
	}
}

func roundTrip(t *testing.T, pool *http1.Pool, id string) string {
	t.Helper()
	r, err := pool.Do(t.Context(), &http1.Request{
		Method: http.MethodPost, Target: "/a//b/../c?q=%2F", Host: "x", Body: strings.NewReader("body"), Length: 4,
		Matches:  func(h http.Header) bool { return h.Get("Id") == "" || h.Get("Id") == id },
		Deadline: time.Now().Add(2 * time.Second),
	})
	if err != nil {
		if errors.Is(err, http1.ErrNotSent) {
			t.Errorf("error marked ErrNotSent: %v", err)
		}
		return "error"
	}
	body, err := io.ReadAll(r)
	if err := errors.CombineErrors(err, r.Close()); err != nil {
		return "error"
	}
	return strconv.Itoa(r.Status) + " " + string(body)
}

// TestNotSent guards against an unknown outcome although no byte of the request
// was sent.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	address := l.Addr().String()
	is.New(t).NoErr(l.Close())
	_, err = http1.New(address).Do(t.Context(), &http1.Request{Method: http.MethodGet, Target: "/", Host: "x"})
	is.New(t).True(errors.Is(err, http1.ErrNotSent))
}

// TestExpectContinue guards against sending a long body to a peer that rejects the
// request.
func TestExpectContinue(t *testing.T) {
	is := is.New(t)
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Take") == "" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		n, err := io.Copy(io.Discard, r.Body)
		if err == nil {
			received.Add(n)
		}
		w.WriteHeader(http.StatusOK)
	}))
	defer server.Close()
	pool := http1.New(server.Listener.Addr().String())
	defer pool.Close()
	body := strings.Repeat("x", 60_000)
	for _, c := range []struct {
		take   string
		status int
		read   int64
	}{{"", 503, 0}, {"yes", 200, 60_000}} {
		reader := strings.NewReader(body)
		r, err := pool.Do(t.Context(), &http1.Request{
			Method: http.MethodPost, Target: "/", Host: "x", Header: http.Header{"Take": {c.take}},
			Body: reader, Length: int64(len(body)), ExpectContinue: true, Deadline: time.Now().Add(2 * time.Second),
		})
		is.NoErr(err)
		is.Equal(r.Status, c.status)
		is.NoErr(r.Close())
		is.Equal(received.Load(), c.read)
		is.Equal(int64(len(body)-reader.Len()), c.read)
	}
}

// TestCancel guards against a peer that keeps working on a request after the
// caller has cancelled it.
func TestCancel(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	}))
	defer server.Close()
	pool := http1.New(server.Listener.Addr().String())
	ctx, cancel := context.WithCancel(t.Context())
	const cancelAfter, noticeWithin = 50 * time.Millisecond, 500 * time.Millisecond
	end := time.Now().Add(cancelAfter + noticeWithin)
	time.AfterFunc(cancelAfter, cancel)
	_, err := pool.Do(ctx, &http1.Request{Method: http.MethodGet, Target: "/", Host: "x", Deadline: time.Now().Add(5 * time.Second)})
	is.True(errors.Is(err, context.Canceled))
	select {
	case <-cancelled:
	case <-time.After(noticeWithin):
	}
	is.True(time.Now().Before(end)) // the peer notices within 500 ms
}

// TestDroppedIdleConnections guards against a series of failed requests on
// connections that the peer drops before their announced idle timeout, and against
// sending a request that cannot be retried on a connection that has been idle.
func TestDroppedIdleConnections(t *testing.T) {
	is := is.New(t)
	const dropAfter = 80 * time.Millisecond
	var lastUsed sync.Map // time of the last response on each connection
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		last, ok := lastUsed.Load(r.RemoteAddr)
		if ok && time.Since(last.(time.Time)) > dropAfter {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				err = conn.(*net.TCPConn).SetLinger(0)
				conn.Close()
			}
			is.NoErr(err)
			return
		}
		lastUsed.Store(r.RemoteAddr, time.Now())
	}))
	server.Start()
	defer server.Close()
	do := func(pool *http1.Pool, avoidIdle bool) bool {
		r, err := pool.Do(t.Context(), &http1.Request{
			Method: http.MethodGet, Target: "/", Host: "x", AvoidIdle: avoidIdle, Deadline: time.Now().Add(time.Second),
		})
		if err != nil {
			return false
		}
		_, err = io.Copy(io.Discard, r)
		return errors.CombineErrors(err, r.Close()) == nil
	}
	pool := http1.New(server.Listener.Addr().String())
	defer pool.Close()
	failed := 0
	for range 6 {
		if !do(pool, false) {
			failed++
		}
		time.Sleep(150 * time.Millisecond)
	}
	is.Equal(failed, 1)

	other := http1.New(server.Listener.Addr().String())
	defer other.Close()
	for range 3 {
		is.True(do(other, true))
		time.Sleep(250 * time.Millisecond)
	}
}
