package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// smuggleWork is how long a target works on the first request, during which the others arrive.
	smuggleWork = 400
	// hiddenID is in the body of a booking only. No client sends a request with it.
	hiddenID = "0bad0bad"
)

// playSmuggle sends a read, another read and a booking on one connection. The body of the booking
// contains the text of a further request, which must not be run. The trouble is that the lines of the
// second read end with a line feed only.
func playSmuggle(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 3)
	if err != nil {
		return false, err
	}
	defer f.stop()
	time.Sleep(4 * time.Second) // no disturbance for stableWindowS
	conn, err := dialCaller(f.vms[0])
	if err != nil {
		return false, err
	}
	defer conn.Close() //nolint:errcheck // at the end of the case
	hidden := readHead(hiddenID, 0)
	second := oddRead("00010002", trouble)
	booking := fmt.Sprintf("POST /book/one HTTP/1.1\r\nHost: %s\r\nX-Pollenscale-Try-Id: 00010003\r\nX-Pollenscale-Deadline-Ms: 2800\r\n%s: 0\r\nContent-Length: %d\r\n\r\n%s",
		hostName, workHeader, len(hidden), hidden)
	sent := readHead("00010001", smuggleWork) + second + booking
	rec.note("sent: %q", sent)
	if _, err := io.WriteString(conn, sent); err != nil {
		return false, err
	}
	if err := readAnswers(rec, conn, http.MethodGet, http.MethodGet, http.MethodPost); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if rec.runsOf("00010001") == 0 {
		return false, errors.New("the first read has not run")
	}
	n := rec.runsOf(hiddenID)
	if n > 0 {
		rec.note("UNASKED: %s has run, which was inside the body of the booking", hiddenID)
	}
	return n > 0, exchangeAnswers(rec, f.vms[0], trouble)
}

// exchangeAnswers shows a further effect of the same fault, which does not count for the result: two
// reads of one path after the second read, of which the first one may get the response of the second.
func exchangeAnswers(rec *record, entry *vm, trouble bool) error {
	conn, err := dialCaller(entry)
	if err != nil {
		return err
	}
	defer conn.Close() //nolint:errcheck // at the end of the case
	rec.note("a further connection; the responses should be those of 00020001, 00020002, 00020003, 00020004 in this order")
	same := func(id string) string { return strings.Replace(readHead(id, 0), "/read/"+id, "/read/same", 1) }
	if _, err := io.WriteString(conn, readHead("00020001", smuggleWork)+oddRead("00020002", trouble)+same("00020003")+same("00020004")); err != nil {
		return err
	}
	return readAnswers(rec, conn, http.MethodGet, http.MethodGet, http.MethodGet, http.MethodGet)
}

// readAnswers records the responses to requests with these methods.
func readAnswers(rec *record, conn *net.TCPConn, methods ...string) error {
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return err
	}
	reader := bufio.NewReader(conn)
	for _, method := range methods {
		r, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			rec.note("the connection ended: %v", err)
			return nil
		}
		body, err := io.ReadAll(r.Body)
		rec.note("%s: answered with %d, %d bytes, error %v", r.Header.Get("X-Pollenscale-Try-Id"), r.StatusCode, len(body), errors.CombineErrors(err, r.Body.Close()))
	}
	return nil
}

// oddRead returns a read whose lines end with a line feed only if there is trouble.
func oddRead(id string, trouble bool) string {
	head := readHead(id, 0)
	if trouble {
		return strings.ReplaceAll(head, "\r\n", "\n")
	}
	return head
}

// readHead returns a read without a body.
func readHead(id string, work int) string {
	return fmt.Sprintf("GET /read/%s HTTP/1.1\r\nHost: %s\r\nX-Pollenscale-Try-Id: %s\r\nX-Pollenscale-Deadline-Ms: 2800\r\n%s: %d\r\n\r\n",
		id, hostName, id, workHeader, work)
}
