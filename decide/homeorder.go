package decide

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"wardturn"
)

// engineIndex lists engines by adapter.
type engineIndex map[wardturn.ModelAdapter][]*Member

func (x engineIndex) add(key wardturn.ModelAdapter, m *Member) {
	x[key] = append(x[key], m)
}

func (x engineIndex) remove(key wardturn.ModelAdapter, m *Member) {
	list := slices.DeleteFunc(x[key], func(o *Member) bool {
		return o == m
	})
	if len(list) == 0 {
		delete(x, key)
		return
	}
	x[key] = list
}

func (x engineIndex) removeAll(m *Member, keys map[wardturn.ModelAdapter]bool) {
	for key := range keys {
		x.remove(key, m)
	}
}

// rankedEngine is an engine with its rendezvous score for an adapter. The home order is by
// descending score.
type rankedEngine struct {
	engine *Member
	score  uint64
}

// firstBatchSize is the size of the first batch in which the home order is computed, and
// batchGrowth the factor by which each batch is larger than the one before. A choice
// usually looks at two or three engines, but at all of them if none has a free slot.
const (
	firstBatchSize = 8
	batchGrowth    = 8
)

// inHomeOrder returns the engines of a list in the home order of an adapter. All gateways
// compute the same order, so that an adapter without a home is loaded only once. Each batch
// takes one pass over the list, which is cheaper than sorting thousands of engines.
func inHomeOrder(key wardturn.ModelAdapter, list []*Member) iter.Seq[*Member] {
	return func(yield func(*Member) bool) {
		h := hashString(string(key.Adapter))
		below := rankedEngine{}
		for n := firstBatchSize; ; n *= batchGrowth {
			batch := topRanked(h, list, below, n)
			for _, r := range batch {
				if !yield(r.engine) {
					return
				}
			}
			if len(batch) < n {
				return
			}
			below = batch[len(batch)-1]
		}
	}
}

// topRanked returns in home order the first n engines after below, or the first n of all if
// below is zero.
func topRanked(h uint64, list []*Member, below rankedEngine, n int) []rankedEngine {
	top := make([]rankedEngine, 0, min(n, len(list)))
	for _, m := range list {
		r := rankedEngine{
			engine: m,
			score:  mix(h ^ m.hash),
		}
		if below.engine != nil && r.compare(below) <= 0 {
			continue
		}
		if len(top) == n {
			if r.compare(top[n-1]) >= 0 {
				continue
			}
			top = top[:n-1]
		}
		at, _ := slices.BinarySearchFunc(top, r, rankedEngine.compare)
		top = slices.Insert(top, at, r)
	}
	return top
}

// compare orders by descending score and then by id.
func (r rankedEngine) compare(o rankedEngine) int {
	if r.score != o.score {
		return cmp.Compare(o.score, r.score)
	}
	return cmp.Compare(r.engine.ID, o.engine.ID)
}

// homes returns the engines that may load an adapter in home order. With near set it
// returns only engines in the gateway's own failure domain.
func (f *Fleet) homes(now time.Time, s wardturn.ServiceName, key wardturn.ModelAdapter, localOnly bool) iter.Seq[*Member] {
	list := f.services[s]
	if localOnly {
		list = f.local[s]
	}
	return func(yield func(*Member) bool) {
		for m := range inHomeOrder(key, list) {
			if m.canLoad(now, key.Model) && !f.limits.Bounded(now, m.ID) && !yield(m) {
				return
			}
		}
	}
}
