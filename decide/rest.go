package decide

import (
	"time"

	"wardturn"
)

const (
	// unclearBackoff is the backoff of an upstream whose requested time cannot be parsed.
	unclearBackoff = time.Second
	// maxUpstreamBackoff bounds the backoff that one answer may request.
	maxUpstreamBackoff = time.Hour
	// backoffTrialInterval is the time between two trial requests after a backoff, until
	// an answer asks for no further backoff. An upstream that is still overloaded must
	// not get all waiting requests at once.
	backoffTrialInterval = 200 * time.Millisecond
	// minBackoffJitter is the minimum jitter of the retry times given to callers after a
	// backoff, and backoffJitterPart the jitter as a fraction of the backoff.
	minBackoffJitter  = 300 * time.Millisecond
	backoffJitterPart = 0.25
	// backoffRetention is how long an ended backoff is kept in case the upstream is
	// missing from the list.
	backoffRetention = time.Minute
)

// rest is a backoff: a period during which an upstream asked this gateway to send it no
// requests. Without it, an upstream that refuses requests would have the lowest load and so
// be preferred over all others.
type rest struct {
	until   time.Time
	trialAt time.Time // time of the latest request sent
}

// inForce reports whether the backoff is in force. A nil rest is never in force.
func (r *rest) inForce(now time.Time) bool {
	return r != nil && now.Before(r.until)
}

// over reports whether the backoff allows a request to be sent to the upstream now.
func (r *rest) over(now time.Time) bool {
	return r == nil || !r.inForce(now) && now.Sub(r.trialAt) >= backoffTrialInterval
}

// remaining returns the time until the backoff allows a request.
func (r *rest) remaining(now time.Time) time.Duration {
	if r == nil {
		return 0
	}
	return max(0, latest(r.until, r.trialAt.Add(backoffTrialInterval)).Sub(now))
}

// sent records that a request is sent to the upstream.
func (r *rest) sent(now time.Time) {
	if r != nil {
		r.trialAt = now
	}
}

// Rests records that an upstream refused a request and asked for a backoff of the given
// duration, and reports whether no backoff was in force before. Of several the one that
// ends last counts. It stays in force when the list of upstreams changes and when the
// upstream restarts under the same name.
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
	r.until = latest(r.until, now.Add(min(asked, maxUpstreamBackoff)))
	if m := f.members[id]; m != nil {
		m.rest = r
	}
	return changed
}

// RestsUnclear is Rests for a duration that cannot be parsed.
func (f *Fleet) RestsUnclear(now time.Time, id wardturn.UpstreamID) (changed bool) {
	return f.Rests(now, id, unclearBackoff)
}

// Rested records that an upstream answered a request, sent at the given time, without
// asking for a backoff.
func (f *Fleet) Rested(id wardturn.UpstreamID, sent time.Time) {
	m := f.members[id]
	if m == nil || m.rest == nil || sent.Before(m.rest.until) {
		return
	}
	m.rest = nil
	delete(f.rests, id.Instance())
}

// allRest reports whether all upstreams that may serve a request are backing off, and the
// time until the first of them allows a request.
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
		if l := m.rest.remaining(now); !all || l < left {
			left, all = l, true
		}
	}
	return left, all
}

// forgetRests drops backoffs that ended more than backoffRetention ago.
func (f *Fleet) forgetRests(now time.Time) {
	for instance, r := range f.rests {
		if now.Sub(r.until) > backoffRetention {
			delete(f.rests, instance)
		}
	}
}

// spreadRest returns the retry delay for a caller after a backoff with the given time left.
// It adds jitter, since callers that all retried at the end would be refused together.
func (f *Fleet) spreadRest(left time.Duration) time.Duration {
	jitter := max(minBackoffJitter, time.Duration(backoffJitterPart*float64(left)))
	return left + time.Duration(f.cfg.Draw()*float64(jitter))
}
