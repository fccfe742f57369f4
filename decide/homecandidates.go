package decide

import (
	"time"

	"wardturn"
)

const (
	// maxHomeCandidates is the number of engines, in home order, among which an adapter
	// without a home is placed. All gateways compute the same ones, so that an adapter is
	// loaded only once. The second one is for the case that the first is in a long
	// prefill.
	maxHomeCandidates = 2
	// noSlotWait is the expected time that a load waits for a slot on an engine without a
	// free one: nine streams of about 2 s each end 0.2 s apart.
	noSlotWait = 200 * time.Millisecond
)

// homeCandidates collects the candidate engines for an adapter in home order. The home of
// an adapter is the engine that is to load it, and the home order of an adapter is the
// order of all engines by rendezvous score.
type homeCandidates struct {
	warm []*Member // held the adapter before
	free []*Member // the first ones with a free slot
	full []*Member // the first ones without a free slot
}

// add adds an engine that has not held the adapter. It reports whether further engines are
// needed, since there are not enough with a free slot yet.
func (c *homeCandidates) add(m *Member, free bool) bool {
	switch {
	case free:
		c.free = append(c.free, m)
	case len(c.full) < maxHomeCandidates:
		c.full = append(c.full, m)
	}
	return len(c.free) < maxHomeCandidates
}

// list returns the candidates. Engines without a free slot count only if none has one.
func (c *homeCandidates) list() []*Member {
	list := append(c.warm, c.free...)
	if len(c.free) == 0 {
		list = append(list, c.full...)
	}
	return list
}

// slotFree reports whether an engine has a free slot for an adapter, in addition to those
// for the loads that this gateway has requested there and the keeper has not reported yet.
func (m *Member) slotFree(key wardturn.ModelAdapter) bool {
	taken := 0
	for requested := range m.requested {
		if requested != key && !m.held[requested].loading {
			taken++
		}
	}
	return m.lastUpdate.FreeSlots > taken
}
