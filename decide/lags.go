package decide

import (
	"time"

	"wardturn"
)

// leastLags holds, for each other process, the least difference of the time here and the
// stamp of a word of it: what a word takes beyond that it was held up on its way.
type leastLags map[wardturn.Incarnation]time.Duration

// maxReaders bounds the processes that are remembered; those that have ended are
// forgotten with the rest.
const maxReaders = 1024

// note takes the lag of a word and returns the least so far. It reports whether there was
// an earlier word to measure it by.
func (l leastLags) note(from wardturn.Incarnation, lag time.Duration) (least time.Duration, measured bool) {
	least, measured = l[from]
	if !measured || lag < least {
		least = lag
	}
	if len(l) > maxReaders {
		clear(l)
	}
	l[from] = least
	return least, measured
}
