package sidecar

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// bodyStream is a request body that is passed on as it arrives. The target may respond
// before it has read it, and reads on later.
type bodyStream struct {
	source io.Reader
	begun  atomic.Bool // a part was read
	ended  atomic.Bool // its end was read
	// sent is closed when the body was passed on or given up, nil before the response.
	sent <-chan struct{}
}

// Read reads from the sender.
func (b *bodyStream) Read(p []byte) (int, error) {
	b.begun.Store(true)
	n, err := b.source.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	return n, err
}

// unfinished reports whether a part of the body is still to be read.
func (b *bodyStream) unfinished() bool { return b != nil && !b.ended.Load() }

// respondEarly lets a response be written while the body of its request is being read. By
// default net/http takes up to 256 KiB of the body away and discards them before it writes
// the head of a response, and waits for them.
func (s *Sidecar) respondEarly(w http.ResponseWriter, r *http.Request, b *bodyStream) {
	if !b.unfinished() || fullDuplex.Off() {
		return
	}
	// Otherwise a client that asked before it sent the body would be told to close.
	r.Body = io.NopCloser(b)
	s.enableFullDuplex(w)
}

// failEarly is respondEarly for an error response to a request whose body was read in part.
// The rest of the body is of no use, so that the connection ends after the response.
func (s *Sidecar) failEarly(w http.ResponseWriter, b *bodyStream) {
	if !b.unfinished() || !b.begun.Load() || fullDuplex.Off() {
		return
	}
	w.Header()["Connection"] = []string{"close"}
	s.enableFullDuplex(w)
}

func (s *Sidecar) enableFullDuplex(w http.ResponseWriter) {
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		s.log.Debug("daemon: enabling full duplex failed.", "error", err)
	}
}

// finishBody sends what was written of a response and waits until the body of its request
// has been passed on. What the target does not take is discarded. If the body does not
// end, the connection is closed: the rest must not be taken for another request.
func (s *Sidecar) finishBody(w http.ResponseWriter, b *bodyStream) {
	if !b.unfinished() || fullDuplex.Off() {
		return
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		s.log.Debug("daemon: sending an early response failed.", "error", err)
	}
	if b.sent != nil {
		<-b.sent
	}
	if _, err := io.Copy(io.Discard, b); err != nil {
		s.log.Debug("daemon: the body of a request did not end.", "error", err)
		panic(http.ErrAbortHandler)
	}
}
