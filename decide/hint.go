package decide

import (
	"slices"
	"strings"
	"time"

	"wardturn"
)

// Hint is an agent's load as reported with its replies. It is already out of date on
// arrival and expires soon after.
type Hint struct {
	Running int `msgpack:"r" json:"running"`
	Queued  int `msgpack:"q" json:"queued"`
	// Capacity is the number of requests that can run at once.
	Capacity int `msgpack:"c" json:"capacity"`
	// WaitingAdapters is the number of adapters that wait for a slot.
	WaitingAdapters int `msgpack:"w" json:"waiting_adapters"`
	// SpareSlots is the number of slots that are empty or can be reused at once.
	SpareSlots int  `msgpack:"s" json:"spare_slots"`
	Leaving    bool `msgpack:"l" json:"leaving"`
}

// Hint returns the agent's present load.
func (a *Agent) Hint() Hint {
	h := Hint{
		Running:         a.running,
		Queued:          a.queued,
		Capacity:        a.cfg.MaxRunning,
		WaitingAdapters: len(a.missing),
		Leaving:         a.leaving,
	}
	for i := range a.slots {
		s := &a.slots[i]
		if s.state == SlotEmpty || a.evictable(s) {
			h.SpareSlots++
		}
	}
	return h
}

// TargetView is a copy of a router's state of an upstream.
type TargetView struct {
	Host    wardturn.Host
	Hint    Hint
	HintAge time.Duration // negative without a hint
	Ejected bool
}

// Targets returns the router's state of all upstreams, sorted by upstream ID.
func (r *Router) Targets(now time.Time) []TargetView {
	list := make([]TargetView, 0, len(r.byID))
	for _, t := range r.byID {
		v := TargetView{
			Host:    t.host,
			Hint:    t.hint,
			HintAge: -time.Second,
			Ejected: !t.breaker.Allows(now),
		}
		if !t.hintAt.IsZero() {
			v.HintAge = now.Sub(t.hintAt)
		}
		list = append(list, v)
	}
	slices.SortFunc(list, func(x, y TargetView) int {
		return strings.Compare(string(x.Host.Upstream), string(y.Host.Upstream))
	})
	return list
}
