package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
)

// extraShare is the share of the responses of a target that garbles of which it sends a second copy.
const extraShare = 0.03

// extra is the second copy of a response on a connection, empty if there is none.
type extra struct {
	response string
}

type extraKey struct{}

// withExtra gives each connection of a target an extra.
func withExtra(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, extraKey{}, &extra{})
}

// extraOf returns the extra of the connection of a request.
func extraOf(r *http.Request) *extra {
	e, ok := r.Context().Value(extraKey{}).(*extra)
	if !ok {
		return &extra{}
	}
	return e
}

// sendExtra sends the second copy of an earlier response, then the response to the request with
// this id, and closes the connection. A request without an id is rejected as the protocol says.
func (t *target) sendExtra(w http.ResponseWriter, e *extra, id string) {
	rec := t.vm.fleet.record
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		rec.note("a connection of a target cannot be taken over")
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		rec.note("a connection of a target cannot be taken over: %v", err)
		return
	}
	defer conn.Close() //nolint:errcheck // the responses have been sent
	own := "HTTP/1.1 400 Bad Request\r\nX-Pollenscale-Not-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	if id != "" {
		rec.ran(id, t.id)
		body := bodyOf(id)
		own = fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Pollenscale-Try-Id: %s\r\nX-Pollenscale-Response-Stamp: stamp.%s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
			id, id, len(body), body)
	}
	rec.note("%s sends an earlier response once more before its response to the request %q", t.id, id)
	if _, err := io.WriteString(conn, e.response+own); err != nil {
		rec.note("the responses could not be written: %v", err)
	}
}
