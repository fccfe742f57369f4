package decide

import (
	"time"

	"wardturn"
)

const (
	// unparsedBackoff is the backoff of an upstream whose requested time cannot be parsed.
	unparsedBackoff = time.Second
	// maxUpstreamBackoff bounds the backoff that one response may request.
	maxUpstreamBackoff = time.Hour
	// backoffTrialInterval is the time between two trial requests after a backoff, until
	// a response asks for no further backoff. An upstream that is still overloaded must
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

// upstreamBackoff is a backoff: a period during which an upstream asked this gateway to
// send it no requests. Without it, an upstream that refuses requests would have the lowest
// load and so be preferred over all others.
type upstreamBackoff struct {
	until   time.Time
	trialAt time.Time // time of the latest request sent
}

// inForce reports whether the backoff is in force. A nil backoff is never in force.
func (b *upstreamBackoff) inForce(now time.Time) bool {
	return b != nil && now.Before(b.until)
}

// allows reports whether the backoff allows a request to be sent to the upstream now.
func (b *upstreamBackoff) allows(now time.Time) bool {
	return b == nil || !b.inForce(now) && now.Sub(b.trialAt) >= backoffTrialInterval
}

// remaining returns the time until the backoff allows a request.
func (b *upstreamBackoff) remaining(now time.Time) time.Duration {
	if b == nil {
		return 0
	}
	return max(0, latest(b.until, b.trialAt.Add(backoffTrialInterval)).Sub(now))
}

// sent records that a request is sent to the upstream.
func (b *upstreamBackoff) sent(now time.Time) {
	if b != nil {
		b.trialAt = now
	}
}

// BackOff records that an upstream refused a request and asked for a backoff of the given
// duration, and reports whether no backoff was in force before. Of several the one that
// ends last counts. It stays in force when the list of upstreams changes and when the
// upstream restarts under the same name.
func (f *Fleet) BackOff(now time.Time, id wardturn.UpstreamID, asked time.Duration) (changed bool) {
	if asked <= 0 {
		return false
	}
	b := f.backoffs[id.Instance()]
	if b == nil {
		b = &upstreamBackoff{}
		f.backoffs[id.Instance()] = b
	}
	changed = !b.inForce(now)
	b.until = latest(b.until, now.Add(min(asked, maxUpstreamBackoff)))
	if m := f.members[id]; m != nil {
		m.backoff = b
	}
	return changed
}

// BackOffUnparsed is BackOff for a duration that cannot be parsed.
func (f *Fleet) BackOffUnparsed(now time.Time, id wardturn.UpstreamID) (changed bool) {
	return f.BackOff(now, id, unparsedBackoff)
}

// ClearBackoff records that an upstream answered a request, sent at the given time, without
// asking for a backoff.
func (f *Fleet) ClearBackoff(id wardturn.UpstreamID, sent time.Time) {
	m := f.members[id]
	if m == nil || m.backoff == nil || sent.Before(m.backoff.until) {
		return
	}
	m.backoff = nil
	delete(f.backoffs, id.Instance())
}

// allBackingOff reports whether all upstreams that may serve a request are backing off, and
// the time until the first of them allows a request.
func (f *Fleet) allBackingOff(now time.Time, r *PendingRequest) (left time.Duration, all bool) {
	if len(f.backoffs) == 0 {
		return 0, false
	}
	for _, m := range f.services[r.Service] {
		if !m.available(now) || !f.allows(m, r.restriction()) {
			continue
		}
		if !m.backoff.inForce(now) {
			return 0, false
		}
		if l := m.backoff.remaining(now); !all || l < left {
			left, all = l, true
		}
	}
	return left, all
}

// dropEndedBackoffs drops backoffs that ended more than backoffRetention ago.
func (f *Fleet) dropEndedBackoffs(now time.Time) {
	for instance, b := range f.backoffs {
		if now.Sub(b.until) > backoffRetention {
			delete(f.backoffs, instance)
		}
	}
}

// jitteredDelay returns the retry delay for a caller after a backoff with the given time
// left. It adds jitter, since callers that all retried at the end would be refused
// together.
func (f *Fleet) jitteredDelay(left time.Duration) time.Duration {
	jitter := max(minBackoffJitter, time.Duration(backoffJitterPart*float64(left)))
	return left + time.Duration(f.cfg.Random()*float64(jitter))
}
