package http1_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"pollenscale/io/http1"

	"github.com/matryer/is"
)

// TestEarlyResponseCutsBody guards against a request body that is cut off, or followed by
// another request before its end, because the peer has responded before it has read the body.
func TestEarlyResponseCutsBody(t *testing.T) {
	const length = 4 << 20
	body := bytes.Repeat([]byte("0123456789abcdef"), length/16)
	for _, closes := range []bool{false, true} {
		for _, declared := range []int64{length, -1} {
			t.Run(fmt.Sprint("peer closes ", closes, ", length ", declared), func(t *testing.T) {
				is := is.New(t)
				readOn := make(chan struct{})
				got := make(chan []byte, 1)
				var connections atomic.Int64
				server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.Method == http.MethodGet {
						return
					}
					control := http.NewResponseController(w)
					control.EnableFullDuplex()
					w.Header().Set("Content-Length", "4")
					if closes {
						w.Header().Set("Connection", "close")
					}
					io.WriteString(w, "done")
					control.Flush()
					<-readOn
					all, _ := io.ReadAll(r.Body) // a body that was cut off differs
					got <- all
				}))
				server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
					if s == http.StateNew {
						connections.Add(1)
					}
				}
				server.Start()
				defer server.Close()
				pool := http1.New(server.Listener.Addr().String())
				defer pool.Close()
				send := func(method string, body io.Reader, length int64) *http1.Response {
					r, err := pool.Do(t.Context(), &http1.Request{
						Method: method, Target: "/", Host: "x", Body: body, Length: length, Deadline: time.Now().Add(5 * time.Second),
					})
					is.NoErr(err)
					_, err = io.Copy(io.Discard, r)
					is.NoErr(err)
					is.NoErr(r.Close())
					return r
				}
				early := send(http.MethodPost, bytes.NewReader(body), declared)
				is.True(!send(http.MethodGet, nil, 0).Reused) // not between the parts of the body
				close(readOn)
				is.True(bytes.Equal(<-got, body))
				<-early.Sent()
				is.Equal(connections.Load(), int64(2))
				if !closes {
					send(http.MethodGet, nil, 0)
					send(http.MethodGet, nil, 0)
					is.Equal(connections.Load(), int64(2)) // both are used again
				}
			})
		}
	}
}
