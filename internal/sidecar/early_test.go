package sidecar

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pollenscale/core/exchange"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// earlyCase is a target that answers before it has read the body of a request.
type earlyCase struct {
	Name      string
	BodyBytes int
	// ReadFirst is how much of the body the target reads before it answers.
	ReadFirst   int
	AnswerBytes int
	// ChunkedAnswer is an answer of unknown length.
	ChunkedAnswer bool
	// BreaksOff closes the connection to the target after the first part of the answer.
	BreaksOff bool
}

// form is how a request is sent.
type form struct {
	daemons int
	version string
	chunked bool
	expect  bool
}

func (f form) String() string {
	return fmt.Sprintf("%d daemons, %s, chunked %v, expect %v", f.daemons, f.version, f.chunked, f.expect)
}

var earlyForms = []form{
	{1, "HTTP/1.1", false, false},
	{1, "HTTP/1.1", true, false},
	{1, "HTTP/1.1", true, true},
	{1, "HTTP/1.0", false, false},
	{2, "HTTP/1.1", false, false},
	{2, "HTTP/1.1", true, false},
	{2, "HTTP/1.1", false, true},
	{2, "HTTP/1.0", false, false},
}

// smuggled is a request that the bodies of these tests contain again and again.
const smuggled = "GET /slots/smuggled HTTP/1.1\r\nHost: x\r\nId: smuggled\r\n\r\n"

// bodyWithPositions returns n bytes in which each part differs from all others.
func bodyWithPositions(n int) []byte {
	var b bytes.Buffer
	for b.Len() < n {
		fmt.Fprintf(&b, "%s%010d\r\n", smuggled, b.Len())
	}
	return b.Bytes()[:n]
}

// earlyTarget answers early and reads on.
type earlyTarget struct {
	earlyCase
	mu       sync.Mutex
	got      map[string][]byte
	requests []string
	done     sync.WaitGroup
}

func (v *earlyTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v.done.Add(1)
	defer v.done.Done()
	id := r.Header.Get("Id")
	v.mu.Lock()
	v.requests = append(v.requests, id)
	v.mu.Unlock()
	w.Header().Set("Id", id)
	if r.Method == http.MethodGet {
		return
	}
	control := http.NewResponseController(w)
	control.EnableFullDuplex()
	var body bytes.Buffer
	io.CopyN(&body, r.Body, int64(v.ReadFirst))
	answer := bytes.Repeat([]byte("a"), v.AnswerBytes)
	first := len(answer) * 3 / 4
	if v.AnswerBytes <= maxBufferedBytes {
		first = len(answer)
	}
	if !v.ChunkedAnswer {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	}
	w.Write(answer[:first])
	control.Flush()
	time.Sleep(50 * time.Millisecond) // the answer is on its way before the rest is read
	if v.BreaksOff {
		panic(http.ErrAbortHandler)
	}
	io.Copy(&body, r.Body)
	w.Write(answer[first:])
	v.mu.Lock()
	v.got[id] = body.Bytes()
	v.mu.Unlock()
}

// TestEarlyAnswerCorruptsBody guards against a target that answers before it has read the
// body of a request, and then gets that body with a gap, with foreign bytes or without its
// end, and against a caller that gets the answer only after it has sent the body.
func TestEarlyAnswerCorruptsBody(t *testing.T) {
	var cases []earlyCase
	data, err := os.ReadFile("testdata/early.json")
	is.New(t).NoErr(err)
	is.New(t).NoErr(json.Unmarshal(data, &cases))
	for _, c := range cases {
		for _, f := range earlyForms {
			t.Run(c.Name+", "+f.String(), func(t *testing.T) {
				t.Parallel()
				c.play(t, f)
			})
		}
	}
}

func (c earlyCase) play(t *testing.T, f form) {
	is := is.New(t)
	target := &earlyTarget{earlyCase: c, got: make(map[string][]byte)}
	p := startPath(t, f.daemons, 10*time.Second, target.ServeHTTP)
	for _, d := range []*Sidecar{p.entry, p.beside} {
		d.protocol.ReadAnswer = func(_ int, h http.Header) exchange.Response {
			return exchange.Response{ID: exchange.RequestID(h.Get("Id")), FromTarget: true}
		}
	}
	address := strings.TrimSuffix(strings.TrimPrefix(p.url, "http://"), "/slots/1")
	conn, err := net.Dial("tcp4", address)
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetDeadline(time.Now().Add(5 * time.Second)))
	want := bodyWithPositions(c.BodyBytes)
	answered := make(chan struct{})
	var sender errgroup.Group
	sender.Go(func() error { return c.sendBody(conn, f, want, answered) })
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	for err == nil && resp.StatusCode == http.StatusContinue {
		resp, err = http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	}
	close(answered)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	answer, err := io.ReadAll(resp.Body)
	if c.BreaksOff {
		is.Equal(err == nil, len(answer) == c.AnswerBytes) // complete only if the target has sent all
		sender.Wait()                                      // fails if the daemon closes the connection
		c.checkRequests(t, target, "1")
		return
	}
	is.NoErr(err)
	is.Equal(len(answer), c.AnswerBytes)
	is.NoErr(sender.Wait())
	if f.version == "HTTP/1.1" {
		is.True(!resp.Close) // a client that is told to close may not send the rest
		_, err = io.WriteString(conn, "GET /slots/2 HTTP/1.1\r\nHost: x\r\nId: 2\r\n\r\n")
		is.NoErr(err)
		resp, err = http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(resp.Header.Get("Id"), "2")
		c.checkRequests(t, target, "1", "2")
	} else {
		c.checkRequests(t, target, "1")
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	is.Equal(len(target.got["1"]), len(want))
	is.True(bytes.Equal(target.got["1"], want))
}

// checkRequests checks the requests that the target has got, once it has handled them.
func (c earlyCase) checkRequests(t *testing.T, target *earlyTarget, ids ...string) {
	t.Helper()
	time.Sleep(100 * time.Millisecond)
	target.done.Wait()
	target.mu.Lock()
	defer target.mu.Unlock()
	is.New(t).Equal(target.requests, ids)
}

// sendBody sends a request. Of a body that daemons do not keep, it sends the last part only
// after it has been answered.
func (c earlyCase) sendBody(conn net.Conn, f form, body []byte, answered <-chan struct{}) error {
	const (
		piece = 16 << 10
		// ahead is sent before the answer. It exceeds what a daemon keeps and the socket
		// buffers hold little more.
		ahead = maxReplayBytes + 64<<10
	)
	framing := "Content-Length: " + strconv.Itoa(len(body))
	if f.chunked {
		framing = "Transfer-Encoding: chunked"
	}
	if f.expect {
		framing += "\r\nExpect: 100-continue"
	}
	if _, err := fmt.Fprintf(conn, "POST /orders/1 %s\r\nHost: x\r\nId: 1\r\n%s\r\n\r\n", f.version, framing); err != nil {
		return err
	}
	for sent := 0; sent < len(body); {
		if sent >= ahead {
			<-answered
		}
		part := body[sent:min(sent+piece, len(body))]
		sent += len(part)
		if f.chunked {
			part = []byte(fmt.Sprintf("%x\r\n%s\r\n", len(part), part))
		}
		if _, err := conn.Write(part); err != nil {
			return err
		}
	}
	if f.chunked {
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err
	}
	return nil
}
