package decide

import "time"

const (
	breakerThreshold = 3
	breakerMinPause  = 500 * time.Millisecond
	breakerMaxPause  = 15 * time.Second
	breakerShiftCap  = 10
)

// Breaker is a circuit breaker for an upstream. It opens after several consecutive failures
// and lets one trial request through when its pause is over. The zero value is closed.
type Breaker struct {
	failures int
	pauses   int
	until    time.Time
}

// Allows reports whether a request may go to the upstream.
func (b *Breaker) Allows(now time.Time) bool {
	if b.failures < breakerThreshold {
		return true
	}
	return !now.Before(b.until)
}

// Tried records that a request is sent to the upstream. While the breaker is open, no other
// request is allowed until this one has ended or another pause has passed.
func (b *Breaker) Tried(now time.Time) {
	if b.failures >= breakerThreshold {
		b.until = now.Add(b.pause())
	}
}

// Succeed closes the breaker.
func (b *Breaker) Succeed() {
	*b = Breaker{}
}

// Fail counts a failure and opens the breaker after breakerThreshold consecutive ones.
func (b *Breaker) Fail(now time.Time) {
	b.failures++
	if b.failures < breakerThreshold {
		return
	}
	b.until = now.Add(b.pause())
	b.pauses++
}

func (b *Breaker) pause() time.Duration {
	return min(breakerMinPause<<min(b.pauses, breakerShiftCap), breakerMaxPause)
}
