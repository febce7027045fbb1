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

	"github.com/matryer/is"
)

// TestBrokenResponseLooksComplete guards against a response that breaks off at the target
// and that a caller takes for a complete one, whatever tells the caller its end: the length,
// the last chunk, or, with HTTP/1.0, the close of the connection.
func TestBrokenResponseLooksComplete(t *testing.T) {
	const whole = 4 * maxBufferedBytes
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, form := range []string{"length", "chunked", "close"} {
			for _, sent := range []int{0, 1, 100, maxBufferedBytes, maxBufferedBytes + 1, 2 * maxBufferedBytes} {
				t.Run(fmt.Sprint(version, " ", form, " ", sent), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					p := startPath(t, 2, 2*time.Second, func(w http.ResponseWriter, _ *http.Request) {
						breakOff(w, form, sent, whole)
					})
					address := strings.TrimSuffix(strings.TrimPrefix(p.url, "http://"), "/slots/1")
					conn, err := net.Dial("tcp4", address)
					is.NoErr(err)
					defer conn.Close()
					is.NoErr(conn.SetDeadline(time.Now().Add(5 * time.Second)))
					_, err = fmt.Fprintf(conn, "GET /slots/1 %s\r\nHost: x\r\nId: 42\r\n\r\n", version)
					is.NoErr(err)
					resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err != nil {
						return // not even a head
					}
					_, err = io.Copy(io.Discard, resp.Body)
					is.True(err != nil || resp.StatusCode >= http.StatusInternalServerError) // not a complete success
				})
			}
		}
	}
}

// breakOff sends the first bytes of a response and resets the connection.
func breakOff(w http.ResponseWriter, form string, sent, whole int) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	body := strings.Repeat("x", sent)
	head := "HTTP/1.1 200 OK\r\nId: 42\r\n"
	switch form {
	case "length":
		fmt.Fprintf(buffer, "%sContent-Length: %d\r\n\r\n%s", head, whole, body)
	case "chunked":
		fmt.Fprintf(buffer, "%sTransfer-Encoding: chunked\r\n\r\n", head)
		if sent > 0 {
			fmt.Fprintf(buffer, "%x\r\n%s\r\n", sent, body)
		}
	case "close":
		fmt.Fprintf(buffer, "%sConnection: close\r\n\r\n%s", head, body)
	}
	if buffer.Flush() != nil {
		return
	}
	time.Sleep(50 * time.Millisecond) // the bytes arrive before the reset
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
}
