package decide

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wardturn"
)

// Update determines which parts are refused, after crashes were added or removed. It returns
// those that were not refused before.
func (t *PartTracker) Update(now time.Time) (fresh []wardturn.ContentID) {
	clear(t.suspects)
	for id, s := range t.counts.contents {
		if s.counted >= t.limit {
			t.suspects[id] = true
		}
	}
	maps.DeleteFunc(t.trials, func(id wardturn.ContentID, _ *partTrials) bool {
		return t.counts.contents[id] == nil
	})
	refused := t.explain()
	for _, id := range refused {
		if t.refused[id] {
			continue
		}
		fresh = append(fresh, id)
		if t.trials[id] == nil {
			pauses := trialPauses
			if len(t.counts.contents[id].crashes) >= toleratedCrashes {
				pauses = lateTrialPauses
			}
			t.trials[id] = &partTrials{
				pauses: pauses,
				next:   now.Add(pauses[0]),
			}
		}
	}
	clear(t.refused)
	for _, id := range refused {
		t.refused[id] = true
	}
	return fresh
}

// explain returns the suspects that explain the crashes: repeatedly the one that explains
// the most crashes which no earlier one explains, until all are explained.
func (t *PartTracker) explain() []wardturn.ContentID {
	var chosen []wardturn.ContentID
	explained := make(map[wardturn.UpstreamID]bool)
	left := slices.Sorted(maps.Keys(t.suspects))
	for len(left) > 0 {
		best := slices.MaxFunc(left, func(x, y wardturn.ContentID) int {
			sx, sy := t.counts.contents[x], t.counts.contents[y]
			return cmp.Or(cmp.Compare(sx.unexplained(explained), sy.unexplained(explained)), cmp.Compare(sy.requests, sx.requests))
		})
		s := t.counts.contents[best]
		if s.unexplained(explained) == 0 {
			break
		}
		chosen = append(chosen, best)
		for id := range s.crashes {
			explained[id] = true
		}
		left = slices.DeleteFunc(left, func(id wardturn.ContentID) bool {
			return id == best
		})
	}
	return chosen
}

// unexplained returns the number of counted crashes of upstreams that are not in explained.
func (s *suspectContent) unexplained(explained map[wardturn.UpstreamID]bool) int {
	n := 0
	for id, state := range s.crashes {
		if !state.simultaneous && !explained[id] {
			n++
		}
	}
	return n
}
