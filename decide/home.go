package decide

import (
	"time"

	"wardturn"
)

const (
	// homeChoices is how many engines in the order of homes a cold adapter may go
	// to. Gateways agree on them, so that an adapter is loaded once. The second one
	// is there for an engine that reads long prompts.
	homeChoices = 2
	// noPlaceTime is how long a load waits for a place where none is free: nine streams
	// of some 2 s end 0.2 s apart.
	noPlaceTime = 200 * time.Millisecond
)

// homeChoice collects the engines that an adapter may go to, in the order of
// homes.
type homeChoice struct {
	warm []*Member // held it before
	free []*Member // the first with a place
	full []*Member // the first without one
}

// add takes an engine that did not hold the adapter, and reports whether to go on:
// enough with a place are not there yet.
func (c *homeChoice) add(m *Member, free bool) bool {
	switch {
	case free:
		c.free = append(c.free, m)
	case len(c.full) < homeChoices:
		c.full = append(c.full, m)
	}
	return len(c.free) < homeChoices
}

// list returns the engines to choose among.
func (c *homeChoice) list() []*Member {
	list := append(c.warm, c.free...)
	if len(c.free) == 0 {
		list = append(list, c.full...)
	}
	return list
}

// placeFree reports whether an engine has a place for a wanted adapter beside
// those that this gateway has asked for and that its keeper does not tell of yet.
func (m *Member) placeFree(key wardturn.ModelAdapter) bool {
	taken := 0
	for asked := range m.asks {
		if asked != key && !m.held[asked].loading {
			taken++
		}
	}
	return m.holding.Free > taken
}
