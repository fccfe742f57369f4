package keeper

import (
	"slices"
	"strings"
	"time"

	"wardturn"
	"wardturn/peer"
)

// loadStep is the change in running and queued requests that is worth telling
// the gateways: an eighth of a usual batch.
const loadStep = 4

// holding is what an engine holds, as its gateways are told.
type holding struct {
	seq      uint64 // of the latest change told
	known    bool
	upstream wardturn.UpstreamID
	models   []wardturn.BaseModel
	adapters map[wardturn.ModelAdapter]peer.HeldAdapter
	running  int
	queued   int
	reading  int
	free     int
	gateways int
	limit    wardturn.RequestRate // that the engine names; zero: none
	leaving  bool                 // as the engine says
}

// holding returns what the engine holds; the lock is held.
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
	// The report may still be of the lifetime before.
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

// message returns a message without adapters.
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

// full returns the message for a gateway that knows nothing.
func (h *holding) full() *peer.Holding {
	m := h.message()
	m.Full = true
	for _, a := range h.adapters {
		m.Adapters = append(m.Adapters, a)
	}
	slices.SortFunc(m.Adapters, peer.CompareHeld)
	return m
}

// since returns the message for gateways that know an earlier holding, or nil if
// there is nothing worth telling.
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

// countEvery is how soon a change of the number of gateways alone is told again. Told with
// each gateway that comes, it is a word for each pair of a keeper and a gateway to each
// gateway when all start together.
const countEvery = time.Second

// readingStep is the change in tokens being read that is worth telling: less is read
// before the word has arrived everywhere.
const readingStep = 2048

// stepped reports whether the load changed by a step.
func (h *holding) stepped(old *holding) bool {
	if max(h.reading-old.reading, old.reading-h.reading) >= readingStep {
		return true
	}
	was, is := old.running+old.queued, h.running+h.queued
	return max(was-is, is-was) >= loadStep
}

// tell sends what changed to those that listen; the lock is held. Of another
// lifetime of the engine everything is told.
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

// tellFull has a connection listen, and tells it everything; the lock is held.
func (k *Keeper) tellFull(c *peer.Conn) {
	k.listeners.all[c] = true
	_ = c.Send(k.holding().full())
}

// tellAsked tells a gateway that asks for an adapter what is known of that, which
// its relay may not have told yet; the lock is held.
func (k *Keeper) tellAsked(c *peer.Conn, key wardturn.ModelAdapter) {
	k.listeners.ask(k.clock.Now(), c, key)
	a, ok := k.told.adapters[key]
	if ok && !k.listeners.all[c] {
		_ = c.Send(answerOf(k.told.message(), a))
	}
}
