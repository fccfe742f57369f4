package decide

import "time"

// sharedRate is a rate of requests that all gateways keep together. Each spends a fixed
// share of it, which the gateways work out by their number alone.
type sharedRate struct {
	rate  float64 // requests a second, of all gateways; zero: there is no bound
	share float64 // of the rate, for this gateway
	level float64 // requests that may be sent now
	owed  float64 // callers that were told to come back and are not due yet
	at    time.Time
	burst float64 // requests that may be sent at once, in seconds of the share; at least one request
}

// fill lets time pass.
func (r *sharedRate) fill(now time.Time) {
	more := r.rate * r.share * max(0, now.Sub(r.at).Seconds())
	r.at = now
	r.level = min(r.level+more, max(1, r.burst*r.rate*r.share))
	r.owed = max(0, r.owed-more)
}

// allows reports whether a request may be sent now.
func (r *sharedRate) allows(now time.Time) bool {
	r.fill(now)
	return r.level >= 1
}

// spend records that a request is sent.
func (r *sharedRate) spend(now time.Time) {
	r.fill(now)
	r.level = max(0, r.level-1)
}

// roomIn returns when the request of a caller that comes back then may be sent, after those
// that were told before; false: not as far as is known.
func (r *sharedRate) roomIn(now time.Time) (time.Duration, bool) {
	r.fill(now)
	if r.share == 0 {
		return 0, false
	}
	wait := max(0, r.owed+1-r.level) / (r.rate * r.share)
	return time.Duration(wait * float64(time.Second)), true
}

// setShare sets this gateway's share of the rate.
func (r *sharedRate) setShare(now time.Time, share float64) {
	r.fill(now)
	r.share = share
	if share == 0 {
		r.level = 0
	}
}
