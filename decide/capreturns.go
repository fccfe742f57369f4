package decide

import (
	"math"
	"time"

	"wardturn"
)

const (
	// competingReturnShare is the part of what is left to a rank that callers told to retry
	// are assumed to find if fresh requests alone use it up. They then compete with fresh
	// requests, of which at least minCompetingPart must find room; else none is predicted.
	competingReturnShare = 1.0 / 8
	minCompetingPart     = 0.5
	// capReturnSpread is the window before maxCapRetryDelay over which the retries of
	// callers are spread for which no room is predicted earlier.
	capReturnSpread = 2 * time.Second
	// maxCapReturns bounds the refused contents that a gateway remembers.
	maxCapReturns = 8192
	// capReturnRetention is how long after its predicted time a refused content is kept.
	capReturnRetention = 4 * time.Second
	// capReturnScanInterval is the least interval between scans for overdue contents. A scan
	// of all contents at each refusal would hold the lock of the caps for too long.
	capReturnScanInterval = time.Second
	// goldenFraction spreads consecutive multiples of itself evenly over the unit interval.
	goldenFraction = math.Phi - 1
)

// retryDelay returns the delay after which a refused request should be retried: the
// predicted time until the bucket has room for it behind the callers told to retry before
// it, if fresh requests of the same and of more urgent ranks go on at the recent rate.
//
// This handles callers that return after a refusal while their team is still over its cap.
// A delay computed from the whole refill, which fresh requests use as well, and from the
// retries of this gateway alone is a few milliseconds: all callers return at once and are
// refused again.
func (t *teamCap) retryDelay(reachable float64, gateways, index int, units float64) time.Duration {
	refill := t.limit.Rate * reachable
	ahead := units
	for i := range t.demand.ranks[:index+1] {
		ahead += t.demand.ranks[i].reserved
	}
	wait := max(0, -t.level)/refill + ahead/t.returnRate(refill, gateways, index)
	if wait >= maxCapRetryDelay.Seconds() {
		t.cutDelays++
		_, spread := math.Modf(float64(t.cutDelays) * goldenFraction)
		return maxCapRetryDelay - time.Duration(spread*float64(capReturnSpread))
	}
	t.demand.ranks[index].reserved += units
	return time.Duration(wait * float64(time.Second))
}

// returnRate returns the rate, in units per second, at which callers told to retry find
// room at this gateway: its share of the refill less the demand of fresh requests of the
// rank at an index and of more urgent ones. It is zero if no room is predicted.
func (t *teamCap) returnRate(refill float64, gateways, index int) float64 {
	left := max(0, refill*t.demand.ownShare(gateways)-t.demand.upTo(index))
	fresh := t.demand.ranks[index].demand.rate
	if left < minCompetingPart*fresh {
		return 0
	}
	return max(left-fresh, competingReturnShare*left)
}

// releaseReserved lowers the reserved units by what returning callers have found room for
// in a time, the most urgent first.
func (t *teamCap) releaseReserved(reachable float64, gateways int, seconds float64) {
	released := 0.0
	for i := range t.demand.ranks {
		r := &t.demand.ranks[i]
		if r.reserved == 0 {
			continue
		}
		room := t.returnRate(t.limit.Rate*reachable, gateways, i)*seconds - released
		units := min(r.reserved, max(0, room))
		r.reserved -= units
		released += units
	}
}

// CapReturns remembers when callers refused at this gateway were told to retry, by the
// content of their requests, so that the error of the prediction can be measured.
type CapReturns struct {
	times     map[wardturn.ContentID]time.Time
	scannedAt time.Time
}

// NewCapReturns returns an empty CapReturns.
func NewCapReturns() *CapReturns {
	return &CapReturns{
		times: make(map[wardturn.ContentID]time.Time),
	}
}

// Refused records that a request was refused and its caller told to retry after a delay.
func (c *CapReturns) Refused(now time.Time, content wardturn.ContentID, retryAfter time.Duration) {
	if len(c.times) >= maxCapReturns && now.Sub(c.scannedAt) >= capReturnScanInterval {
		c.forget(now)
	}
	if len(c.times) < maxCapReturns {
		c.times[content] = now.Add(retryAfter)
	}
}

// Returned returns when the caller of a request with this content was told to retry, and
// forgets it. It returns false if no such request is remembered.
func (c *CapReturns) Returned(content wardturn.ContentID) (at time.Time, ok bool) {
	at, ok = c.times[content]
	if ok {
		delete(c.times, content)
	}
	return at, ok
}

// forget drops the contents whose retry is overdue.
func (c *CapReturns) forget(now time.Time) {
	c.scannedAt = now
	for content, at := range c.times {
		if now.Sub(at) > capReturnRetention {
			delete(c.times, content)
		}
	}
}
