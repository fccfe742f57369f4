package decide

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wardturn"
)

// Guards against an order of loads that is not total, so that the places of an adapter's entries
// for different regions change from Tick to Tick.
func TestPlacesOfEntriesOfOneAdapter(t *testing.T) {
	now := time.Unix(1e9, 0)
	f := NewFleet(FleetConfig{})
	f.ranked = true
	var entries []*missingAdapter
	for _, regions := range []wardturn.Regions{nil, {"a"}, {"b"}, {"c"}} {
		missing := f.missingFor(now, wardturn.ModelAdapter{
			Model:   "m",
			Adapter: "x",
		}, "s", restriction{
			regions: regions,
		})
		missing.waiting = []*PendingRequest{
			{},
		}
		entries = append(entries, missing)
	}
	shuffled := slices.Clone(entries)
	for range 20 {
		rand.Shuffle(len(shuffled), func(i, j int) {
			shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
		})
		for _, missing := range shuffled {
			f.queue.count(missing, f.loadOrderOf(now, missing))
		}
		f.queue.finishCount()
		for i, missing := range entries {
			if missing.loadsAhead != i {
				t.Fatalf("entry %d has %d loads before it", i, missing.loadsAhead)
			}
		}
	}
}
