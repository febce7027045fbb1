package sidecar

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"pollenscale/core/budget"
	"pollenscale/io/client"
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
	if r.ContentLength != 0 {
		q.claim.Reading(s.now(), func() { s.endBodyAt(w, r, time.Unix(1, 0)) })
	}
	err := q.readBody(r, body, s.now)
	if !q.claim.Read() {
		s.guard.CountRefused(client.Stalled, budget.Callers)
		return client.ErrNoMemory
	}
	if err != nil {
		return err
	}
	if q.stream != nil {
		if q.streaming = s.account.TakeStream(s.now()); !q.streaming {
			return client.ErrNoStream
		}
		s.endBodyAt(w, r, q.deadline.Add(streamMargin))
		return nil
	}
	s.endBodyAt(w, r, time.Time{})
	return nil
}

// readBody reads the body, or the first part of one that is too long to keep.
func (q *request) readBody(r *http.Request, body io.Reader, now func() time.Time) error {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		q.length = 0
		return nil
	}
	limit := maxReplayBytes + 1
	switch {
	case r.ContentLength > maxReplayBytes:
		limit = streamPrefixBytes
	case r.ContentLength > 0:
		limit = int(r.ContentLength) + 1 // finds the end
	}
	read, whole, err := readCharged(q.claim, body, limit, now)
	if err != nil {
		return err
	}
	q.body = read
	if !whole {
		q.stream = &bodyStream{source: body}
		q.stream.begun.Store(true)
		return nil
	}
	q.length = int64(len(read))
	return nil
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
