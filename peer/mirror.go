package peer

import (
	"maps"
	"slices"
	"strings"

	"wardturn"
)

// Mirror maintains the full state of an engine from the state updates of its keeper.
type Mirror struct {
	latest   EngineUpdate // without Adapters and Unloaded
	adapters map[wardturn.ModelAdapter]HeldAdapter
}

// Apply applies a state update. It returns false for an incremental update that does not
// directly follow the last applied one; the full state has to be requested then.
func (m *Mirror) Apply(u *EngineUpdate) bool {
	switch {
	case u.Full:
		m.adapters = make(map[wardturn.ModelAdapter]HeldAdapter, len(u.Adapters))
	case m.adapters == nil || u.Seq != m.latest.Seq+1:
		return false
	}
	for _, a := range u.Adapters {
		m.adapters[a.Adapter.Key()] = a
	}
	for _, key := range u.Unloaded {
		delete(m.adapters, key)
	}
	m.latest = *u
	m.latest.Adapters = nil
	m.latest.Unloaded = nil
	return true
}

// Known reports whether the full state is known.
func (m *Mirror) Known() bool {
	return m.adapters != nil
}

// Reset discards the state. The next update has to be full.
func (m *Mirror) Reset() {
	m.adapters = nil
}

// Full returns the current full state.
func (m *Mirror) Full() EngineUpdate {
	u := m.latest
	u.Full = true
	u.Adapters = slices.SortedFunc(maps.Values(m.adapters), CompareHeld)
	return u
}

// CompareHeld orders adapters by name.
func CompareHeld(a, b HeldAdapter) int {
	return strings.Compare(string(a.Adapter.Adapter), string(b.Adapter.Adapter))
}
