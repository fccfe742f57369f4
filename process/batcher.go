package process

import (
	"slices"
	"sync"
	"time"
)

// BatcherConfig configures a Batcher.
type BatcherConfig[T any] struct {
	Delay      time.Duration // from the first item of a batch to its write
	RetryDelay time.Duration // after a failed write, while items collect
	Max        int           // items that wait at most; the earliest are dropped first
	Write      func([]T) error
	Dropped    func(n int) // called when items are dropped
}

// Batcher collects items and writes them in batches, in the background.
type Batcher[T any] struct {
	cfg    BatcherConfig[T]
	signal chan struct{}

	mu      sync.Mutex
	pending []T
}

// NewBatcher returns a Batcher that writes until tasks is stopped.
func NewBatcher[T any](tasks *Tasks, cfg BatcherConfig[T]) *Batcher[T] {
	b := &Batcher[T]{
		cfg:    cfg,
		signal: make(chan struct{}, 1),
	}
	tasks.Go(func() {
		for {
			select {
			case <-b.signal:
			case <-tasks.Context().Done():
				return
			}
			delay := cfg.Delay
			for tasks.Sleep(delay) && !b.write() {
				delay = cfg.RetryDelay
			}
		}
	})
	return b
}

// Add adds items to the next batch.
func (b *Batcher[T]) Add(items ...T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = append(b.pending, items...)
	b.dropExcess()
	select {
	case b.signal <- struct{}{}:
	default:
	}
}

// dropExcess drops the earliest items if there are too many. The caller must hold b.mu.
func (b *Batcher[T]) dropExcess() {
	if n := len(b.pending) - b.cfg.Max; n > 0 {
		b.pending = slices.Delete(b.pending, 0, n)
		b.cfg.Dropped(n)
	}
}

// write writes the items that wait. It reports false if they have to be written again.
func (b *Batcher[T]) write() bool {
	b.mu.Lock()
	list := b.pending
	b.pending = nil
	b.mu.Unlock()
	if len(list) == 0 || b.cfg.Write(list) == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = append(list, b.pending...)
	b.dropExcess()
	return false
}
