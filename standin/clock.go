package standin

import (
	"container/heap"
	"sync"
	"time"

	"wardturn"
)

// Epoch is the start of virtual time.
var Epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// Clock is a virtual clock. Its time changes only when it is advanced; due timers then
// fire in order, in the goroutine that advances it.
type Clock struct {
	mu     sync.Mutex
	now    time.Time
	timers timerHeap
	seq    uint64
}

// NewClock returns a clock that is set to Epoch.
func NewClock() *Clock {
	return &Clock{
		now: Epoch,
	}
}

// Now implements wardturn.Clock.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// AfterFunc implements wardturn.Clock.
func (c *Clock) AfterFunc(d time.Duration, f func()) wardturn.Timer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	t := &timer{
		clock: c,
		at:    c.now.Add(max(d, 0)),
		seq:   c.seq,
		f:     f,
	}
	heap.Push(&c.timers, t)
	return t
}

// Step advances the clock to the next timer and fires it. It reports whether there was
// a timer.
func (c *Clock) Step() bool {
	c.mu.Lock()
	if len(c.timers) == 0 {
		c.mu.Unlock()
		return false
	}
	t := heap.Pop(&c.timers).(*timer)
	c.now = t.at
	c.mu.Unlock()
	t.f()
	return true
}

// Advance moves the clock forward by d and fires all timers that become due, including
// those started by other timers.
func (c *Clock) Advance(d time.Duration) {
	end := c.Now().Add(d)
	for c.due(end) {
		c.Step()
	}
	c.mu.Lock()
	c.now = end
	c.mu.Unlock()
}

// due reports whether a timer is due at end.
func (c *Clock) due(end time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.timers) > 0 && !c.timers[0].at.After(end)
}

type timer struct {
	clock *Clock
	at    time.Time
	seq   uint64
	f     func()
	index int
}

// Stop implements wardturn.Timer.
func (t *timer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	if t.index < 0 {
		return false
	}
	heap.Remove(&t.clock.timers, t.index)
	return true
}

// timerHeap implements heap.Interface, ordered by time and then by creation.
type timerHeap []*timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
