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

// engineSnapshot is the state of the engine at one time, as sent to the gateways.
type engineSnapshot struct {
	seq       uint64 // sequence number of the latest update sent
	known     bool
	upstream  wardturn.UpstreamID
	models    []wardturn.BaseModel
	adapters  map[wardturn.ModelAdapter]peer.HeldAdapter
	running   int
	queued    int
	prefill   int // tokens of prompts in prefill or waiting for their turn
	freeSlots int
	gateways  int
	limit     wardturn.RequestRate // reported by the engine; zero: none
	leaving   bool                 // reported by the engine
}

// snapshot returns the engine's current state. The lock must be held.
func (k *Keeper) snapshot() *engineSnapshot {
	s := &engineSnapshot{
		seq:      k.sent.seq,
		known:    k.placement.Known(),
		upstream: k.upstream,
		adapters: make(map[wardturn.ModelAdapter]peer.HeldAdapter),
		gateways: len(k.gateways),
	}
	if !s.known {
		return s
	}
	s.prefill = k.turns.queue.Tokens()
	for _, tokens := range k.prefill {
		s.prefill += tokens
	}
	st := k.placement.State()
	s.freeSlots = k.placement.FreeSlots(k.clock.Now())
	s.running = st.Running
	s.queued = st.Queued
	s.limit = st.Limit
	// The report may still be from the previous lifetime.
	s.leaving = st.Leaving && st.Upstream == k.upstream
	for _, a := range st.Loading {
		s.add(a, peer.HeldLoading)
	}
	for _, m := range st.Models {
		s.models = append(s.models, m.Name)
		for _, a := range m.Adapters {
			if k.placement.Leaving(a.Key()) {
				s.add(a, peer.HeldUnloading)
				continue
			}
			s.add(a, peer.HeldReady)
		}
	}
	return s
}

func (s *engineSnapshot) add(a wardturn.AdapterVersion, state peer.HeldState) {
	s.adapters[a.Key()] = peer.HeldAdapter{
		Adapter: a,
		State:   state,
	}
}

// update returns a state update without adapters.
func (s *engineSnapshot) update() *peer.EngineUpdate {
	return &peer.EngineUpdate{
		Seq:           s.seq,
		Known:         s.known,
		Upstream:      s.upstream,
		Models:        s.models,
		Running:       s.running,
		Queued:        s.queued,
		PrefillTokens: s.prefill,
		FreeSlots:     s.freeSlots,
		Gateways:      s.gateways,
		Limit:         s.limit,
		Leaving:       s.leaving,
	}
}

// fullUpdate returns the full state, for a gateway without any.
func (s *engineSnapshot) fullUpdate() *peer.EngineUpdate {
	m := s.update()
	m.Full = true
	for _, a := range s.adapters {
		m.Adapters = append(m.Adapters, a)
	}
	slices.SortFunc(m.Adapters, peer.CompareHeld)
	return m
}

// updateSince returns the update for gateways that have an earlier snapshot, or nil if no
// change is large enough to be sent.
func (s *engineSnapshot) updateSince(old *engineSnapshot) *peer.EngineUpdate {
	m := s.update()
	for key, a := range s.adapters {
		if old.adapters[key] != a {
			m.Adapters = append(m.Adapters, a)
		}
	}
	for key := range old.adapters {
		if _, ok := s.adapters[key]; !ok {
			m.Unloaded = append(m.Unloaded, key)
		}
	}
	if len(m.Adapters)+len(m.Unloaded) == 0 && s.known == old.known && s.upstream == old.upstream && s.freeSlots == old.freeSlots && s.limit == old.limit && s.leaving == old.leaving &&
		slices.Equal(s.models, old.models) && !s.loadChanged(old) {
		return nil
	}
	slices.SortFunc(m.Adapters, peer.CompareHeld)
	slices.SortFunc(m.Unloaded, func(x, y wardturn.ModelAdapter) int {
		return strings.Compare(string(x.Adapter), string(y.Adapter))
	})
	return m
}

// gatewayCountInterval is the minimum time between updates in which only the number of
// gateways has changed. Without it, when all gateways start together, each new connection
// causes an update, and every gateway gets one for each pair of a keeper and a gateway.
const gatewayCountInterval = time.Second

// minPrefillChange is the smallest change in prefill tokens that is sent to the gateways: an
// engine prefills fewer tokens than that before the update has reached all gateways.
const minPrefillChange = 2048

// loadChanged reports whether the load or the prefill tokens changed enough to be sent.
func (s *engineSnapshot) loadChanged(old *engineSnapshot) bool {
	if max(s.prefill-old.prefill, old.prefill-s.prefill) >= minPrefillChange {
		return true
	}
	before, now := old.running+old.queued, s.running+s.queued
	return max(before-now, now-before) >= minLoadChange
}

// sendUpdate sends the changes since the last update to the subscribers, or the full state if
// the lifetime of the engine changed. The lock must be held.
func (k *Keeper) sendUpdate() {
	s := k.snapshot()
	m := s.updateSince(k.sent)
	now := k.clock.Now()
	if m == nil && s.gateways != k.sent.gateways && !now.Before(k.gatewayCountAt) {
		m = s.update()
	}
	if m == nil {
		return
	}
	k.gatewayCountAt = now.Add(gatewayCountInterval)
	if s.upstream != k.sent.upstream {
		m = s.fullUpdate()
	}
	s.seq++
	m.Seq = s.seq
	k.sent = s
	for c := range k.subscribers.allUpdates {
		_ = c.Send(m)
	}
	k.subscribers.sendRequested(now, m)
}

// addSubscriber adds a connection to the subscribers and sends it the full state. The lock
// must be held.
func (k *Keeper) addSubscriber(c *peer.Conn) {
	k.subscribers.allUpdates[c] = true
	_ = c.Send(k.snapshot().fullUpdate())
}

// subscribeAdapter records a gateway's request for an adapter and sends the gateway the
// adapter's last sent state, which may not have reached it through its relay yet. The lock
// must be held.
func (k *Keeper) subscribeAdapter(c *peer.Conn, key wardturn.ModelAdapter) {
	k.subscribers.addRequest(k.clock.Now(), c, key)
	a, ok := k.sent.adapters[key]
	if ok && !k.subscribers.allUpdates[c] {
		_ = c.Send(adapterUpdate(k.sent.update(), a))
	}
}
