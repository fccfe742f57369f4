package decide

import (
	"time"

	"wardturn"
)

// ShadowStats counts the decisions of the active policy that a shadow policy would have
// made differently.
type ShadowStats struct {
	Loads         int // loads that the active policy started
	OtherAdapters int // of Loads, those for which the shadow would have loaded another adapter
	OtherVictims  int // of Loads, those for which the shadow would have unloaded another adapter
	Holds         int // decisions whether to hold a batch request
	OtherHolds    int // of Holds, those that the shadow would have made differently
}

// shadow is a policy that is evaluated on the same traffic without affecting it.
type shadow struct {
	policy wardturn.Policy
	stats  ShadowStats
}

// SetShadow evaluates a policy beside the active one, or none if p is nil. The counters
// start at zero.
func (a *Agent) SetShadow(p wardturn.Policy) {
	a.shadow = nil
	if p != nil {
		a.shadow = &shadow{
			policy: p,
		}
	}
}

// Shadow returns the counters of the shadow policy. It reports false if there is none.
func (a *Agent) Shadow() (ShadowStats, bool) {
	if a.shadow == nil {
		return ShadowStats{}, false
	}
	return a.shadow.stats, true
}

// shadowLoad compares a load that is about to start with the shadow policy's choice.
func (a *Agent) shadowLoad(now time.Time, missing *adapter, slot int) {
	if a.shadow == nil {
		return
	}
	st := &a.shadow.stats
	st.Loads++
	if a.shadowMissing(now) != missing {
		st.OtherAdapters++
	}
	if a.slots[slot].state != SlotEmpty && a.shadowVictim(now) != slot {
		st.OtherVictims++
	}
}

func (a *Agent) shadowValue(now time.Time, ad *adapter) float64 {
	return a.shadow.policy.Slot(a.slotInput(now, ad))
}

func (a *Agent) shadowMissing(now time.Time) *adapter {
	var best *adapter
	var bestValue float64
	for _, ad := range a.missing {
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

// shadowHold compares a decision to hold a request with the shadow policy's decision.
func (a *Agent) shadowHold(in wardturn.QueueInput, held bool) {
	if a.shadow == nil {
		return
	}
	a.shadow.stats.Holds++
	if (in.Waited < a.shadow.policy.Hold(in)) != held {
		a.shadow.stats.OtherHolds++
	}
}
