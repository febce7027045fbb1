package target_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"pollenscale/core/call"
	"pollenscale/io/target"
	"pollenscale/standin/endless"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// TestTruncatedHead guards against an answer whose head breaks off, at any of its bytes, and
// that is taken for an answer with an empty or short body.
func TestTruncatedHead(t *testing.T) {
	heads := []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 1234\r\nStamp: a\r\n\r\n",
		"HTTP/1.1 200 OK\r\nStamp: a\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0 200 OK\r\nConnection: close\r\n\r\n",
	}
	for _, head := range heads {
		t.Run(fmt.Sprintf("%q", head), func(t *testing.T) {
			is := is.New(t)
			for length := range head {
				l, err := net.Listen("tcp4", "127.0.0.1:0")
				is.NoErr(err)
				var group errgroup.Group
				group.Go(func() error {
					c, err := l.Accept()
					if err != nil {
						return err
					}
					defer c.Close()
					if _, err := c.Read(make([]byte, 1<<10)); err != nil {
						return err
					}
					_, err = io.WriteString(c, head[:length])
					return err
				})
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				client := target.New(l.Addr().String())
				_, err = client.Call(ctx, &call.Request{Method: http.MethodPost, URI: "/", Header: call.Header{}, Deadline: time.Now().Add(2 * time.Second)})
				is.True(err != nil)
				cancel()
				client.Close()
				is.NoErr(group.Wait())
				is.NoErr(l.Close())
			}
		})
	}
}

// TestEndlessAnswer guards against memory that grows with bytes without end in the head of
// an answer or in what frames its body.
func TestEndlessAnswer(t *testing.T) {
	const (
		maxTaken = 16 << 20 // socket buffers included
		chunked  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	)
	cases := []struct{ name, beginning, piece string }{
		{"bytes without a line end", "", "x"},
		{"a header field", "HTTP/1.1 200 OK\r\nA: ", "x"},
		{"header fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"size of a chunk", chunked, "0"},
		{"extension of a chunk", chunked + "1;a=", "x"},
		{"extensions of chunks", chunked, "1;a=bcdefghijklmnopqrstuvwxyz\r\nx\r\n"},
		{"trailer fields", chunked + "0\r\n", "A: b\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			taken := 0
			var group errgroup.Group
			group.Go(func() error {
				var err error
				taken, err = endless.Serve(l, c.beginning, c.piece, 2*maxTaken)
				return err
			})
			start := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			client := target.New(l.Addr().String())
			defer client.Close()
			answer, err := client.Call(ctx, &call.Request{Method: http.MethodPost, URI: "/", Header: call.Header{}, Deadline: start.Add(5 * time.Second)})
			if err == nil {
				_, err = io.Copy(io.Discard, answer.Body)
				is.NoErr(answer.Body.Close())
			}
			is.True(err != nil) // not complete
			is.NoErr(group.Wait())
			is.True(time.Since(start) < 4*time.Second) // before the deadline
			is.True(taken < maxTaken)
		})
	}
}
