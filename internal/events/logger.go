package events

import (
	"fmt"
	"io"
	"log"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// limitInterval is the least time between two lines of an event that is logged
// with LogRateLimited.
const limitInterval = time.Second

// Logger writes numbered events. It is safe for concurrent use.
type Logger struct {
	z       zerolog.Logger
	limited *limits
}

// limits remembers the latest line of each limited event.
type limits struct {
	mu       sync.Mutex
	last     map[int]time.Time
	withheld map[int]int
}

func newLimits() *limits {
	return &limits{last: make(map[int]time.Time), withheld: make(map[int]int)}
}

// allow reports whether a line may be written, and how many were withheld
// since the last one.
func (l *limits) allow(number int, now time.Time) (withheld int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.last[number]) < limitInterval {
		l.withheld[number]++
		return 0, false
	}
	withheld = l.withheld[number]
	l.last[number], l.withheld[number] = now, 0
	return withheld, true
}

// New returns a logger that writes to w. Level is debug, info, warn or error;
// format is json or console; instance is added to each line.
func New(w io.Writer, level, format, instance string) (*Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("events: %w", err)
	}
	switch format {
	case "json":
	case "console":
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: time.RFC3339, NoColor: true}
	default:
		return nil, fmt.Errorf("events: unknown log format %q", format)
	}
	z := zerolog.New(w).Level(l).With().Timestamp().Str("instance", instance).Logger()
	return &Logger{z: z, limited: newLimits()}, nil
}

// Nop returns a logger that writes nothing.
func Nop() *Logger { return &Logger{z: zerolog.Nop(), limited: newLimits()} }

// Log begins a line for e. The caller adds fields and ends it with Msg or
// Send:
//
//	l.Log(events.StageReplaced).Str("request", id).Err(err).Send()
func (l *Logger) Log(e Event) *zerolog.Event {
	return l.z.WithLevel(e.Level).Str("event", e.Code()).Str("name", e.Name)
}

// LogRateLimited is Log for events that overload can cause thousands of times a
// second. It writes at most one line a second of each event; the next line says
// how many were withheld. The result may be nil, which zerolog's methods accept.
func (l *Logger) LogRateLimited(e Event) *zerolog.Event {
	withheld, ok := l.limited.allow(e.Number, time.Now())
	if !ok {
		return nil
	}
	line := l.Log(e)
	if withheld > 0 {
		line = line.Int("withheld", withheld)
	}
	return line
}

// With returns a logger that adds the field to each line.
func (l *Logger) With(key, value string) *Logger {
	return &Logger{z: l.z.With().Str(key, value).Logger(), limited: l.limited}
}

// Std returns a standard logger for libraries that need one; each of its lines
// is logged as e.
func (l *Logger) Std(e Event) *log.Logger {
	return log.New(stdWriter{l, e}, "", 0)
}

type stdWriter struct {
	l *Logger
	e Event
}

// Write implements io.Writer.
func (w stdWriter) Write(p []byte) (int, error) {
	w.l.Log(w.e).Msg(string(trimNewline(p)))
	return len(p), nil
}

func trimNewline(p []byte) []byte {
	if n := len(p); n > 0 && p[n-1] == '\n' {
		return p[:n-1]
	}
	return p
}
