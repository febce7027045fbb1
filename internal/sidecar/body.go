package sidecar

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// maxReplayBytes is the largest body that is kept in memory for further attempts.
const maxReplayBytes = 1 << 20

// streamMargin is the time after the deadline of a request in which its handler still
// responds before the connection of a body that is passed on as it arrives counts as lost.
const streamMargin = 500 * time.Millisecond

// endBodyAt makes reads of the body fail from a time on, so that a sender that stops in the
// middle of a body occupies nothing after it. The zero time means never.
func (s *Sidecar) endBodyAt(w http.ResponseWriter, r *http.Request, at time.Time) {
	if r.ContentLength == 0 {
		return
	}
	if err := http.NewResponseController(w).SetReadDeadline(at); err != nil {
		s.log.Debug("daemon: setting the read deadline of a body failed.", "error", err)
	}
}

// endResponseAt makes writes of a long response fail from a time on, so that a receiver that
// stops reading in the middle of it occupies nothing after it.
func (s *Sidecar) endResponseAt(w http.ResponseWriter, resp *response, at time.Time) {
	if resp.rest == nil || endUnread.Off() {
		return
	}
	if err := http.NewResponseController(w).SetWriteDeadline(at); err != nil {
		s.log.Debug("daemon: setting the write deadline of a response failed.", "error", err)
	}
}

// readBody reads the body, or the first part of one that is too long to keep. The reads
// end with the deadline of the request. The limit is the largest length allowed, 0 for none.
func (s *Sidecar) readBody(w http.ResponseWriter, r *http.Request, q *request, limit int64) error {
	s.endBodyAt(w, r, q.deadline)
	body := io.Reader(r.Body)
	if limit > 0 {
		// r.Body stays: net/http finds by it that a body was not read to its end.
		body = http.MaxBytesReader(w, r.Body, limit)
	}
	if err := q.readBody(r, body); err != nil {
		return err
	}
	if q.stream != nil {
		s.endBodyAt(w, r, q.deadline.Add(streamMargin))
		return nil
	}
	s.endBodyAt(w, r, time.Time{})
	return nil
}

// readBody reads the body, or the first part of one that is too long to keep.
func (q *request) readBody(r *http.Request, body io.Reader) error {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		q.length = 0
		return nil
	}
	var buffer bytes.Buffer
	if r.ContentLength > 0 && r.ContentLength <= maxReplayBytes {
		buffer.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	n, err := io.Copy(&buffer, io.LimitReader(body, maxReplayBytes+1))
	if err != nil {
		return err
	}
	q.body = buffer.Bytes()
	if n > maxReplayBytes {
		q.stream = &bodyStream{source: body}
		q.stream.begun.Store(true)
		return nil
	}
	q.length = n
	return nil
}

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

// replayable reports whether the body can be sent again.
func (q *request) replayable() bool { return q.stream == nil }

// bodyReader returns a reader of the body for one attempt.
func (q *request) bodyReader() io.Reader {
	if q.length == 0 {
		return nil
	}
	if q.stream != nil {
		return io.MultiReader(bytes.NewReader(q.body), q.stream)
	}
	return bytes.NewReader(q.body)
}
