package sidecar

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"pollenscale/io/http1"

	"github.com/cockroachdb/errors"
)

// maxBufferedBytes is the largest body that is read completely before the header is
// passed on, so that an incomplete response can still be replaced by an error.
const maxBufferedBytes = 64 << 10

// response is a response of a target on its way to the caller.
type response struct {
	status int
	header http.Header
	// buffered is the body, or the first part of a large one.
	buffered []byte
	// rest is the remainder of a large body, nil for a small one.
	rest io.ReadCloser
	// length is the length of the entire body, -1 if unknown.
	length int64
	// serviceTime is how long the target took, 0 if unknown.
	serviceTime time.Duration
}

// remainder is the remainder of a body whose exchange has to be ended after its close.
type remainder struct {
	io.ReadCloser
	end func()
}

// Close closes the body and ends the exchange.
func (r *remainder) Close() error {
	defer r.end()
	return r.ReadCloser.Close()
}

// readResponse reads the body up to maxBufferedBytes. It closes the response unless a
// remainder is left.
func readResponse(r *http1.Response) (*response, error) {
	resp := &response{status: r.Status, header: r.Header, length: r.Length}
	var buffer bytes.Buffer
	if r.Length > 0 {
		buffer.Grow(int(min(r.Length, maxBufferedBytes+1)) + bytes.MinRead)
	}
	n, err := io.Copy(&buffer, io.LimitReader(r, maxBufferedBytes+1))
	if err != nil {
		return nil, errors.CombineErrors(err, r.Close())
	}
	resp.buffered = buffer.Bytes()
	if n > maxBufferedBytes {
		resp.rest = r
		return resp, nil
	}
	if resp.length < 0 {
		resp.length = n
	}
	return resp, r.Close()
}

// discardResponse ends a response whose body is not used. The connection can be used
// again unless the body is longer than maxBufferedBytes, or that of the request has not been
// sent.
func discardResponse(r *http1.Response) error {
	r.AbandonBody()
	resp, err := readResponse(r)
	if err != nil {
		return err
	}
	return resp.close()
}

// close discards a remainder that was not passed on.
func (resp *response) close() error {
	if resp.rest == nil {
		return nil
	}
	return resp.rest.Close()
}

// writeTo passes the response on to the caller. After an error the caller must not see
// the response as complete.
func (resp *response) writeTo(w http.ResponseWriter, head bool) error {
	h := w.Header()
	for name, values := range resp.header {
		if !isHopByHop(name) {
			h[name] = values
		}
	}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // prevents net/http from detecting a type
	}
	if resp.length >= 0 && !head {
		h["Content-Length"] = []string{strconv.FormatInt(resp.length, 10)}
	}
	w.WriteHeader(resp.status)
	if head {
		return nil
	}
	if _, err := w.Write(resp.buffered); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) { //nolint:gosec // the target's own body
		return err
	}
	if resp.rest == nil {
		return nil
	}
	resp.buffered = nil // not kept while the caller reads the rest
	_, err := io.Copy(w, resp.rest)
	return errors.CombineErrors(err, resp.rest.Close())
}

// isHopByHop reports whether a header field applies to one connection only and is not
// passed on. This includes Content-Length, which is set again, and the fields between
// daemons.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	}
	return len(name) > len(internalHeaderPrefix) && name[:len(internalHeaderPrefix)] == internalHeaderPrefix
}

// forwardedHeaders returns the header fields of a request that are passed on.
func forwardedHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h)+8)
	for name, values := range h {
		if !isHopByHop(name) {
			out[name] = values
		}
	}
	for _, list := range h["Connection"] {
		for _, name := range splitList(list) {
			delete(out, http.CanonicalHeaderKey(name))
		}
	}
	return out
}

// formatRetryAfter formats the time until at in seconds, with decimals.
func formatRetryAfter(at, now time.Time) string {
	return strconv.FormatFloat(max(0, at.Sub(now).Seconds()), 'f', 3, 64)
}
