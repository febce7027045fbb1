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

// postResult is the result of a request as its caller sees it, with the body and the
// reason from the problem details.
type postResult struct {
	status          int
	outcome, reason string
	header          http.Header
	body            []byte
	// closeRequested is set when the entry asks the caller to close its connection.
	closeRequested bool
}

// post sends a request with the given path, body and header.
func (f *testFleet) post(ctx context.Context, entry int, method, path, body string, header map[string]string) (postResult, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+f.nodes[entry].CallerAddress()+path, strings.NewReader(body))
	if err != nil {
		return postResult{}, err
	}
	request.Header.Set("Pollenscale-Service", "agenda")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return postResult{}, err
	}
	defer response.Body.Close()
	s := postResult{status: response.StatusCode, outcome: response.Header.Get("Pollenscale-Outcome"), header: response.Header, closeRequested: response.Close}
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

// restartTarget restarts the target of m after a crash.
func (m *node) restartTarget(t testing.TB) {
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

// poisonCase is a poison request, which crashes each target that runs it.
type poisonCase struct {
	Name, Method, Path string
	// Times is how often it is sent, alternately through two entries.
	Times int
	// Beside is the number of harmless requests in flight each time.
	Beside int
	// StartAgain restarts crashed targets after each time.
	StartAgain bool
}

const (
	// maxCrashes is the guaranteed maximum number of targets that one request crashes.
	maxCrashes = 2
	// recoveryTime bounds the time until a harmless request is served again. The daemons
	// detect a crashed target in less than 2 s, and refused requests are sent again.
	recoveryTime = 4 * time.Second
)

// TestPoison guards against a request that crashes one target after another, and against
// harmless requests that are condemned because they were in flight at the same time.
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
				_, err := f.sendHarmless(t.Context(), beside%2, n, beside, "300ms")
				return err
			})
		}
		time.Sleep(100 * time.Millisecond) // until the harmless requests are in flight
		c.sendPoison(t, f, n)
		is.NoErr(group.Wait())
		if c.StartAgain {
			f.restartCrashedTargets(t)
		}
	}
	eventually(t, recoveryTime, func() bool {
		last := c.sendPoison(t, f, c.Times)
		return last.outcome == "NotRun" && last.reason == "Poison"
	})
	for n := range c.Times {
		for beside := range c.Beside {
			eventually(t, recoveryTime, func() bool {
				s, err := f.sendHarmless(t.Context(), beside%2, n, beside, "1ms")
				return err == nil && s.status == http.StatusOK
			})
		}
	}
}

// sendPoison sends the poison request, and checks the number of crashed targets.
func (c poisonCase) sendPoison(t *testing.T, f *testFleet, n int) postResult {
	t.Helper()
	is := is.New(t)
	s, err := f.post(t.Context(), n%2, c.Method, c.Path, "poison", map[string]string{"Standin-Id": "poison", "Standin-Crash": "true"})
	is.NoErr(err)
	t.Logf("request %d: %d %s %s, %d targets crashed", n, s.status, s.outcome, s.reason, f.crashes())
	is.True(f.crashes() <= maxCrashes)
	return s
}

// sendHarmless sends a request that does not crash its target.
func (f *testFleet) sendHarmless(ctx context.Context, entry, round, number int, serviceTime string) (postResult, error) {
	id := fmt.Sprintf("harmless-%d-%d", round, number)
	return f.post(ctx, entry, http.MethodPost, "/x", id, map[string]string{"Standin-Id": id, "Standin-Service-Time": serviceTime})
}

// crashes returns the number of crashes of targets.
func (f *testFleet) crashes() int {
	n := 0
	for _, r := range f.executions("poison") {
		if r.End == "Crashed" {
			n++
		}
	}
	return n
}

// restartCrashedTargets restarts all crashed targets, and waits until all daemons see
// them ready.
func (f *testFleet) restartCrashedTargets(t *testing.T) {
	t.Helper()
	started := false
	for _, m := range f.nodes {
		c, err := net.Dial("tcp", m.address)
		if err == nil {
			_ = c.Close()
			continue
		}
		m.restartTarget(t)
		started = true
	}
	if started {
		time.Sleep(2 * healthInterval)
	}
	f.waitMembership(t)
}
