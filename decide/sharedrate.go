package decide

import "time"

// sharedRate is this gateway's token bucket for a request rate that all gateways share.
// Each gateway uses a fixed share of the rate, computed from the number of gateways alone.
type sharedRate struct {
	rate     float64 // requests a second, over all gateways; zero: unlimited
	share    float64 // fraction of the rate for this gateway
	level    float64 // tokens: requests that may be sent now
	reserved float64 // requests reserved for callers told to retry later
	at       time.Time
	burst    float64 // bucket size in seconds of the share; at least one request
}

// refill adds the tokens that accrued since the last call.
func (r *sharedRate) refill(now time.Time) {
	more := r.rate * r.share * max(0, now.Sub(r.at).Seconds())
	r.at = now
	r.level = min(r.level+more, max(1, r.burst*r.rate*r.share))
	r.reserved = max(0, r.reserved-more)
}

// allows reports whether a request may be sent now.
func (r *sharedRate) allows(now time.Time) bool {
	r.refill(now)
	return r.level >= 1
}

// spend takes a token for a request that is sent.
func (r *sharedRate) spend(now time.Time) {
	r.refill(now)
	r.level = max(0, r.level-1)
}

// retryDelay returns the delay after which a refused caller's retry may be sent, behind the
// retries already reserved. It returns false if this gateway has no share of the rate.
func (r *sharedRate) retryDelay(now time.Time) (time.Duration, bool) {
	r.refill(now)
	if r.share == 0 {
		return 0, false
	}
	wait := max(0, r.reserved+1-r.level) / (r.rate * r.share)
	return time.Duration(wait * float64(time.Second)), true
}

// setShare sets this gateway's share of the rate.
func (r *sharedRate) setShare(now time.Time, share float64) {
	r.refill(now)
	r.share = share
	if share == 0 {
		r.level = 0
	}
}
