package decide

import (
	"time"

	"wardturn"
)

// MaxFreeSlots is the largest number of free slots that is reported. A larger number
// makes no difference to the choice of an engine for an adapter.
const MaxFreeSlots = 2

// FreeSlots counts, up to MaxFreeSlots, the slots that another adapter could take now:
// empty ones and those of adapters that may be evicted, less one for each load request that
// has no slot yet.
func (p *Placement) FreeSlots(now time.Time) int {
	n := p.freePlaces()
	for _, m := range p.state.Models {
		for _, a := range m.Adapters {
			if p.evictable(now, a.Key()) {
				n++
			}
		}
	}
	for key := range p.pending {
		if _, ok := p.resident(key); !ok && !p.isLoading(key) {
			n--
		}
	}
	return min(max(n, 0), MaxFreeSlots)
}

// evictable reports whether a resident adapter may be evicted.
func (p *Placement) evictable(now time.Time, key wardturn.ModelAdapter) bool {
	return !p.isLoading(key) && p.pending[key] == nil && !p.inUse(now, key)
}

// loadWorth is what an adapter to be loaded may replace.
type loadWorth struct {
	value  float64
	inTime bool // requests wait for it that the load can bring in time
}

// worth returns what an adapter to be loaded may replace. When more adapters are wanted than
// there are slots, one that is late for all its requests counts by their rank, so that it
// replaces only adapters that are hardly used.
func (p *Placement) worth(now time.Time, key wardturn.ModelAdapter) loadWorth {
	s := p.pending[key].summary(now, now.Add(p.loads.typical()))
	w := loadWorth{
		value:  p.valueOf(now, key, s),
		inTime: s.inTime,
	}
	if !w.inTime {
		w.value *= s.meanWeight()
	}
	return w
}

// markLate records that an adapter was loaded for late requests only, if it was.
func (p *Placement) markLate(now time.Time, key wardturn.ModelAdapter) {
	l := p.pending[key]
	if l == nil {
		return
	}
	if s := l.summary(now, now); s.waiting > 0 && !s.inTime {
		p.lateOnly[key] = s.waiting
	}
}

// startLate records that requests for an adapter started. More than were late mean that
// others use it as well.
func (p *Placement) startLate(key wardturn.ModelAdapter, started int) {
	left, ok := p.lateOnly[key]
	switch {
	case !ok:
	case started > left:
		delete(p.lateOnly, key)
	default:
		p.lateOnly[key] = left - started
	}
}

// victim returns the evictable adapter of the least value, if that is less than the value
// of the adapter to load. If that is loaded for requests in time, its value is subtracted
// from that of adapters that only late requests used. An adapter whose eviction was already
// announced is returned first.
func (p *Placement) victim(now time.Time, worth loadWorth) (wardturn.ModelAdapter, bool) {
	var best wardturn.ModelAdapter
	found := false
	least := worth.value
	for _, m := range p.state.Models {
		for _, a := range m.Adapters {
			key := a.Key()
			if !p.evictable(now, key) {
				continue
			}
			if p.Leaving(key) {
				return key, true
			}
			v := p.value(now, key)
			if _, late := p.lateOnly[key]; late && worth.inTime {
				v -= worth.value
			}
			if v < least {
				best = key
				least = v
				found = true
			}
		}
	}
	return best, found
}

// inUse reports whether an adapter is in use, was used within minIdleTime, or was loaded
// within minResidentTime.
func (p *Placement) inUse(now time.Time, key wardturn.ModelAdapter) bool {
	if at, ok := p.readyAt[key]; ok && now.Sub(at) < minResidentTime {
		return true
	}
	u := p.uses[key]
	return u != nil && (p.hasRunning(key) || now.Sub(u.last) < minIdleTime)
}

// hasRunning reports whether connected gateways report running requests on an adapter, or a
// disconnected one is assumed to have some.
func (p *Placement) hasRunning(key wardturn.ModelAdapter) bool {
	if _, lost := p.orphaned[key]; lost {
		return true
	}
	u := p.uses[key]
	return u != nil && len(u.running) > 0
}
