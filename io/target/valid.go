package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"pollenscale/core/outcome"

	"github.com/cockroachdb/errors"
)

// maxStatus is the highest status of the classes that HTTP defines.
const maxStatus = 599

// exchange observes one request on its connection.
type exchange struct {
	ctx     context.Context //nolint:containedctx // ends the wait for the rest of the request
	begun   atomic.Bool     // a part of the request was written
	once    sync.Once
	written chan struct{} // closed when the request was written or given up
	err     error         // of the write, valid after written is closed
	conn    net.Conn
}

// trace returns an exchange and the context for its request.
func trace(ctx context.Context) (*exchange, context.Context) {
	e := &exchange{ctx: ctx, written: make(chan struct{})}
	return e, httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:          func(i httptrace.GotConnInfo) { e.conn = i.Conn },
		WroteHeaderField: func(string, []string) { e.begun.Store(true) },
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			e.once.Do(func() {
				e.err = i.Err
				close(e.written)
			})
		},
	})
}

// validate returns an *outcome.Error for a response that HTTP does not allow. How its end
// would be found is not known, so that its connection is closed.
func (e *exchange) validate(response *http.Response) error {
	detail := ""
	switch status := response.StatusCode; {
	case response.ProtoMajor != 1:
		detail = "version " + response.Proto
	case status < http.StatusOK || status > maxStatus:
		detail = "status " + response.Status
	case status == http.StatusNoContent && declaresBody(response):
		detail = "status 204 with a body"
	case status == http.StatusNotModified && declaresBody(response):
		// A body would be taken for the response to the next request.
		e.closeConn(response, nil)
		return nil
	default:
		return nil
	}
	err := outcome.New(outcome.Unknown, outcome.TargetFailed, "invalid response of the target: "+detail)
	e.closeConn(response, err)
	return err
}

// closeConn closes the connection, so that it is not used again. It adds an error to the
// detail of failed, unless that is nil.
func (e *exchange) closeConn(response *http.Response, failed *outcome.Error) {
	err := errors.CombineErrors(e.conn.Close(), response.Body.Close())
	if err != nil && !errors.Is(err, net.ErrClosed) && failed != nil {
		failed.Detail += "; closing the connection: " + err.Error()
	}
}

// declaresBody reports whether the header announces a body, allowed or not.
func declaresBody(r *http.Response) bool {
	length := r.Header.Get("Content-Length")
	return length != "" && length != "0" || len(r.TransferEncoding) > 0
}

// endsWithConnection reports whether the end of the connection is the end of the body.
func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// verifyEnd returns io.EOF for the end of the connection if it is the end of a complete body.
// The kernel reports a reset of the connection only once. If the write of the request has
// got the error, the read gets an ordinary end. It counts only if the request was sent
// completely.
func (e *exchange) verifyEnd() error {
	select {
	case <-e.written:
		if e.err == nil {
			return io.EOF
		}
	case <-e.ctx.Done():
	}
	return errors.Wrap(io.ErrUnexpectedEOF, "the connection ended before the request was sent")
}
