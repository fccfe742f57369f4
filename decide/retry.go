package decide

import "time"

// RetryBudget bounds retries to a fraction of recent requests, so that they do not amplify
// an overload. The zero value allows no retries; use NewRetryBudget.
type RetryBudget struct {
	share   float64
	tokens  float64
	burst   float64
	at      time.Time
	minRate float64 // retries a second allowed regardless of requests
}

// NewRetryBudget returns a budget that allows retries for a share of the requests, plus
// minRate retries a second regardless of traffic, in bursts of at most burst.
func NewRetryBudget(share, minRate, burst float64) *RetryBudget {
	return &RetryBudget{
		share:   share,
		tokens:  burst,
		burst:   burst,
		minRate: minRate,
	}
}

// Resize changes the parameters of the budget; see NewRetryBudget.
func (b *RetryBudget) Resize(share, minRate, burst float64) {
	b.share = share
	b.minRate = minRate
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

// Request records the first attempt of a request.
func (b *RetryBudget) Request(now time.Time) {
	b.refill(now)
	b.tokens = min(b.burst, b.tokens+b.share)
}

// Retry reports whether the budget allows a retry, and charges it if so.
func (b *RetryBudget) Retry(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *RetryBudget) refill(now time.Time) {
	if !b.at.IsZero() {
		b.tokens = min(b.burst, b.tokens+b.minRate*now.Sub(b.at).Seconds())
	}
	b.at = now
}
