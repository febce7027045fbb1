package sidecar

import (
	"log/slog"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"pollenscale/core/exchange"
	"pollenscale/core/route"
	"pollenscale/io/announce"
	"pollenscale/io/client"
	"pollenscale/standin/memstore"

	"github.com/matryer/is"
)

// newUnprovedDaemon returns a daemon that revokes keys strictly and has no proof.
func newUnprovedDaemon(t *testing.T) *Sidecar {
	t.Helper()
	config, err := route.New(route.Config{
		Version:       1,
		Routes:        []route.Route{{Name: "r", Host: "x", Prefix: "/", Kind: route.Safe, Timeout: time.Second, Services: []route.WeightedService{{Service: "agenda", Weight: 1}}}},
		Services:      []route.Service{{Name: "agenda"}},
		Organisations: []route.Organisation{{Name: "o"}},
	})
	is.New(t).NoErr(err)
	s := New(Settings{ListenPeers: "127.0.0.1:1", Revocation: 5 * time.Second}, Protocol{},
		WithTables(memstore.New().Tables()), WithLog(slog.New(slog.DiscardHandler)))
	s.config.SetIfNewer(config, nil)
	return s
}

// TestUnprovedRetryAfter guards against clients that try again long before a daemon without a
// recent proof of its configuration can have one.
func TestUnprovedRetryAfter(t *testing.T) {
	is := is.New(t)
	s := newUnprovedDaemon(t)
	s.protocol.ReadRequest = func(http.Header, time.Time) exchange.Request { return exchange.Request{} }
	w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "http://x/", nil)
	s.writeRejection(w, r, http.StatusServiceUnavailable, detailUnproved)
	is.Equal(w.Header().Get("Retry-After"), "0.500")
	status, detail := s.authorize(&request{route: s.config.Current().Match("x", "/")}, s.config.Current())
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(detail, detailUnproved)
	w = httptest.NewRecorder()
	s.writeRejection(w, r, http.StatusServiceUnavailable, client.ErrNoMemory.Error())
	is.Equal(w.Header().Get("Retry-After"), "0.050")
}

// TestNegativeAge guards against a proof from an answer whose age is negative and overflows to a
// small one.
func TestNegativeAge(t *testing.T) {
	is := is.New(t)
	s := newUnprovedDaemon(t)
	for _, age := range []int64{-1, math.MinInt64} {
		s.freshness.questions.Sent(7, s.bootTime())
		s.applyAnswer(announce.Message{Nonce: 7, Version: 1, AgeMs: &age})
		is.True(!s.isFresh(1))
	}
}
