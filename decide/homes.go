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

// ranked is an engine with its place in the order of homes: the higher goes first.
type ranked struct {
	m     *Member
	score uint64
}

// firstRanked and rankedGrowth are the sizes of the pieces in which the order of
// homes is made: a choice looks at two or three engines as a rule, and at all of
// them when none has a place.
const (
	firstRanked  = 8
	rankedGrowth = 8
)

// inOrder returns the engines of a list in the order of homes of an adapter, on
// which all gateways agree, so that a cold adapter is loaded once. It costs a look
// at each engine and no sorting of all, which takes longest among thousands.
func inOrder(key wardturn.ModelAdapter, list []*Member) iter.Seq[*Member] {
	return func(yield func(*Member) bool) {
		h := hashString(string(key.Adapter))
		below := ranked{}
		for n := firstRanked; ; n *= rankedGrowth {
			piece := highest(h, list, below, n)
			for _, r := range piece {
				if !yield(r.m) {
					return
				}
			}
			if len(piece) < n {
				return
			}
			below = piece[len(piece)-1]
		}
	}
}

// highest returns the n highest engines below one, or of all if that is zero, in
// order.
func highest(h uint64, list []*Member, below ranked, n int) []ranked {
	top := make([]ranked, 0, min(n, len(list)))
	for _, m := range list {
		r := ranked{
			m:     m,
			score: mix(h ^ m.hash),
		}
		if below.m != nil && r.compare(below) <= 0 {
			continue
		}
		if len(top) == n {
			if r.compare(top[n-1]) >= 0 {
				continue
			}
			top = top[:n-1]
		}
		at, _ := slices.BinarySearchFunc(top, r, ranked.compare)
		top = slices.Insert(top, at, r)
	}
	return top
}

// compare orders the higher score first, and equal ones by id.
func (r ranked) compare(o ranked) int {
	if r.score != o.score {
		return cmp.Compare(o.score, r.score)
	}
	return cmp.Compare(r.m.ID, o.m.ID)
}

// homes returns the engines that may load an adapter, the first choice first. With
// near set only engines of the own failure domain count.
func (f *Fleet) homes(now time.Time, s wardturn.ServiceName, key wardturn.ModelAdapter, near bool) iter.Seq[*Member] {
	list := f.services[s]
	if near {
		list = f.near[s]
	}
	return func(yield func(*Member) bool) {
		for m := range inOrder(key, list) {
			if m.loads(now, key.Model) && !f.limits.Bounded(now, m.ID) && !yield(m) {
				return
			}
		}
	}
}
