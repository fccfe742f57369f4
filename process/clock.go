package process

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"wardturn"
)

// Clock is the host's clock. The zero value is ready for use; all values are one clock.
//
// Its times have no reading of the steady clock: they are the time of day at the start of
// the process and what has passed since, also while the host was suspended, so that the
// time of day may be set. Deadlines of
// contexts and connections, which go by the system's own times, are not set from them;
// see wardturn.WithTimeout.
type Clock struct{}

// Now implements wardturn.Clock.
func (Clock) Now() time.Time {
	return host.Now()
}

// AfterFunc implements wardturn.Clock.
func (Clock) AfterFunc(d time.Duration, f func()) wardturn.Timer {
	return host.AfterFunc(d, f)
}

// host is the clock of this process.
var host = newHostClock(systemReadings{
	start: time.Now(),
})

// readings are what the host's clocks say.
type readings interface {
	// now returns the time of day, and what has passed since the start of the process by
	// the steady clock, which stands still while the host is suspended.
	now() (day time.Time, steady time.Duration)
	// sinceBoot returns what has passed since the host booted, suspended or not.
	sinceBoot() (time.Duration, error)
}

type systemReadings struct {
	start time.Time
}

func (r systemReadings) now() (day time.Time, steady time.Duration) {
	now := time.Now()
	return now.Round(0), now.Sub(r.start)
}

func (systemReadings) sinceBoot() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, errors.Wrap(err, "clock since boot")
	}
	return time.Duration(ts.Nano()), nil
}

const (
	// leastGap is what the clocks must have come apart by before it counts: a suspension
	// lasts far longer, and two readings in a row differ by microseconds.
	leastGap = time.Millisecond
	// lookEvery is how long the clock since boot is not read while the time of day and
	// the steady clock go alike. A reading is a system call, the other two are none.
	lookEvery = 100 * time.Millisecond
	// gapTries is how often the clocks are read again when this process was held up
	// between two readings.
	gapTries = 5
)

// hostClock is a clock made of a host's readings: the steady clock, and what it did not
// count since the host was suspended. Where that is left out, a gateway that wakes takes
// all that it knows for as much younger than it is, and a key that was taken away stays good
// beyond the platform's bound.
type hostClock struct {
	read  readings
	start time.Time     // time of day at which the steady clock read zero
	boot  time.Duration // by how much the clock since boot is ahead of the steady clock, unless suspended
	// counts is whether there is a clock since boot.
	counts bool

	suspended atomic.Int64 // ns, since the start of the process
	apart     atomic.Int64 // ns by which the time of day has passed the steady clock, when last looked
	lookedAt  atomic.Int64 // steady, ns

	mu     sync.Mutex
	timers map[*hostTimer]bool
}

func newHostClock(r readings) *hostClock {
	day, steady := r.now()
	c := &hostClock{
		read:   r,
		start:  day.Add(-steady),
		timers: make(map[*hostTimer]bool),
	}
	// Without a clock since boot nothing counts as suspended.
	c.boot, c.counts = c.bootGap()
	return c
}

// Now implements wardturn.Clock.
func (c *hostClock) Now() time.Time {
	day, steady := c.read.now()
	apart := day.Sub(c.start) - steady
	change := apart - time.Duration(c.apart.Load())
	if change > leastGap || change < -leastGap || int64(steady)-c.lookedAt.Load() > int64(lookEvery) {
		c.look(steady, apart)
	}
	return c.start.Add(steady + time.Duration(c.suspended.Load()))
}

// look finds out whether the host was suspended; if so, timers that came due fire.
func (c *hostClock) look(steady, apart time.Duration) {
	c.apart.Store(int64(apart))
	c.lookedAt.Store(int64(steady))
	gap, ok := c.bootGap()
	if !ok || !c.counts {
		return
	}
	suspended := gap - c.boot
	known := c.suspended.Load()
	if suspended < time.Duration(known)+leastGap || !c.suspended.CompareAndSwap(known, int64(suspended)) {
		return
	}
	go c.wake()
}

// bootGap returns by how much the clock since boot is ahead of the steady clock. It
// reports false if that clock cannot be read.
func (c *hostClock) bootGap() (time.Duration, bool) {
	gap := time.Duration(0)
	for range gapTries {
		_, before := c.read.now()
		boot, err := c.read.sinceBoot()
		_, after := c.read.now()
		if err != nil {
			return 0, false
		}
		gap = boot - after // never more than it is
		if after-before < leastGap {
			break
		}
	}
	return gap, true
}

// hostTimer is a pending call.
type hostTimer struct {
	clock *hostClock
	due   time.Time
	timer *time.Timer
}

// AfterFunc implements wardturn.Clock.
func (c *hostClock) AfterFunc(d time.Duration, f func()) wardturn.Timer {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &hostTimer{
		clock: c,
		due:   c.Now().Add(d),
	}
	t.timer = time.AfterFunc(d, func() {
		c.remove(t)
		f()
	})
	c.timers[t] = true
	return t
}

// Stop implements wardturn.Timer.
func (t *hostTimer) Stop() bool {
	t.clock.remove(t)
	return t.timer.Stop()
}

func (c *hostClock) remove(t *hostTimer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.timers, t)
}

// wake sets the timers anew after the host was suspended: the system's own count only
// the steady clock.
func (c *hostClock) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	for t := range c.timers {
		if t.timer.Stop() {
			t.timer.Reset(max(0, t.due.Sub(now)))
		}
	}
}
