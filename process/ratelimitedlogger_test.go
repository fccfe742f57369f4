package process_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"wardturn"
	"wardturn/process"
)

// fixedClock is a clock whose time the test sets.
type fixedClock struct {
	wardturn.Clock
	now time.Time
}

func (c *fixedClock) Now() time.Time { return c.now }

func TestBudgetedLogger(t *testing.T) {
	var buf bytes.Buffer
	clock := &fixedClock{
		now: time.Unix(1000, 0),
	}
	l := process.NewRateLimitedLogger(hclog.New(&hclog.LoggerOptions{
		Output:      &buf,
		DisableTime: true,
	}), clock, process.LogRates{
		ByMessage: map[string]float64{
			"refused": 3,
		},
		Default: 1,
	})
	written := func(msg string, n int) []string {
		buf.Reset()
		for range n {
			l.Info(msg, "id", 7)
		}
		return strings.Split(strings.TrimSpace(buf.String()), "\n")
	}
	if got := written("refused", 10); len(got) != 3 {
		t.Errorf("%d lines of a message with rate 3, want 3: %q", len(got), got)
	}
	if got := written("late", 10); len(got) != 1 {
		t.Errorf("%d lines of a message with rate 1, want 1: %q", len(got), got)
	}
	clock.now = clock.now.Add(time.Second)
	if got := written("refused", 1); !strings.Contains(got[0], "id=7 left_out=7") {
		t.Errorf("suppressed lines are not counted: %q", got)
	}
	if got := written("refused", 1); strings.Contains(got[0], "left_out") {
		t.Errorf("suppressed lines are counted twice: %q", got)
	}
	l.Debug("refused")
	if got := written("refused", 1); len(got) != 1 || got[0] == "" {
		t.Errorf("a line below the log level was counted against the rate: %q", got)
	}
}

// Guards against log lines without a limit from loggers with more fields.
func TestLoggerWithFieldsIsUnderTheSameLimit(t *testing.T) {
	var buf bytes.Buffer
	l := process.NewRateLimitedLogger(hclog.New(&hclog.LoggerOptions{
		Output: &buf,
	}), &fixedClock{
		now: time.Unix(1000, 0),
	}, process.LogRates{
		Default: 2,
	})
	for i := range 10 {
		l.With("id", i).Info("refused")
	}
	if got := strings.Count(buf.String(), "\n"); got != 2 {
		t.Errorf("%d lines, want 2", got)
	}
}

// Guards against texts of callers that fill the log, and the memory of its queue.
func TestLongValuesAreCutInLogLines(t *testing.T) {
	var out strings.Builder
	l := process.NewRateLimitedLogger(hclog.New(&hclog.LoggerOptions{
		Output: &out,
	}), process.Clock{}, process.LogRates{
		Default: 10,
	})
	args := []any{"id", strings.Repeat("x", 16<<10), "status", 404}
	l.Info("failed", args...)
	if n := out.Len(); n > 2<<10 {
		t.Errorf("line of %d bytes", n)
	}
	if !strings.Contains(out.String(), "(16384 bytes)") || !strings.Contains(out.String(), "status=404") {
		t.Errorf("line %s", out.String())
	}
	if len(args[1].(string)) != 16<<10 {
		t.Error("the caller's arguments were changed")
	}
}
