package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pollenscale/core/exchange"
	"pollenscale/core/route"
	"pollenscale/core/store"

	"github.com/matryer/is"
)

// TestStopUnderLoad guards against requests that a daemon has read when it closes its
// connections at the end of a planned stop, and that end without a response.
func TestStopUnderLoad(t *testing.T) {
	is := is.New(t)
	var read, served atomic.Int64
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		time.Sleep(time.Millisecond)
	}))
	defer target.Close()
	protocol := testProtocol()
	protocol.ReadRequest = func(h http.Header, now time.Time) exchange.Request {
		return exchange.Request{ID: exchange.RequestID(h.Get("Id")), Deadline: now.Add(200 * time.Millisecond)}
	}
	protocol.ReadAnswer = func(_ int, h http.Header) exchange.Response {
		return exchange.Response{ID: exchange.RequestID(h.Get("Id")), FromTarget: true}
	}
	config, err := route.New(route.Config{Version: 1, Services: []route.Service{{Name: "agenda"}}, Routes: []route.Route{{
		Name: "slots", Host: "x", Prefix: "/slots/", Kind: route.Safe, Timeout: time.Second, MaxAttempts: 1,
		Services: []route.WeightedService{{Service: "agenda", Weight: 1}},
	}}})
	is.NoErr(err)
	d := New(Settings{
		ListenCallers: "127.0.0.1:0", ListenPeers: "127.0.0.1:0", Target: target.Listener.Addr().String(), GracePeriod: 4 * time.Second,
	}, protocol, WithTables(store.Tables{}), WithLog(slog.New(slog.DiscardHandler)))
	d.config.SetIfNewer(config, nil)
	d.registerTarget("i-1", 9)
	d.roster.Merge(d.ownRecord())
	callers := d.callerServer()
	handler := callers.Handler
	callers.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		read.Add(1)
		handler.ServeHTTP(w, r)
		served.Add(1)
	})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	d.servers = []server{{Server: callers, listener: listener}}
	ctx, cancel := context.WithCancel(t.Context())
	var serving sync.WaitGroup
	serving.Go(func() { d.servers[0].serve(ctx) })
	var clients sync.WaitGroup
	var answered, unanswered atomic.Int64
	for i := range 40 {
		clients.Go(func() { sendUntilClosed(listener.Addr().String(), i, &answered, &unanswered) })
	}
	time.Sleep(100 * time.Millisecond)
	is.NoErr(d.shutdown(ctx))
	is.NoErr(callers.Close())
	cancel()
	serving.Wait()
	clients.Wait()
	is.True(answered.Load() > 100)
	is.Equal(read.Load(), served.Load())     // each request that was read was handled to its end
	is.Equal(answered.Load(), served.Load()) // and its response arrived
}

// sendUntilClosed sends requests on connections that it keeps, ignores requests to close
// them, and counts the responses. It ends when no connection can be opened.
func sendUntilClosed(address string, client int, answered, unanswered *atomic.Int64) {
	for n := 0; ; {
		conn, err := net.Dial("tcp4", address)
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		for {
			n++
			if _, err := fmt.Fprintf(conn, "GET /slots/1 HTTP/1.1\r\nHost: x\r\nId: %d-%d\r\n\r\n", client, n); err != nil {
				break
			}
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				unanswered.Add(1)
				break
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				unanswered.Add(1)
				break
			}
			answered.Add(1)
			if resp.Close {
				break
			}
		}
		if err := conn.Close(); err != nil {
			return
		}
	}
}

// TestStopEndsReadRequest guards against a request that a daemon has read and whose
// connection is closed at the end of a planned stop before the response.
func TestStopEndsReadRequest(t *testing.T) {
	is := is.New(t)
	const takes = 200 * time.Millisecond
	p := startPath(t, 1, 2*time.Second, func(http.ResponseWriter, *http.Request) { time.Sleep(takes) })
	callers := p.entry.callerServer()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	p.entry.servers = []server{{Server: callers, listener: listener}}
	ctx, cancel := context.WithCancel(t.Context())
	var serving sync.WaitGroup
	serving.Go(func() { p.entry.servers[0].serve(ctx) })
	defer serving.Wait()
	defer cancel()
	conn, err := net.Dial("tcp4", listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /slots/1 HTTP/1.1\r\nHost: x\r\nId: 42\r\n\r\n")
	is.NoErr(err)
	time.Sleep(takes / 2)
	p.entry.closeServers(t.Context(), time.Now().Add(time.Second))
	is.NoErr(callers.Close())
	is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err) // the request that was read is answered
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusOK)
}
