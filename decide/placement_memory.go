package decide

import (
	"math"

	"wardturn"
)

// adapterCounts are the numbers of adapters of each model that an engine holds or loads. An
// adapter that is being replaced by a newer version counts twice, since the old version stays until
// the new one is loaded.
type adapterCounts map[wardturn.BaseModel]int

func (c adapterCounts) total() int {
	n := 0
	for _, k := range c {
		n += k
	}
	return n
}

// adapterCounts returns the counts according to the latest report.
func (p *Placement) adapterCounts() adapterCounts {
	c := make(adapterCounts, len(p.state.Models))
	for _, m := range p.state.Models {
		c[m.Name] += len(m.Adapters)
	}
	for _, a := range p.state.Loading {
		c[a.Model]++
	}
	return c
}

// adapterCountsReplaced returns the counts once all replacements are done.
func (p *Placement) adapterCountsReplaced() adapterCounts {
	c := p.adapterCounts()
	for _, a := range p.state.Loading {
		if _, ok := p.resident(a.Key()); ok {
			c[a.Model]--
		}
	}
	return c
}

// Occupied returns the number of adapter slots in use or reserved for loads.
func (p *Placement) Occupied() int {
	return p.adapterCounts().total()
}

// hasRoom reports whether an engine with the given adapters has a slot and memory for another one
// of a model.
func (p *Placement) hasRoom(c adapterCounts, model wardturn.BaseModel) bool {
	return c.total() < p.spec.AdapterSlots && p.memoryHolds(c, model)
}

// memoryHolds reports whether the memory of an engine with the given adapters holds another one of a
// model. An engine that is ordered to load more than its memory holds crashes.
func (p *Placement) memoryHolds(c adapterCounts, model wardturn.BaseModel) bool {
	if p.spec.Memory == 0 {
		return true
	}
	used := wardturn.Megabytes(0)
	for _, m := range p.spec.Models {
		n := c[m.Name]
		if m.Name == model {
			n++
		}
		used += m.AdapterSize * wardturn.Megabytes(n)
		if p.modelLoaded(m.Name) || m.Name == model {
			used += m.Weights
		}
	}
	return used <= p.spec.Memory
}

// memoryHoldsModel reports whether the memory of an empty engine holds a model.
func (p *Placement) memoryHoldsModel(m wardturn.ModelSpec) bool {
	return p.spec.Memory == 0 || m.Weights <= p.spec.Memory
}

// freePlaces returns how many further adapters the engine has slots and memory for. The result is
// negative if it holds more, because its configuration has changed.
func (p *Placement) freePlaces() int {
	c := p.adapterCounts()
	n := p.spec.AdapterSlots - c.total()
	if p.spec.Memory == 0 {
		return n
	}
	left, largest := p.spec.Memory, wardturn.Megabytes(0)
	for _, m := range p.spec.Models {
		left -= m.AdapterSize * wardturn.Megabytes(c[m.Name])
		if p.modelLoaded(m.Name) {
			left -= m.Weights
			largest = max(largest, m.AdapterSize)
		}
	}
	if largest == 0 {
		return n
	}
	return min(n, int(math.Floor(float64(left/largest))))
}
