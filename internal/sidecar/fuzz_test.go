package sidecar

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"pollenscale/core/attempt"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/roster"
	"pollenscale/core/store"

	"github.com/matryer/is"
)

// FuzzRecord guards against a row of another writer that ends the daemon, or that is taken
// for the record of a daemon that can be reached.
func FuzzRecord(f *testing.F) {
	for _, e := range []string{
		`{"Daemon":"k","Incarnation":5,"PeerAddress":"127.0.0.1:9","AnnounceAddress":"127.0.0.1:9","State":"Serving","Slots":9}`,
		`{"Daemon":"k","Incarnation":18446744073709551615}`, `[[[[`, `null`, `{"Daemon":"k","PeerAddress":"[::1]:70000"}`,
	} {
		f.Add([]byte(e))
	}
	s := New(Settings{ListenPeers: "127.0.0.1:1"}, Protocol{})
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := s.decodeRecord(store.Row{Key: "k", Value: value})
		if err != nil {
			return
		}
		is := is.New(t)
		is.Equal(r.Daemon, fleet.DaemonID("k"))
		for _, address := range []string{r.PeerAddress, r.AnnounceAddress} {
			if address != "" {
				is.NoErr(roster.ValidateAddress(address))
			}
		}
		is.True(!time.Unix(0, int64(r.Incarnation)).After(time.Now().Add(roster.MaxClockStep)))
		again, err := json.Marshal(r)
		is.NoErr(err)
		got, err := s.decodeRecord(store.Row{Key: "k", Value: again})
		is.NoErr(err)
		is.Equal(got, r)
	})
}

// FuzzPeerHeaders guards against a header of another daemon that ends this one, or that
// reads differently after it was written again.
func FuzzPeerHeaders(f *testing.F) {
	now := time.Unix(1000, 0)
	h := http.Header{}
	writeAttempt(h, attempt.Ref{ID: attempt.ID{Daemon: "d", Incarnation: 1, Sequence: 2}, OpenFrom: 1, Target: 3})
	writeParams(h, attemptParams{service: "s", caller: "c", deadline: now.Add(time.Second), repeat: true}, now)
	writeOutcome(h, attemptResult{err: outcome.New(outcome.NotRun, outcome.Overloaded, "full")}, now)
	writeLoad(h, fleet.Load{Sequence: 1, State: fleet.Serving, Slots: 9})
	f.Add(h.Get(headerAttempt), h.Get(headerTerms), h.Get(headerOutcome), h.Get(headerLoad))
	f.Add("d 18446744073709551616 1 1 1", "s 1e9 c -1 -1 x 0 0 zz", "Run  - 9223372036854775807 - ", "1 Serving -1 -1 -1 1 1 1 1")
	f.Fuzz(func(t *testing.T, attemptText, terms, result, load string) {
		is := is.New(t)
		h := http.Header{headerAttempt: {attemptText}, headerTerms: {terms}, headerOutcome: {result}, headerLoad: {load}}
		again := http.Header{}
		if ref, ok := readAttempt(h); ok {
			writeAttempt(again, ref)
			got, ok := readAttempt(again)
			is.True(ok)
			is.Equal(got, ref)
		}
		if params, ok := readParams(h, now); ok {
			writeParams(again, params, now)
			_, ok := readParams(again, now)
			is.True(ok)
		}
		if got, ok := readOutcome(h, now); ok {
			is.True(got.err.Outcome.Valid())
			writeOutcome(again, got, now)
			_, ok := readOutcome(again, now)
			is.True(ok)
		}
		if l, ok := readLoad(h, &fleet.Target{}); ok {
			writeLoad(again, l)
		}
	})
}
