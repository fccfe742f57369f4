package decide

import (
	"time"
)

const (
	// spreadLoad is the least number of requests at an engine for which an
	// adapter gets another one; engines are quick up to there.
	spreadLoad = 8
	// spreadFactor is how many times the mean load that must be.
	spreadFactor = 1.4
	// spreadUse is how many of them must be this gateway's for that adapter.
	spreadUse = 2
	// spreadRequests is how many requests all gateways must have, by estimate, for an
	// adapter that gets another engine since streams would pause.
	spreadRequests = 16
	// copyCost is what a copy must save each request, in milliseconds.
	copyCost = 10.0
)

// spread asks for an adapter at one more engine: if the one that serves it is
// busier than others, if its streams would pause for the request's prompt, or if it is far
// and as much has been sent there as a load costs.
func (f *Fleet) spread(now time.Time, t *Ticket, m *Member, out *Moves) {
	near := m.Domain == f.cfg.Domain
	if !near {
		f.crossed[t.Key] += t.Bytes
	}
	costly := !near && f.crossed[t.Key] >= f.cfg.CrossBytes
	busy := f.overbusy(t, m) || f.stopsStreams(now, t, m)
	if !costly && !busy {
		return
	}
	if f.wants.anywhere(t.Key) != nil || !f.spare(now) {
		return
	}
	home := f.copyHome(now, t, m, costly)
	if home == nil {
		return
	}
	f.crossed[t.Key] = 0
	w := f.wantOf(now, t.Key, t.Service, nil)
	w.cause = LoadNear
	if busy {
		w.relief = 1 + m.runningOf(t.Key)
		w.cause = LoadRelief
	}
	f.ask(now, w, home, out)
}

// stopsStreams reports whether a request's prompt would have so many streams pause that its
// adapter needs another engine. Each gateway is taken to have as many requests of the adapter
// there as this one: an engine for a few of them costs more than it spares.
func (f *Fleet) stopsStreams(now time.Time, t *Ticket, m *Member) bool {
	if (m.runningOf(t.Key)+1)*f.Gateways() < spreadRequests {
		return false
	}
	return m.pauseCost(now, t) >= spreadPause
}

// overbusy reports whether an engine has far more to do than others, and not
// because of others' requests alone.
func (f *Fleet) overbusy(t *Ticket, m *Member) bool {
	if m.load() < spreadLoad || m.runningOf(t.Key) < spreadUse {
		return false
	}
	total := 0
	list := f.services[t.Service]
	for _, o := range list {
		total += o.load()
	}
	return float64(m.load()) >= spreadFactor*float64(total)/float64(len(list))
}

// copyHome returns the engine that should hold a copy of an adapter beside m, or
// nil. It is the first in the order of homes that costs enough less, so that
// gateways which want a copy at the same time ask the same engine.
func (f *Fleet) copyHome(now time.Time, t *Ticket, m *Member, near bool) *Member {
	most := f.costOf(now, t, m) - copyCost
	for o := range f.homes(now, t.Service, t.Key, near) {
		if _, holds := o.held[t.Key]; holds || o.loading() >= MaxComing {
			continue
		}
		if near || f.costOf(now, t, o) <= most {
			return o
		}
	}
	return nil
}
