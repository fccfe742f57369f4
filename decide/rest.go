package decide

import (
	"time"

	"wardturn"
)

const (
	// restUnclear is how long an upstream rests that asked for a time which can't be read.
	restUnclear = time.Second
	// maxRest bounds the time that one answer may ask for.
	maxRest = time.Hour
	// restTrial is the time between two requests after a rest, until one is answered
	// otherwise: an upstream that is still in need must not get all that waited at once.
	restTrial = 200 * time.Millisecond
	// restSpread is by how much the times at which callers are told to come back after a
	// rest differ at least, and restSpreadPart the same as a part of the rest.
	restSpread     = 300 * time.Millisecond
	restSpreadPart = 0.25
	// restMemory is how long a rest that is over is remembered while the list lacks its
	// upstream.
	restMemory = time.Minute
)

// rest is the time in which an upstream wants no requests of this gateway. The load that it
// answers is that of upstreams which turn requests away: they have nothing to do, and would
// be chosen before all others.
type rest struct {
	until   time.Time
	trialAt time.Time // of the latest request after it
}

// inForce reports whether an upstream is at rest. With nil it asked for none.
func (r *rest) inForce(now time.Time) bool {
	return r != nil && now.Before(r.until)
}

// over reports whether an upstream may be sent a request, as far as its rest goes.
func (r *rest) over(now time.Time) bool {
	return r == nil || !r.inForce(now) && now.Sub(r.trialAt) >= restTrial
}

// left returns how long an upstream is to get no request.
func (r *rest) left(now time.Time) time.Duration {
	if r == nil {
		return 0
	}
	return max(0, latest(r.until, r.trialAt.Add(restTrial)).Sub(now))
}

// sent records that a request goes to the upstream.
func (r *rest) sent(now time.Time) {
	if r != nil {
		r.trialAt = now
	}
}

// Rests records that an upstream turned a request away and asked for so long a rest. Of
// several the one that ends last counts. It goes on through the list's changes, and if the
// upstream starts again under its name. It reports whether the upstream was not at rest.
func (f *Fleet) Rests(now time.Time, id wardturn.UpstreamID, asked time.Duration) (changed bool) {
	if asked <= 0 {
		return false
	}
	r := f.rests[id.Instance()]
	if r == nil {
		r = &rest{}
		f.rests[id.Instance()] = r
	}
	changed = !r.inForce(now)
	r.until = latest(r.until, now.Add(min(asked, maxRest)))
	if m := f.members[id]; m != nil {
		m.rest = r
	}
	return changed
}

// RestsUnclear is Rests for a time that can't be read.
func (f *Fleet) RestsUnclear(now time.Time, id wardturn.UpstreamID) (changed bool) {
	return f.Rests(now, id, restUnclear)
}

// Rested records that an upstream answered a request, sent at a time, without asking for a
// rest.
func (f *Fleet) Rested(id wardturn.UpstreamID, sent time.Time) {
	m := f.members[id]
	if m == nil || m.rest == nil || sent.Before(m.rest.until) {
		return
	}
	m.rest = nil
	delete(f.rests, id.Instance())
}

// allRest reports whether all upstreams that may get a request are at rest, and when the
// first will not be.
func (f *Fleet) allRest(now time.Time, t *Ticket) (left time.Duration, all bool) {
	if len(f.rests) == 0 {
		return 0, false
	}
	for _, m := range f.services[t.Service] {
		if !m.available(now) || !f.inRegions(m, t.Regions) {
			continue
		}
		if !m.rest.inForce(now) {
			return 0, false
		}
		if l := m.rest.left(now); !all || l < left {
			left, all = l, true
		}
	}
	return left, all
}

// forgetRests drops rests that were over long ago.
func (f *Fleet) forgetRests(now time.Time) {
	for instance, r := range f.rests {
		if now.Sub(r.until) > restMemory {
			delete(f.rests, instance)
		}
	}
}

// spreadRest returns when a caller is told to come back after a rest that has so long
// left. Callers that all came at its end would be turned away together.
func (f *Fleet) spreadRest(left time.Duration) time.Duration {
	over := max(restSpread, time.Duration(restSpreadPart*float64(left)))
	return left + time.Duration(f.cfg.Draw()*float64(over))
}
