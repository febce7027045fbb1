package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestTruncatedHeadLooksComplete guards against a success for a response whose head breaks
// off at the target, at any of its bytes.
func TestTruncatedHeadLooksComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 42\r\nContent-Length: 12\r\nStamp: a\r\n\r\n"
	for _, daemons := range []int{1, 2} {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d daemons, %s, reset %v", daemons, version, reset), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					var length atomic.Int64
					p := startPath(t, daemons, 2*time.Second, func(w http.ResponseWriter, _ *http.Request) {
						breakOffHead(w, head[:length.Load()], reset)
					})
					address := strings.TrimSuffix(strings.TrimPrefix(p.url, "http://"), "/slots/1")
					for n := range head {
						length.Store(int64(n))
						conn, err := net.Dial("tcp4", address)
						is.NoErr(err)
						is.NoErr(conn.SetDeadline(time.Now().Add(5 * time.Second)))
						_, err = fmt.Fprintf(conn, "POST /orders/1 %s\r\nHost: x\r\nId: 42\r\nContent-Length: 0\r\n\r\n", version)
						is.NoErr(err)
						resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
						is.NoErr(err)
						is.NoErr(resp.Body.Close())
						is.NoErr(conn.Close())
						is.Equal(resp.StatusCode, http.StatusBadGateway) // it may have run
					}
				})
			}
		}
	}
}

// breakOffHead sends the start of the head of a response and closes the connection.
func breakOffHead(w http.ResponseWriter, part string, reset bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, part); err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok && reset {
		time.Sleep(time.Millisecond) // the bytes arrive before the reset
		tcp.SetLinger(0)
	}
}
