package decide

import (
	"time"
)

const (
	// trustPause is how long a way that has failed is left alone at first, and
	// trustMost at most, doubled in between: a host that is slow because it is
	// overloaded must not be asked for everything again and again.
	trustPause = 3 * time.Second
	trustMost  = time.Minute
	// trustAfter is how long a way must hold to be trusted as at first.
	trustAfter = 30 * time.Second
	// trustSpread is the part of a pause by which it is longer or shorter by chance,
	// so that processes do not come back together.
	trustSpread = 0.25
)

// Trust decides when a way that has failed may be used again.
type Trust struct {
	Draw  func() float64 // in [0, 1), by chance; nil: Draw
	pause time.Duration  // the latest
	until time.Time
}

// Fail records that the way has failed, and since when it had been used.
func (t *Trust) Fail(now, since time.Time) {
	t.pause = min(2*t.pause, trustMost)
	if t.pause == 0 || now.Sub(since) >= trustAfter {
		t.pause = trustPause
	}
	draw := Draw
	if t.Draw != nil {
		draw = t.Draw
	}
	spread := 1 + trustSpread*(2*draw()-1)
	t.until = now.Add(time.Duration(spread * float64(t.pause)))
}

// Allows reports whether the way may be used.
func (t *Trust) Allows(now time.Time) bool {
	return !now.Before(t.until)
}
