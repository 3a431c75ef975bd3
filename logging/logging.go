// Package logging sets up log/slog for the daemons. Every part of the system logs
// with a fixed prefix, so that its lines can be found by a plain text search.
package logging

import (
	"context"
	"io"
	"log/slog"
)

// Format selects the encoding of log lines.
type Format string

// Formats of log lines.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// New returns a logger that writes lines of at least the given level to w.
func New(w io.Writer, level slog.Level, format Format) *slog.Logger {
	options := &slog.HandlerOptions{Level: level}
	if format == FormatJSON {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}

// For returns a logger whose messages start with the name of a part and a colon,
// for example "owner: ". If log is nil, it discards all messages.
func For(log *slog.Logger, part string) *slog.Logger {
	if log == nil {
		return slog.New(slog.DiscardHandler)
	}
	return slog.New(&prefixHandler{Handler: log.Handler(), prefix: part + ": "})
}

// prefixHandler adds a prefix to the message of each record.
type prefixHandler struct {
	slog.Handler
	prefix string
}

func (h *prefixHandler) Handle(ctx context.Context, r slog.Record) error {
	r.Message = h.prefix + r.Message
	return h.Handler.Handle(ctx, r)
}

func (h *prefixHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &prefixHandler{Handler: h.Handler.WithAttrs(attrs), prefix: h.prefix}
}

func (h *prefixHandler) WithGroup(name string) slog.Handler {
	return &prefixHandler{Handler: h.Handler.WithGroup(name), prefix: h.prefix}
}
