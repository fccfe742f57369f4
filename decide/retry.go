package decide

import "time"

// RetryBudget bounds retries to a share of recent requests, so that retries do
// not multiply an overload. The zero value allows none; use NewRetryBudget.
type RetryBudget struct {
	share  float64
	tokens float64
	burst  float64
	at     time.Time
	floor  float64 // retries a second that are always allowed
}

// NewRetryBudget allows retries for a share of the requests, and a few a second
// when there is little traffic.
func NewRetryBudget(share, floor, burst float64) *RetryBudget {
	return &RetryBudget{
		share:  share,
		tokens: burst,
		burst:  burst,
		floor:  floor,
	}
}

// Resize sets the share of requests and what is allowed beyond it.
func (b *RetryBudget) Resize(share, floor, burst float64) {
	b.share = share
	b.floor = floor
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

// Request records a first try.
func (b *RetryBudget) Request(now time.Time) {
	b.fill(now)
	b.tokens = min(b.burst, b.tokens+b.share)
}

// Retry reports whether a retry is within the budget, and takes it.
func (b *RetryBudget) Retry(now time.Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *RetryBudget) fill(now time.Time) {
	if !b.at.IsZero() {
		b.tokens = min(b.burst, b.tokens+b.floor*now.Sub(b.at).Seconds())
	}
	b.at = now
}
