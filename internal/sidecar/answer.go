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

// wholeBytes is the largest answer that is read whole before its head is passed
// on, so that an answer that breaks off can still be replaced by an error.
const wholeBytes = 64 << 10

// answer is an answer of a target on its way to the caller.
type answer struct {
	status int
	header http.Header
	// whole is the body of a small answer.
	whole []byte
	// rest is what is left of a large body, nil for a small one.
	rest *http1.Response
	// length is the length of the whole body, -1 when it is not known.
	length int64
	// work is how long the target took, 0 if that is not known.
	work time.Duration
}

// readAnswer reads a small body whole. It closes the response unless a rest is left.
func readAnswer(r *http1.Response) (*answer, error) {
	a := &answer{status: r.Status, header: r.Header, length: r.Length}
	var buffer bytes.Buffer
	if r.Length > 0 && r.Length <= wholeBytes {
		buffer.Grow(int(r.Length) + bytes.MinRead)
	}
	n, err := io.Copy(&buffer, io.LimitReader(r, wholeBytes+1))
	if err != nil {
		return nil, errors.CombineErrors(err, r.Close())
	}
	a.whole = buffer.Bytes()
	if n > wholeBytes {
		a.rest = r
		return a, nil
	}
	if a.length < 0 {
		a.length = n
	}
	return a, r.Close()
}

// close gives up what was not passed on.
func (a *answer) close() error {
	if a.rest == nil {
		return nil
	}
	return a.rest.Close()
}

// writeTo passes the answer on. An error means that the caller must not take
// the answer for whole.
func (a *answer) writeTo(w http.ResponseWriter, head bool) error {
	h := w.Header()
	for name, values := range a.header {
		if !hopHeader(name) {
			h[name] = values
		}
	}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // stops net/http from guessing
	}
	if a.length >= 0 && !head {
		h["Content-Length"] = []string{strconv.FormatInt(a.length, 10)}
	}
	w.WriteHeader(a.status)
	if head {
		return nil
	}
	if _, err := w.Write(a.whole); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) { //nolint:gosec // the target's own body
		return err
	}
	if a.rest == nil {
		return nil
	}
	_, err := io.Copy(w, a.rest)
	return errors.CombineErrors(err, a.rest.Close())
}

// hopHeader reports whether a header field concerns one connection only.
func hopHeader(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	}
	return len(name) > len(privatePrefix) && name[:len(privatePrefix)] == privatePrefix
}

// forwarded returns the header fields of a request that are passed on.
func forwarded(h http.Header) http.Header {
	out := make(http.Header, len(h)+8)
	for name, values := range h {
		if !hopHeader(name) {
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

// retryAfter formats the time until at in seconds with fractions.
func retryAfter(at, now time.Time) string {
	return strconv.FormatFloat(max(0, at.Sub(now).Seconds()), 'f', 3, 64)
}
