package decide

import (
	"slices"
	"time"

	"wardturn"
)

// refusedByLimits reports whether every upstream that could serve a request is excluded
// only by its rate limit or its backoff, and when the caller should retry. Such a request
// is refused at once, since waiting in the gateway would gain it nothing.
func (f *Fleet) refusedByLimits(now time.Time, r *PendingRequest) (reason wardturn.Reason, retryAfter time.Duration, refused bool) {
	var soonest *Member
	for _, m := range f.services[r.Service] {
		if !m.available(now) || !f.allows(m, r.restriction()) {
			continue
		}
		backingOff := !m.backoff.allows(now)
		if slices.Contains(r.Tried, m.ID) && !backingOff {
			continue
		}
		if !backingOff && f.limits.Allows(now, m.ID) {
			return "", 0, false
		}
		delay, known := f.retryDelay(now, m)
		if known && (soonest == nil || delay < retryAfter) {
			soonest, retryAfter = m, delay
		}
		refused = true
	}
	if !refused {
		return "", 0, false
	}
	if soonest == nil {
		return wardturn.ReasonLimited, maxLoadRetryDelay, true
	}
	f.limits.ReserveRetry(now, soonest.ID)
	if left := soonest.backoff.remaining(now); left > 0 {
		return wardturn.ReasonBackoff, f.jitteredDelay(max(retryAfter, left)), true
	}
	return wardturn.ReasonLimited, min(max(retryAfter, minRetryDelay), maxLoadRetryDelay), true
}

// retryDelay returns the delay after which a refused caller's retry may be sent to an
// upstream. It returns false if the delay is unknown.
func (f *Fleet) retryDelay(now time.Time, m *Member) (time.Duration, bool) {
	delay, known := f.limits.RetryDelay(now, m.ID)
	return max(delay, m.backoff.remaining(now)), known
}
