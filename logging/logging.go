// Package logging sets up log/slog. Every part of the system logs with a fixed
// prefix, so that one part's lines can be found with a plain text search.
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

// New returns a logger that writes to w.
func New(w io.Writer, level slog.Level, format Format) *slog.Logger {
	options := &slog.HandlerOptions{Level: level}
	if format == FormatJSON {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}

// For returns a logger whose messages start with "part: ". A nil log discards
// everything.
func For(log *slog.Logger, part string) *slog.Logger {
	if log == nil {
		return slog.New(slog.DiscardHandler)
	}
	return slog.New(&prefixHandler{Handler: log.Handler(), prefix: part + ": "})
}

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
