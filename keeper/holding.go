package keeper

import (
	"slices"
	"strings"
	"time"

	"wardturn"
	"wardturn/peer"
)

// minLoadChange is the smallest change in the number of running and queued requests that is
// sent to the gateways: an eighth of a usual batch.
const minLoadChange = 4

// engineSnapshot is a snapshot of the engine's state, as sent to the gateways.
type engineSnapshot struct {
	seq       uint64 // sequence number of the latest update sent
	known     bool
	upstream  wardturn.UpstreamID
	models    []wardturn.BaseModel
	adapters  map[wardturn.ModelAdapter]peer.HeldAdapter
	running   int
	queued    int
	prefill   int
	freeSlots int
	gateways  int
	limit     wardturn.RequestRate // reported by the engine; zero: none
	leaving   bool                 // reported by the engine
}

// snapshot returns a snapshot of the engine's state. The lock must be held.
func (k *Keeper) snapshot() *engineSnapshot {
	h := &engineSnapshot{
		seq:      k.sent.seq,
		known:    k.placement.Known(),
		upstream: k.upstream,
		adapters: make(map[wardturn.ModelAdapter]peer.HeldAdapter),
		gateways: len(k.gateways),
	}
	if !h.known {
		return h
	}
	for _, tokens := range k.prefill {
		h.prefill += tokens
	}
	st := k.placement.State()
	h.freeSlots = k.placement.Free(k.clock.Now())
	h.running = st.Running
	h.queued = st.Queued
	h.limit = st.Limit
	// The report may still be from the previous lifetime.
	h.leaving = st.Leaving && st.Upstream == k.upstream
	for _, a := range st.Loading {
		h.add(a, peer.HeldLoading)
	}
	for _, m := range st.Models {
		h.models = append(h.models, m.Name)
		for _, a := range m.Adapters {
			if k.placement.Leaving(a.Key()) {
				h.add(a, peer.HeldLeaving)
				continue
			}
			h.add(a, peer.HeldReady)
		}
	}
	return h
}

func (h *engineSnapshot) add(a wardturn.AdapterVersion, state peer.HeldState) {
	h.adapters[a.Key()] = peer.HeldAdapter{
		Adapter: a,
		State:   state,
	}
}

// update returns a state update without adapters.
func (h *engineSnapshot) update() *peer.Holding {
	return &peer.Holding{
		Seq:      h.seq,
		Known:    h.known,
		Upstream: h.upstream,
		Models:   h.models,
		Running:  h.running,
		Queued:   h.queued,
		Reading:  h.prefill,
		Free:     h.freeSlots,
		Gateways: h.gateways,
		Limit:    h.limit,
		Leaving:  h.leaving,
	}
}

// fullUpdate returns the full state, for a gateway without any.
func (h *engineSnapshot) fullUpdate() *peer.Holding {
	m := h.update()
	m.Full = true
	for _, a := range h.adapters {
		m.Adapters = append(m.Adapters, a)
	}
	slices.SortFunc(m.Adapters, peer.CompareHeld)
	return m
}

// updateSince returns the update for gateways that have an earlier snapshot, or nil if no change
// is large enough to be sent.
func (h *engineSnapshot) updateSince(old *engineSnapshot) *peer.Holding {
	m := h.update()
	for key, a := range h.adapters {
		if old.adapters[key] != a {
			m.Adapters = append(m.Adapters, a)
		}
	}
	for key := range old.adapters {
		if _, ok := h.adapters[key]; !ok {
			m.Gone = append(m.Gone, key)
		}
	}
	if len(m.Adapters)+len(m.Gone) == 0 && h.known == old.known && h.upstream == old.upstream && h.freeSlots == old.freeSlots && h.limit == old.limit && h.leaving == old.leaving &&
		slices.Equal(h.models, old.models) && !h.loadChanged(old) {
		return nil
	}
	slices.SortFunc(m.Adapters, peer.CompareHeld)
	slices.SortFunc(m.Gone, func(x, y wardturn.ModelAdapter) int {
		return strings.Compare(string(x.Adapter), string(y.Adapter))
	})
	return m
}

// gatewayCountInterval is the minimum time between updates in which only the number of gateways has
// changed. If all gateways start together and each new connection causes an update, every
// gateway gets an update for each pair of a keeper and a gateway.
const gatewayCountInterval = time.Second

// minPrefillChange is the smallest change in prefill tokens that is sent to the gateways: an
// engine prefills fewer tokens than that before the update has reached all gateways.
const minPrefillChange = 2048

// loadChanged reports whether the load or the prefill tokens changed enough to be sent.
func (h *engineSnapshot) loadChanged(old *engineSnapshot) bool {
	if max(h.prefill-old.prefill, old.prefill-h.prefill) >= minPrefillChange {
		return true
	}
	before, now := old.running+old.queued, h.running+h.queued
	return max(before-now, now-before) >= minLoadChange
}

// sendUpdate sends the changes since the last update to the listeners, or the full state if the
// lifetime of the engine changed. The lock must be held.
func (k *Keeper) sendUpdate() {
	h := k.snapshot()
	m := h.updateSince(k.sent)
	now := k.clock.Now()
	if m == nil && h.gateways != k.sent.gateways && !now.Before(k.gatewayCountAt) {
		m = h.update()
	}
	if m == nil {
		return
	}
	k.gatewayCountAt = now.Add(gatewayCountInterval)
	if h.upstream != k.sent.upstream {
		m = h.fullUpdate()
	}
	h.seq++
	m.Seq = h.seq
	k.sent = h
	for c := range k.listeners.allUpdates {
		_ = c.Send(m)
	}
	k.listeners.sendRequested(now, m)
}

// addListener adds a connection to the listeners and sends it the full state. The lock must be
// held.
func (k *Keeper) addListener(c *peer.Conn) {
	k.listeners.allUpdates[c] = true
	_ = c.Send(k.snapshot().fullUpdate())
}

// subscribeAdapter sends a gateway that requests an adapter the adapter's last sent state, which
// may not have reached it through its relay yet. The lock must be held.
func (k *Keeper) subscribeAdapter(c *peer.Conn, key wardturn.ModelAdapter) {
	k.listeners.addRequest(k.clock.Now(), c, key)
	a, ok := k.sent.adapters[key]
	if ok && !k.listeners.allUpdates[c] {
		_ = c.Send(adapterUpdate(k.sent.update(), a))
	}
}
