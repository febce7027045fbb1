package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pollenscale/core/attempt"

	"github.com/matryer/is"
)

// stall sends a request head and the first part of its body, and returns the connection.
func stall(t *testing.T, address string, header http.Header, length int) net.Conn {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp4", address)
	is.NoErr(err)
	t.Cleanup(func() { conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /slots/1 HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n", length)
	is.NoErr(err)
	is.NoErr(header.Write(conn))
	_, err = io.WriteString(conn, "\r\nfirst part")
	is.NoErr(err)
	return conn
}

// TestStalledBodyOccupiesTarget guards against a slot lost to a daemon that stops sending a body.
func TestStalledBodyOccupiesTarget(t *testing.T) {
	is := is.New(t)
	const allowed = time.Second
	p := startPath(t, 2, allowed, func(http.ResponseWriter, *http.Request) {})
	header := http.Header{}
	writeAttempt(header, attempt.Ref{
		ID: attempt.ID{Daemon: "entry", Incarnation: 1, Sequence: 1}, OpenFrom: 1, Target: p.beside.incarnation(),
	})
	deadline := time.Now().Add(allowed)
	writeParams(header, attemptParams{service: "agenda", deadline: deadline}, time.Now())
	stall(t, string(p.beside.id), header, 2*bulkThreshold)
	is.True(p.becomes(1, deadline))
	is.True(p.becomes(0, deadline.Add(time.Second)))
}

// TestStalledBodyUnanswered guards against no response to a caller that stops sending a body.
func TestStalledBodyUnanswered(t *testing.T) {
	is := is.New(t)
	const allowed = 300 * time.Millisecond
	p := startPath(t, 1, allowed, func(http.ResponseWriter, *http.Request) {})
	address := strings.TrimPrefix(strings.TrimSuffix(p.url, "/slots/1"), "http://")
	conn := stall(t, address, http.Header{"Id": {"42"}}, 1000)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(allowed + time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusRequestTimeout)
}

// becomes waits until the number of requests and attempts in progress has a value.
func (p *requestPath) becomes(active int64, before time.Time) bool {
	for p.active() != active && time.Now().Before(before) {
		time.Sleep(10 * time.Millisecond)
	}
	return p.active() == active
}
