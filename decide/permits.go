package decide

import (
	"time"

	"wardturn"
)

// Wish is an agent's view of the loads that it would start if the weight store
// had room. It is state, not an event: each wish replaces the one before, so a
// lost or late one costs only time.
type Wish struct {
	Upstream wardturn.UpstreamID `msgpack:"u"`
	Class    wardturn.Class      `msgpack:"c"`
	Value    float64             `msgpack:"v"` // of the best load
	Want     int                 `msgpack:"w"` // loads that wait
	Loading  int                 `msgpack:"l"` // loads that run
	Busy     int                 `msgpack:"b"` // refusals of the store since the start
	Misses   uint64              `msgpack:"m"` // wants that arose since the start, refused ones included
	Epoch    uint64              `msgpack:"e"` // allocator whose permits are counted
	Used     uint64              `msgpack:"s"` // permits used or given back, in that epoch
}

// Grant is the allocator's answer: how many permits an agent has received since
// the allocator's start. It is repeated while the agent wishes, which also
// shows that the allocator is there.
type Grant struct {
	Upstream wardturn.UpstreamID `msgpack:"u"`
	Epoch    uint64              `msgpack:"e"`
	Total    uint64              `msgpack:"t"`
	Interval time.Duration       `msgpack:"i"` // present time between two loads
	Backlog  int                 `msgpack:"b"` // loads that wait at all agents
	Load     float64             `msgpack:"l"` // wants that arise during one interval
}

// Congestion is the state of the way to the store, as far as an agent knows it.
type Congestion struct {
	Interval time.Duration // between two loads
	Backlog  int           // loads that wait for the same store
	Load     float64       // wants that arise during one interval
}

// Permits decides when an agent may use the shared weight store.
type Permits interface {
	// Take asks for a load now. When it returns false the wish is remembered.
	Take(now time.Time, w Wish) bool
	// Withdraw forgets the wish.
	Withdraw(now time.Time)
	// Return gives back a permit that was taken and not used.
	Return(now time.Time)
	// Finished reports how a load ended for which a permit was taken.
	Finished(now time.Time, result OrderResult)
	// Granted takes an allocator's answer.
	Granted(now time.Time, g Grant)
	// Pending returns the wish to send to the allocator, if one is due.
	Pending(now time.Time) (Wish, bool)
	// Congestion returns what is known of the store. Own is the agent's own
	// share of it, for permits that know no other.
	Congestion(now time.Time, own Congestion) Congestion
}

// scale sets the interval; until then Load counts wants a second.
func (c *Congestion) scale(interval time.Duration) {
	c.Interval = interval
	c.Load *= interval.Seconds()
}

// StoreLimit is what the weight store allows all agents together.
type StoreLimit struct {
	Rate     float64 // loads a second
	Parallel int     // loads at full speed
}

func interval(rate float64) time.Duration {
	if rate <= 0 {
		return time.Hour
	}
	return time.Duration(float64(time.Second) / rate)
}

// bucket is a token bucket in virtual time.
type bucket struct {
	rate   float64 // tokens a second
	burst  float64
	tokens float64
	at     time.Time
}

func (b *bucket) fill(now time.Time) {
	if b.at.IsZero() {
		b.at = now
		b.tokens = b.burst
		return
	}
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
}

func (b *bucket) take(now time.Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// StaticPermits gives each agent a fixed share of the store's rate.
type StaticPermits struct {
	bucket   bucket
	parallel int
	loading  int
}

// NewStaticPermits divides a limit evenly between a number of agents.
func NewStaticPermits(limit StoreLimit, agents int) *StaticPermits {
	n := max(agents, 1)
	return &StaticPermits{
		bucket: bucket{
			rate:  limit.Rate / float64(n),
			burst: 1,
		},
		parallel: max(limit.Parallel/n, 1),
	}
}

// Take implements Permits.
func (p *StaticPermits) Take(now time.Time, _ Wish) bool {
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
func (p *StaticPermits) Pending(time.Time) (Wish, bool) {
	return Wish{}, false
}

// Congestion implements Permits.
func (p *StaticPermits) Congestion(_ time.Time, own Congestion) Congestion {
	own.scale(interval(p.bucket.rate))
	return own
}

const (
	adaptiveIncrease = 0.05 // loads a second, added for each finished load
	adaptiveDecrease = 0.5  // factor on a refusal
	adaptiveFloor    = 0.05 // loads a second
)

// AdaptivePermits finds an agent's share by additive increase while loads
// succeed and multiplicative decrease when the store refuses.
type AdaptivePermits struct {
	bucket  bucket
	limit   StoreLimit
	loading int
}

// NewAdaptivePermits starts at an even share of the limit.
func NewAdaptivePermits(limit StoreLimit, agents int) *AdaptivePermits {
	return &AdaptivePermits{
		bucket: bucket{
			rate:  limit.Rate / float64(max(agents, 1)),
			burst: 1,
		},
		limit: limit,
	}
}

// Take implements Permits.
func (p *AdaptivePermits) Take(now time.Time, _ Wish) bool {
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
func (p *AdaptivePermits) Pending(time.Time) (Wish, bool) {
	return Wish{}, false
}

// Congestion implements Permits.
func (p *AdaptivePermits) Congestion(_ time.Time, own Congestion) Congestion {
	own.scale(interval(p.bucket.rate))
	return own
}
