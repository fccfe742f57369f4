package process

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"wardturn"
)

// leftOutKey is the field that counts lines of the same message left out before.
const leftOutKey = "left_out"

// LogRates are the lines a second that a logger may write, by message.
type LogRates struct {
	Of     map[string]float64
	Others float64 // of each other message
}

// budgetedLogger writes lines of a message no faster than its rate. The next line
// that is written counts those left out.
type budgetedLogger struct {
	hclog.Logger
	clock wardturn.Clock
	rates LogRates

	mu      sync.Mutex
	budgets map[string]*lineBudget
}

type lineBudget struct {
	tokens  float64
	at      time.Time
	leftOut int
}

// NewBudgetedLogger returns a logger that bounds the lines of each message, so
// that one kind of event cannot crowd out the others. A second's worth may come
// at once.
func NewBudgetedLogger(l hclog.Logger, clock wardturn.Clock, rates LogRates) hclog.Logger {
	return &budgetedLogger{
		Logger:  l,
		clock:   clock,
		rates:   rates,
		budgets: make(map[string]*lineBudget),
	}
}

func (l *budgetedLogger) rate(msg string) float64 {
	if r, ok := l.rates.Of[msg]; ok {
		return r
	}
	return l.rates.Others
}

// take reports whether a line may be written, and how many were left out before
// it.
func (l *budgetedLogger) take(msg string) (leftOut int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	rate := l.rate(msg)
	b := l.budgets[msg]
	if b == nil {
		b = &lineBudget{
			tokens: rate,
			at:     now,
		}
		l.budgets[msg] = b
	}
	b.tokens = min(rate, b.tokens+rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		b.leftOut++
		return 0, false
	}
	b.tokens--
	leftOut = b.leftOut
	b.leftOut = 0
	return leftOut, true
}

// Log implements hclog.Logger.
func (l *budgetedLogger) Log(level hclog.Level, msg string, args ...any) {
	if level < l.GetLevel() {
		return
	}
	leftOut, ok := l.take(msg)
	if !ok {
		return
	}
	if leftOut > 0 {
		args = append(args[:len(args):len(args)], leftOutKey, leftOut)
	}
	l.Logger.Log(level, msg, args...)
}

// Trace implements hclog.Logger.
func (l *budgetedLogger) Trace(msg string, args ...any) { l.Log(hclog.Trace, msg, args...) }

// Debug implements hclog.Logger.
func (l *budgetedLogger) Debug(msg string, args ...any) { l.Log(hclog.Debug, msg, args...) }

// Info implements hclog.Logger.
func (l *budgetedLogger) Info(msg string, args ...any) { l.Log(hclog.Info, msg, args...) }

// Warn implements hclog.Logger.
func (l *budgetedLogger) Warn(msg string, args ...any) { l.Log(hclog.Warn, msg, args...) }

// Error implements hclog.Logger.
func (l *budgetedLogger) Error(msg string, args ...any) { l.Log(hclog.Error, msg, args...) }
