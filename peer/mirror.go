package peer

import (
	"maps"
	"slices"
	"strings"

	"wardturn"
)

// Mirror keeps the full holding of an engine from what its keeper tells.
type Mirror struct {
	last     Holding // without adapters
	adapters map[wardturn.ModelAdapter]HeldAdapter
}

// Take adds a word. It reports false for a change that does not follow what is
// known: the keeper has to be asked for the full holding.
func (m *Mirror) Take(h *Holding) bool {
	switch {
	case h.Full:
		m.adapters = make(map[wardturn.ModelAdapter]HeldAdapter, len(h.Adapters))
	case m.adapters == nil || h.Seq != m.last.Seq+1:
		return false
	}
	for _, a := range h.Adapters {
		m.adapters[a.Adapter.Key()] = a
	}
	for _, key := range h.Gone {
		delete(m.adapters, key)
	}
	m.last = *h
	m.last.Adapters = nil
	m.last.Gone = nil
	return true
}

// Known reports whether a full holding was told.
func (m *Mirror) Known() bool {
	return m.adapters != nil
}

// Forget drops the holding.
func (m *Mirror) Forget() {
	m.adapters = nil
}

// Full returns the full holding as it is now.
func (m *Mirror) Full() Holding {
	h := m.last
	h.Full = true
	h.Adapters = slices.SortedFunc(maps.Values(m.adapters), CompareHeld)
	return h
}

// CompareHeld orders adapters by name.
func CompareHeld(x, y HeldAdapter) int {
	return strings.Compare(string(x.Adapter.Adapter), string(y.Adapter.Adapter))
}
