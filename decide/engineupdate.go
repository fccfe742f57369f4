package decide

import (
	"maps"
	"time"

	"wardturn"
)

// EngineUpdate is a keeper's update on its engine. A keeper is the process beside an engine
// that loads and unloads the engine's adapters.
type EngineUpdate struct {
	Connected     bool // a keeper is connected
	Known         bool // the keeper knows the engine's state
	Models        []wardturn.BaseModel
	Full          bool // Adapters lists all adapters; otherwise only those that changed
	Adapters      []HeldVersion
	Unloaded      []wardturn.ModelAdapter // unloaded since the previous update
	Running       int
	Queued        int
	PrefillTokens int // tokens of prompts in prefill or waiting for it, for all gateways together
	FreeSlots     int // adapter slots that could be used at once, counted up to MaxFreeSlots
	Gateways      int // gateways connected to the keeper
	// Limit is the rate limit in requests per second that the engine announces. Zero means
	// that this update carries none; the engine's responses may still announce one.
	Limit   wardturn.RequestRate
	Leaving bool // the engine announced that it is shutting down
	// PrefillTurns reports that the keeper grants turns for prompts.
	PrefillTurns bool
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
	since   time.Time // when the load was first reported; zero if its start was not seen
	warm    bool      // loaded from the engine's own memory, not from the weight store
}

// ApplyEngineUpdate applies a keeper's update on its engine.
func (f *Fleet) ApplyEngineUpdate(now time.Time, id wardturn.UpstreamID, u EngineUpdate, out *Actions) {
	m := f.members[id]
	if m == nil {
		return
	}
	m.lastUpdate = u
	m.updatedAt = now
	if u.Limit > 0 {
		f.limits.Observe(now, id, u.Limit)
	}
	if u.Leaving {
		f.MarkLeaving(now, id, out)
	}
	f.gateways = max(f.gateways, u.Gateways)
	m.runningAtUpdate = m.running
	f.setPrefill(now, m, u)
	before := maps.Clone(m.held)
	f.applyRemovals(m, u)
	for _, a := range u.Adapters {
		key := a.Adapter.Key()
		m.held[key] = m.reportedState(now, a, before[key], u.Full)
		if a.Loading {
			f.loaders.add(key, m)
			f.observeLoadStart(now, m.held[key])
		}
		if a.Ready {
			f.observeLoad(now, before[key])
			f.holders.add(key, m)
			f.recordHeld(m, key)
		}
	}
	f.countLoads(m)
	for _, a := range u.Adapters {
		if a.Ready {
			f.adapterLoaded(now, m, a.Adapter, out)
		}
	}
	f.requestMissing(now, out)
}

// reportedState returns the state of a reported adapter, given its state before the
// update. In a full update the start of a load was not seen, so since stays zero.
func (m *Member) reportedState(now time.Time, a HeldVersion, before heldAdapter, full bool) heldAdapter {
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

// observeLoadStart counts a load from the weight store whose start was seen.
func (f *Fleet) observeLoadStart(now time.Time, h heldAdapter) {
	if !h.warm && h.since.Equal(now) {
		f.queue.all.add(now)
	}
}

// observeLoad passes the duration of a finished load from the weight store to the load
// window.
func (f *Fleet) observeLoad(now time.Time, before heldAdapter) {
	if before.loading && !before.warm && !before.since.IsZero() {
		f.window.ObserveLoad(now, now.Sub(before.since), f.loadsInFlight)
	}
}

// applyRemovals removes the adapters that the update says are unloaded, and those whose
// state the update replaces.
func (f *Fleet) applyRemovals(m *Member, u EngineUpdate) {
	if u.Full {
		f.removeAllHeld(m)
		return
	}
	gone := u.Unloaded
	for _, a := range u.Adapters {
		gone = append(gone, a.Adapter.Key())
	}
	for _, key := range gone {
		f.removeHeld(m, key)
	}
}

// recordHeld records that an engine has held an adapter.
func (f *Fleet) recordHeld(m *Member, key wardturn.ModelAdapter) {
	if m.everHeld[key] {
		return
	}
	m.everHeld[key] = true
	f.heldBefore.add(key, m)
}

// removeAllHeld forgets all adapters of a member.
func (f *Fleet) removeAllHeld(m *Member) {
	for key := range m.held {
		f.removeHeld(m, key)
	}
	f.countLoads(m)
}

func (f *Fleet) removeHeld(m *Member, key wardturn.ModelAdapter) {
	h := m.held[key]
	if h.ready {
		f.holders.remove(key, m)
	}
	if h.loading {
		f.loaders.remove(key, m)
	}
	delete(m.held, key)
}
