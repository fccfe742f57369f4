package process

import (
	"context"
	"sync"
	"time"

	"wardturn"
)

// Tasks manages the goroutines and timers of a process. After Stop, no new ones are
// started, and Wait returns when all goroutines have ended.
type Tasks struct {
	clock wardturn.Clock
	ctx   context.Context
	stop  context.CancelFunc

	mu      sync.Mutex // serializes Go and Every with Stop
	timers  map[int]wardturn.Timer
	nextID  int
	running sync.WaitGroup
}

// NewTasks returns a Tasks without goroutines or timers.
func NewTasks(clock wardturn.Clock) *Tasks {
	ctx, stop := context.WithCancel(context.Background())
	return &Tasks{
		clock:  clock,
		ctx:    ctx,
		stop:   stop,
		timers: make(map[int]wardturn.Timer),
	}
}

// Context returns a context that Stop cancels.
func (t *Tasks) Context() context.Context {
	return t.ctx
}

// Go runs f in a new goroutine. It does nothing after Stop.
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

// Every calls f repeatedly until Stop. Each call starts d after the previous one returned,
// the first one d from now.
func (t *Tasks) Every(d time.Duration, f func()) {
	t.mu.Lock()
	id := t.nextID
	t.nextID++
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

// Sleep sleeps for d. It reports false if Stop was called.
func (t *Tasks) Sleep(d time.Duration) bool {
	return wardturn.Sleep(t.ctx, t.clock, d)
}

// WithTimeout returns a context that ends after d or on Stop.
func (t *Tasks) WithTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return wardturn.WithTimeout(t.ctx, t.clock, d)
}

// Stop cancels the context and stops all timers.
func (t *Tasks) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stop()
	for _, timer := range t.timers {
		timer.Stop()
	}
}

// Wait blocks until all goroutines have ended. It must be called after Stop.
func (t *Tasks) Wait() {
	t.running.Wait()
}
