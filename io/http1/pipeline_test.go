package http1_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"pollenscale/io/http1"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// TestGivenUpWhilePrepared guards against a response that nobody writes and nobody discards:
// the client leaves while its second request is being prepared, and the handler of the first
// one keeps the connection open until the preparation has ended.
func TestGivenUpWhilePrepared(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn) error{
		"closed": func(c *net.TCPConn) error { return c.Close() },
		"reset":  func(c *net.TCPConn) error { return c.SetLinger(0) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			begun, prepare, discarded := make(chan struct{}), make(chan struct{}), make(chan struct{})
			serving, first, left := make(chan struct{}), make(chan struct{}), make(chan struct{})
			listener := http1.Listener{Early: func(context.Context, *http.Request) *http1.Prepared {
				close(begun)
				<-prepare
				return &http1.Prepared{Respond: func(http.ResponseWriter, *http.Request) { close(discarded) }, Discard: func() { close(discarded) }}
			}}
			server := http.Server{ConnContext: http1.ConnContext, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				turn := http1.BeginTurn(r, func() { close(left) })
				defer turn.End()
				close(serving)
				<-first
			})}
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			var ok bool
			listener.TCPListener, ok = l.(*net.TCPListener)
			is.True(ok)
			var group errgroup.Group
			group.Go(func() error {
				server.Serve(listener)
				return nil
			})
			defer group.Wait()
			defer server.Close()
			c, err := net.Dial("tcp4", l.Addr().String())
			is.NoErr(err)
			for _, event := range []<-chan struct{}{serving, begun} {
				_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
				is.NoErr(err)
				await(t, event)
			}
			is.NoErr(leave(c.(*net.TCPConn)))
			c.Close()
			await(t, left)
			close(prepare)
			time.Sleep(50 * time.Millisecond) // the preparation ends before the connection does
			close(first)
			await(t, discarded)
		})
	}
}

// await fails the test if the event does not happen.
func await(t *testing.T, event <-chan struct{}) {
	t.Helper()
	select {
	case <-event:
	case <-time.After(5 * time.Second):
		t.Fatal("the event did not happen")
	}
}
