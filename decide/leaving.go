package decide

import (
	"time"

	"wardturn"
)

// leavingRetention is how long an upstream is remembered as leaving after it was last in
// the list. This is far longer than a list can be out of date.
const leavingRetention = time.Minute

// MarkLeaving records that an upstream has announced that it is leaving. The store's list
// may show this much later, since the store is unavailable at times.
func (f *Fleet) MarkLeaving(now time.Time, id wardturn.UpstreamID, out *Actions) {
	if _, known := f.leaving[id]; !known {
		out.Leaving = append(out.Leaving, id)
	}
	f.leaving[id] = now
	if m := f.members[id]; m != nil {
		m.Draining = true
	}
}

// Accepts reports whether a request that was assigned to an upstream may still be sent
// there. The upstream may have disappeared from the list meanwhile.
func (f *Fleet) Accepts(now time.Time, u wardturn.Member) bool {
	if f.evacuated[u.Domain] || f.backoffs[u.ID.Instance()].inForce(now) {
		return false
	}
	if m := f.members[u.ID]; m != nil {
		return !m.Draining
	}
	_, wasLeaving := f.leaving[u.ID]
	return !wasLeaving
}

// ListedLifetime returns the ID of the listed lifetime of an instance, or the empty
// string if none is listed.
func (f *Fleet) ListedLifetime(instance string) wardturn.UpstreamID {
	for id := range f.members {
		if id.Instance() == instance {
			return id
		}
	}
	return ""
}

// markKnownLeaving marks upstreams in the list as draining if they were seen leaving
// before in the same lifetime. A store that has lost its history, or returns data that is
// some seconds old, may list such an upstream as ready again, or list it after it is
// gone, and requests sent there would be cut off.
func (f *Fleet) markKnownLeaving(now time.Time, list []wardturn.Member) {
	for i, m := range list {
		_, wasLeaving := f.leaving[m.ID]
		if !m.Draining && !wasLeaving {
			continue
		}
		f.leaving[m.ID] = now
		list[i].Draining = true
	}
	for id, at := range f.leaving {
		if now.Sub(at) > leavingRetention {
			delete(f.leaving, id)
		}
	}
}
