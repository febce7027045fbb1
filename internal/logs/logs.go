// Package logs sets up log/slog with a fixed prefix for each part of the
// program, so that lines of one part can be found with a plain text search.
package logs

import (
	"context"
	"io"
	"log/slog"

	"github.com/cockroachdb/errors"
)

// Part names a part of the program; it prefixes each of its messages.
type Part string

// The parts of the program.
const (
	Daemon      Part = "daemon"
	Caller      Part = "caller"
	Peer        Part = "peer"
	Gossip      Part = "gossip"
	Target      Part = "target"
	Platform    Part = "platform"
	Operator    Part = "operator"
	Config      Part = "config"
	Member      Part = "member"
	Lease       Part = "lease"
	Idempotency Part = "idempotency"
	Upload      Part = "upload"
	Poison      Part = "poison"
	Trace       Part = "trace"
)

// Format is how lines are written.
type Format string

// The formats.
const (
	Text Format = "Text"
	JSON Format = "Json"
)

// Setup makes the default logger write to w. The level is Debug, Info, Warn or
// Error in any case.
func Setup(w io.Writer, level string, format Format) error {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return errors.Newf("log level must be one of Debug, Info, Warn, Error, is %q", level)
	}
	options := &slog.HandlerOptions{Level: l}
	switch format {
	case Text:
		slog.SetDefault(slog.New(slog.NewTextHandler(w, options)))
	case JSON:
		slog.SetDefault(slog.New(slog.NewJSONHandler(w, options)))
	default:
		return errors.Newf("log format must be one of Text, Json, is %q", format)
	}
	return nil
}

// For returns the logger of a part. It follows later calls of Setup.
func For(part Part) *slog.Logger {
	return slog.New(&handler{prefix: string(part) + ": "})
}

// With returns the logger of a part that passes its lines to log.
func With(log *slog.Logger, part Part) *slog.Logger {
	return slog.New(&handler{prefix: string(part) + ": ", next: log.Handler()})
}

// handler prefixes messages and passes them to the next handler.
type handler struct {
	prefix string
	// next is nil for the default handler of the moment, so that package
	// variables may hold loggers.
	next slog.Handler
	// with replays attributes and groups on the default handler.
	with []func(slog.Handler) slog.Handler
}

func (h *handler) base() slog.Handler {
	if h.next != nil {
		return h.next
	}
	return slog.Default().Handler()
}

func (h *handler) target() slog.Handler {
	t := h.base()
	for _, f := range h.with {
		t = f(t)
	}
	return t
}

// Enabled reports whether the default handler takes the level.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.base().Enabled(ctx, level)
}

// Handle prefixes the message and passes the record on.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	out := slog.NewRecord(r.Time, r.Level, h.prefix+r.Message, r.PC)
	r.Attrs(func(a slog.Attr) bool {
		out.AddAttrs(a)
		return true
	})
	return h.target().Handle(ctx, out)
}

// WithAttrs returns a handler that adds the attributes.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return h.adding(func(t slog.Handler) slog.Handler { return t.WithAttrs(attrs) })
}

// WithGroup returns a handler that opens the group.
func (h *handler) WithGroup(name string) slog.Handler {
	return h.adding(func(t slog.Handler) slog.Handler { return t.WithGroup(name) })
}

func (h *handler) adding(f func(slog.Handler) slog.Handler) slog.Handler {
	with := append(append([]func(slog.Handler) slog.Handler(nil), h.with...), f)
	return &handler{prefix: h.prefix, next: h.next, with: with}
}
