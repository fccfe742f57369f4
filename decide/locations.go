package decide

import (
	"container/list"
	"slices"
	"time"

	"wardturn"
)

// chooseSticky chooses among the homes of an adapter, the upstreams to which this entry
// sent it before. A new adapter gets the best of its first rendezvous candidates as its
// home. One whose homes are all loaded far above the average gets an additional home.
func (r *Router) chooseSticky(now time.Time, p *pool, targets []*target, usable func(*target) bool, req RouteRequest) *target {
	loc := r.locations.get(req.Adapter)
	loc.dropIdle(now, r.cfg.LocationLife)
	home := loc.leastLoaded(usable)
	if home != nil && !r.overloaded(p, home) {
		loc.use(now, home)
		return home
	}
	list := p.candidates(targets, usable, req.Adapter, r.cfg.Candidates+len(loc.homes))
	chosen := bestCandidate(list, loc)
	if home != nil && (chosen == nil || !clearlyLessLoaded(home, chosen)) {
		chosen = home
	}
	if chosen == nil {
		return nil
	}
	loc.use(now, chosen)
	return chosen
}

// overloaded reports whether a home is so loaded that a replica elsewhere is worth the cost
// of loading the adapter.
func (r *Router) overloaded(p *pool, t *target) bool {
	if t.hint.Capacity == 0 || len(p.local) == 0 {
		return false
	}
	average := p.load / float64(len(p.local))
	bound := max(r.cfg.BoundFactor*average, overloadMinFill*float64(t.hint.Capacity))
	return t.load() >= bound
}

// overloadMinFill is the fraction of its capacity up to which an upstream never counts as
// overloaded.
const overloadMinFill = 0.8

// clearlyLessLoaded reports whether other is clearly less loaded than home.
func clearlyLessLoaded(home, other *target) bool {
	const maxLoadRatio = 0.7
	return other.load() < maxLoadRatio*home.load()
}

// bestCandidate chooses among the first rendezvous candidates that are no home yet the
// one where a load would start soonest. It keeps the first one if the others are hardly
// better.
func bestCandidate(candidates []scoredTarget, loc *location) *target {
	var best *target
	var bestCost float64
	for rank, s := range candidates {
		if loc.has(s.target) {
			continue
		}
		cost := candidateCost(s.target) + float64(rank)*rankCost
		if best == nil || cost < bestCost {
			best = s.target
			bestCost = cost
		}
	}
	return best
}

const (
	rankCost    = 0.5 // for each position after the first candidate
	waitingCost = 1.0 // for each adapter that waits for a slot
	fullCost    = 2.0 // if no slot can be reused
	queueCost   = 4.0 // at full capacity, in proportion below and above
)

func candidateCost(t *target) float64 {
	cost := waitingCost * float64(t.hint.WaitingAdapters)
	if t.hint.Capacity == 0 {
		return cost
	}
	if t.hint.SpareSlots == 0 {
		cost += fullCost
	}
	return cost + queueCost*t.load()/float64(t.hint.Capacity)
}

// location records the upstreams to which an entry recently sent an adapter.
type location struct {
	ref   wardturn.AdapterRef
	homes []home
	elem  *list.Element
}

type home struct {
	t    *target
	used time.Time
}

func (l *location) has(t *target) bool {
	return slices.ContainsFunc(l.homes, func(h home) bool {
		return h.t == t
	})
}

func (l *location) use(now time.Time, t *target) {
	for i := range l.homes {
		if l.homes[i].t == t {
			l.homes[i].used = now
			return
		}
	}
	l.homes = append(l.homes, home{
		t:    t,
		used: now,
	})
}

// dropIdle drops homes that were not used within maxIdle or whose host was removed.
func (l *location) dropIdle(now time.Time, maxIdle time.Duration) {
	l.homes = slices.DeleteFunc(l.homes, func(h home) bool {
		return h.t.removed || now.Sub(h.used) > maxIdle
	})
}

// leastLoaded returns the usable home with the least load, or nil.
func (l *location) leastLoaded(usable func(*target) bool) *target {
	var best *target
	for _, h := range l.homes {
		if usable(h.t) && (best == nil || h.t.load() < best.load()) {
			best = h.t
		}
	}
	return best
}

// locations is a bounded map of adapter locations with LRU eviction.
type locations struct {
	limit int
	byRef map[wardturn.AdapterRef]*location
	order *list.List // most recent first
}

func newLocations(limit int) locations {
	return locations{
		limit: limit,
		byRef: make(map[wardturn.AdapterRef]*location),
		order: list.New(),
	}
}

func (l *locations) get(ref wardturn.AdapterRef) *location {
	if loc := l.byRef[ref]; loc != nil {
		l.order.MoveToFront(loc.elem)
		return loc
	}
	loc := &location{
		ref: ref,
	}
	loc.elem = l.order.PushFront(loc)
	l.byRef[ref] = loc
	if l.order.Len() > l.limit {
		oldest := l.order.Remove(l.order.Back()).(*location)
		delete(l.byRef, oldest.ref)
	}
	return loc
}
