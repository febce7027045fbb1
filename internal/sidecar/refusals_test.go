package sidecar

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"pollenscale/core/exchange"
	"pollenscale/core/retry"

	"github.com/matryer/is"
)

// refusalCase is a target that refuses each request once, runs it the next time, and writes
// a copy of the latest refusal on the connection once more.
type refusalCase struct {
	Name string
	// At is when the copy is written: behind the refusal, while the request runs, before
	// its response, or behind that.
	At string
	// ID is the id in the copy, "Same" for that of the refused request.
	ID   string
	Want int
}

// refusingTarget plays a refusalCase on each connection.
type refusingTarget struct {
	refusalCase
	listener net.Listener
	wait     sync.WaitGroup

	mu      sync.Mutex
	refused map[string]bool
	runs    map[string]int
}

func startRefusingTarget(t *testing.T, c refusalCase) *refusingTarget {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	target := &refusingTarget{refusalCase: c, listener: l, refused: map[string]bool{}, runs: map[string]int{}}
	target.wait.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			target.wait.Go(func() { target.serve(conn) })
		}
	})
	t.Cleanup(func() { l.Close() })
	return target
}

func (r *refusingTarget) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	latest := "" // refused on this connection
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Id")
		if id == "" { // a probe
			respond(conn, "", 200, "")
			continue
		}
		r.mu.Lock()
		refuse := !r.refused[id]
		r.refused[id] = true
		if !refuse {
			r.runs[id]++
		}
		r.mu.Unlock()
		if refuse {
			respond(conn, id, 503, "Not-Run: 1\r\n")
			latest = id
			r.copyRefusal(conn, "Refusal", latest)
			continue
		}
		r.copyRefusal(conn, "Response", latest)
		time.Sleep(50 * time.Millisecond)
		respond(conn, id, 200, "")
		r.copyRefusal(conn, "Done", latest)
	}
}

func (r *refusingTarget) copyRefusal(conn net.Conn, at, id string) {
	if r.At != at || id == "" {
		return
	}
	if r.ID != "Same" {
		id = r.ID
	}
	respond(conn, id, 503, "Not-Run: 1\r\n")
}

func respond(conn net.Conn, id string, status int, extra string) {
	if id != "" {
		extra += "Id: " + id + "\r\n"
	}
	fmt.Fprintf(conn, "HTTP/1.1 %d X\r\n%sContent-Length: 2\r\n\r\nok", status, extra)
}

// TestRefusalWrittenOnceMore guards against a late copy of a refusal that is taken for the
// response to a request that the target runs: the caller would be told that it has not run,
// or it would run a second time.
func TestRefusalWrittenOnceMore(t *testing.T) {
	data, err := os.ReadFile("testdata/refusals.json")
	is.New(t).NoErr(err)
	var cases []refusalCase
	is.New(t).NoErr(json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			target := startRefusingTarget(t, c)
			p := startPath(t, 1, 2*time.Second, nil)
			p.entry.protocol.ReadAnswer = func(_ int, h http.Header) exchange.Response {
				return exchange.Response{ID: exchange.RequestID(h.Get("Id")), FromTarget: h.Get("Not-Run") == "", NotExecuted: h.Get("Not-Run") != ""}
			}
			settings := *p.entry.settings.Load()
			settings.RetryBudget = retry.FleetLimits{Ratio: 10, Window: time.Minute}
			p.entry.settings.Store(&settings)
			p.entry.config.Current().Match("x", "/slots/").MaxAttempts = 2
			p.entry.setTarget(target.listener.Addr().String())
			for i := range 5 {
				id := fmt.Sprint("request", i)
				r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, p.url, nil)
				is.NoErr(err)
				r.Host = "x"
				r.Header.Set("Id", id)
				resp, err := http.DefaultClient.Do(r)
				is.NoErr(err)
				is.NoErr(resp.Body.Close())
				is.Equal(resp.StatusCode, c.Want)
				target.mu.Lock()
				is.Equal(target.runs[id], 1)
				target.mu.Unlock()
			}
		})
	}
}
