package call

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ReplayBytes is how much of a body is kept for another attempt. It is also the
// size of the first frame of a body between daemons.
const ReplayBytes = 32 << 10

// Body is a request body whose first ReplayBytes can be read again. A nil Body
// is empty.
type Body struct {
	source io.Reader
	head   []byte
	// whole is set when head holds the whole body.
	whole bool
	err   error
	// offset is the position in head.
	offset int
	// passed is set once bytes beyond head have been read.
	passed bool
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
	return &Body{head: data, whole: true}
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
// shorter than it is an error.
func (b *Body) Head(length int64) (head []byte, whole bool, err error) {
	if b == nil {
		return nil, true, nil
	}
	if b.head != nil || b.whole || b.err != nil {
		return b.head, b.whole, b.err
	}
	size := int64(ReplayBytes)
	if length > 0 && length < size {
		size = length
	}
	buf := make([]byte, size)
	n, err := io.ReadFull(b.source, buf)
	b.head = buf[:n]
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		b.whole, err = true, nil
		if length > 0 {
			err = io.ErrUnexpectedEOF
		}
	}
	if err == nil && int64(n) == length {
		b.whole = true
	}
	b.err = err
	return b.head, b.whole, err
}

// Rest returns a reader of what follows Head. Once it has been read from, the
// body cannot be sent again.
func (b *Body) Rest() io.Reader {
	if b == nil || b.whole {
		return eof{}
	}
	return rest{b}
}

// Replayable reports whether the body can still be sent from its start.
func (b *Body) Replayable() bool {
	return b == nil || !b.passed
}

// Read reads the body from its start, for use by one reader.
func (b *Body) Read(p []byte) (int, error) {
	if b == nil {
		return 0, io.EOF
	}
	if b.offset < len(b.head) {
		n := copy(p, b.head[b.offset:])
		b.offset += n
		return n, nil
	}
	return b.Rest().Read(p)
}

type rest struct{ b *Body }

func (r rest) Read(p []byte) (int, error) {
	r.b.passed = true
	return r.b.source.Read(p)
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
