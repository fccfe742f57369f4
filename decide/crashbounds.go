package decide

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wardturn"
)

const (
	// maxContents bounds the number of remembered contents, and so their memory. Those
	// with the fewest and oldest crashes are dropped first.
	maxContents = 1 << 15
	// maxRecent bounds each set of what happened in the last seconds: contents that were
	// answered, and requests that broke off. What has no room is counted as dropped.
	maxRecent = 1 << 16
)

// setBounded sets the time of a key if the map has room for it. It returns the number of keys for
// which there was none.
func setBounded[K comparable](m map[K]time.Time, key K, at time.Time) (dropped int) {
	if _, ok := m[key]; !ok && len(m) >= maxRecent {
		return 1
	}
	m[key] = at
	return 0
}

// TakeDropped returns how many suspects, answers and broken requests were forgotten since the last
// call because there were too many.
func (c *CrashTracker) TakeDropped() int {
	n := c.dropped
	c.dropped = 0
	return n
}

// Sweep forgets what no longer counts. The gateway that observed a crash deletes its
// record.
func (c *CrashTracker) Sweep(now time.Time) {
	deleteOlder(now, c.answered, answeredGrace)
	deleteOlder(now, c.brokenRequests, endCorrelationWindow)
	deleteOlder(now, c.ended, endCorrelationWindow)
	for content, s := range c.contents {
		if now.Sub(s.latest) < c.cfg.Memory {
			continue
		}
		for id, state := range s.crashes {
			if state.observedHere && state.recorded {
				c.pendingDeletes[newCrash(content, id)] = true
			}
		}
		delete(c.contents, content)
	}
}

// deleteOlder deletes the entries that are at least maxAge old.
func deleteOlder[K comparable](now time.Time, m map[K]time.Time, maxAge time.Duration) {
	maps.DeleteFunc(m, func(_ K, at time.Time) bool {
		return now.Sub(at) >= maxAge
	})
}

// evictDivisor is the divisor for the share of contents dropped at once when there are too
// many.
const evictDivisor = 8

// evictContents drops the contents with the fewest and oldest crashes if there are too
// many.
func (c *CrashTracker) evictContents() {
	if len(c.contents) < maxContents {
		return
	}
	list := slices.Collect(maps.Keys(c.contents))
	slices.SortFunc(list, func(x, y wardturn.ContentID) int {
		sx, sy := c.contents[x], c.contents[y]
		return cmp.Or(cmp.Compare(sx.counted, sy.counted), sx.latest.Compare(sy.latest), cmp.Compare(x, y))
	})
	evicted := list[:len(list)/evictDivisor]
	for _, content := range evicted {
		delete(c.contents, content)
	}
	c.dropped += len(evicted)
}
