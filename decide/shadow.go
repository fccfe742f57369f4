package decide

import (
	"time"

	"wardturn"
)

// ShadowStats counts where a shadow policy would have decided differently.
type ShadowStats struct {
	Loads   int // loads that the active policy started
	Wants   int // of them, those for which the shadow would have loaded another adapter
	Victims int // of them, those for which the shadow would have unloaded another adapter
	Holds   int // decisions to hold a batch request or not
	Held    int // of them, those that the shadow would have decided otherwise
}

// shadow is a policy that sees the same traffic and decides nothing.
type shadow struct {
	policy wardturn.Policy
	stats  ShadowStats
}

// SetShadow runs a policy beside the active one, or none if p is nil. Counting
// starts anew.
func (a *Agent) SetShadow(p wardturn.Policy) {
	a.shadow = nil
	if p != nil {
		a.shadow = &shadow{
			policy: p,
		}
	}
}

// Shadow returns what the shadow policy would have decided otherwise, and false
// without one.
func (a *Agent) Shadow() (ShadowStats, bool) {
	if a.shadow == nil {
		return ShadowStats{}, false
	}
	return a.shadow.stats, true
}

// shadowLoad compares a load that is about to start with the shadow's choice.
func (a *Agent) shadowLoad(now time.Time, want *adapter, slot int) {
	if a.shadow == nil {
		return
	}
	st := &a.shadow.stats
	st.Loads++
	if a.shadowWant(now) != want {
		st.Wants++
	}
	if a.slots[slot].state != SlotEmpty && a.shadowVictim(now) != slot {
		st.Victims++
	}
}

func (a *Agent) shadowValue(now time.Time, ad *adapter) float64 {
	return a.shadow.policy.Slot(a.slotInput(now, ad))
}

func (a *Agent) shadowWant(now time.Time) *adapter {
	var best *adapter
	var bestValue float64
	for _, ad := range a.wanted {
		if now.Before(ad.retryAt) || !a.loadable(now, ad) {
			continue
		}
		v := a.shadowValue(now, ad)
		switch {
		case best == nil, a.urgent(now, ad) && !a.urgent(now, best):
		case a.urgent(now, best) && !a.urgent(now, ad), v < bestValue:
			continue
		case v == bestValue && ad.ref.Adapter > best.ref.Adapter:
			continue
		}
		best = ad
		bestValue = v
	}
	return best
}

func (a *Agent) shadowVictim(now time.Time) int {
	best := noSlot
	var bestValue float64
	for i := range a.slots {
		s := &a.slots[i]
		if !a.evictable(s) {
			continue
		}
		if s.draining {
			return i
		}
		v := a.shadowValue(now, a.adapters[s.ref])
		if best == noSlot || v < bestValue {
			best = i
			bestValue = v
		}
	}
	return best
}

// shadowHold compares a decision to hold with the shadow's.
func (a *Agent) shadowHold(in wardturn.QueueInput, held bool) {
	if a.shadow == nil {
		return
	}
	a.shadow.stats.Holds++
	if (in.Waited < a.shadow.policy.Hold(in)) != held {
		a.shadow.stats.Held++
	}
}
