package logs

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"pollenscale/core/wait"
)

const (
	// flushDelay is how long lines are batched before they are written.
	flushDelay = 100 * time.Millisecond
	// defaultRate, in bytes per second, and defaultBurst, in bytes, bound the
	// lines accepted for writing. A line has about 300 bytes; under usual load a
	// daemon writes 40 lines per second.
	defaultRate  = 48 << 10
	defaultBurst = 96 << 10
	// reservedShare is the fraction of the burst reserved for warnings and errors.
	reservedShare = 0.5
)

// Bounded writes log lines without blocking the caller. A token bucket limits
// the bytes that it accepts, and the buffer holds about one burst at most. Lines
// beyond the limit are omitted and counted, those below slog.LevelWarn first.
// Use NewBounded.
type Bounded struct {
	out   io.Writer
	rate  float64
	burst float64
	wake  chan struct{}
	now   func() time.Time

	mu           sync.Mutex
	buffer       bytes.Buffer
	tokens       float64
	refilled     time.Time
	omitted      map[slog.Level]uint64
	omittedTotal uint64
}

// NewBounded returns a writer whose lines are written to out by Run and Flush.
func NewBounded(out io.Writer) *Bounded {
	return &Bounded{
		out: out, rate: defaultRate, burst: defaultBurst, tokens: defaultBurst, now: time.Now,
		wake: make(chan struct{}, 1), omitted: make(map[slog.Level]uint64),
	}
}

// Handler returns a handler that writes lines of at least the given level as
// JSON.
func (b *Bounded) Handler(level slog.Level) slog.Handler {
	return &boundedHandler{bounded: b, next: slog.NewJSONHandler(b, &slog.HandlerOptions{Level: level})}
}

// Omitted returns the number of lines omitted since the start.
func (b *Bounded) Omitted() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.omittedTotal
}

// Write buffers a line for writing. It never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	b.tokens -= float64(len(line))
	n, err := b.buffer.Write(line)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return n, err
}

// admit reports whether a line of the level may be written. If not, it counts
// the line as omitted.
func (b *Bounded) admit(level slog.Level) bool {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst-float64(b.buffer.Len()), b.tokens+now.Sub(b.refilled).Seconds()*b.rate)
	b.refilled = now
	need := 0.0
	if level < slog.LevelWarn {
		need = reservedShare * b.burst
	}
	if b.tokens > need {
		return true
	}
	b.omitted[level]++
	b.omittedTotal++
	return false
}

// Run writes the buffered lines until ctx ends or writing fails.
func (b *Bounded) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.wake:
		}
		if !wait.For(ctx, flushDelay) {
			return nil
		}
		if err := b.Flush(); err != nil {
			return nil //nolint:nilerr // the log itself cannot be written, so the error cannot be logged
		}
	}
}

// Flush writes the buffered lines and the number of omitted ones.
func (b *Bounded) Flush() error {
	b.mu.Lock()
	lines := bytes.Clone(b.buffer.Bytes())
	b.buffer.Reset()
	omitted := b.omitted
	if len(omitted) > 0 {
		b.omitted = make(map[slog.Level]uint64)
	}
	b.mu.Unlock()
	if _, err := b.out.Write(lines); err != nil {
		return err
	}
	if len(omitted) == 0 {
		return nil
	}
	log := slog.New(slog.NewJSONHandler(b.out, nil))
	for level, count := range omitted {
		log.Warn("log: lines left out.", "of", level, "count", count)
	}
	return nil
}

// boundedHandler omits lines before the cost of formatting them.
type boundedHandler struct {
	bounded *Bounded
	next    slog.Handler
}

// Enabled reports whether the handler accepts lines of the level.
func (h *boundedHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle formats and buffers the line if the limit admits it.
func (h *boundedHandler) Handle(ctx context.Context, r slog.Record) error {
	if !h.bounded.admit(r.Level) {
		return nil
	}
	return h.next.Handle(ctx, r)
}

// WithAttrs returns a handler that adds the attributes.
func (h *boundedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &boundedHandler{bounded: h.bounded, next: h.next.WithAttrs(attrs)}
}

// WithGroup returns a handler that opens the group.
func (h *boundedHandler) WithGroup(name string) slog.Handler {
	return &boundedHandler{bounded: h.bounded, next: h.next.WithGroup(name)}
}
