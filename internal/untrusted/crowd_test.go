package untrusted

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

// client is one client of a crowd. It sends on a new connection and returns when stop is
// closed or the connection ends; then it is called again.
type client func(d dialect, i int, c net.Conn, stop <-chan struct{})

// dialect is what the heads of requests to a program contain.
type dialect struct {
	field   string // a line of every head
	maxHead int    // bytes of the longest head that it accepts
}

// The dialects of the two programs.
var (
	sidecarDialect = dialect{maxHead: maxHeaderBytes}
	daemonDialect  = dialect{field: "Pollenscale-Service: agenda\r\n", maxHead: 64 << 10}
)

// keepSending connects and sends until stop is closed.
func keepSending(address string, d dialect, i int, send client, stop <-chan struct{}) {
	for !stopped(stop) {
		if c, err := net.DialTimeout("tcp4", address, time.Second); err == nil {
			c.SetDeadline(time.Now().Add(20 * time.Second))
			var closer errgroup.Group
			done := make(chan struct{})
			closer.Go(func() error {
				select {
				case <-stop:
				case <-done:
				}
				return c.Close()
			})
			send(d, i, c, stop)
			close(done)
			closer.Wait()
		}
		select {
		case <-stop:
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func stopped(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}

// stay reads until the connection ends.
func stay(c net.Conn) { io.Copy(io.Discard, c) }

// exchange sends requests without a pause and reads as many responses, again and again. The
// parts of the requests are not copied: the clients share their bodies.
func exchange(c net.Conn, n int, requests ...[]byte) {
	reader := bufio.NewReader(c)
	for {
		parts := net.Buffers(slices.Clone(requests))
		if _, err := parts.WriteTo(c); err != nil {
			stay(c)
			return
		}
		for range n {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
				return
			}
		}
	}
}

// head returns the beginning of a head.
func (d dialect) head(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: untrusted.example\r\n" + d.field
}

// fill adds the lines that next returns to a head up to the limit of the program.
func (d dialect) fill(next func(n int) string) string {
	var b strings.Builder
	b.WriteString(d.head("GET", "/read/slow"))
	for n := 0; ; n++ {
		line := next(n)
		if b.Len()+len(line)+2 > d.maxHead {
			break
		}
		b.WriteString(line)
	}
	return b.String() + "\r\n"
}

// pipelined is the number of requests that a client sends before it reads.
const pipelined = 8

func shortLines(d dialect, _ int, c net.Conn, _ <-chan struct{}) {
	exchange(c, pipelined, []byte(strings.Repeat(d.fill(func(int) string { return "a:\r\n" }), pipelined)))
}

// tokens are the characters of header names.
const tokens = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"

func oddLines(d dialect, i int, c net.Conn, _ <-chan struct{}) {
	name := func(n int) string {
		return string([]byte{tokens[n%len(tokens)], tokens[n/len(tokens)%len(tokens)], tokens[n/len(tokens)/len(tokens)%len(tokens)]})
	}
	forms := []func(n int) string{
		func(n int) string { return name(n) + ":\r\n" },
		func(n int) string { return tokens[n%len(tokens):][:1] + ":\r\n" },
		func(int) string { return "x:v\r\n" },
		func(n int) string { return strings.Repeat("~|`^", 10) + name(n) + ":\r\n" },
	}
	exchange(c, pipelined, []byte(strings.Repeat(d.fill(forms[i%len(forms)]), pipelined)))
}

func longHeads(d dialect, i int, c net.Conn, _ <-chan struct{}) {
	line := []string{"a:\r\n", "a: " + strings.Repeat("b", 1<<20) + "\r\n"}[i%2]
	io.WriteString(c, d.head("GET", "/read/one")+strings.Repeat(line, 1<<20/len(line)+1)+"\r\n")
	stay(c)
}

// writeEndlessly writes pieces until the connection ends or stop is closed.
func writeEndlessly(c net.Conn, stop <-chan struct{}, first, piece string) {
	io.WriteString(c, first)
	for !stopped(stop) {
		if _, err := io.WriteString(c, piece); err != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func endlessHead(d dialect, i int, c net.Conn, stop <-chan struct{}) {
	if i%2 == 0 {
		writeEndlessly(c, stop, d.head("GET", "/read/one"), strings.Repeat("a:\r\n", 1<<10))
		return
	}
	// Ends just short of the limit.
	io.WriteString(c, strings.TrimSuffix(d.fill(func(int) string { return "a:\r\n" }), "\r\n"))
	stay(c)
}

func emptyLines(_ dialect, _ int, c net.Conn, stop <-chan struct{}) {
	writeEndlessly(c, stop, "", strings.Repeat("\r\n", 2<<10))
}

// bodyHead returns the head of a request with a body. Every second client sends an upload.
func (d dialect) bodyHead(i int, framing string) string {
	path := []string{"/book/one", "/upload/one"}[i%2]
	return d.head("POST", path) + framing + "\r\n\r\n"
}

// body is a body of legal size.
var body = bytes.Repeat([]byte("b"), maxBodyBytes)

// length is that of the bodies of a client: those of every third one are short enough to be
// sent again.
func length(i int) int {
	if i%3 == 0 {
		return 900 << 10
	}
	return maxBodyBytes
}

func unfinishedBody(d dialect, i int, c net.Conn, _ <-chan struct{}) {
	io.WriteString(c, d.bodyHead(i, fmt.Sprintf("Content-Length: %d", length(i))))
	c.Write(body[:length(i)-1])
	stay(c)
}

// chunk is the length of chunks.
const chunk = 32 << 10

func writeChunks(d dialect, i int, c net.Conn) {
	io.WriteString(c, d.bodyHead(i, "Transfer-Encoding: chunked"))
	for n := chunk; n < length(i); n += chunk {
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", chunk, body[:chunk]); err != nil {
			return
		}
	}
}

func unfinishedChunks(d dialect, i int, c net.Conn, _ <-chan struct{}) {
	writeChunks(d, i, c)
	stay(c)
}

func wholeBodies(d dialect, i int, c net.Conn, _ <-chan struct{}) {
	exchange(c, 1, []byte(d.bodyHead(i, fmt.Sprintf("Content-Length: %d", length(i)))), body[:length(i)])
}

func unreadPipeline(d dialect, i int, c net.Conn, stop <-chan struct{}) {
	request := []string{d.head("GET", "/read/big") + "\r\n", "GET / HTTP/1.1\r\nHost:\r\n\r\n"}[i%2]
	writeEndlessly(c, stop, "", strings.Repeat(request, 100))
	<-stop
}

func endlessChunkParts(d dialect, i int, c net.Conn, stop <-chan struct{}) {
	begin := d.bodyHead(i, "Transfer-Encoding: chunked")
	if i/2%2 == 0 {
		writeEndlessly(c, stop, begin+"1;", strings.Repeat("x", 4<<10))
		return
	}
	writeEndlessly(c, stop, begin+"1\r\nb\r\n0\r\n", strings.Repeat("a:\r\n", 1<<10))
}

func idle(_ dialect, _ int, c net.Conn, _ <-chan struct{}) { stay(c) }
