package decide

import (
	"time"

	"wardturn"
)

// minLags holds, for each other process, the smallest observed difference between the
// local arrival time of a message and its timestamp. Subtracting it from the difference
// of a later message leaves the extra delay of that message.
type minLags map[wardturn.Incarnation]time.Duration

// maxLagEntries bounds the number of remembered processes. When it is exceeded all entries
// are dropped, and with them those of processes that have ended.
const maxLagEntries = 1024

// observe records the lag of a message from a process and returns the smallest lag so far.
// It reports whether there was an earlier message to compare with.
func (l minLags) observe(from wardturn.Incarnation, lag time.Duration) (least time.Duration, measured bool) {
	least, measured = l[from]
	if !measured || lag < least {
		least = lag
	}
	if len(l) > maxLagEntries {
		clear(l)
	}
	l[from] = least
	return least, measured
}
