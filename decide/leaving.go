package decide

import (
	"time"

	"wardturn"
)

// leavingMemory is how long it is remembered that an upstream was leaving, after
// the list last had it: far longer than a list can be behind.
const leavingMemory = time.Minute

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
