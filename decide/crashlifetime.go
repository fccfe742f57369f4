package decide

import (
	"time"

	"wardturn"
)

// Lifetime returns the ID by which crashes of an upstream are counted for a request whose connection was
// opened at a time. If the listed lifetime id had ended by then, the connection led to a later one, which the
// list does not show yet.
func (c *CrashTracker) Lifetime(content wardturn.ContentID, id wardturn.UpstreamID, connected time.Time) wardturn.UpstreamID {
	for c.endedBefore(content, id, connected) {
		id = id.Next()
	}
	return id
}

// endedBefore reports whether a lifetime is known to have ended shortly before a time. The list shows the next
// one soon, and an end that was only taken for one, since a link refused a connection, is forgotten.
func (c *CrashTracker) endedBefore(content wardturn.ContentID, id wardturn.UpstreamID, at time.Time) bool {
	shortlyBefore := func(ended time.Time) bool {
		return ended.Before(at) && at.Sub(ended) < endCorrelationWindow
	}
	if ended, ok := c.ended[id]; ok && shortlyBefore(ended) {
		return true
	}
	s := c.contents[content]
	return s != nil && s.crashes[id] != nil && shortlyBefore(s.crashes[id].learnedAt)
}
