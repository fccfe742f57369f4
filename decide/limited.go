package decide

import (
	"slices"
	"time"

	"wardturn"
)

// turnedAway reports whether every upstream that could serve a request is excluded only by
// its rate limit or its backoff, and when the caller should retry. Such a request is
// refused at once, since waiting in the gateway would gain it nothing.
func (f *Fleet) turnedAway(now time.Time, t *Ticket) (reason wardturn.Reason, back time.Duration, none bool) {
	var soonest *Member
	for _, m := range f.services[t.Service] {
		if !m.available(now) || !f.inRegions(m, t.Regions) {
			continue
		}
		rests := !m.rest.over(now)
		if slices.Contains(t.Tried, m.ID) && !rests {
			continue
		}
		if !rests && f.limits.Allows(now, m.ID) {
			return "", 0, false
		}
		in, known := f.roomIn(now, m)
		if known && (soonest == nil || in < back) {
			soonest, back = m, in
		}
		none = true
	}
	if !none {
		return "", 0, false
	}
	if soonest == nil {
		return wardturn.ReasonLimited, maxComeBack, true
	}
	f.limits.Owe(now, soonest.ID)
	if left := soonest.rest.left(now); left > 0 {
		return wardturn.ReasonResting, f.spreadRest(max(back, left)), true
	}
	return wardturn.ReasonLimited, min(max(back, leastComeBack), maxComeBack), true
}

// roomIn returns the delay after which a refused caller's retry may be sent to an upstream.
// It returns false if the delay is unknown.
func (f *Fleet) roomIn(now time.Time, m *Member) (time.Duration, bool) {
	in, known := f.limits.RoomIn(now, m.ID)
	return max(in, m.rest.left(now)), known
}
