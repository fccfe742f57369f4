package process

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"wardturn"
)

// suppressedKey is the key of the number of lines with the same message that were
// suppressed since the last one that was written.
const suppressedKey = "left_out"

// LogRates holds the maximum number of log lines per second for each message.
type LogRates struct {
	ByMessage map[string]float64
	Default   float64 // for each message that is not in the map
}

// rateLimitedLogger limits the rate of lines for each message. A line that is written
// states how many lines with its message were suppressed before it.
type rateLimitedLogger struct {
	hclog.Logger
	*lineLimiters
}

// lineLimiters are shared by a logger and those with additional fields.
type lineLimiters struct {
	clock wardturn.Clock
	rates LogRates

	mu       sync.Mutex
	limiters map[string]*lineLimiter
}

type lineLimiter struct {
	tokens     float64
	updatedAt  time.Time
	suppressed int
}

// NewRateLimitedLogger returns a logger that limits the rate of lines for each message
// separately, so that one kind of event can't crowd out the others. Bursts of up to one
// second's worth of lines are allowed.
func NewRateLimitedLogger(l hclog.Logger, clock wardturn.Clock, rates LogRates) hclog.Logger {
	return &rateLimitedLogger{
		Logger: l,
		lineLimiters: &lineLimiters{
			clock:    clock,
			rates:    rates,
			limiters: make(map[string]*lineLimiter),
		},
	}
}

// With implements hclog.Logger. The logger with more fields is under the same limits.
func (l *rateLimitedLogger) With(args ...any) hclog.Logger {
	return &rateLimitedLogger{
		Logger:       l.Logger.With(args...),
		lineLimiters: l.lineLimiters,
	}
}

func (l *lineLimiters) rate(msg string) float64 {
	if r, ok := l.rates.ByMessage[msg]; ok {
		return r
	}
	return l.rates.Default
}

// allow reports whether a line may be written and, if so, how many lines with the same
// message were suppressed before it.
func (l *lineLimiters) allow(msg string) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	rate := l.rate(msg)
	limiter := l.limiters[msg]
	if limiter == nil {
		limiter = &lineLimiter{
			tokens:    rate,
			updatedAt: now,
		}
		l.limiters[msg] = limiter
	}
	limiter.tokens = min(rate, limiter.tokens+rate*now.Sub(limiter.updatedAt).Seconds())
	limiter.updatedAt = now
	if limiter.tokens < 1 {
		limiter.suppressed++
		return 0, false
	}
	limiter.tokens--
	suppressed = limiter.suppressed
	limiter.suppressed = 0
	return suppressed, true
}

// Log implements hclog.Logger.
func (l *rateLimitedLogger) Log(level hclog.Level, msg string, args ...any) {
	if level < l.GetLevel() {
		return
	}
	suppressed, ok := l.allow(msg)
	if !ok {
		return
	}
	args = truncateValues(args)
	if suppressed > 0 {
		args = append(args[:len(args):len(args)], suppressedKey, suppressed)
	}
	l.Logger.Log(level, msg, args...)
}

// maxLoggedValue bounds a text in a log line in bytes. Callers choose some, up to the size of a head, and
// lines are queued for a slow reader.
const maxLoggedValue = 1 << 10

// truncateValues returns the arguments of a line with long texts cut.
func truncateValues(args []any) []any {
	cut := false
	for i, arg := range args {
		s, ok := arg.(string)
		if !ok || len(s) <= maxLoggedValue {
			continue
		}
		if !cut {
			args = slices.Clone(args)
			cut = true
		}
		args[i] = fmt.Sprintf("%s... (%d bytes)", s[:maxLoggedValue], len(s))
	}
	return args
}

// Trace implements hclog.Logger.
func (l *rateLimitedLogger) Trace(msg string, args ...any) { l.Log(hclog.Trace, msg, args...) }

// Debug implements hclog.Logger.
func (l *rateLimitedLogger) Debug(msg string, args ...any) { l.Log(hclog.Debug, msg, args...) }

// Info implements hclog.Logger.
func (l *rateLimitedLogger) Info(msg string, args ...any) { l.Log(hclog.Info, msg, args...) }

// Warn implements hclog.Logger.
func (l *rateLimitedLogger) Warn(msg string, args ...any) { l.Log(hclog.Warn, msg, args...) }

// Error implements hclog.Logger.
func (l *rateLimitedLogger) Error(msg string, args ...any) { l.Log(hclog.Error, msg, args...) }
