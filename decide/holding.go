package decide

import (
	"maps"
	"time"

	"wardturn"
)

// Holding is what a keeper tells of its engine.
type Holding struct {
	Connected bool // a keeper is there
	Known     bool // and it knows its engine
	Models    []wardturn.BaseModel
	Full      bool // Adapters are all; otherwise those that changed
	Adapters  []HeldVersion
	Gone      []wardturn.ModelAdapter
	Running   int
	Queued    int
	Reading   int // tokens of long prompts that it reads for all gateways
	Free      int // places that an adapter could have at once, counted up to MaxFree
	Gateways  int // connected to the keeper
	// Limit is the requests a second that the engine names; zero: none, which does not say
	// that its other answers name none.
	Limit   wardturn.RequestRate
	Leaving bool // the engine says that it is about to end
}

// HeldVersion is an adapter version that an engine holds or loads.
type HeldVersion struct {
	Adapter wardturn.AdapterVersion
	Ready   bool
	Loading bool
}

type heldAdapter struct {
	version wardturn.Version
	ready   bool
	loading bool
	since   time.Time // the load was first told of; zero: not known
	warm    bool      // it comes from the engine's own memory
}

// SetHolding takes a keeper's word on its engine.
func (f *Fleet) SetHolding(now time.Time, id wardturn.UpstreamID, h Holding, out *Moves) {
	m := f.members[id]
	if m == nil {
		return
	}
	m.holding = h
	m.heldAt = now
	if h.Limit > 0 {
		f.limits.Observe(now, id, h.Limit)
	}
	if h.Leaving {
		f.Leaves(now, id, out)
	}
	f.gateways = max(f.gateways, h.Gateways)
	m.atHold = m.running
	f.setReading(now, m, h)
	before := maps.Clone(m.held)
	f.forget(m, h)
	for _, a := range h.Adapters {
		key := a.Adapter.Key()
		m.held[key] = m.heldAs(now, a, before[key], h.Full)
		if a.Loading {
			f.loaders.add(key, m)
		}
		if a.Ready {
			f.loaded(now, before[key])
			f.holders.add(key, m)
			f.remember(m, key)
		}
	}
	f.count(m)
	for _, a := range h.Adapters {
		if a.Ready {
			f.arrived(now, m, a.Adapter, out)
		}
	}
	f.pump(now, out)
}

// heldAs returns what is known of an adapter that a keeper tells of. A load whose
// start was not seen has no time.
func (m *Member) heldAs(now time.Time, a HeldVersion, before heldAdapter, full bool) heldAdapter {
	h := heldAdapter{
		version: a.Adapter.Version,
		ready:   a.Ready,
		loading: a.Loading,
	}
	switch {
	case !a.Loading:
	case before.loading:
		h.since = before.since
		h.warm = before.warm
	default:
		h.warm = m.everHeld[a.Adapter.Key()]
		if !full {
			h.since = now
		}
	}
	return h
}

// loaded takes the time of a load from the weight store that has ended.
func (f *Fleet) loaded(now time.Time, before heldAdapter) {
	if before.loading && !before.warm && !before.since.IsZero() {
		f.window.Loaded(now, now.Sub(before.since), f.coming)
	}
}

// forget removes what a holding says is no longer there, or is told anew.
func (f *Fleet) forget(m *Member, h Holding) {
	if h.Full {
		f.release(m)
		return
	}
	gone := h.Gone
	for _, a := range h.Adapters {
		gone = append(gone, a.Adapter.Key())
	}
	for _, key := range gone {
		f.unhold(m, key)
	}
}

// remember notes that an engine has held an adapter.
func (f *Fleet) remember(m *Member, key wardturn.ModelAdapter) {
	if m.everHeld[key] {
		return
	}
	m.everHeld[key] = true
	f.heldBefore.add(key, m)
}

// release forgets what a member holds.
func (f *Fleet) release(m *Member) {
	for key := range m.held {
		f.unhold(m, key)
	}
	f.count(m)
}

func (f *Fleet) unhold(m *Member, key wardturn.ModelAdapter) {
	h := m.held[key]
	if h.ready {
		f.holders.remove(key, m)
	}
	if h.loading {
		f.loaders.remove(key, m)
	}
	delete(m.held, key)
}
