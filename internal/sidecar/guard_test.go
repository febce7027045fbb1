package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pollenscale/core/attempt"
	"pollenscale/core/budget"
	"pollenscale/core/fleet"
	"pollenscale/core/outcome"
	"pollenscale/core/route"
	"pollenscale/io/client"
	"pollenscale/io/http1"

	"github.com/matryer/is"
)

// guardedPath is a path whose entry has a small account.
type guardedPath struct {
	*requestPath
	address string
	runs    atomic.Int64
}

// startGuarded starts a path; change changes the limits of the entry's account. The target
// counts its runs and takes the time hold.
func startGuarded(t *testing.T, hold time.Duration, change func(*budget.Limits)) *guardedPath {
	t.Helper()
	g := &guardedPath{}
	g.requestPath = startPath(t, 1, 5*time.Second, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil || r.URL.Path == "/health" {
			return
		}
		g.runs.Add(1)
		time.Sleep(hold)
		w.Header().Set("Id", "42")
	})
	limits := budget.LimitsOf(0, 0)
	change(&limits)
	g.entry.setAccount(budget.New(limits))
	server := httptest.NewUnstartedServer(nil)
	server.Config = g.entry.callerServer()
	tcp, ok := server.Listener.(*net.TCPListener)
	is.New(t).True(ok)
	server.Listener = g.entry.guard.Listen(server.Config, http1.Listener{
		TCPListener: tcp, Early: g.entry.prepareEarly, Reserve: g.entry.guard.Reserve,
	}, budget.Callers)
	server.Start()
	t.Cleanup(server.Close)
	g.address = tcp.Addr().String()
	return g
}

// answer returns the response on a connection.
func answer(t *testing.T, conn net.Conn) *http.Response {
	t.Helper()
	is := is.New(t)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(4 * time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	return resp
}

// TestStalledBodyGivesWay guards against a stalled body that keeps others from being served,
// and against one that gives way and has run, or is not told that it has not.
func TestStalledBodyGivesWay(t *testing.T) {
	is := is.New(t)
	g := startGuarded(t, 0, func(l *budget.Limits) { l.Bytes = 80 << 10 })
	stalled := stall(t, g.address, http.Header{"Id": {"42"}}, 1000)
	time.Sleep(1200 * time.Millisecond)
	next := stall(t, g.address, http.Header{"Id": {"42"}}, len("first part"))
	is.Equal(answer(t, next).StatusCode, http.StatusOK)
	refused := answer(t, stalled)
	is.Equal(refused.StatusCode, http.StatusServiceUnavailable)
	is.True(refused.Header.Get("Retry-After") != "")
	is.True(refused.Close)
	is.Equal(g.runs.Load(), int64(1))
	is.Equal(g.entry.guard.Refused(client.Stalled), uint64(1))
	is.True(g.becomes(0, time.Now().Add(time.Second)))
	is.Equal(g.entry.account.Usage().Bytes, fleet.Bytes(0)) // everything was given back
}

// TestNoRoom guards against requests that are refused for lack of room and run, or that hold
// what they were refused for.
func TestNoRoom(t *testing.T) {
	cases := []struct {
		name   string
		change func(*budget.Limits)
		length int
		reason client.Reason
	}{
		{"no memory for the head", func(l *budget.Limits) { l.Bytes = 30 << 10 }, 10, client.Memory},
		{"no memory for the body", func(l *budget.Limits) { l.Bytes = 50 << 10 }, 100 << 10, client.Memory},
		{"no exchange", func(l *budget.Limits) { l.Descriptors[budget.Exchanges] = 0 }, 10, client.Exchanges},
		{"no stream", func(l *budget.Limits) { l.Descriptors[budget.Streams] = 0 }, 2 << 20, client.Streams},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := startGuarded(t, 0, c.change)
			conn := stall(t, g.address, http.Header{"Id": {"42"}}, c.length)
			if rest := c.length - len("first part"); rest > 0 {
				_, err := io.WriteString(conn, strings.Repeat("x", min(rest, 80<<10)))
				is.NoErr(err)
			}
			resp := answer(t, conn)
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			is.True(resp.Header.Get("Retry-After") != "")
			is.Equal(g.runs.Load(), int64(0))
			is.Equal(g.entry.guard.Refused(c.reason), uint64(1))
			is.Equal(g.entry.account.Usage().Bytes, fleet.Bytes(0))
			is.Equal(g.entry.account.Usage().Descriptors[budget.Exchanges], 0)
			is.Equal(g.entry.account.Usage().Descriptors[budget.Streams], 0)
		})
	}
}

// TestFullListener guards against idle connections that keep others out, and against a request
// in progress that is broken off for a new connection.
func TestFullListener(t *testing.T) {
	is := is.New(t)
	g := startGuarded(t, 800*time.Millisecond, func(l *budget.Limits) { l.Descriptors[budget.Nested] = 2 }) // loopback connections come from the own address
	working := stall(t, g.address, http.Header{"Id": {"42"}}, len("first part"))
	for end := time.Now().Add(time.Second); g.runs.Load() == 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(g.runs.Load(), int64(1))
	idle, err := net.Dial("tcp4", g.address)
	is.NoErr(err)
	defer idle.Close()
	time.Sleep(50 * time.Millisecond)
	next := stall(t, g.address, http.Header{"Id": {"42"}}, len("first part"))
	is.NoErr(idle.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = idle.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // closed by the daemon
	is.Equal(answer(t, working).StatusCode, http.StatusOK)
	is.Equal(answer(t, next).StatusCode, http.StatusOK)
}

// TestHeadLimit guards against a head of legal size that is refused, and against longer ones
// that are not.
func TestHeadLimit(t *testing.T) {
	config, err := route.New(route.Config{
		Version: 2, Limits: route.Limits{HeaderBytes: 4 << 10}, Services: []route.Service{{Name: "agenda"}},
		Routes: []route.Route{{
			Name: "slots", Host: "x", Prefix: "/slots/", Kind: route.Safe, Timeout: time.Second, MaxAttempts: 1,
			Services: []route.WeightedService{{Service: "agenda", Weight: 1}},
		}},
	})
	is.New(t).NoErr(err)
	for _, c := range []struct{ length, status int }{
		{4 << 10, http.StatusOK}, {5 << 10, http.StatusRequestHeaderFieldsTooLarge}, {40 << 10, 0},
	} {
		t.Run(fmt.Sprint(c.length), func(t *testing.T) {
			is := is.New(t)
			g := startGuarded(t, 0, func(*budget.Limits) {})
			is.True(g.entry.config.SetIfNewer(config, nil))
			conn, err := net.Dial("tcp4", g.address)
			is.NoErr(err)
			defer conn.Close()
			head := "GET /slots/1 HTTP/1.1\r\nHost: x\r\nId: 42\r\n"
			head += strings.Repeat("a:\r\n", (c.length-len(head)-2)/4) + "\r\n"
			_, _ = io.WriteString(conn, head) // may be cut short
			is.NoErr(conn.SetReadDeadline(time.Now().Add(2 * time.Second)))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if c.status == 0 {
				is.True(err != nil) // closed without a response
				return
			}
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.Equal(resp.StatusCode, c.status)
		})
	}
}

// TestAttemptWithoutRoom guards against an attempt of another daemon that is refused for lack
// of room without the proof that it has not run.
func TestAttemptWithoutRoom(t *testing.T) {
	is := is.New(t)
	g := startGuarded(t, 0, func(l *budget.Limits) { l.Descriptors[budget.Attempts] = 0 })
	header := http.Header{}
	writeAttempt(header, attempt.Ref{
		ID: attempt.ID{Daemon: "entry", Incarnation: 1, Sequence: 1}, OpenFrom: 1, Target: g.beside.incarnation(),
	})
	writeParams(header, attemptParams{service: "agenda", deadline: time.Now().Add(time.Second)}, time.Now())
	resp := answer(t, stall(t, string(g.beside.id), header, len("first part")))
	result, ok := readOutcome(resp.Header, time.Now())
	is.True(ok)
	is.Equal(result.err.Outcome, outcome.NotRun)
	is.Equal(result.err.Reason, outcome.Overloaded)
	is.Equal(g.runs.Load(), int64(0))
}

// TestLongBodiesLeaveSlots guards against unfinished uploads that occupy all slots of a target.
func TestLongBodiesLeaveSlots(t *testing.T) {
	is := is.New(t)
	g := startGuarded(t, 0, func(*budget.Limits) {})
	slots := g.entry.limit.Value()
	is.True(slots > 1)
	for range 2 * slots {
		conn := stall(t, g.address, http.Header{"Id": {"42"}}, 2<<20)
		_, err := io.WriteString(conn, strings.Repeat("x", 100<<10))
		is.NoErr(err)
	}
	for end := time.Now().Add(2 * time.Second); g.entry.guard.Refused(client.Streams) < uint64(2*slots-slots/2) && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(g.entry.longBodies.Load(), int64(slots/2))
	next := stall(t, g.address, http.Header{"Id": {"42"}}, len("first part"))
	is.Equal(answer(t, next).StatusCode, http.StatusOK)
}
