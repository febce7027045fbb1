package http1

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// maxHeadBytes limits the head of a response.
const maxHeadBytes = 64 << 10

// errHeadTooLong is the error of a response whose head exceeds maxHeadBytes.
var errHeadTooLong = errors.Newf("response head exceeds %d bytes", maxHeadBytes)

// headLimiter reads from a connection and limits the bytes that are read while the head
// of a response is incomplete. Without it, net/http buffers a line or a header of any
// length.
type headLimiter struct {
	source io.Reader
	inHead bool
	left   int
}

func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.source.Read(p)
	}
	if l.left == 0 {
		return 0, errHeadTooLong
	}
	n, err := l.source.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// nextHead reads the head of the next response on the connection.
func (c *conn) nextHead(r *Request) (*http.Response, error) {
	c.limiter.inHead, c.limiter.left = true, maxHeadBytes
	head, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	c.limiter.inHead = false
	if err != nil {
		return nil, err
	}
	if err := c.validate(head); err != nil {
		return nil, err
	}
	return head, nil
}
