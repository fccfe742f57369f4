package process

import (
	"fmt"
	"io"
	"sync/atomic"
)

// LogQueue is an io.Writer that never blocks. Lines are queued and written by a single
// goroutine. If the queue is full, lines are dropped and counted.
type LogQueue struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewLogQueue returns a queue of up to size lines that are written to w.
func NewLogQueue(w io.Writer, size int) *LogQueue {
	q := &LogQueue{
		lines: make(chan []byte, size),
		done:  make(chan struct{}),
	}
	go func() {
		defer close(q.done)
		for line := range q.lines {
			if n := q.dropped.Swap(0); n > 0 {
				fmt.Fprintf(w, "log lines dropped: count=%d\n", n)
			}
			_, _ = w.Write(line) // there is nowhere to report an error
		}
	}()
	return q
}

// Write implements io.Writer.
func (q *LogQueue) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case q.lines <- line:
	default:
		q.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes all queued lines and returns. Write must not be called after Close.
func (q *LogQueue) Close() {
	close(q.lines)
	<-q.done
}
