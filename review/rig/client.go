package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func newID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// answer is what a client got.
type answer struct {
	status int
	stamp  string
	body   []byte
	err    error // the connection ended without a complete answer
	took   time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no complete answer: %v", a.err)
	}
	return fmt.Sprintf("%d, %d bytes, %d ms", a.status, len(a.body), a.took.Milliseconds())
}

// conn is a client connection to the outbound address of a machine.
type conn struct {
	net.Conn
	r *bufio.Reader
}

func dial(address string) (*conn, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{c, bufio.NewReader(c)}, nil
}

// get sends a request without a body and reads its answer.
func (c *conn) get(method, host, path, id string, deadline time.Duration) answer {
	began := time.Now()
	c.SetDeadline(began.Add(deadline))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Pollenscale-Try-Id: %s\r\nX-Pollenscale-Deadline-Ms: %d\r\n\r\n", method, path, host, id, deadline.Milliseconds())
	return c.read(method, began)
}

func (c *conn) read(method string, began time.Time) answer {
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, stamp: resp.Header.Get("X-Pollenscale-Response-Stamp"), body: body, err: err, took: time.Since(began)}
}

// browse sends safe requests to a machine, one after the other.
func (p *play) browse(m *machine, host, prefix string, stop chan struct{}) {
	p.ask(m, host, prefix, stop, func(string, answer) {})
}

// ask is like browse and passes each answer to got.
func (p *play) ask(m *machine, host, prefix string, stop chan struct{}, got func(id string, a answer)) {
	var c *conn
	for {
		select {
		case <-stop:
			if c != nil {
				c.Close()
			}
			return
		case <-time.After(50 * time.Millisecond):
		}
		if c == nil {
			next, err := dial(m.address(portOutbound))
			if err != nil {
				continue
			}
			c = next
		}
		id := newID()
		a := c.get("GET", host, prefix+id, id, time.Second)
		p.record.add("%s sent to %s: %v", id, m.name, a)
		got(id, a)
		if a.err != nil {
			c.Close()
			c = nil
		}
	}
}
