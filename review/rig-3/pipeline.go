package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// pipelineConnections is the number of clients, each with a connection of its own.
	pipelineConnections = 4
	// pipelineDepth is the number of reads that a client sends one after the other.
	pipelineDepth = 3
	// pipelineWork is how long a target works on each of them.
	pipelineWork = 600
	// pipelineStopAfter is the time between the requests and the planned stop.
	pipelineStopAfter = 250 * time.Millisecond
)

// playPipeline sends several reads on each connection of one daemon without waiting for the
// responses, and stops that daemon as planned work does. All requests have reached a target by then.
// Each one must be answered.
func playPipeline(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 3)
	if err != nil {
		return false, err
	}
	defer f.stop()
	time.Sleep(4 * time.Second) // no disturbance for stableWindowS
	entry := f.vms[0]
	var clients []*pipelineClient
	for i := range pipelineConnections {
		c, err := dialPipeline(entry, i)
		if err != nil {
			return false, err
		}
		defer c.conn.Close() //nolint:errcheck // at the end of the case
		clients = append(clients, c)
	}
	for _, c := range clients {
		if err := c.send(rec); err != nil {
			return false, err
		}
	}
	time.Sleep(pipelineStopAfter)
	if trouble {
		rec.note("SIGTERM to the daemon of %s", entry.ip)
		if err := entry.signal(syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	broken := false
	for _, c := range clients {
		answered := c.receive(rec)
		for _, id := range c.ids {
			if !answered[id] && rec.runsOf(id) > 0 {
				rec.note("LOST: %s was read and passed on to a target, and its connection ended without an answer", id)
				broken = true
			}
		}
	}
	return broken, nil
}

// pipelineClient is a client that sends requests without waiting for responses.
type pipelineClient struct {
	conn *net.TCPConn
	ids  []string
}

// dialPipeline connects a client on the VM to the daemon there.
func dialPipeline(v *vm, number int) (*pipelineClient, error) {
	conn, err := dialCaller(v)
	if err != nil {
		return nil, err
	}
	c := &pipelineClient{conn: conn}
	for i := range pipelineDepth {
		c.ids = append(c.ids, fmt.Sprintf("%04x%04x", number+1, i+1))
	}
	return c, nil
}

// dialCaller connects to the daemon on the VM. The client has an address of its own, so that its
// requests are not taken for calls of the target.
func dialCaller(v *vm) (*net.TCPConn, error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(v.fleet.prefix + ".240")}}
	nc, err := dialer.Dial("tcp4", v.address(portCallers))
	if err != nil {
		return nil, err
	}
	conn, ok := nc.(*net.TCPConn)
	if !ok {
		return nil, errors.New("not a TCP connection")
	}
	return conn, nil
}

// send sends all requests.
func (c *pipelineClient) send(rec *record) error {
	var b strings.Builder
	for _, id := range c.ids {
		b.WriteString(readHead(id, pipelineWork))
		rec.note("%s: sent", id)
	}
	_, err := io.WriteString(c.conn, b.String())
	return err
}

// receive reads responses until the connection ends or all requests are answered, and returns the
// requests with a complete answer.
func (c *pipelineClient) receive(rec *record) map[string]bool {
	answered := map[string]bool{}
	if err := c.conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		rec.note("no read deadline: %v", err)
	}
	reader := bufio.NewReader(c.conn)
	for _, id := range c.ids {
		r, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
		if err != nil {
			rec.note("%s: the connection ended: %v", id, err)
			return answered
		}
		body, err := io.ReadAll(r.Body)
		rec.note("%s: answered with %d, %d bytes, Connection %q, error %v", id, r.StatusCode, len(body), r.Header.Get("Connection"), err)
		if err = errors.CombineErrors(err, r.Body.Close()); err == nil {
			answered[id] = true
		}
		if r.Close {
			rec.note("%s: the daemon closes the connection after this answer", id)
		}
	}
	return answered
}
