package process

import (
	"context"
	"sync"
	"time"

	"wardturn"
)

// Tasks are the goroutines and timers of one process. After Stop nothing more is
// started, and Wait returns when all have ended.
type Tasks struct {
	clock wardturn.Clock
	ctx   context.Context
	stop  context.CancelFunc

	mu      sync.Mutex // orders Go and Every against Stop
	timers  map[int]wardturn.Timer
	next    int
	running sync.WaitGroup
}

// NewTasks returns an empty set.
func NewTasks(clock wardturn.Clock) *Tasks {
	ctx, stop := context.WithCancel(context.Background())
	return &Tasks{
		clock:  clock,
		ctx:    ctx,
		stop:   stop,
		timers: make(map[int]wardturn.Timer),
	}
}

// Context ends with Stop.
func (t *Tasks) Context() context.Context {
	return t.ctx
}

// Go runs f in a goroutine, unless Stop was called.
func (t *Tasks) Go(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return
	}
	t.running.Add(1)
	go func() {
		defer t.running.Done()
		f()
	}()
}

// Every calls f again and again, each time d after its last return.
func (t *Tasks) Every(d time.Duration, f func()) {
	t.mu.Lock()
	id := t.next
	t.next++
	t.mu.Unlock()
	t.every(id, d, f)
}

func (t *Tasks) every(id int, d time.Duration, f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return
	}
	t.timers[id] = t.clock.AfterFunc(d, func() {
		f()
		t.every(id, d, f)
	})
}

// Pause waits and reports false after Stop.
func (t *Tasks) Pause(d time.Duration) bool {
	return wardturn.Sleep(t.ctx, t.clock, d)
}

// Limit returns a context that ends after a time, or with Stop.
func (t *Tasks) Limit(d time.Duration) (context.Context, context.CancelFunc) {
	return wardturn.WithTimeout(t.ctx, t.clock, d)
}

// Stop ends the context and the timers.
func (t *Tasks) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stop()
	for _, timer := range t.timers {
		timer.Stop()
	}
}

// Wait returns when every goroutine has ended. Call it after Stop.
func (t *Tasks) Wait() {
	t.running.Wait()
}
