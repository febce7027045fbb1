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
	// flushAfter is how long lines are gathered before they are written together.
	flushAfter = 100 * time.Millisecond
	// defaultRate and defaultBurst bound the bytes that are kept for writing. A
	// line has about 300 bytes; at the usual load a daemon writes 40 a second.
	defaultRate  = 48 << 10
	defaultBurst = 96 << 10
	// reserved is the part of the burst that is kept for warnings and errors.
	reserved = 0.5
)

// Bounded writes log lines without ever blocking the caller. It keeps at most a
// burst of bytes, refilled at a rate. What exceeds it is left out and counted,
// lines below slog.LevelWarn first. Use NewBounded.
type Bounded struct {
	out   io.Writer
	rate  float64
	burst float64
	wake  chan struct{}
	now   func() time.Time

	mu      sync.Mutex
	buffer  bytes.Buffer
	room    float64
	filled  time.Time
	omitted map[slog.Level]uint64
	total   uint64
}

// NewBounded returns a writer that passes lines to out while Run runs.
func NewBounded(out io.Writer) *Bounded {
	return &Bounded{
		out: out, rate: defaultRate, burst: defaultBurst, room: defaultBurst, now: time.Now,
		wake: make(chan struct{}, 1), omitted: make(map[slog.Level]uint64),
	}
}

// Handler returns a handler that writes JSON lines from the given level on.
func (b *Bounded) Handler(level slog.Level) slog.Handler {
	return &boundedHandler{bounded: b, next: slog.NewJSONHandler(b, &slog.HandlerOptions{Level: level})}
}

// Omitted returns the number of lines that were left out since the start.
func (b *Bounded) Omitted() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// Write keeps a line for writing. It never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	b.room -= float64(len(line))
	n, err := b.buffer.Write(line)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return n, err
}

// takes reports whether there is room for a line of the level, and counts the
// line as left out otherwise.
func (b *Bounded) takes(level slog.Level) bool {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.room = min(b.burst-float64(b.buffer.Len()), b.room+now.Sub(b.filled).Seconds()*b.rate)
	b.filled = now
	need := 0.0
	if level < slog.LevelWarn {
		need = reserved * b.burst
	}
	if b.room > need {
		return true
	}
	b.omitted[level]++
	b.total++
	return false
}

// Run writes the kept lines until ctx ends.
func (b *Bounded) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.wake:
		}
		if !wait.For(ctx, flushAfter) {
			return nil
		}
		if err := b.Flush(); err != nil {
			return nil //nolint:nilerr // without a reader there is no place left to say so
		}
	}
}

// Flush writes the kept lines and how many were left out.
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

// boundedHandler drops lines before they are formatted.
type boundedHandler struct {
	bounded *Bounded
	next    slog.Handler
}

// Enabled reports whether lines of the level are written at all.
func (h *boundedHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle formats the line if there is room for it.
func (h *boundedHandler) Handle(ctx context.Context, r slog.Record) error {
	if !h.bounded.takes(r.Level) {
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
