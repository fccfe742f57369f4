package decide

import (
	"time"

	"wardturn"
)

const (
	// versionEndMargin is how long before the bound old versions stop serving, which
	// leaves time for the message that cancels requests that have not started. It is far
	// more than the delay between failure domains plus a scheduling delay of a slow host.
	versionEndMargin = 500 * time.Millisecond
	// versionStartMargin is how long before its end, in addition to the prefill time, an
	// old version receives its last request. The few requests that take longer to start,
	// on hosts that freeze, are cancelled.
	versionStartMargin = time.Second
	// rolloutInterval is the interval at which the progress of a rollout is checked.
	rolloutInterval = 300 * time.Millisecond
)

// rollout replaces the old versions of an adapter by the newest. First another engine
// loads the newest version while the old one serves; the copies of the old version are
// replaced only then, when requests no longer go to them.
type rollout struct {
	nextAt      time.Time      // when the rollout is checked next
	pendingEnds []announcement // announcements whose end is still to come, earliest first
}

// VersionAnnounced records the newest version of an adapter. The version was not yet
// announced at the time announcedAfter, so the bound on older versions runs from then. If
// it ran from the time of receipt, late messages would postpone it. If announcedAfter is
// zero, this gateway had no earlier knowledge, and no older version serves.
func (f *Fleet) VersionAnnounced(now time.Time, v wardturn.AdapterVersion, announcedAfter time.Time, out *Actions) {
	key := v.Key()
	if v.Version <= f.newest(key) {
		return
	}
	end := now
	if !announcedAfter.IsZero() {
		end = announcedAfter.Add(f.cfg.VersionBound - versionEndMargin)
	}
	r := f.rollouts[key]
	if r == nil {
		r = &rollout{}
		f.rollouts[key] = r
	}
	a := f.recordAnnouncement(v, now, end)
	if end.After(now) {
		// Otherwise this gateway was cut off, and the version may have been announced
		// just now: cancelling the requests sent before would lose them without need.
		r.pendingEnds = append(r.pendingEnds, a)
	}
	f.advanceRollout(now, key, r, out)
}

// advanceRollouts ends old versions whose time is over and continues the rollouts that
// are due.
func (f *Fleet) advanceRollouts(now time.Time, out *Actions) {
	for key, r := range f.rollouts {
		for len(r.pendingEnds) > 0 && !now.Before(r.pendingEnds[0].end) {
			out.EnforcedVersions = append(out.EnforcedVersions, wardturn.AdapterVersion{
				Model:   key.Model,
				Adapter: key.Adapter,
				Version: r.pendingEnds[0].version,
			})
			r.pendingEnds = r.pendingEnds[1:]
			r.nextAt = now
		}
		if !now.Before(r.nextAt) {
			f.advanceRollout(now, key, r, out)
		}
	}
}

// advanceRollout asks engines for the newest version: those whose old version no longer
// serves at once, the others as soon as another engine has the newest.
func (f *Fleet) advanceRollout(now time.Time, key wardturn.ModelAdapter, r *rollout, out *Actions) {
	r.nextAt = now.Add(rolloutInterval)
	var serving, expired []*Member
	newestHeld := false
	for _, m := range f.holders[key] {
		switch v := m.held[key].version; {
		case v >= f.newest(key):
			newestHeld = true
		case f.VersionInUse(now.Add(versionStartMargin), key, v):
			serving = append(serving, m)
		default:
			expired = append(expired, m)
		}
	}
	f.replaceOldVersions(key, expired, out)
	switch {
	case len(serving) == 0:
		if len(expired) == 0 && len(r.pendingEnds) == 0 {
			delete(f.rollouts, key)
		}
	case newestHeld || !f.loadOnAnotherEngine(now, key, serving[0].Service, out):
		f.replaceOldVersions(key, serving, out)
	}
}

// loadOnAnotherEngine asks an engine that does not hold an adapter to load its newest
// version. It reports whether a load is under way or was asked for.
func (f *Fleet) loadOnAnotherEngine(now time.Time, key wardturn.ModelAdapter, s wardturn.ServiceName, out *Actions) bool {
	if missing := f.missing.unrestricted(key); missing != nil && !missing.firstRequestedAt.IsZero() {
		return true
	}
	for m := range f.homes(now, s, key, false) {
		if _, holds := m.held[key]; holds || m.loading() >= MaxConcurrentLoads {
			continue
		}
		missing := f.missingFor(now, key, s, restriction{})
		missing.cause = LoadVersion
		missing.preload = true
		f.requestLoad(now, missing, m, out)
		return true
	}
	return false
}

// replaceOldVersions asks the engines in this gateway's failure domain that hold an old
// version to load the newest.
func (f *Fleet) replaceOldVersions(key wardturn.ModelAdapter, old []*Member, out *Actions) {
	for _, m := range old {
		if m.Domain != f.cfg.Domain || m.Draining {
			continue
		}
		out.LoadRequests = append(out.LoadRequests, LoadRequest{
			Upstream: m.ID,
			Adapter: wardturn.AdapterVersion{
				Model:   key.Model,
				Adapter: key.Adapter,
				Version: f.newest(key),
			},
			Waiting: 1,
		})
	}
}
