package sidecar

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
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
