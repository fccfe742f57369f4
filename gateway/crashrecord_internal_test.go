package gateway

import (
	"testing"
	"time"

	"wardturn"
	"wardturn/decide"
)

// fixedClock is a clock that advances only when a test sets it.
type fixedClock struct {
	now time.Time
}

func (c *fixedClock) Now() time.Time {
	return c.now
}

func (c *fixedClock) AfterFunc(time.Duration, func()) wardturn.Timer {
	panic("not used")
}

// An announced configuration read must not count as a read of the crash records, or else two
// gateways that read the configuration alternately would never read the crashes.
func TestCrashesAreReadByOneOfTwo(t *testing.T) {
	clock := &fixedClock{
		now: time.Unix(1000, 0),
	}
	gateways := []*crashes{}
	for range 2 {
		c := newCrashes(&Gateway{
			clock: clock,
		}, nil)
		c.tracker = decide.NewCrashTracker(decide.CrashConfig{})
		c.apply(wardturn.CrashChange{})
		gateways = append(gateways, c)
	}
	readAt := clock.now
	for i := range 40 {
		clock.now = clock.now.Add(configWait / 2)
		c, other := gateways[i%2], gateways[(i+1)%2]
		other.mergeRead(c.describeRead())
		c.readIfStale(true)
		select {
		case <-c.readSignal:
			c.apply(wardturn.CrashChange{})
			readAt = clock.now
		default:
		}
		if age := clock.now.Sub(readAt); age > 2*configWait {
			t.Fatalf("no gateway has read the crashes for %v", age)
		}
	}
}
