// Package logs configures log/slog and provides a logger for each component.
//
// Messages start with the name of their component, so that the lines of one
// component can be found with a text search.
package logs

import (
	"context"
	"io"
	"log/slog"

	"github.com/cockroachdb/errors"
)

// Component is the name of a component; it prefixes all of its messages.
type Component string

// The components.
const (
	Daemon      Component = "daemon"
	Caller      Component = "caller"
	Peer        Component = "peer"
	Gossip      Component = "gossip"
	Target      Component = "target"
	Platform    Component = "platform"
	Operator    Component = "operator"
	Config      Component = "config"
	Member      Component = "member"
	Lease       Component = "lease"
	Idempotency Component = "idempotency"
	Upload      Component = "upload"
	Poison      Component = "poison"
	Trace       Component = "trace"
)

// Format is the format of log lines.
type Format string

// The formats.
const (
	Text Format = "Text"
	JSON Format = "Json"
)

// Setup makes the default logger write to w. The level is one of Debug, Info,
// Warn and Error, in upper or lower case.
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

// For returns a logger for the component that passes its lines to the default
// logger, also after later calls of Setup.
func For(component Component) *slog.Logger {
	return slog.New(&prefixHandler{prefix: string(component) + ": "})
}

// With returns a logger for the component that passes its lines to log.
func With(log *slog.Logger, component Component) *slog.Logger {
	return slog.New(&prefixHandler{prefix: string(component) + ": ", next: log.Handler()})
}

// prefixHandler prefixes messages and passes records to the next handler.
type prefixHandler struct {
	prefix string
	// next is nil to look up the default handler on each call, so that loggers in
	// package variables follow Setup.
	next slog.Handler
	// derive holds the calls of WithAttrs and WithGroup, which are repeated on
	// the next handler for each line.
	derive []func(slog.Handler) slog.Handler
}

func (h *prefixHandler) base() slog.Handler {
	if h.next != nil {
		return h.next
	}
	return slog.Default().Handler()
}

// derived returns the next handler with all attributes and groups.
func (h *prefixHandler) derived() slog.Handler {
	next := h.base()
	for _, f := range h.derive {
		next = f(next)
	}
	return next
}

// Enabled reports whether the next handler accepts the level.
func (h *prefixHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.base().Enabled(ctx, level)
}

// Handle passes the record with the prefixed message to the next handler.
func (h *prefixHandler) Handle(ctx context.Context, r slog.Record) error {
	out := slog.NewRecord(r.Time, r.Level, h.prefix+r.Message, r.PC)
	r.Attrs(func(a slog.Attr) bool {
		out.AddAttrs(a)
		return true
	})
	return h.derived().Handle(ctx, out)
}

// WithAttrs returns a handler that adds the attributes.
func (h *prefixHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return h.withDerivation(func(next slog.Handler) slog.Handler { return next.WithAttrs(attrs) })
}

// WithGroup returns a handler that opens the group.
func (h *prefixHandler) WithGroup(name string) slog.Handler {
	return h.withDerivation(func(next slog.Handler) slog.Handler { return next.WithGroup(name) })
}

func (h *prefixHandler) withDerivation(f func(slog.Handler) slog.Handler) slog.Handler {
	derive := append(append([]func(slog.Handler) slog.Handler(nil), h.derive...), f)
	return &prefixHandler{prefix: h.prefix, next: h.next, derive: derive}
}
