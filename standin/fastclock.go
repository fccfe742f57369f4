package standin

import (
	"time"

	"wardturn"
)

// FastClock is a clock that runs faster than real time, so that scenarios over real
// connections need not wait for timeouts at full length.
type FastClock struct {
	start time.Time
	speed int
}

// NewFastClock returns a clock that runs speed times as fast as the system clock.
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
