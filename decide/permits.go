package decide

import (
	"time"

	"wardturn"
)

// PermitRequest is an agent's permit request: the loads that it would start if the weight
// store had capacity. It carries the full state, and each request replaces the previous
// one, so a lost or late one only delays a load.
type PermitRequest struct {
	Upstream wardturn.UpstreamID `msgpack:"u"`
	Class    wardturn.Class      `msgpack:"c"`
	Value    float64             `msgpack:"v"` // of the most valuable load
	Pending  int                 `msgpack:"w"` // loads waiting for a permit
	Loading  int                 `msgpack:"l"` // loads in progress
	Busy     int                 `msgpack:"b"` // loads refused by the store since the start
	// Misses counts the adapter misses since the start, including those of refused
	// requests.
	Misses uint64 `msgpack:"m"`
	Epoch  uint64 `msgpack:"e"` // of the allocator whose permits Used counts
	Used   uint64 `msgpack:"s"` // permits used or returned in that epoch
}

// Grant is the allocator's response to a permit request: the total number of permits that
// the agent has received since the allocator's start. It is repeated while the agent
// requests permits, and so also serves as a heartbeat of the allocator.
type Grant struct {
	Upstream wardturn.UpstreamID `msgpack:"u"`
	Epoch    uint64              `msgpack:"e"`
	Total    uint64              `msgpack:"t"`
	Interval time.Duration       `msgpack:"i"` // current time between two loads
	Backlog  int                 `msgpack:"b"` // loads waiting at all agents
	Load     float64             `msgpack:"l"` // offered load: adapter misses per interval
}

// Congestion is the state of the weight store as known to an agent.
type Congestion struct {
	Interval time.Duration // between two loads
	Backlog  int           // loads waiting for the same store
	Load     float64       // offered load: adapter misses per interval
}

// Permits decides when an agent may use the shared weight store.
type Permits interface {
	// Take takes a permit for a load that starts now. If it returns false, the request is
	// kept as pending.
	Take(now time.Time, r PermitRequest) bool
	// Withdraw cancels the pending request.
	Withdraw(now time.Time)
	// Return returns a permit that was taken but not used.
	Return(now time.Time)
	// Finished reports the result of a load for which a permit was taken.
	Finished(now time.Time, result OrderResult)
	// Granted applies an allocator's response.
	Granted(now time.Time, g Grant)
	// Pending returns the request to send to the allocator, if one is due.
	Pending(now time.Time) (PermitRequest, bool)
	// Congestion returns the known state of the store. Own is the agent's own
	// contribution, for implementations that know of no other agents.
	Congestion(now time.Time, own Congestion) Congestion
}

// scale sets the interval and converts Load from misses per second to misses per interval.
func (c *Congestion) scale(interval time.Duration) {
	c.Interval = interval
	c.Load *= interval.Seconds()
}

// StoreLimit is the weight store's capacity for all agents together.
type StoreLimit struct {
	Rate     float64 // loads per second
	Parallel int     // concurrent loads at full speed
}

func interval(rate float64) time.Duration {
	if rate <= 0 {
		return time.Hour
	}
	return time.Duration(float64(time.Second) / rate)
}

// tokenBucket is a token bucket in virtual time.
type tokenBucket struct {
	rate   float64 // tokens per second
	burst  float64
	tokens float64
	at     time.Time
}

func (b *tokenBucket) fill(now time.Time) {
	if b.at.IsZero() {
		b.at = now
		b.tokens = b.burst
		return
	}
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
}

func (b *tokenBucket) take(now time.Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// StaticPermits gives each agent a fixed share of the store's rate.
type StaticPermits struct {
	bucket   tokenBucket
	parallel int
	loading  int
}

// NewStaticPermits returns permits for one agent's even share of a limit.
func NewStaticPermits(limit StoreLimit, agents int) *StaticPermits {
	n := max(agents, 1)
	return &StaticPermits{
		bucket: tokenBucket{
			rate:  limit.Rate / float64(n),
			burst: 1,
		},
		parallel: max(limit.Parallel/n, 1),
	}
}

// Take implements Permits.
func (p *StaticPermits) Take(now time.Time, _ PermitRequest) bool {
	if p.loading >= p.parallel || !p.bucket.take(now) {
		return false
	}
	p.loading++
	return true
}

// Withdraw implements Permits.
func (p *StaticPermits) Withdraw(time.Time) {}

// Return implements Permits.
func (p *StaticPermits) Return(time.Time) {
	p.loading--
	p.bucket.tokens++
}

// Finished implements Permits.
func (p *StaticPermits) Finished(time.Time, OrderResult) {
	p.loading--
}

// Granted implements Permits.
func (p *StaticPermits) Granted(time.Time, Grant) {}

// Pending implements Permits.
func (p *StaticPermits) Pending(time.Time) (PermitRequest, bool) {
	return PermitRequest{}, false
}

// Congestion implements Permits.
func (p *StaticPermits) Congestion(_ time.Time, own Congestion) Congestion {
	own.scale(interval(p.bucket.rate))
	return own
}

const (
	adaptiveIncrease = 0.05 // loads per second, added for each finished load
	adaptiveDecrease = 0.5  // factor on a refusal by the store
	adaptiveFloor    = 0.05 // loads per second
)

// AdaptivePermits finds an agent's share by additive increase while loads
// succeed and multiplicative decrease when the store refuses.
type AdaptivePermits struct {
	bucket  tokenBucket
	limit   StoreLimit
	loading int
}

// NewAdaptivePermits returns permits that start at an even share of the limit.
func NewAdaptivePermits(limit StoreLimit, agents int) *AdaptivePermits {
	return &AdaptivePermits{
		bucket: tokenBucket{
			rate:  limit.Rate / float64(max(agents, 1)),
			burst: 1,
		},
		limit: limit,
	}
}

// Take implements Permits.
func (p *AdaptivePermits) Take(now time.Time, _ PermitRequest) bool {
	if p.loading >= p.limit.Parallel || !p.bucket.take(now) {
		return false
	}
	p.loading++
	return true
}

// Withdraw implements Permits.
func (p *AdaptivePermits) Withdraw(time.Time) {}

// Return implements Permits.
func (p *AdaptivePermits) Return(time.Time) {
	p.loading--
	p.bucket.tokens++
}

// Finished implements Permits.
func (p *AdaptivePermits) Finished(_ time.Time, result OrderResult) {
	p.loading--
	switch result {
	case OrderDone:
		p.bucket.rate = min(p.limit.Rate, p.bucket.rate+adaptiveIncrease)
	case OrderStoreBusy:
		p.bucket.rate = max(adaptiveFloor, p.bucket.rate*adaptiveDecrease)
	}
}

// Granted implements Permits.
func (p *AdaptivePermits) Granted(time.Time, Grant) {}

// Pending implements Permits.
func (p *AdaptivePermits) Pending(time.Time) (PermitRequest, bool) {
	return PermitRequest{}, false
}

// Congestion implements Permits.
func (p *AdaptivePermits) Congestion(_ time.Time, own Congestion) Congestion {
	own.scale(interval(p.bucket.rate))
	return own
}
