package process_test

import (
	"bytes"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"wardturn/process"
)

// blockedWriter blocks until it is released, like a pipe whose reader has stopped.
type blockedWriter struct {
	release chan struct{}

	mu  sync.Mutex
	buf bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

// dropped returns the total number of dropped lines that the log reports.
func dropped(t *testing.T, text string) int {
	sum := 0
	for line := range strings.Lines(text) {
		count, ok := strings.CutPrefix(strings.TrimSpace(line), "log lines dropped: count=")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(count)
		if err != nil {
			t.Errorf("parse the number of dropped lines: %v", err)
		}
		sum += n
	}
	return sum
}

func TestLogQueueNeverBlocks(t *testing.T) {
	w := &blockedWriter{
		release: make(chan struct{}),
	}
	q := process.NewLogQueue(w, 10)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 1000 {
			_, _ = q.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocked while the underlying writer was blocked")
	}
	close(w.release)
	q.Close()
	text := w.buf.String()
	if n := strings.Count(text, "line\n"); n < 10 || n > 11 {
		t.Errorf("%d lines written, want the 10 queued ones and at most one more", n)
	}
	if n := strings.Count(text, "line\n") + dropped(t, text); n != 1000 {
		t.Errorf("%d lines written or counted as dropped, want 1000:\n%s", n, text)
	}
}
