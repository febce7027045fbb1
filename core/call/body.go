package call

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// ReplayBytes is the size of the part of a body that is buffered for further
// attempts. It is also the size of the first frame of a body between daemons.
const ReplayBytes = 32 << 10

// errSuperseded is returned to readers of earlier attempts.
var errSuperseded = errors.New("the request body is sent by a later attempt")

// Body is a request body whose head, the first ReplayBytes, can be read again. A
// nil Body is empty.
type Body struct {
	source io.Reader
	head   []byte
	// headRead is set once the head has been read, and complete if the head is the
	// whole body.
	headRead, complete bool
	err                error

	mu sync.Mutex
	// generation counts the attempts. Only readers of the latest attempt may read
	// beyond the head.
	generation int
	// readBeyondHead is set once a reader has read beyond the head.
	readBeyondHead bool
	throttle       func(int) error
}

// NewBody returns a body of the given length that reads from source. The length is
// -1 if unknown.
func NewBody(source io.Reader, length int64) *Body {
	if source == nil || length == 0 {
		return nil
	}
	return &Body{source: source}
}

// Buffered returns a body that holds data.
func Buffered(data []byte) *Body {
	return &Body{head: data, headRead: true, complete: true}
}

// Limit makes reads fail with the error tooLarge once more than limit bytes have
// been read. It must be called before the first read.
func (b *Body) Limit(limit int64, tooLarge error) {
	if b != nil && b.source != nil {
		b.source = &limitedReader{source: b.source, remaining: limit, tooLarge: tooLarge}
	}
}

// Head reads and returns up to ReplayBytes from the start of the body, and
// whether that is the whole body. The length is the declared length or -1; a
// shorter body is an error. Head is not safe for concurrent use until its first
// call has returned.
func (b *Body) Head(length int64) (head []byte, complete bool, err error) {
	if b == nil {
		return nil, true, nil
	}
	if !b.headRead {
		b.readHead(length)
	}
	return b.head, b.complete, b.err
}

func (b *Body) readHead(length int64) {
	size := int64(ReplayBytes)
	if length >= 0 && length < size {
		size = length
	}
	buf := make([]byte, size)
	n, err := io.ReadFull(b.source, buf)
	b.headRead, b.head = true, buf[:n]
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		b.complete, err = true, nil
		if length >= 0 {
			err = io.ErrUnexpectedEOF
		}
	}
	if int64(n) == length {
		b.complete = true
	}
	b.err = err
}

// SetThrottle sets a function that is called with the size of each part read
// beyond the head, before Read returns the part. The function may block; if it
// returns an error, Read fails with it. SetThrottle must be called before Rest is
// read from; nil removes the function.
func (b *Body) SetThrottle(f func(n int) error) {
	if b != nil {
		b.throttle = f
	}
}

// Rest returns a reader of the body beyond the head. Once it has been read from,
// the body cannot be rewound.
func (b *Body) Rest() io.Reader {
	if b == nil || b.complete {
		return emptyReader{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return restReader{body: b, generation: b.generation}
}

// Rewind prepares the body for another attempt and reports whether it can still be
// sent from its start. From then on, readers of earlier attempts fail when they
// read beyond the head.
func (b *Body) Rewind() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.readBeyondHead {
		return false
	}
	b.generation++
	return true
}

// Reader returns a reader of the whole body. The length is as for Head.
func (b *Body) Reader(length int64) (io.Reader, error) {
	head, complete, err := b.Head(length)
	if err != nil || b == nil {
		return emptyReader{}, err
	}
	r := &wholeReader{head: head, rest: emptyReader{}}
	if !complete {
		r.rest = b.Rest()
	}
	return r, nil
}

type wholeReader struct {
	head []byte
	rest io.Reader
}

func (r *wholeReader) Read(p []byte) (int, error) {
	if len(r.head) == 0 {
		return r.rest.Read(p)
	}
	n := copy(p, r.head)
	r.head = r.head[n:]
	return n, nil
}

type restReader struct {
	body       *Body
	generation int
}

func (r restReader) Read(p []byte) (int, error) {
	if !r.markBeyondHead() {
		return 0, errSuperseded
	}
	n, err := r.body.source.Read(p)
	if n > 0 && r.body.throttle != nil {
		if err := r.body.throttle(n); err != nil {
			return 0, err
		}
	}
	return n, err
}

// markBeyondHead records that the body is read beyond its head. It returns false if
// a later attempt has begun.
func (r restReader) markBeyondHead() bool {
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	if r.generation != r.body.generation {
		return false
	}
	r.body.readBeyondHead = true
	return true
}

// limitedReader fails with tooLarge once more than the remaining bytes have been
// read.
type limitedReader struct {
	source    io.Reader
	remaining int64
	tooLarge  error
}

func (l *limitedReader) Read(p []byte) (int, error) {
	n, err := l.source.Read(p)
	l.remaining -= int64(n)
	if l.remaining < 0 {
		return 0, l.tooLarge
	}
	return n, err
}

type emptyReader struct{}

func (emptyReader) Read([]byte) (int, error) { return 0, io.EOF }
