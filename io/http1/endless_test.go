package http1_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pollenscale/io/http1"
	"pollenscale/standin/endless"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// maxEndlessBytes is far more than a client may read of a head before it gives up. The
// socket buffers of both sides are included.
const maxEndlessBytes = 16 << 20

// endlessPeer accepts one connection, writes a beginning and then the same piece without
// end, and counts the bytes that were taken until the client closed the connection.
func endlessPeer(t *testing.T, group *errgroup.Group, beginning, piece string) (address string, taken *int) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { l.Close() })
	taken = new(int)
	group.Go(func() error {
		var err error
		*taken, err = endless.Serve(l, beginning, piece, 2*maxEndlessBytes)
		return err
	})
	return l.Addr().String(), taken
}

// TestEndlessHead guards against memory that grows with a head without end.
func TestEndlessHead(t *testing.T) {
	cases := []struct{ name, beginning, piece string }{
		{"bytes without a line end", "", "x"},
		{"a header field", "HTTP/1.1 200 OK\r\nA: ", "x"},
		{"header fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"responses to other requests", "", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 0\r\n\r\n"},
		{"body of a response to another request", "HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	}
	for _, c := range cases {
		for _, expect := range []bool{false, true} {
			t.Run(c.name, func(t *testing.T) {
				is := is.New(t)
				var group errgroup.Group
				address, taken := endlessPeer(t, &group, c.beginning, c.piece)
				pool := http1.New(address)
				defer pool.Close()
				start := time.Now()
				r, err := pool.Do(t.Context(), &http1.Request{
					Method: http.MethodPost, Target: "/", Host: "x", Body: strings.NewReader("body"), Length: 4, ExpectContinue: expect,
					Matches:  func(h http.Header) bool { return h.Get("Id") != "0" },
					Deadline: start.Add(5 * time.Second),
				})
				if expect && err == nil { // an answer instead of the request for the body is not matched
					is.NoErr(r.Close())
				} else {
					is.True(err != nil)
				}
				is.True(time.Since(start) < 4*time.Second) // before the deadline
				is.NoErr(group.Wait())
				is.True(*taken < maxEndlessBytes)
			})
		}
	}
}

// TestEndlessBody guards against a body without end that seems complete or outlives the deadline.
func TestEndlessBody(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"} {
		is := is.New(t)
		piece := "x"
		if strings.Contains(head, "chunked") {
			piece = "8\r\n12345678\r\n"
		}
		var group errgroup.Group
		address, _ := endlessPeer(t, &group, head, piece)
		pool := http1.New(address)
		start := time.Now()
		r, err := pool.Do(t.Context(), &http1.Request{Method: http.MethodGet, Target: "/", Host: "x", Deadline: start.Add(300 * time.Millisecond)})
		is.NoErr(err)
		buffer := make([]byte, 4<<10)
		for err == nil {
			_, err = r.Read(buffer)
			time.Sleep(time.Millisecond) // a slow caller
		}
		is.True(err != io.EOF) //nolint:errorlint // Read returns io.EOF unwrapped
		is.NoErr(r.Close())
		is.NoErr(group.Wait())
		is.True(time.Since(start) < 2*time.Second)
		pool.Close()
	}
}

// TestEndlessFraming guards against memory that grows with what frames a body without end,
// and against a body that seems complete after it.
func TestEndlessFraming(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := []struct{ name, beginning, piece string }{
		{"size of a chunk", head, "0"},
		{"extension of a chunk", head + "1;a=", "x"},
		{"extensions of chunks", head, "1;a=bcdefghijklmnopqrstuvwxyz\r\nx\r\n"},
		{"trailer fields", head + "0\r\n", "A: b\r\n"},
		{"a trailer field", head + "0\r\nA: ", "x"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var group errgroup.Group
			address, taken := endlessPeer(t, &group, c.beginning, c.piece)
			pool := http1.New(address)
			defer pool.Close()
			start := time.Now()
			r, err := pool.Do(t.Context(), &http1.Request{Method: http.MethodGet, Target: "/", Host: "x", Deadline: start.Add(5 * time.Second)})
			is.NoErr(err)
			_, err = io.Copy(io.Discard, r)
			is.True(err != nil) // not complete
			is.NoErr(r.Close())
			is.NoErr(group.Wait())
			is.True(time.Since(start) < 4*time.Second) // before the deadline
			is.True(*taken < maxEndlessBytes)
		})
	}
}
