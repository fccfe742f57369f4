package process

import (
	"fmt"
	"io"
	"sync/atomic"
)

// LogQueue is a writer that never blocks: lines are queued and written by one
// goroutine, and those that find the queue full are dropped and counted.
type LogQueue struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewLogQueue returns a queue of a number of lines before a writer.
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
			_, _ = w.Write(line) // there is nowhere to tell of it
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

// Close writes what is queued. Nothing may be written after it.
func (q *LogQueue) Close() {
	close(q.lines)
	<-q.done
}
