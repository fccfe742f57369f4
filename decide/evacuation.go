package decide

import (
	"slices"
	"time"

	"wardturn"
)

// presumedCold is how long an upstream that may have become cold unnoticed is presumed
// cold, whatever its entry says. By then it has written a new entry and the list has been
// read.
const presumedCold = 3500 * time.Millisecond

// preloadLifetime is how long an adapter that was in use in an evacuated failure domain
// counts as missing elsewhere although no request waits for it.
const preloadLifetime = 3 * time.Second

// SetEvacuated sets the failure domains whose upstreams get no requests. The upstreams of a
// domain whose evacuation is withdrawn are presumed cold for presumedCold.
func (f *Fleet) SetEvacuated(now time.Time, domains wardturn.Evacuations, out *Actions) {
	before := f.evacuated
	f.evacuated = domains
	for _, m := range f.members {
		if m.evacuated && !domains[m.Domain] {
			m.presumedColdUntil = now.Add(presumedCold)
		}
		m.evacuated = domains[m.Domain]
	}
	f.updateColdLimits(now)
	for _, m := range f.members {
		if m.evacuated && !before[m.Domain] {
			f.preloadElsewhere(now, m)
		}
	}
	f.requestMissing(now, out)
}

// preloadElsewhere requests loads of the adapters that this gateway uses at an evacuated
// engine and that no other available engine holds. Otherwise the next requests for all of
// them would wait for loads that begin at the same time. Engines of the same region are
// preferred.
func (f *Fleet) preloadElsewhere(now time.Time, m *Member) {
	region := wardturn.Regions{f.cfg.Regions[m.Domain]}
	if !f.availableInRegions(now, m.Service, region) {
		region = nil
	}
	for key, u := range m.uses {
		if u.Running == 0 || f.heldByAvailable(now, key) || f.missing.unrestricted(key) != nil {
			continue
		}
		missing := f.missingFor(now, key, m.Service, restriction{
			regions: region,
		})
		missing.preload = true
		missing.expectedRetries += u.Running
		missing.retryWeight += float64(u.Running)
		missing.retriesUntil = now.Add(preloadLifetime)
	}
}

// availableInRegions reports whether any available upstream of a service is in the regions.
func (f *Fleet) availableInRegions(now time.Time, s wardturn.ServiceName, r wardturn.Regions) bool {
	return slices.ContainsFunc(f.services[s], func(m *Member) bool {
		return m.eligible(now) && f.inRegions(m, r)
	})
}

// heldByAvailable reports whether any available engine holds an adapter.
func (f *Fleet) heldByAvailable(now time.Time, key wardturn.ModelAdapter) bool {
	return slices.ContainsFunc(f.holders[key], func(m *Member) bool {
		return m.eligible(now)
	})
}

// ObserveCold records an upstream's statement, in a response, that it stays cold for the
// given time.
func (f *Fleet) ObserveCold(now time.Time, id wardturn.UpstreamID, left time.Duration) {
	m := f.members[id]
	if m == nil || left <= 0 {
		return
	}
	m.coldUntil = latest(m.coldUntil, now.Add(left))
	f.updateColdLimits(now)
}

// updateColdLimits updates the rate limits of cold upstreams.
func (f *Fleet) updateColdLimits(now time.Time) {
	cold := false
	for _, m := range f.members {
		until := latest(m.coldUntil, m.presumedColdUntil)
		rate := 0.0
		if f.table != nil {
			rate = f.table.Services[m.Service].ColdRate
		}
		f.limits.SetCold(now, m.ID, rate, until)
		cold = cold || rate > 0 && now.Before(until)
	}
	f.limits.ExpectCold(cold || len(f.evacuated) > 0)
}

// updateCold updates the cold state of a member from its entry. The time in an entry counts
// from when the entry was first read, so an entry that was read before is ignored.
func (m *Member) updateCold(now time.Time, e wardturn.Member) {
	if e.Position <= m.coldEntry {
		return
	}
	m.coldEntry = e.Position
	m.coldUntil = time.Time{}
	if e.ColdFor > 0 {
		m.coldUntil = now.Add(e.ColdFor)
	}
}

// noneEligible reports whether no upstream of a request's service is eligible for it,
// whatever their load, and why. Such a request is refused at once, since waiting in the
// gateway would gain it nothing.
func (f *Fleet) noneEligible(r *PendingRequest) (wardturn.Reason, bool) {
	if r.Regions == nil && r.Software == nil && len(f.evacuated) == 0 {
		return "", false
	}
	evacuated, otherRegion, otherSoftware := false, false, false
	for _, m := range f.services[r.Service] {
		switch {
		case !f.inRegions(m, r.Regions):
			otherRegion = true
		case !r.Software.Allow(m.Software) || r.Software != nil && (m.Draining || m.restarted):
			otherSoftware = true
		case m.evacuated:
			evacuated = true
		default:
			return "", false
		}
	}
	switch {
	case evacuated:
		return wardturn.ReasonEvacuated, true
	case otherRegion:
		return wardturn.ReasonRegions, true
	case otherSoftware:
		return wardturn.ReasonSoftware, true
	}
	return "", false
}

// inRegions reports whether an upstream is in one of the allowed regions.
func (f *Fleet) inRegions(m *Member, allowed wardturn.Regions) bool {
	return allowed == nil || allowed.Allow(f.cfg.Regions[m.Domain])
}
