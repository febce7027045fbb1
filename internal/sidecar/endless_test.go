package sidecar

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"pollenscale/core/exchange"
	"pollenscale/core/route"

	"github.com/matryer/is"
)

// writeEndlessly writes a body until the connection is closed.
func writeEndlessly(w http.ResponseWriter) {
	piece := bytes.Repeat([]byte("x"), 4<<10)
	for _, err := w.Write(piece); err == nil; _, err = w.Write(piece) {
	}
}

// TestEndlessResponse guards against a response without end that seems complete or outlives its request.
func TestEndlessResponse(t *testing.T) {
	const deadline = 400 * time.Millisecond
	cases := []struct {
		name        string
		daemons     int
		callerTakes int64 // bytes, then it closes the connection
	}{
		{"the caller reads on", 1, 1 << 40},
		{"the caller goes", 1, 100 << 10},
		{"the caller of another daemon reads on", 2, 1 << 40},
		{"the caller of another daemon goes", 2, 100 << 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan time.Time, 1)
			p := startPath(t, c.daemons, deadline, func(w http.ResponseWriter, _ *http.Request) {
				writeEndlessly(w)
				ended <- time.Now()
			})
			start := time.Now()
			resp := p.send(t)
			taken, err := io.Copy(io.Discard, io.LimitReader(resp.Body, c.callerTakes))
			is.True(err != nil || taken == c.callerTakes) // not complete
			is.NoErr(resp.Body.Close())
			end := <-ended
			is.True(end.Sub(start) < deadline+time.Second)
			for p.active() > 0 && time.Since(start) < deadline+time.Second {
				time.Sleep(10 * time.Millisecond)
			}
			is.Equal(p.active(), int64(0))
		})
	}
}

// TestEndlessResponseUnread guards against connections left open at a response that is not used.
func TestEndlessResponseUnread(t *testing.T) {
	config, err := route.New(route.Config{Version: 1, Services: []route.Service{{Name: "agenda", HealthPath: "/health"}}})
	is.New(t).NoErr(err)
	cases := []struct {
		name string
		call func(*Sidecar, string)
	}{
		{"health probe", func(s *Sidecar, _ string) { s.probe(t.Context()) }},
		{"response without proof of origin", func(s *Sidecar, _ string) { s.runPath(t.Context(), "/slots/1") }},
		{"crash report", func(s *Sidecar, address string) {
			if err := s.sendCrashReportTo(t.Context(), address, []byte("{}")); err != nil {
				t.Error(err)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ended := make(chan struct{})
			peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				defer close(ended)
				writeEndlessly(w)
			}))
			defer peer.Close()
			defer peer.CloseClientConnections()
			protocol := testProtocol()
			protocol.ReadAnswer = func(int, http.Header) exchange.Response { return exchange.Response{} }
			address := peer.Listener.Addr().String()
			s := New(Settings{ListenPeers: "127.0.0.1:1", Target: address}, protocol, WithLog(slog.New(slog.DiscardHandler)))
			s.config.SetIfNewer(config, nil)
			s.registerTarget("i-1", 1)
			c.call(s, address)
			select {
			case <-ended:
			case <-time.After(time.Second):
				t.Error("the connection is open a second after the call")
			}
		})
	}
}

// TestEndlessResponseMemory guards against memory that grows with responses without end whose
// callers read nothing, and against other callers that are not served meanwhile.
func TestEndlessResponseMemory(t *testing.T) {
	const (
		callers  = 40
		allowed  = 800 * time.Millisecond
		maxBytes = 32 << 20 // more than 64 KB of each response on its way through two daemons
	)
	forms := []struct{ name, beginning, piece string }{
		{"body until the close", "HTTP/1.1 200 OK\r\nId: 42\r\n\r\n", "x"},
		{"body in chunks", "HTTP/1.1 200 OK\r\nId: 42\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\n12345678\r\n"},
		{"head", "HTTP/1.1 200 OK\r\nId: 42\r\n", "A: b\r\n"},
		{"no answer at all", "", "x"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"body of a failure", "HTTP/1.1 500 Internal Server Error\r\nId: 42\r\n\r\n", "x"},
	}
	for _, form := range forms {
		for _, daemons := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, %d daemons", form.name, daemons), func(t *testing.T) {
				is := is.New(t)
				p := startPath(t, daemons, allowed, func(w http.ResponseWriter, r *http.Request) {
					if r.Method == http.MethodPost {
						sendEndlessly(w, form.beginning, form.piece)
					}
				})
				p.beside.registerTarget("i-2", callers+10)
				p.entry.roster.Merge(p.beside.ownRecord())
				address := strings.TrimSuffix(strings.TrimPrefix(p.url, "http://"), "/slots/1")
				runtime.GC()
				var before, during runtime.MemStats
				runtime.ReadMemStats(&before)
				for range callers {
					conn, err := net.Dial("tcp4", address)
					is.NoErr(err)
					defer conn.Close()
					_, err = io.WriteString(conn, "POST /orders/1 HTTP/1.1\r\nHost: x\r\nId: 42\r\nContent-Length: 0\r\n\r\n")
					is.NoErr(err)
				}
				for end := time.Now().Add(allowed / 2); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
					runtime.ReadMemStats(&during)
					is.True(during.HeapAlloc < before.HeapAlloc+maxBytes)
				}
				resp := p.send(t)
				is.NoErr(resp.Body.Close())
				is.Equal(resp.StatusCode, http.StatusOK) // another caller is served
				is.True(p.becomes(0, time.Now().Add(allowed+time.Second)))
			})
		}
	}
}

// sendEndlessly sends a beginning and then the same piece until the connection is closed.
func sendEndlessly(w http.ResponseWriter, beginning, piece string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, beginning); err != nil {
		return
	}
	pieces := bytes.Repeat([]byte(piece), 64<<10/len(piece))
	for _, err = conn.Write(pieces); err == nil; _, err = conn.Write(pieces) {
	}
}
