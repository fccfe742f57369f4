package decide

import "time"

// limitsFull reports whether no upstream of a request's service takes it now for the limits
// that they name alone, and when its caller should come back. To wait here for room would
// keep it from nothing better.
func (f *Fleet) limitsFull(now time.Time, t *Ticket) (back time.Duration, full bool) {
	var soonest *Member
	for _, m := range f.services[t.Service] {
		if !m.usable(now, t.Tried) || !f.inRegions(m, t.Regions) {
			continue
		}
		if f.limits.Allows(now, m.ID) {
			return 0, false
		}
		in, known := f.limits.RoomIn(now, m.ID)
		if known && (soonest == nil || in < back) {
			soonest, back = m, in
		}
		full = true
	}
	if !full {
		return 0, false
	}
	if soonest == nil {
		return maxComeBack, true
	}
	f.limits.Owe(now, soonest.ID)
	return max(back, leastComeBack), true
}
