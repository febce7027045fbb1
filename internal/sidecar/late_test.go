package sidecar

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// TestLateAttemptCutAtStop guards against an attempt of another daemon that a stopping daemon
// takes late in its grace period, and that is cut off without a response at the end of it.
func TestLateAttemptCutAtStop(t *testing.T) {
	const (
		allowed = 2 * time.Second
		slots   = 9 // of the target
	)
	cases := []struct {
		name    string
		daemons int
		stopsIn time.Duration // from the arrival of the request
		queued  bool          // the request waits for a slot when the stop begins
		status  int
		runs    int64
	}{
		{"the daemon beside the target stops before the deadline", 2, allowed / 4, false, http.StatusServiceUnavailable, 0},
		{"the daemon beside the target stops after the deadline", 2, 2 * allowed, false, http.StatusOK, 1},
		{"the request waits when the stop begins", 2, allowed / 4, true, http.StatusServiceUnavailable, 0},
		{"the request of a caller waits when the stop begins", 1, allowed / 4, true, http.StatusServiceUnavailable, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var runs atomic.Int64
			release := make(chan struct{})
			occupied := make(chan struct{}, slots)
			p := startPath(t, c.daemons, allowed, func(_ http.ResponseWriter, r *http.Request) {
				if strings.HasSuffix(r.URL.Path, "/occupy") {
					occupied <- struct{}{}
					<-release
					return
				}
				runs.Add(1)
			})
			var others errgroup.Group
			defer func() { is.NoErr(others.Wait()) }()
			if c.queued {
				for range slots {
					others.Go(func() error { return p.get("/slots/occupy") })
				}
				for range slots {
					<-occupied
				}
				time.AfterFunc(allowed/8, func() {
					p.beside.stopAt(time.Now().Add(c.stopsIn))
					close(release)
				})
			} else {
				p.beside.stopAt(time.Now().Add(c.stopsIn))
				close(release)
			}
			r := httptest.NewRequest(http.MethodPost, "/orders/1", nil)
			r.Host = "x"
			w := httptest.NewRecorder()
			p.entry.serveCaller(w, r)
			is.Equal(w.Code, c.status)
			is.Equal(runs.Load(), c.runs)
		})
	}
}

// get sends a request to the entry.
func (p *requestPath) get(path string) error {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	r.Host = "x"
	p.entry.serveCaller(httptest.NewRecorder(), r)
	return nil
}
