package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// request is a request of a client.
type request struct {
	id, kind, text string
	safe           bool
}

// getRequest returns a safe request without a body.
func getRequest(kind, path string, deadline time.Duration) func() request {
	return func() request {
		id := newID()
		return request{id: id, kind: kind, safe: true, text: fmt.Sprintf(
			"GET %s%s HTTP/1.1\r\nHost: mesh.example\r\nX-Pollenscale-Try-Id: %s\r\nX-Pollenscale-Deadline-Ms: %d\r\n\r\n",
			path, id, id, deadline.Milliseconds())}
	}
}

// postRequest returns a request with a body, which must not run twice.
func postRequest(kind, path string, deadline time.Duration, body int) func() request {
	return func() request {
		id := newID()
		return request{id: id, kind: kind, text: fmt.Sprintf(
			"POST %s%s HTTP/1.1\r\nHost: mesh.example\r\nX-Pollenscale-Try-Id: %s\r\nX-Pollenscale-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
			path, id, id, deadline.Milliseconds(), body, bodyOf(id, body))}
	}
}

func bodyOf(id string, n int) string {
	out := make([]byte, n)
	for i := range out {
		out[i] = id[i%len(id)]
	}
	return string(out)
}

// answer is the answer to a request; status 0 is none.
type answer struct {
	status     int
	closes     bool
	retryAfter time.Duration
}

func (a answer) ok() bool { return a.status/100 == 2 }

// read reads the answer to a request. The body has to be that of the request.
func read(rd *bufio.Reader, q request) answer {
	resp, err := http.ReadResponse(rd, nil)
	if err != nil {
		return answer{closes: true}
	}
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return answer{closes: true}
	}
	a := answer{status: resp.StatusCode, closes: resp.Close}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	if a.ok() && resp.Header.Get("X-Pollenscale-Try-Id") != q.id {
		a.status = 0
	}
	return a
}

// client is a client of a machine with one kept connection.
type client struct {
	machine *machine
	conn    net.Conn
	rd      *bufio.Reader
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

func (c *client) connect() bool {
	if c.conn != nil {
		return true
	}
	conn, err := c.machine.dialOutbound()
	if err != nil {
		return false
	}
	c.conn, c.rd = conn, bufio.NewReader(conn)
	return true
}

// once sends a request and reads its answer.
func (c *client) once(q request) answer {
	if !c.connect() {
		return answer{}
	}
	c.machine.fleet.record.printf("client of %s sends %s (%s)", c.machine.name, q.id, q.kind)
	c.conn.SetDeadline(time.Now().Add(3 * time.Second))
	io.WriteString(c.conn, q.text)
	a := read(c.rd, q)
	c.machine.fleet.record.printf("client of %s: %s (%s) is answered %d", c.machine.name, q.id, q.kind, a.status)
	if a.closes {
		c.close()
	}
	return a
}

// send sends a request and, as PROTOCOL.md says, once more with a new id on a new connection:
// a safe one after any failure, any other one after a promise that it has not run.
func (c *client) send(next func() request) bool {
	q := next()
	a := c.once(q)
	promise := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
	if a.ok() || !q.safe && !promise {
		return a.ok()
	}
	c.close()
	time.Sleep(min(a.retryAfter, 400*time.Millisecond))
	return c.once(next()).ok()
}

// tally counts the requests of clients by kind.
type tally struct {
	mu           sync.Mutex
	sent, served map[string]int
}

func newTally() *tally { return &tally{sent: map[string]int{}, served: map[string]int{}} }

func (t *tally) add(kind string, served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent[kind]++
	if served {
		t.served[kind]++
	}
}

// share returns the share of the requests of a kind that were served, of all for "".
func (t *tally) share(kind string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent, served := 0, 0
	for k, n := range t.sent {
		if kind == "" || k == kind {
			sent, served = sent+n, served+t.served[k]
		}
	}
	if sent == 0 {
		return 0
	}
	return float64(served) / float64(sent)
}

// one returns a client that sends one request after the other with a pause between them.
func (m *machine) one(wg *sync.WaitGroup, t *tally, pause time.Duration, next func() request, stop <-chan struct{}) {
	wg.Add(1)
	go func() {
		defer wg.Done()
		c := &client{machine: m}
		defer c.close()
		for {
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			q := next()
			t.add(q.kind, c.send(next))
		}
	}()
}

// work returns the work of a backend: it reads the request, works for the time unless its
// connection closes, and answers.
func work(d time.Duration) func(*run) {
	return func(r *run) {
		io.Copy(io.Discard, r.r.Body)
		select {
		case <-time.After(d):
		case <-r.r.Context().Done():
			return
		}
		io.WriteString(r.w, "done")
	}
}
