package events

import (
	"fmt"
	"io"
	"log"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// rateLimitInterval is the minimum time between two lines of the same event
// that are logged with LogRateLimited.
const rateLimitInterval = time.Second

// Logger writes numbered events. It is safe for concurrent use.
type Logger struct {
	z       zerolog.Logger
	limiter *rateLimiter
}

// rateLimiter allows one line per rateLimitInterval for each event number. mu
// guards lastLogged, the time of the latest line, and withheld, the number of
// lines suppressed since then.
type rateLimiter struct {
	mu         sync.Mutex
	lastLogged map[int]time.Time
	withheld   map[int]int
}

func newRateLimiter() *rateLimiter {
	return &rateLimiter{lastLogged: make(map[int]time.Time), withheld: make(map[int]int)}
}

// allow reports whether a line of the event may be written at now. If so, it
// also returns how many lines were withheld since the previous one.
func (l *rateLimiter) allow(number int, now time.Time) (withheld int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.lastLogged[number]) < rateLimitInterval {
		l.withheld[number]++
		return 0, false
	}
	withheld = l.withheld[number]
	l.lastLogged[number], l.withheld[number] = now, 0
	return withheld, true
}

// New returns a logger that writes to w. level is debug, info, warn or error;
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
	return &Logger{z: z, limiter: newRateLimiter()}, nil
}

// Nop returns a logger that writes nothing.
func Nop() *Logger { return &Logger{z: zerolog.Nop(), limiter: newRateLimiter()} }

// Log starts a line for e. The caller adds fields and writes the line with Msg
// or Send:
//
//	l.Log(events.StageReplaced).Str("request", id).Err(err).Send()
func (l *Logger) Log(e Event) *zerolog.Event {
	return l.z.WithLevel(e.Level).Str("event", e.Code()).Str("name", e.Name)
}

// LogRateLimited is like Log, for events that can occur thousands of times per
// second under overload. It writes at most one line per second for each event;
// the next line contains the number of lines withheld before it. The result is
// nil for a withheld line; the methods of zerolog.Event accept a nil receiver.
func (l *Logger) LogRateLimited(e Event) *zerolog.Event {
	withheld, ok := l.limiter.allow(e.Number, time.Now())
	if !ok {
		return nil
	}
	line := l.Log(e)
	if withheld > 0 {
		line = line.Int("withheld", withheld)
	}
	return line
}

// With returns a logger that adds a field to each line. It shares the rate
// limits of l.
func (l *Logger) With(key, value string) *Logger {
	return &Logger{z: l.z.With().Str(key, value).Logger(), limiter: l.limiter}
}

// Std returns a standard library logger for packages that require one. Each of
// its lines is logged as event e.
func (l *Logger) Std(e Event) *log.Logger {
	return log.New(stdWriter{l, e}, "", 0)
}

// stdWriter logs each write as one line of event e.
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
