package process

import (
	"time"

	"wardturn"
)

// Clock is the system's clock. The zero value is ready for use.
type Clock struct{}

// Now implements wardturn.Clock.
func (Clock) Now() time.Time {
	return time.Now()
}

// AfterFunc implements wardturn.Clock.
func (Clock) AfterFunc(d time.Duration, f func()) wardturn.Timer {
	return time.AfterFunc(d, f)
}
