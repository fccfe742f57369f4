package process

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"wardturn"
)

// Clock is the system clock. The zero value is ready for use; all values share one clock.
//
// Its times are the wall clock time at the start of the process plus the elapsed time,
// including time during which the host was suspended. Changes of the wall clock therefore
// don't affect them. They have no monotonic clock reading. Don't use them for deadlines of
// contexts and connections, which are based on the runtime's clock; see
// wardturn.WithTimeout.
type Clock struct{}

// Now implements wardturn.Clock.
func (Clock) Now() time.Time {
	return systemClock.Now()
}

// AfterFunc implements wardturn.Clock.
func (Clock) AfterFunc(d time.Duration, f func()) wardturn.Timer {
	return systemClock.AfterFunc(d, f)
}

// systemClock is the clock shared by all values of Clock.
var systemClock = newHostClock(systemClockReader{
	start: time.Now(),
})

// clockReader reads the host's clocks.
type clockReader interface {
	// now returns the wall clock time, and the time since the start of the process by the
	// monotonic clock, which stops while the host is suspended.
	now() (wall time.Time, monotonic time.Duration)
	// sinceBoot returns the time since the host booted, including time during which it was
	// suspended.
	sinceBoot() (time.Duration, error)
}

type systemClockReader struct {
	start time.Time
}

func (r systemClockReader) now() (wall time.Time, monotonic time.Duration) {
	now := time.Now()
	return now.Round(0), now.Sub(r.start)
}

func (systemClockReader) sinceBoot() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, errors.Wrap(err, "read CLOCK_BOOTTIME")
	}
	return time.Duration(ts.Nano()), nil
}

const (
	// minGap is the minimum difference between the clocks that is treated as a suspension
	// or a change of the wall clock. Suspensions last far longer, and two consecutive
	// readings differ only by microseconds.
	minGap = time.Millisecond
	// checkInterval is the interval between reads of the boot-time clock while the wall clock
	// and the monotonic clock advance together. Reading it takes a system call, which
	// reading the other two doesn't.
	checkInterval = 100 * time.Millisecond
	// maxGapReads is how many times the clocks are read if the process is delayed between
	// consecutive readings.
	maxGapReads = 5
)

// hostClock combines the monotonic clock with the time during which the host was
// suspended, which the monotonic clock doesn't count. Without the suspended time, a gateway
// that resumes would underestimate the age of all its data by that time, and a revoked key
// would remain valid beyond the platform's limit.
type hostClock struct {
	clocks         clockReader
	start          time.Time     // wall clock time at which the monotonic clock was zero
	initialBootGap time.Duration // boot-time clock minus monotonic clock, without suspensions
	// hasBootClock is whether the boot-time clock can be read.
	hasBootClock bool

	suspended  atomic.Int64 // total time suspended since the start of the process, in ns
	wallOffset atomic.Int64 // wall clock time since start minus monotonic time at the last check, in ns
	checkedAt  atomic.Int64 // monotonic time of the last check, in ns

	mu     sync.Mutex
	timers map[*hostTimer]bool
}

func newHostClock(r clockReader) *hostClock {
	wall, monotonic := r.now()
	c := &hostClock{
		clocks: r,
		start:  wall.Add(-monotonic),
		timers: make(map[*hostTimer]bool),
	}
	// Without a boot-time clock, suspensions are not detected.
	c.initialBootGap, c.hasBootClock = c.bootGap()
	return c
}

// Now implements wardturn.Clock.
func (c *hostClock) Now() time.Time {
	wall, monotonic := c.clocks.now()
	wallOffset := wall.Sub(c.start) - monotonic
	change := wallOffset - time.Duration(c.wallOffset.Load())
	if change > minGap || change < -minGap || int64(monotonic)-c.checkedAt.Load() > int64(checkInterval) {
		c.checkSuspended(monotonic, wallOffset)
	}
	return c.start.Add(monotonic + time.Duration(c.suspended.Load()))
}

// checkSuspended checks whether the host was suspended since the last check. If so, it
// adjusts the pending timers.
func (c *hostClock) checkSuspended(monotonic, wallOffset time.Duration) {
	c.wallOffset.Store(int64(wallOffset))
	c.checkedAt.Store(int64(monotonic))
	gap, ok := c.bootGap()
	if !ok || !c.hasBootClock {
		return
	}
	suspended := gap - c.initialBootGap
	previous := c.suspended.Load()
	if suspended < time.Duration(previous)+minGap || !c.suspended.CompareAndSwap(previous, int64(suspended)) {
		return
	}
	go c.resetTimers()
}

// bootGap returns by how much the boot-time clock is ahead of the monotonic clock. It
// reports false if the boot-time clock can't be read.
func (c *hostClock) bootGap() (time.Duration, bool) {
	gap := time.Duration(0)
	for range maxGapReads {
		_, before := c.clocks.now()
		boot, err := c.clocks.sinceBoot()
		_, after := c.clocks.now()
		if err != nil {
			return 0, false
		}
		gap = boot - after // at most the true difference
		if after-before < minGap {
			break
		}
	}
	return gap, true
}

// hostTimer is a timer of a hostClock.
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

// resetTimers resets the pending timers after the host was suspended, because the runtime's
// timers use the monotonic clock and don't count the suspended time.
func (c *hostClock) resetTimers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	for t := range c.timers {
		if t.timer.Stop() {
			t.timer.Reset(max(0, t.due.Sub(now)))
		}
	}
}
