package logging

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
)

// repeatPeriod is the time in which a repeated message is written a bounded number of times.
const repeatPeriod = time.Second

// Levels holds the level of all parts and of single ones, as debug, info, warn or error.
type Levels struct {
	All   string
	Parts map[string]string
}

// Factory makes the loggers of a daemon's parts; a zero W discards every line.
type Factory struct {
	W      io.Writer
	Levels Levels
	Clock  clock.Clock
	// JSON writes lines as JSON objects instead of text.
	JSON bool
	// PerSecond is how many lines of one message are written in a second; 0 means one.
	PerSecond int
}

// Logger returns the logger of one part, whose lines start with its name.
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
	return slog.New(&partHandler{next: h, prefix: name + ": ", seen: &repeats{most: max(f.PerSecond, 1)}, clock: f.Clock})
}

func parseLevel(s string, def slog.Level) slog.Level {
	var l slog.Level
	if s == "" || l.UnmarshalText([]byte(s)) != nil {
		return def
	}
	return l
}

// partHandler puts the prefix before each message and limits repeated ones.
type partHandler struct {
	next   slog.Handler
	prefix string
	seen   *repeats
	clock  clock.Clock
}

// Enabled tells whether the level is written.
func (h *partHandler) Enabled(ctx context.Context, l slog.Level) bool { return h.next.Enabled(ctx, l) }

// Handle writes the record unless the same message was written within the period.
func (h *partHandler) Handle(ctx context.Context, rec slog.Record) error {
	dropped, ok := h.seen.pass(h.clock.Now(), rec.Message)
	if !ok {
		return nil
	}
	out := slog.NewRecord(rec.Time, rec.Level, h.prefix+rec.Message, rec.PC)
	rec.Attrs(func(a slog.Attr) bool {
		out.AddAttrs(a)
		return true
	})
	if dropped > 0 {
		out.AddAttrs(slog.Int("repeated", dropped))
	}
	return h.next.Handle(ctx, out)
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

// repeats remembers when each message was last written.
type repeats struct {
	mu   sync.Mutex
	most int // lines of one message in a period
	last map[string]*repeat
}

type repeat struct {
	at      time.Time // when the period began
	written int       // in the period
	dropped int
}

func (r *repeats) pass(now time.Time, msg string) (dropped int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last == nil {
		r.last = map[string]*repeat{}
	}
	e, met := r.last[msg]
	if met && now.Sub(e.at) < repeatPeriod {
		if e.written >= r.most {
			e.dropped++
			return 0, false
		}
		e.written++
		return 0, true
	}
	if !met {
		e = &repeat{}
		r.last[msg] = e
	}
	dropped = e.dropped
	e.at, e.written, e.dropped = now, 1, 0
	return dropped, true
}
