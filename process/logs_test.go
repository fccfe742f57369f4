package process_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"wardturn/process"
)

// stuckWriter blocks until it is released, as a reader of the log that stopped
// reading does.
type stuckWriter struct {
	release chan struct{}

	mu  sync.Mutex
	buf bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

func TestLogQueueNeverBlocks(t *testing.T) {
	w := &stuckWriter{
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
		t.Fatal("writing blocked while nobody reads")
	}
	close(w.release)
	q.Close()
	text := w.buf.String()
	if n := strings.Count(text, "line\n"); n < 10 || n > 11 {
		t.Errorf("%d lines written, want the queue's 10 and at most one more", n)
	}
	if !strings.Contains(text, "log lines dropped: count=9") {
		t.Errorf("dropped lines are not counted:\n%s", text)
	}
}
