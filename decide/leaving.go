package decide

import (
	"time"

	"wardturn"
)

// leavingMemory is how long it is remembered that an upstream was leaving, after
// the list last had it: far longer than a list can be behind.
const leavingMemory = time.Minute

// Leaves records that an upstream says of itself that it leaves. The store's list may say
// so much later: it is silent at times.
func (f *Fleet) Leaves(now time.Time, id wardturn.UpstreamID, out *Moves) {
	if _, known := f.leaving[id]; !known {
		out.Leaving = append(out.Leaving, id)
	}
	f.leaving[id] = now
	if m := f.members[id]; m != nil {
		m.Draining = true
	}
}

// Takes reports whether a request that was given to an upstream may still be sent there,
// also if the list lacks it by now.
func (f *Fleet) Takes(now time.Time, u wardturn.Member) bool {
	if f.evacuated[u.Domain] || f.rests[u.ID.Instance()].inForce(now) {
		return false
	}
	if m := f.members[u.ID]; m != nil {
		return !m.Draining
	}
	_, left := f.leaving[u.ID]
	return !left
}

// Lifetime returns the listed lifetime of an instance; empty: none is listed.
func (f *Fleet) Lifetime(instance string) wardturn.UpstreamID {
	for id := range f.members {
		if id.Instance() == instance {
			return id
		}
	}
	return ""
}

// keepLeaving has an upstream that was once seen leaving count as leaving for the
// rest of its lifetime. A store that has dropped its history, or answers with what
// it had some seconds ago, may list it as ready again or after it was gone, and
// requests sent there would be cut.
func (f *Fleet) keepLeaving(now time.Time, list []wardturn.Member) {
	for i, m := range list {
		_, left := f.leaving[m.ID]
		if !m.Draining && !left {
			continue
		}
		f.leaving[m.ID] = now
		list[i].Draining = true
	}
	for id, at := range f.leaving {
		if now.Sub(at) > leavingMemory {
			delete(f.leaving, id)
		}
	}
}
