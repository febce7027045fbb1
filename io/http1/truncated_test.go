package http1_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pollenscale/io/http1"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// TestTruncatedHead guards against a response whose head breaks off, at any of its bytes,
// and that is taken for a response with an empty or short body.
func TestTruncatedHead(t *testing.T) {
	heads := []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1234\r\nStamp: a\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nId: 1\r\nA:  \r\n b\r\n\r\n",
		"HTTP/1.1 200 OK\nId: 1\nContent-Length: 1234\n\n",
		"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
	}
	for _, head := range heads {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q, reset %v", head[:30], reset), func(t *testing.T) {
				is := is.New(t)
				for length := range head {
					status, err := truncatedExchange(t, head[:length], reset)
					if err == nil {
						t.Errorf("status %d of a head that breaks off after %q", status, head[:length])
					}
				}
				if !reset {
					_, err := truncatedExchange(t, head, false)
					is.NoErr(err) // the whole head is one
				}
			})
		}
	}
}

// truncatedExchange sends a request to a peer that answers with the given bytes and closes
// the connection. It returns the status of the response that the client has read.
func truncatedExchange(t *testing.T, answer string, reset bool) (status int, err error) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	var group errgroup.Group
	group.Go(func() error {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		defer c.Close()
		buffer := make([]byte, 1<<10)
		if _, err := c.Read(buffer); err != nil {
			return err
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return err
		}
		if tcp, ok := c.(*net.TCPConn); ok && reset {
			time.Sleep(time.Millisecond) // the bytes arrive before the reset
			return tcp.SetLinger(0)
		}
		return nil
	})
	defer func() { is.NoErr(group.Wait()) }()
	pool := http1.New(l.Addr().String())
	defer pool.Close()
	r, err := pool.Do(t.Context(), &http1.Request{
		Method: http.MethodGet, Target: "/", Host: "x", Deadline: time.Now().Add(2 * time.Second),
		Matches: func(h http.Header) bool { return strings.HasPrefix(h.Get("Id"), "1") },
	})
	if err != nil {
		return 0, err
	}
	return r.Status, r.Close()
}
