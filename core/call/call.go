// Package call represents a request and its answer on their way through the
// daemons, independently of the protocols on either side.
package call

import (
	"io"
	"time"

	"pollenscale/core/fleet"
	"pollenscale/core/outcome"

	"github.com/cockroachdb/errors"
)

// ErrTruncated is returned by Answer.Body if the answer ended before it was
// complete.
var ErrTruncated = errors.New("answer cut off")

// Header holds header fields by canonical name.
type Header map[string][]string

// Get returns the first value of the named field, or "".
func (h Header) Get(name string) string {
	if v := h[name]; len(v) > 0 {
		return v[0]
	}
	return ""
}

// FencingToken is the fencing token of the lease under which a request with an
// idempotency key was accepted.
type FencingToken struct {
	Slot  string
	Token uint64
}

// Request is a request to be sent to a target.
type Request struct {
	Service      fleet.Service
	Organisation fleet.Organisation
	Rank         fleet.Rank
	// Deadline is by the local clock.
	Deadline time.Time
	// StartBy is the time by which the target's daemon assigns a slot to the
	// attempt or refuses it; zero if the attempt may queue until the deadline.
	StartBy    time.Time
	Idempotent bool
	Deferred   bool
	// Key is the idempotency key, or "".
	Key          string
	FencingToken FencingToken
	Fingerprint  uint64
	// Depth is the number of calls in which this one is nested.
	Depth uint32

	Method string
	// Path is the path of URI, for matching routes.
	Path   string
	URI    string
	Header Header
	// ContentLength is the size of the body in bytes, or -1 when unknown.
	ContentLength int64
	Body          *Body
	// ForwardedToOwner is set if the receiver should claim Key as its owner and
	// dispatch the request.
	ForwardedToOwner bool
}

// Answer is the response to a request.
type Answer struct {
	Outcome outcome.Outcome
	Status  int
	Header  Header
	// ContentLength is the size of the body in bytes, or -1 when unknown.
	ContentLength int64
	// Body returns io.EOF only if the answer is complete. It must be closed.
	Body io.ReadCloser
	// Load returns the latest load report that came with the answer, and false if
	// there was none. It is nil for answers that carry no load reports.
	Load func() (fleet.Load, bool)

	size int64
}

// Next reads the next part of the body into p. The flag end is set if this part
// completes the body; a body that ends early is an error.
func (a *Answer) Next(p []byte) (n int, end bool, err error) {
	n, err = a.Body.Read(p)
	a.size += int64(n)
	if err == nil && a.size == a.ContentLength {
		var more [1]byte
		var extra int
		extra, err = a.Body.Read(more[:])
		a.size += int64(extra)
	}
	if err == nil || !errors.Is(err, io.EOF) {
		return n, false, err
	}
	if a.ContentLength >= 0 && a.size != a.ContentLength {
		return n, false, errors.Wrapf(ErrTruncated, "%d of %d bytes", a.size, a.ContentLength)
	}
	return n, true, nil
}
