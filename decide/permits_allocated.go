package decide

import (
	"time"
)

const (
	// wishEvery is the interval at which an unchanged permit request is repeated.
	wishEvery = 250 * time.Millisecond
	// wishSpacing is the least interval between permit requests that differ.
	wishSpacing = 20 * time.Millisecond
	// allocatorSilence is how long a request may stay unanswered before the agent assumes
	// that its allocator is down and falls back to AdaptivePermits.
	allocatorSilence = 1500 * time.Millisecond
	// permitLifetime is how long an unused permit stays valid.
	permitLifetime = time.Second
)

// AllocatedPermits uses the permits granted by an allocator. While the allocator does not
// respond it falls back to AdaptivePermits, so losing the allocator or disagreeing about
// which host it is only slows loads down.
type AllocatedPermits struct {
	fallback *AdaptivePermits
	wish     Wish
	wishing  bool
	changed  bool
	urgent   bool // the request is due at once: a load ended, so the store has capacity
	sentAt   time.Time
	askedAt  time.Time // of the first unanswered request; zero if there is none
	permitCount
	before  permitCount // of the previous allocator
	gotAt   time.Time
	pace    time.Duration
	backlog int
	load    float64
	heardAt time.Time
	loading int
	busy    int
}

// permitCount counts the permits of one allocator.
type permitCount struct {
	epoch uint64
	total uint64
	used  uint64
}

// NewAllocatedPermits returns permits that an allocator grants. The limit and the number of
// agents are for the fallback.
func NewAllocatedPermits(limit StoreLimit, agents int) *AllocatedPermits {
	return &AllocatedPermits{
		fallback: NewAdaptivePermits(limit, agents),
		pace:     interval(limit.Rate),
	}
}

// Take implements Permits.
func (p *AllocatedPermits) Take(now time.Time, w Wish) bool {
	p.expire(now)
	if p.total > p.used {
		p.used++
		p.loading++
		p.setWish(w, w.Want > 1)
		return true
	}
	p.setWish(w, true)
	if p.silent(now) && p.fallback.Take(now, w) {
		p.loading++
		p.setWish(w, w.Want > 1)
		return true
	}
	return false
}

func (p *AllocatedPermits) setWish(w Wish, wishing bool) {
	if wishing != p.wishing || w.Class != p.wish.Class || differs(w.Value, p.wish.Value) {
		p.changed = true
	}
	p.wish = w
	p.wishing = wishing
}

// differs reports whether two values differ enough to send a new request.
func differs(x, y float64) bool {
	const share = 0.1
	d := x - y
	if d < 0 {
		d = -d
	}
	return d > share*max(x, -x, y, -y)
}

func (p *AllocatedPermits) expire(now time.Time) {
	if p.total > p.used && now.Sub(p.gotAt) > permitLifetime {
		p.used = p.total
		p.changed = true
	}
}

func (p *AllocatedPermits) silent(now time.Time) bool {
	return !p.askedAt.IsZero() && now.Sub(p.askedAt) > allocatorSilence
}

// Withdraw implements Permits.
func (p *AllocatedPermits) Withdraw(now time.Time) {
	p.expire(now)
	if p.total > p.used {
		p.used = p.total
		p.changed = true
	}
	if p.wishing {
		p.wishing = false
		p.changed = true
	}
}

// Return implements Permits.
func (p *AllocatedPermits) Return(time.Time) {
	p.loading--
	p.fallback.loading = max(0, p.fallback.loading-1)
	p.urgent = true
}

// Finished implements Permits.
func (p *AllocatedPermits) Finished(now time.Time, result OrderResult) {
	p.loading--
	if result == OrderStoreBusy {
		p.busy++
	}
	if p.fallback.loading > 0 {
		p.fallback.Finished(now, result)
	}
	p.urgent = true
}

// Granted implements Permits.
func (p *AllocatedPermits) Granted(now time.Time, g Grant) {
	if g.Epoch != p.epoch {
		p.turnTo(g.Epoch)
	}
	p.askedAt = time.Time{}
	p.pace = g.Interval
	p.backlog = g.Backlog
	p.load = g.Load
	p.heardAt = now
	if g.Total > p.total {
		p.total = g.Total
		p.gotAt = now
	}
}

// turnTo switches to the permit count of another allocator and keeps that of the previous
// one: hosts that come and go may change the allocator and change it back, and so may a
// grant that arrives late.
func (p *AllocatedPermits) turnTo(epoch uint64) {
	next := permitCount{
		epoch: epoch,
	}
	if p.before.epoch == epoch {
		next = p.before
		next.used = next.total // permits left unused then have expired
	}
	p.before = p.permitCount
	p.permitCount = next
}

// Pending implements Permits.
func (p *AllocatedPermits) Pending(now time.Time) (Wish, bool) {
	p.expire(now)
	due := wishEvery
	switch {
	case p.urgent:
		due = 0
	case p.changed:
		due = wishSpacing
	case !p.wishing && p.loading == 0:
		return Wish{}, false
	}
	if now.Sub(p.sentAt) < due {
		return Wish{}, false
	}
	p.sentAt = now
	p.changed = false
	p.urgent = false
	if p.askedAt.IsZero() && p.wishing {
		p.askedAt = now
	}
	return p.message(), true
}

func (p *AllocatedPermits) message() Wish {
	w := p.wish
	if !p.wishing {
		w.Want = 0
	}
	w.Loading = p.loading
	w.Busy = p.busy
	w.Epoch = p.epoch
	w.Used = p.used
	return w
}

// Congestion implements Permits.
func (p *AllocatedPermits) Congestion(now time.Time, own Congestion) Congestion {
	if p.epoch == 0 {
		own.scale(p.pace)
		return own
	}
	// Part of the backlog in the latest grant has drained since.
	drained := int(now.Sub(p.heardAt) / max(p.pace, time.Millisecond))
	return Congestion{
		Interval: p.pace,
		Backlog:  max(p.backlog-drained, own.Backlog),
		Load:     p.load,
	}
}
