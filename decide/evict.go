package decide

import (
	"time"

	"wardturn"
)

// MaxFree is the most free places that are told: more make no difference to the
// choice of a home.
const MaxFree = 2

// Free counts, up to MaxFree, the places that an adapter could have now: empty
// ones, and those of adapters that are not in use. Adapters that are wished for
// and have no place yet take theirs before.
func (p *Places) Free(now time.Time) int {
	n := p.spec.AdapterSlots - p.occupied()
	for _, m := range p.state.Models {
		for _, a := range m.Adapters {
			if p.mayGo(now, a.Key()) {
				n++
			}
		}
	}
	for key := range p.wishes {
		if _, ok := p.resident(key); !ok && !p.coming(key) {
			n--
		}
	}
	return min(max(n, 0), MaxFree)
}

// mayGo reports whether an adapter that is there could be unloaded.
func (p *Places) mayGo(now time.Time, key wardturn.ModelAdapter) bool {
	return !p.coming(key) && p.wishes[key] == nil && !p.busy(now, key)
}

// victim returns the adapter of the least value that may go, if it is worth less
// than the one that would come. One that was chosen before stays chosen.
func (p *Places) victim(now time.Time, worth float64) (wardturn.ModelAdapter, bool) {
	var best wardturn.ModelAdapter
	found := false
	least := worth
	for _, m := range p.state.Models {
		for _, a := range m.Adapters {
			key := a.Key()
			if !p.mayGo(now, key) {
				continue
			}
			if p.Leaving(key) {
				return key, true
			}
			if v := p.value(now, key); v < least {
				best = key
				least = v
				found = true
			}
		}
	}
	return best, found
}

// busy reports whether an adapter is in use, was just now, or has just come.
func (p *Places) busy(now time.Time, key wardturn.ModelAdapter) bool {
	if at, ok := p.readyAt[key]; ok && now.Sub(at) < freshGuard {
		return true
	}
	u := p.uses[key]
	return u != nil && (p.runs(key) || now.Sub(u.last) < idleGuard)
}

// runs reports whether gateways tell of requests under way at an adapter, or one that was
// lost had told of some.
func (p *Places) runs(key wardturn.ModelAdapter) bool {
	if _, lost := p.lost[key]; lost {
		return true
	}
	u := p.uses[key]
	return u != nil && len(u.running) > 0
}
