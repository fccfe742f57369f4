package decide

import (
	"time"
)

const (
	// wishEvery is how often an unchanged wish is repeated.
	wishEvery = 250 * time.Millisecond
	// wishSpacing bounds the rate of changed wishes.
	wishSpacing = 20 * time.Millisecond
	// allocatorSilence is the time without a grant after which an agent takes
	// its allocator to be gone and finds its own share.
	allocatorSilence = 1500 * time.Millisecond
	// permitLifetime is how long an unused permit stays good.
	permitLifetime = time.Second
)

// AllocatedPermits takes its permits from the allocator. While the allocator is
// silent it falls back to AdaptivePermits: disagreement about who allocates, or
// its loss, costs speed and nothing else.
type AllocatedPermits struct {
	fallback *AdaptivePermits
	wish     Wish
	wishing  bool
	changed  bool
	urgent   bool // a place at the store became free
	sentAt   time.Time
	askedAt  time.Time // first wish without an answer; zero if answered
	permitCount
	before  permitCount // of the allocator heard of before
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

// NewAllocatedPermits returns permits that an allocator hands out.
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

// differs reports whether a value changed enough to be worth a message.
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

// turnTo counts the permits of another allocator. The count of the one before is kept:
// hosts that come and go change who allocates, and back, and a late word may do so too.
func (p *AllocatedPermits) turnTo(epoch uint64) {
	next := permitCount{
		epoch: epoch,
	}
	if p.before.epoch == epoch {
		next = p.before
		next.used = next.total // what was not used then is too old by now
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
	// What an allocator said a while ago has been worked off since.
	drained := int(now.Sub(p.heardAt) / max(p.pace, time.Millisecond))
	return Congestion{
		Interval: p.pace,
		Backlog:  max(p.backlog-drained, own.Backlog),
		Load:     p.load,
	}
}
