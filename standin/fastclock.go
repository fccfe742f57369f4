package standin

import (
	"time"

	"wardturn"
)

// FastClock runs faster than real time, so that scenarios over real connections
// need not wait for real timeouts.
type FastClock struct {
	start time.Time
	speed int
}

// NewFastClock returns a clock that runs speed times as fast as the system's.
func NewFastClock(speed int) *FastClock {
	return &FastClock{
		start: time.Now(),
		speed: speed,
	}
}

// Now implements wardturn.Clock.
func (c *FastClock) Now() time.Time {
	return c.start.Add(time.Since(c.start) * time.Duration(c.speed))
}

// AfterFunc implements wardturn.Clock.
func (c *FastClock) AfterFunc(d time.Duration, f func()) wardturn.Timer {
	return time.AfterFunc(d/time.Duration(c.speed), f)
}
