package decide

import (
	"time"
)

const (
	// minPathBackoff is the initial backoff of a path that has failed. It doubles with
	// each failure up to maxPathBackoff, so that a host that is slow because it is
	// overloaded does not get all requests again and again.
	minPathBackoff = 3 * time.Second
	maxPathBackoff = time.Minute
	// pathBackoffReset is how long a path must work for the backoff to start from
	// minPathBackoff again.
	pathBackoffReset = 30 * time.Second
	// pathBackoffJitter is the random jitter, as a fraction of the backoff, that keeps
	// processes from returning to a path at the same time.
	pathBackoffJitter = 0.25
)

// PathBackoff is the exponential backoff of a network path: it decides when a path that has
// failed may be used again.
type PathBackoff struct {
	Random  func() float64 // random number in [0, 1); nil: RandomFloat
	backoff time.Duration  // latest backoff, without jitter
	until   time.Time
}

// Fail records that the path has failed after being in use since the given time.
func (b *PathBackoff) Fail(now, since time.Time) {
	b.backoff = min(2*b.backoff, maxPathBackoff)
	if b.backoff == 0 || now.Sub(since) >= pathBackoffReset {
		b.backoff = minPathBackoff
	}
	draw := RandomFloat
	if b.Random != nil {
		draw = b.Random
	}
	spread := 1 + pathBackoffJitter*(2*draw()-1)
	b.until = now.Add(time.Duration(spread * float64(b.backoff)))
}

// Allows reports whether the path may be used.
func (b *PathBackoff) Allows(now time.Time) bool {
	return !now.Before(b.until)
}
