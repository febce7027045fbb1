package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// served is what a caller saw of a request, with the problem details.
type served struct {
	status          int
	outcome, reason string
	header          http.Header
	body            []byte
	// closing is set when the entry asks the caller to leave.
	closing bool
}

// post sends a request with a body of its own.
func (f *testFleet) post(ctx context.Context, entry int, method, path, body string, header map[string]string) (served, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+f.nodes[entry].CallerAddress()+path, strings.NewReader(body))
	if err != nil {
		return served{}, err
	}
	request.Header.Set("Pollenscale-Service", "agenda")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return served{}, err
	}
	defer response.Body.Close()
	s := served{status: response.StatusCode, outcome: response.Header.Get("Pollenscale-Outcome"), header: response.Header, closing: response.Close}
	if s.body, err = io.ReadAll(response.Body); err != nil {
		return s, err
	}
	var p struct{ Reason string }
	if response.Header.Get("Content-Type") == "application/problem+json" {
		err = json.Unmarshal(s.body, &p)
	}
	s.reason = p.Reason
	return s, err
}

// startTarget starts the target of m again after a crash.
func (m *node) startTarget(t testing.TB) {
	t.Helper()
	var l net.Listener
	eventually(t, 10*time.Second, func() bool {
		var err error
		l, err = net.Listen("tcp", m.address)
		return err == nil
	})
	server := &http.Server{Handler: m.target}
	m.server = server
	m.done.Go(func() error { _ = server.Serve(l); return nil })
}

// poisonCase is a request that crashes each target that runs it.
type poisonCase struct {
	Name, Method, Path string
	// Times is how often it is sent, each time through another daemon.
	Times int
	// Beside is the number of innocent requests in flight each time.
	Beside int
	// StartAgain starts crashed targets again after each time.
	StartAgain bool
}

const (
	// mostLost is the stated number of targets lost to one request.
	mostLost = 2
	// servedWithin bounds the time after which an innocent request is served.
	// The daemons learn of a crashed target in under 2 s, and refused requests
	// are sent again.
	servedWithin = 4 * time.Second
)

// TestPoison guards against a request that crashes one target after the other,
// and against innocent requests that are condemned with it.
func TestPoison(t *testing.T) {
	var cases []poisonCase
	loadJSON(t, "poison.json", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			c.run(t, startFleet(t, "desk", "desk", "agenda", "agenda", "agenda", "agenda"))
		})
	}
}

func (c poisonCase) run(t *testing.T, f *testFleet) {
	is := is.New(t)
	for n := range c.Times {
		var group errgroup.Group
		for beside := range c.Beside {
			group.Go(func() error {
				_, err := f.innocent(t.Context(), beside%2, n, beside, "300ms")
				return err
			})
		}
		time.Sleep(100 * time.Millisecond) // the innocent requests are in flight
		c.crash(t, f, n)
		is.NoErr(group.Wait())
		if c.StartAgain {
			f.startCrashed(t)
		}
	}
	eventually(t, servedWithin, func() bool {
		last := c.crash(t, f, c.Times)
		return last.outcome == "NotRun" && last.reason == "Poison"
	})
	for n := range c.Times {
		for beside := range c.Beside {
			eventually(t, servedWithin, func() bool {
				s, err := f.innocent(t.Context(), beside%2, n, beside, "1ms")
				return err == nil && s.status == http.StatusOK
			})
		}
	}
}

// crash sends the request that crashes targets.
func (c poisonCase) crash(t *testing.T, f *testFleet, n int) served {
	t.Helper()
	is := is.New(t)
	s, err := f.post(t.Context(), n%2, c.Method, c.Path, "poison", map[string]string{"Standin-Id": "poison", "Standin-Crash": "true"})
	is.NoErr(err)
	t.Logf("time %d: %d %s %s, %d targets lost", n, s.status, s.outcome, s.reason, f.lost())
	is.True(f.lost() <= mostLost)
	return s
}

// innocent sends a request that harms no target.
func (f *testFleet) innocent(ctx context.Context, entry, round, number int, serviceTime string) (served, error) {
	id := fmt.Sprintf("innocent-%d-%d", round, number)
	return f.post(ctx, entry, http.MethodPost, "/x", id, map[string]string{"Standin-Id": id, "Standin-Service-Time": serviceTime})
}

// lost returns how often a target crashed.
func (f *testFleet) lost() int {
	n := 0
	for _, r := range f.ran("poison") {
		if r.End == "Crashed" {
			n++
		}
	}
	return n
}

// startCrashed starts all crashed targets again, and waits until all daemons
// know.
func (f *testFleet) startCrashed(t *testing.T) {
	t.Helper()
	started := false
	for _, m := range f.nodes {
		c, err := net.Dial("tcp", m.address)
		if err == nil {
			_ = c.Close()
			continue
		}
		m.startTarget(t)
		started = true
	}
	if started {
		time.Sleep(2 * healthInterval)
	}
	f.waitKnown(t)
}
