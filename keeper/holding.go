package keeper

import (
	"slices"
	"strings"
	"time"

	"wardturn"
	"wardturn/peer"
)

// loadStep is the smallest change in the number of running and queued requests that is
// sent to the gateways: an eighth of a usual batch.
const loadStep = 4

// holding is a snapshot of the engine's state, as sent to the gateways.
type holding struct {
	seq      uint64 // sequence number of the latest update sent
	known    bool
	upstream wardturn.UpstreamID
	models   []wardturn.BaseModel
	adapters map[wardturn.ModelAdapter]peer.HeldAdapter
	running  int
	queued   int
	reading  int
	free     int
	gateways int
	limit    wardturn.RequestRate // reported by the engine; zero: none
	leaving  bool                 // reported by the engine
}

// holding returns a snapshot of the engine's state. The lock must be held.
func (k *Keeper) holding() *holding {
	h := &holding{
		seq:      k.told.seq,
		known:    k.places.Known(),
		upstream: k.upstream,
		adapters: make(map[wardturn.ModelAdapter]peer.HeldAdapter),
		gateways: len(k.gateways),
	}
	if !h.known {
		return h
	}
	for _, tokens := range k.reading {
		h.reading += tokens
	}
	st := k.places.State()
	h.free = k.places.Free(k.clock.Now())
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
			if k.places.Leaving(a.Key()) {
				h.add(a, peer.HeldLeaving)
				continue
			}
			h.add(a, peer.HeldReady)
		}
	}
	return h
}

func (h *holding) add(a wardturn.AdapterVersion, state peer.HeldState) {
	h.adapters[a.Key()] = peer.HeldAdapter{
		Adapter: a,
		State:   state,
	}
}

// message returns a state update without adapters.
func (h *holding) message() *peer.Holding {
	return &peer.Holding{
		Seq:      h.seq,
		Known:    h.known,
		Upstream: h.upstream,
		Models:   h.models,
		Running:  h.running,
		Queued:   h.queued,
		Reading:  h.reading,
		Free:     h.free,
		Gateways: h.gateways,
		Limit:    h.limit,
		Leaving:  h.leaving,
	}
}

// full returns the full state, for a gateway without any.
func (h *holding) full() *peer.Holding {
	m := h.message()
	m.Full = true
	for _, a := range h.adapters {
		m.Adapters = append(m.Adapters, a)
	}
	slices.SortFunc(m.Adapters, peer.CompareHeld)
	return m
}

// since returns the update for gateways that have an earlier snapshot, or nil if no change
// is large enough to be sent.
func (h *holding) since(old *holding) *peer.Holding {
	m := h.message()
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
	if len(m.Adapters)+len(m.Gone) == 0 && h.known == old.known && h.upstream == old.upstream && h.free == old.free && h.limit == old.limit && h.leaving == old.leaving &&
		slices.Equal(h.models, old.models) && !h.stepped(old) {
		return nil
	}
	slices.SortFunc(m.Adapters, peer.CompareHeld)
	slices.SortFunc(m.Gone, func(x, y wardturn.ModelAdapter) int {
		return strings.Compare(string(x.Adapter), string(y.Adapter))
	})
	return m
}

// countEvery is the minimum time between updates in which only the number of gateways has
// changed. If all gateways start together and each new connection causes an update, every
// gateway gets an update for each pair of a keeper and a gateway.
const countEvery = time.Second

// readingStep is the smallest change in prefill tokens that is sent to the gateways: an
// engine prefills fewer tokens than that before the update has reached all gateways.
const readingStep = 2048

// stepped reports whether the load or the prefill tokens changed enough to be sent.
func (h *holding) stepped(old *holding) bool {
	if max(h.reading-old.reading, old.reading-h.reading) >= readingStep {
		return true
	}
	was, is := old.running+old.queued, h.running+h.queued
	return max(was-is, is-was) >= loadStep
}

// tell sends the changes since the last update to the listeners, or the full state if the
// lifetime of the engine changed. The lock must be held.
func (k *Keeper) tell() {
	h := k.holding()
	m := h.since(k.told)
	now := k.clock.Now()
	if m == nil && h.gateways != k.told.gateways && !now.Before(k.countAt) {
		m = h.message()
	}
	if m == nil {
		return
	}
	k.countAt = now.Add(countEvery)
	if h.upstream != k.told.upstream {
		m = h.full()
	}
	h.seq++
	m.Seq = h.seq
	k.told = h
	for c := range k.listeners.all {
		_ = c.Send(m)
	}
	k.listeners.answer(now, m)
}

// tellFull adds a connection to the listeners and sends it the full state. The lock must be
// held.
func (k *Keeper) tellFull(c *peer.Conn) {
	k.listeners.all[c] = true
	_ = c.Send(k.holding().full())
}

// tellAsked sends a gateway that requests an adapter the adapter's last sent state, which
// may not have reached it through its relay yet. The lock must be held.
func (k *Keeper) tellAsked(c *peer.Conn, key wardturn.ModelAdapter) {
	k.listeners.ask(k.clock.Now(), c, key)
	a, ok := k.told.adapters[key]
	if ok && !k.listeners.all[c] {
		_ = c.Send(answerOf(k.told.message(), a))
	}
}
