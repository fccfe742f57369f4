package decide

import (
	"time"
)

const (
	// homeChoices is how many engines in the order of homes a cold adapter may go
	// to. Gateways agree on them, so that an adapter is loaded once. The second one
	// is there for an engine that reads long prompts; what it gains is within the
	// noise of nine days (0.489 of the worth served, 0.486 with one).
	homeChoices = 2
	// noPlaceTime is how long a load waits for a place where none is free. It is an
	// estimate and was not measured: nine streams of some 2 s end 0.2 s apart.
	noPlaceTime = 200 * time.Millisecond
)

// homeChoice collects the engines that an adapter may go to, in the order of
// homes.
type homeChoice struct {
	warm []*Member // held it before
	free []*Member // the first with a place
	full []*Member // the first without one
}

func (c *homeChoice) add(m *Member, warm, free bool) {
	switch {
	case warm:
		c.warm = append(c.warm, m)
	case free && len(c.free) < homeChoices:
		c.free = append(c.free, m)
	case !free && len(c.full) < homeChoices:
		c.full = append(c.full, m)
	}
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
// those that were asked for here and that its keeper does not tell of yet.
func (f *Fleet) placeFree(w *want, m *Member) bool {
	taken := 0
	for _, o := range f.wants {
		if o != w && o.home == m.ID && !m.held[o.key].loading {
			taken++
		}
	}
	return m.holding.Free > taken
}
