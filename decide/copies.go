package decide

import (
	"time"
)

const (
	// copyMinLoad is the least number of requests at an engine for which its load can be a
	// reason for a copy of an adapter elsewhere. Engines run at full speed up to it.
	copyMinLoad = 8
	// copyLoadFactor is the least ratio of that number to the mean over all engines.
	copyLoadFactor = 1.4
	// copyMinOwnRequests is how many of these requests must be this gateway's for the
	// adapter.
	copyMinOwnRequests = 2
	// copyMinRequests is the least estimated number of requests for an adapter, over all
	// gateways, for which paused streams can be a reason for a copy.
	copyMinRequests = 16
	// copyMinSaving is the least saving per request, in milliseconds, that justifies a
	// copy.
	copyMinSaving = 10.0
)

// considerCopy requests a copy of an adapter on another engine if m, the engine that
// serves it, is more loaded than others, if the streams there would pause for the prefill
// of the request's prompt, or if m is in another failure domain and the traffic sent
// there exceeds FleetConfig.MaxCrossDomainBytes, the equivalent of a load.
func (f *Fleet) considerCopy(now time.Time, t *PendingRequest, m *Member, out *Actions) {
	near := m.Domain == f.cfg.Domain
	if !near {
		f.crossDomainBytes[t.Key] += t.Bytes
	}
	costly := !near && f.crossDomainBytes[t.Key] >= f.cfg.MaxCrossDomainBytes
	busy := f.overloaded(t, m) || f.pausesStreams(now, t, m)
	if !costly && !busy {
		return
	}
	if f.missing.unrestricted(t.Key) != nil || !f.hasSpareCapacity(now) {
		return
	}
	home := f.copyHome(now, t, m, costly)
	if home == nil {
		return
	}
	f.crossDomainBytes[t.Key] = 0
	w := f.missingFor(now, t.Key, t.Service, nil)
	w.cause = LoadLocal
	if busy {
		w.relieved = 1 + m.runningOf(t.Key)
		w.cause = LoadRelief
	}
	f.requestLoad(now, w, home, out)
}

// pausesStreams reports whether the prefill of a request's prompt would pause so many
// streams that its adapter needs another engine. The number of requests is estimated by
// assuming that each gateway has as many for the adapter there as this one; for only a
// few requests a copy costs more than it saves.
func (f *Fleet) pausesStreams(now time.Time, t *PendingRequest, m *Member) bool {
	if (m.runningOf(t.Key)+1)*f.Gateways() < copyMinRequests {
		return false
	}
	return m.pauseCost(now, t) >= spreadPauseCost
}

// overloaded reports whether an engine has far more load than others and this gateway's
// requests for the adapter contribute to it.
func (f *Fleet) overloaded(t *PendingRequest, m *Member) bool {
	if m.load() < copyMinLoad || m.runningOf(t.Key) < copyMinOwnRequests {
		return false
	}
	total := 0
	list := f.services[t.Service]
	for _, o := range list {
		total += o.load()
	}
	return float64(m.load()) >= copyLoadFactor*float64(total)/float64(len(list))
}

// copyHome returns the engine that should hold a copy of an adapter in addition to m, or
// nil. It is the first one in home order that costs sufficiently less, or with near set
// the first in the gateway's own failure domain. Gateways that need a copy at the same
// time thus choose the same engine.
func (f *Fleet) copyHome(now time.Time, t *PendingRequest, m *Member, near bool) *Member {
	maxCost := f.costForRequest(now, t, m) - copyMinSaving
	for o := range f.homes(now, t.Service, t.Key, near) {
		if _, holds := o.held[t.Key]; holds || o.loading() >= MaxConcurrentLoads {
			continue
		}
		if near || f.costForRequest(now, t, o) <= maxCost {
			return o
		}
	}
	return nil
}
