package logging

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
)

// repeatPeriod is the period in which the lines of one message are limited.
const repeatPeriod = time.Second

// Levels holds the default level and the levels of single parts, as debug, info, warn or error.
type Levels struct {
	All   string
	Parts map[string]string
}

// Factory makes the loggers of a daemon's parts; if W is nil, every line is discarded.
type Factory struct {
	W      io.Writer
	Levels Levels
	Clock  clock.Clock
	// JSON writes lines as JSON objects instead of text.
	JSON bool
	// PerSecond is the most lines of one message that a part writes in a second; 0 means one.
	PerSecond int
}

// Logger returns the logger of one part; its messages start with the part's name.
func (f Factory) Logger(name string) *slog.Logger {
	if f.W == nil {
		return slog.New(slog.DiscardHandler)
	}
	level := parseLevel(f.Levels.All, slog.LevelInfo)
	level = parseLevel(f.Levels.Parts[name], level)
	opts := &slog.HandlerOptions{Level: level}
	var h slog.Handler = slog.NewTextHandler(f.W, opts)
	if f.JSON {
		h = slog.NewJSONHandler(f.W, opts)
	}
	return slog.New(&partHandler{next: h, prefix: name + ": ", limiter: &messageLimiter{perPeriod: max(f.PerSecond, 1)}, clock: f.Clock})
}

// IsLimited reports whether a line with the message isn't written since the message has reached its limit, and counts it as dropped
// if so. It spares lines of refused requests, thousands a second in an overload, what slog does before the limit is checked.
func IsLimited(l *slog.Logger, msg string) bool {
	h, ok := l.Handler().(*partHandler)
	return ok && h.limiter.drop(h.clock.Now(), msg)
}

// parseLevel returns the level that s names, or def if s is empty or invalid.
func parseLevel(s string, def slog.Level) slog.Level {
	var l slog.Level
	if s == "" || l.UnmarshalText([]byte(s)) != nil {
		return def
	}
	return l
}

// partHandler prefixes each message and limits the lines of each message.
type partHandler struct {
	next    slog.Handler
	prefix  string
	limiter *messageLimiter
	clock   clock.Clock
}

// Enabled reports whether lines of the level are written.
func (h *partHandler) Enabled(ctx context.Context, l slog.Level) bool { return h.next.Enabled(ctx, l) }

// Handle writes the record unless its message has reached its limit in the current period.
func (h *partHandler) Handle(ctx context.Context, rec slog.Record) error {
	dropped, ok := h.limiter.allow(h.clock.Now(), rec.Message)
	if !ok {
		return nil
	}
	rec.Message = h.prefix + rec.Message
	if dropped > 0 {
		rec = rec.Clone() // the caller's copy may share the attributes
		rec.AddAttrs(slog.Int("repeated", dropped))
	}
	return h.next.Handle(ctx, rec)
}

// WithAttrs returns a handler that adds the attributes.
func (h *partHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	c := *h
	c.next = h.next.WithAttrs(attrs)
	return &c
}

// WithGroup returns a handler that opens the group.
func (h *partHandler) WithGroup(name string) slog.Handler {
	c := *h
	c.next = h.next.WithGroup(name)
	return &c
}

// messageLimiter limits the lines of each message in a period.
type messageLimiter struct {
	mu        sync.Mutex
	perPeriod int // most lines of one message in a period
	counts    map[string]*messageCount
}

// messageCount counts the lines of one message in its current period.
type messageCount struct {
	start   time.Time // of the period
	written int
	dropped int
}

// allow reports whether a line may be written. If the line starts a new period, dropped is the number of lines dropped in the last one.
func (l *messageLimiter) allow(now time.Time, msg string) (dropped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts = map[string]*messageCount{}
	}
	e, known := l.counts[msg]
	if known && now.Sub(e.start) < repeatPeriod {
		if e.written >= l.perPeriod {
			e.dropped++
			return 0, false
		}
		e.written++
		return 0, true
	}
	if !known {
		e = &messageCount{}
		l.counts[msg] = e
	}
	dropped = e.dropped
	e.start, e.written, e.dropped = now, 1, 0
	return dropped, true
}

// drop counts a line as dropped if its message has reached the limit, and reports whether it did.
func (l *messageLimiter) drop(now time.Time, msg string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.counts[msg]
	if e == nil || e.written < l.perPeriod || now.Sub(e.start) >= repeatPeriod {
		return false
	}
	e.dropped++
	return true
}
