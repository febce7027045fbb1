package http1

import (
	"io"
	"net/http"
	"time"

	"pollenscale/internal/mutant"

	"github.com/cockroachdb/errors"
)

// Mechanisms that mutation tests switch off one at a time.
var (
	rejectInvalid    = mutant.New("http1/reject-invalid")
	endAfterSentBody = mutant.New("http1/end-after-sent-body")
)

// maxStatus is the highest status of the classes that HTTP defines.
const maxStatus = 599

// errInvalidResponse is the error of a response that HTTP does not allow. How its end would
// be found is not known, so that nothing on its connection is used.
var errInvalidResponse = errors.New("invalid response")

// validate returns an error for a head that HTTP does not allow in a response to a request
// without an upgrade. A body behind a 304 is noticed only if it has arrived with the head;
// otherwise the connection is not used again.
func (c *conn) validate(head *http.Response) error {
	if rejectInvalid.Off() {
		return nil
	}
	switch status := head.StatusCode; {
	case head.ProtoMajor != 1:
		return errors.Wrap(errInvalidResponse, "version "+head.Proto)
	case status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols:
		return errors.Wrapf(errInvalidResponse, "status %q", head.Status)
	case status == http.StatusNoContent && declaresBody(head):
		return errors.Wrap(errInvalidResponse, "status 204 with a body")
	case status == http.StatusNotModified && declaresBody(head):
		if c.reader.Buffered() > 0 {
			return errors.Wrap(errInvalidResponse, "status 304 with a body")
		}
		head.Close = true
	}
	return nil
}

// declaresBody reports whether the header announces a body, allowed or not.
func declaresBody(head *http.Response) bool {
	length := head.Header.Get("Content-Length")
	return length != "" && length != "0" || len(head.TransferEncoding) > 0
}

// endsWithConnection reports whether the end of the connection is the end of the body.
func endsWithConnection(head *http.Response) bool {
	return head.ContentLength < 0 && len(head.TransferEncoding) == 0
}

// verifyEnd returns io.EOF for the end of the connection if it is the end of a complete body.
// The kernel reports a reset of the connection only once. If the write of the request's body
// has got the error, the read gets an ordinary end. It counts only if the request was sent
// completely. The body of a response that is not used may end in any way.
func (r *Response) verifyEnd() error {
	if !r.endsWithConnection || r.bodyUnwanted || endAfterSentBody.Off() {
		return io.EOF
	}
	var expired <-chan time.Time
	if !r.deadline.IsZero() {
		timer := time.NewTimer(time.Until(r.deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-r.sent:
	case <-expired:
	}
	if r.conn.writing.Load() {
		return errors.Wrap(io.ErrUnexpectedEOF, "the connection ended before the request was sent")
	}
	return io.EOF
}
