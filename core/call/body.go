package call

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// ReplayBytes is how much of a body is kept for another attempt. It is also the
// size of the first frame of a body between daemons.
const ReplayBytes = 32 << 10

// errSuperseded is returned to the reader of an earlier attempt.
var errSuperseded = errors.New("the request body is sent by a later attempt")

// Body is a request body whose first ReplayBytes can be read again. A nil Body
// is empty.
type Body struct {
	source io.Reader
	head   []byte
	// read is set once head has been read, and whole when head is all of it.
	read, whole bool
	err         error

	mu sync.Mutex
	// generation counts the attempts; only readers of the latest may read
	// beyond head.
	generation int
	// passed is set once a reader went beyond head.
	passed bool
	pace   func(int) error
}

// NewBody returns a body that reads from source, of the given length or -1.
func NewBody(source io.Reader, length int64) *Body {
	if source == nil || length == 0 {
		return nil
	}
	return &Body{source: source}
}

// Buffered returns a body that holds data.
func Buffered(data []byte) *Body {
	return &Body{head: data, read: true, whole: true}
}

// Limit makes reading more than limit bytes fail with the error tooLarge. It
// must be called before the first read.
func (b *Body) Limit(limit int64, tooLarge error) {
	if b != nil && b.source != nil {
		b.source = &limited{source: b.source, left: limit, tooLarge: tooLarge}
	}
}

// Head reads and returns up to ReplayBytes from the start of the body and
// whether that is the whole body. Length is the declared length, or -1; a body
// shorter than it is an error. Head is not safe for concurrent use until its
// first call has returned.
func (b *Body) Head(length int64) (head []byte, whole bool, err error) {
	if b == nil {
		return nil, true, nil
	}
	if !b.read {
		b.readHead(length)
	}
	return b.head, b.whole, b.err
}

func (b *Body) readHead(length int64) {
	size := int64(ReplayBytes)
	if length >= 0 && length < size {
		size = length
	}
	buf := make([]byte, size)
	n, err := io.ReadFull(b.source, buf)
	b.read, b.head = true, buf[:n]
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		b.whole, err = true, nil
		if length >= 0 {
			err = io.ErrUnexpectedEOF
		}
	}
	if int64(n) == length {
		b.whole = true
	}
	b.err = err
}

// SetThrottle sets a function that is called with the size of each part read beyond
// the head, before the part is passed on. It may wait. An error ends the body.
// It must be called before Rest is read from; nil removes it.
func (b *Body) SetThrottle(f func(n int) error) {
	if b != nil {
		b.pace = f
	}
}

// Rest returns a reader of what follows Head. Once it has been read from, the
// body cannot be sent again.
func (b *Body) Rest() io.Reader {
	if b == nil || b.whole {
		return eof{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return rest{body: b, generation: b.generation}
}

// Rewind prepares the body for another attempt and reports whether it can still
// be sent from its start. Readers of earlier attempts fail from then on.
func (b *Body) Rewind() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.passed {
		return false
	}
	b.generation++
	return true
}

// Reader returns a reader of the whole body. The length is as for Head.
func (b *Body) Reader(length int64) (io.Reader, error) {
	head, whole, err := b.Head(length)
	if err != nil || b == nil {
		return eof{}, err
	}
	r := &reader{head: head, rest: eof{}}
	if !whole {
		r.rest = b.Rest()
	}
	return r, nil
}

type reader struct {
	head []byte
	rest io.Reader
}

func (r *reader) Read(p []byte) (int, error) {
	if len(r.head) == 0 {
		return r.rest.Read(p)
	}
	n := copy(p, r.head)
	r.head = r.head[n:]
	return n, nil
}

type rest struct {
	body       *Body
	generation int
}

func (r rest) Read(p []byte) (int, error) {
	if !r.pass() {
		return 0, errSuperseded
	}
	n, err := r.body.source.Read(p)
	if n > 0 && r.body.pace != nil {
		if err := r.body.pace(n); err != nil {
			return 0, err
		}
	}
	return n, err
}

// pass notes that the body is read beyond its head, unless a later attempt has
// begun.
func (r rest) pass() bool {
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	if r.generation != r.body.generation {
		return false
	}
	r.body.passed = true
	return true
}

// limited fails once more than left bytes were read.
type limited struct {
	source   io.Reader
	left     int64
	tooLarge error
}

func (l *limited) Read(p []byte) (int, error) {
	n, err := l.source.Read(p)
	l.left -= int64(n)
	if l.left < 0 {
		return 0, l.tooLarge
	}
	return n, err
}

type eof struct{}

func (eof) Read([]byte) (int, error) { return 0, io.EOF }
