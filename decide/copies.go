package decide

import (
	"time"
)

const (
	// copyMinLoad is the least number of requests at an engine for which its load can be a
	// reason for a copy of an adapter on another one. Engines run at full speed up to it.
	copyMinLoad = 8
	// copyLoadFactor is the least ratio of that number to its mean over all engines for
	// which an engine counts as overloaded.
	copyLoadFactor = 1.4
	// copyMinOwnRequests is how many of the engine's requests must be requests of this
	// gateway for the adapter.
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
func (f *Fleet) considerCopy(now time.Time, r *PendingRequest, m *Member, out *Actions) {
	local := m.Domain == f.cfg.Domain
	if !local {
		f.crossDomainBytes[r.Key] += r.Bytes
	}
	costly := !local && f.crossDomainBytes[r.Key] >= f.cfg.MaxCrossDomainBytes
	busy := f.overloaded(r, m) || f.pausesStreams(now, r, m)
	if !costly && !busy {
		return
	}
	if f.missing.unrestricted(r.Key) != nil || !f.hasSpareCapacity(now) {
		return
	}
	home := f.copyHome(now, r, m, costly)
	if home == nil {
		return
	}
	f.crossDomainBytes[r.Key] = 0
	missing := f.missingFor(now, r.Key, r.Service, restriction{})
	missing.cause = LoadLocal
	missing.preload = !busy
	if busy {
		missing.relieved = 1 + m.runningOf(r.Key)
		missing.relievedRank = r.Urgency.Rank
		missing.relievedObjective = r.Objective
		missing.cause = LoadRelief
	}
	f.requestLoad(now, missing, home, out)
}

// pausesStreams reports whether the prefill of a request's prompt would pause so many
// streams that its adapter needs another engine. The number of requests is estimated by
// assuming that each gateway has as many for the adapter there as this one; for only a
// few requests a copy costs more than it saves.
func (f *Fleet) pausesStreams(now time.Time, r *PendingRequest, m *Member) bool {
	if (m.runningOf(r.Key)+1)*f.Gateways() < copyMinRequests {
		return false
	}
	return m.pauseCost(now, r) >= spreadPauseCost
}

// overloaded reports whether an engine has far more load than others and this gateway's
// requests for the adapter contribute to it.
func (f *Fleet) overloaded(r *PendingRequest, m *Member) bool {
	if m.load() < copyMinLoad || m.runningOf(r.Key) < copyMinOwnRequests {
		return false
	}
	total := 0
	list := f.services[r.Service]
	for _, o := range list {
		total += o.load()
	}
	return float64(m.load()) >= copyLoadFactor*float64(total)/float64(len(list))
}

// copyHome returns the engine that should hold a copy of an adapter in addition to m, or
// nil. It is the first one in home order that costs sufficiently less, or with near set
// the first in the gateway's own failure domain. Gateways that need a copy at the same
// time thus choose the same engine.
func (f *Fleet) copyHome(now time.Time, r *PendingRequest, m *Member, localOnly bool) *Member {
	maxCost := f.costForRequest(now, r, m) - copyMinSaving
	for o := range f.homes(now, r.Service, r.Key, localOnly) {
		if _, holds := o.held[r.Key]; holds || o.loading() >= MaxConcurrentLoads {
			continue
		}
		if localOnly || f.costForRequest(now, r, o) <= maxCost {
			return o
		}
	}
	return nil
}
