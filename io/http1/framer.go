package http1

import (
	"bufio"
	"bytes"
	"net/http"
)

// headEnd ends the head of a message.
var headEnd = []byte("\r\n\r\n")

var lineEnd = []byte("\n")

// maxFramedLines limits the lines of a head that the framer parses. net/http parses the same
// head again in its turn, and a parsed line takes far more memory than its bytes.
const maxFramedLines = 128

// framer finds the requests in the bytes of a connection. It gives up at a request whose
// end it cannot tell.
type framer struct {
	head []byte // of an incomplete head
	skip int64  // bytes that are left of a body
	lost bool
}

// feed returns the requests whose heads end in the next bytes.
func (f *framer) feed(b []byte) []*http.Request {
	var requests []*http.Request
	for len(b) > 0 && !f.lost {
		if f.skip > 0 {
			n := min(f.skip, int64(len(b)))
			f.skip -= n
			b = b[n:]
			continue
		}
		if len(f.head) > 0 {
			b = append(f.head, b...)
			f.head = nil
		}
		end := bytes.Index(b, headEnd)
		if end < 0 {
			f.head, f.lost = bytes.Clone(b), len(b) > maxHeadBytes
			return requests
		}
		if bytes.Count(b[:end], lineEnd) > maxFramedLines {
			f.lost = true
			return requests
		}
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(b[:end+len(headEnd)])))
		if err != nil || r.ContentLength < 0 {
			f.lost = true
			return requests
		}
		f.skip = r.ContentLength
		b = b[end+len(headEnd):]
		requests = append(requests, r)
	}
	return requests
}
