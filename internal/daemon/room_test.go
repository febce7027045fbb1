package daemon

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"pollenscale/core/budget"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"

	"github.com/matryer/is"
)

// TestNoRoom guards against a refusal for want of room without the proof that the request has not
// run, and against room that a refused or an answered request keeps.
func TestNoRoom(t *testing.T) {
	cases := []struct {
		name     string
		services []fleet.Service // the first daemon is the entry
		change   func(*budget.Limits)
		bytes    int // of the body
		want     int
	}{
		{"room for everything", []fleet.Service{"desk", "agenda"}, func(*budget.Limits) {}, 100 << 10, http.StatusOK},
		{"no memory for the head", []fleet.Service{"agenda"}, func(l *budget.Limits) { l.Bytes = 30 << 10 }, 0, http.StatusServiceUnavailable},
		{"no memory for the body", []fleet.Service{"agenda"}, func(l *budget.Limits) { l.Bytes = 60 << 10 }, 100 << 10, http.StatusServiceUnavailable},
		{"no exchange", []fleet.Service{"agenda"}, func(l *budget.Limits) { l.Descriptors[budget.Exchanges] = 0 }, 10, http.StatusServiceUnavailable},
		{"no stream", []fleet.Service{"agenda"}, func(l *budget.Limits) { l.Descriptors[budget.Streams] = 0 }, 100 << 10, http.StatusServiceUnavailable},
		{"no stream needed", []fleet.Service{"agenda"}, func(l *budget.Limits) { l.Descriptors[budget.Streams] = 0 }, 20 << 10, http.StatusOK},
		{"no attempt", []fleet.Service{"desk", "agenda"}, func(l *budget.Limits) { l.Descriptors[budget.Attempts] = 0 }, 10, http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			limits := budget.LimitsOf(0, 0)
			c.change(&limits)
			f := startFleetWith(t, []Option{WithLimits(limits)}, c.services...)
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.nodes[0].CallerAddress()+"/x", bytes.NewReader(make([]byte, c.bytes)))
			is.NoErr(err)
			r.Header.Set("Pollenscale-Service", "agenda")
			r.Header.Set("Standin-Id", "1")
			resp, err := f.client.Do(r)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, c.want)
			if c.want == http.StatusServiceUnavailable {
				is.Equal(resp.Header.Get("Pollenscale-Outcome"), string(outcome.NotRun))
				is.True(resp.Header.Get("Retry-After") != "")
			}
			for _, n := range f.nodes {
				is.True(n.becomesEmpty(time.Now().Add(time.Second)))
			}
		})
	}
}

// becomesEmpty reports whether no request occupies anything at the daemon before a time.
func (n *node) becomesEmpty(before time.Time) bool {
	for time.Now().Before(before) {
		u := n.guard.Account().Usage()
		if u.Bytes == 0 && u.Descriptors[budget.Exchanges]+u.Descriptors[budget.Streams]+u.Descriptors[budget.Attempts] == 0 {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

// TestStalledBodyGivesWay guards against stalled bodies that keep others from being served.
func TestStalledBodyGivesWay(t *testing.T) {
	is := is.New(t)
	limits := budget.LimitsOf(0, 0)
	limits.Bytes = 300 << 10
	f := startFleetWith(t, []Option{WithLimits(limits)}, "agenda")
	stalled, err := newStalledUpload(f.nodes[0].CallerAddress(), 100<<10)
	is.NoErr(err)
	defer stalled.Close()
	time.Sleep(1200 * time.Millisecond)
	result := f.send(t.Context(), 0, http.MethodPost, "1")
	is.NoErr(result.err)
	is.Equal(result.status, http.StatusOK)
	second, err := newStalledUpload(f.nodes[0].CallerAddress(), 100<<10)
	is.NoErr(err)
	defer second.Close()
	is.NoErr(stalled.SetReadDeadline(time.Now().Add(2 * time.Second)))
	data := make([]byte, 4<<10)
	n, err := stalled.Read(data)
	is.NoErr(err)
	is.True(bytes.Contains(data[:n], []byte("503")))
	is.True(bytes.Contains(data[:n], []byte(outcome.NotRun)))
}

// newStalledUpload connects to an address and sends a request without its body.
func newStalledUpload(address string, length int) (net.Conn, error) {
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return nil, err
	}
	_, err = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: x\r\nPollenscale-Service: agenda\r\nContent-Length: %d\r\n\r\n", length)
	return conn, err
}
