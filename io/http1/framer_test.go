package http1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// requestsOf returns method and target of the requests in a stream, as a server reads them.
func requestsOf(stream []byte) []string {
	var out []string
	reader := bufio.NewReader(bytes.NewReader(stream))
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return out
		}
		out = append(out, r.Method+" "+r.RequestURI)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return out
		}
	}
}

// framed returns the requests that a framer finds in a stream that arrives in parts.
func framed(parts ...[]byte) []string {
	var f framer
	var out []string
	for _, part := range parts {
		for _, r := range f.feed(part) {
			out = append(out, r.Method+" "+r.RequestURI)
		}
	}
	return out
}

// TestFramerSplits guards against requests that are missed, found twice or found in a body,
// depending on where the segments of a stream end.
func TestFramerSplits(t *testing.T) {
	is := is.New(t)
	stream := []byte("GET /a HTTP/1.1\r\nHost: x\r\n\r\n" +
		"POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 29\r\n\r\nGET /in HTTP/1.1\r\nHost: x\r\n\r\n" +
		"HEAD /c HTTP/1.1\r\nHost: x\r\n\r\n")
	want := []string{"GET /a", "POST /b", "HEAD /c"}
	is.Equal(requestsOf(stream), want)
	for i := range stream {
		for j := i; j < len(stream); j += 7 {
			is.Equal(framed(stream[:i], stream[i:j], stream[j:]), want)
		}
	}
	is.Equal(len(framed([]byte(strings.Repeat("x", 2*maxHeadBytes)))), 0)
}

// FuzzFramer guards against a request that the framer finds and that a server would not
// read: it could be run although nobody sent it.
func FuzzFramer(f *testing.F) {
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n"), 10)
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nGET /\r\n0\r\n\r\n"), 50)
	f.Add([]byte("POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.0\r\n\r\n"), 70)
	f.Fuzz(func(t *testing.T, stream []byte, split int) {
		split = min(max(split, 0), len(stream))
		got, want := framed(stream[:split], stream[split:]), requestsOf(stream)
		if len(got) > len(want) {
			t.Fatalf("found %q, a server reads %q", got, want)
		}
		for i := range got {
			if got[i] != want[i] {
				t.Fatalf("found %q, a server reads %q", got, want)
			}
		}
	})
}
