package gateway

import (
	"testing"
	"time"

	"wardturn"
	"wardturn/decide"
)

// setClock is a clock that stands where it was set.
type setClock struct {
	now time.Time
}

func (c *setClock) Now() time.Time {
	return c.now
}

func (c *setClock) AfterFunc(time.Duration, func()) wardturn.Timer {
	panic("not used")
}

// News of the configuration is no reading of crashes: two gateways that take turns at the
// configuration would read none.
func TestCrashesAreReadByOneOfTwo(t *testing.T) {
	clock := &setClock{
		now: time.Unix(1000, 0),
	}
	gateways := []*crashes{}
	for range 2 {
		c := newCrashes(&Gateway{
			clock: clock,
		}, nil)
		c.book = decide.NewCrashes(decide.CrashConfig{})
		c.read(wardturn.CrashChange{})
		gateways = append(gateways, c)
	}
	readAt := clock.now
	for i := range 40 {
		clock.now = clock.now.Add(configWait / 2)
		c, other := gateways[i%2], gateways[(i+1)%2]
		other.mergeReading(c.reading())
		c.readIfOld(true)
		select {
		case <-c.reads:
			c.read(wardturn.CrashChange{})
			readAt = clock.now
		default:
		}
		if age := clock.now.Sub(readAt); age > 2*configWait {
			t.Fatalf("nobody has read the crashes for %v", age)
		}
	}
}
