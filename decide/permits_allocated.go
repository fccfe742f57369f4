package decide

import (
	"time"
)

const (
	// permitRequestInterval is the interval at which an unchanged permit request is
	// repeated.
	permitRequestInterval = 250 * time.Millisecond
	// permitRequestSpacing is the least interval between permit requests that differ.
	permitRequestSpacing = 20 * time.Millisecond
	// allocatorTimeout is how long a request may stay unanswered before the agent assumes
	// that its allocator is down and falls back to AdaptivePermits.
	allocatorTimeout = 1500 * time.Millisecond
	// permitLifetime is how long an unused permit stays valid.
	permitLifetime = time.Second
)

// AllocatedPermits uses the permits granted by an allocator. While the allocator does not
// respond it falls back to AdaptivePermits, so losing the allocator or disagreeing about
// which host it is only slows loads down.
type AllocatedPermits struct {
	fallback        *AdaptivePermits
	request         PermitRequest
	requesting      bool
	changed         bool
	urgent          bool // the request is due at once: a load ended, so the store has capacity
	sentAt          time.Time
	unansweredSince time.Time // of the first unanswered request; zero if there is none
	permitCount
	previous    permitCount // of the previous allocator
	grantedAt   time.Time
	interval    time.Duration
	backlog     int
	offeredLoad float64
	lastGrantAt time.Time
	loading     int
	storeBusy   int
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
		interval: interval(limit.Rate),
	}
}

// Take implements Permits.
func (p *AllocatedPermits) Take(now time.Time, r PermitRequest) bool {
	p.expire(now)
	if p.total > p.used {
		p.used++
		p.loading++
		p.setRequest(r, r.Pending > 1)
		return true
	}
	p.setRequest(r, true)
	if p.allocatorDown(now) && p.fallback.Take(now, r) {
		p.loading++
		p.setRequest(r, r.Pending > 1)
		return true
	}
	return false
}

func (p *AllocatedPermits) setRequest(r PermitRequest, requesting bool) {
	if requesting != p.requesting || r.Class != p.request.Class || differs(r.Value, p.request.Value) {
		p.changed = true
	}
	p.request = r
	p.requesting = requesting
}

// differs reports whether two values differ enough to send a new request.
func differs(x, y float64) bool {
	const minChange = 0.1
	d := x - y
	if d < 0 {
		d = -d
	}
	return d > minChange*max(x, -x, y, -y)
}

func (p *AllocatedPermits) expire(now time.Time) {
	if p.total > p.used && now.Sub(p.grantedAt) > permitLifetime {
		p.used = p.total
		p.changed = true
	}
}

func (p *AllocatedPermits) allocatorDown(now time.Time) bool {
	return !p.unansweredSince.IsZero() && now.Sub(p.unansweredSince) > allocatorTimeout
}

// Withdraw implements Permits.
func (p *AllocatedPermits) Withdraw(now time.Time) {
	p.expire(now)
	if p.total > p.used {
		p.used = p.total
		p.changed = true
	}
	if p.requesting {
		p.requesting = false
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
		p.storeBusy++
	}
	if p.fallback.loading > 0 {
		p.fallback.Finished(now, result)
	}
	p.urgent = true
}

// Granted implements Permits.
func (p *AllocatedPermits) Granted(now time.Time, g Grant) {
	if g.Epoch != p.epoch {
		p.switchAllocator(g.Epoch)
	}
	p.unansweredSince = time.Time{}
	p.interval = g.Interval
	p.backlog = g.Backlog
	p.offeredLoad = g.Load
	p.lastGrantAt = now
	if g.Total > p.total {
		p.total = g.Total
		p.grantedAt = now
	}
}

// switchAllocator switches to the permit count of another allocator and keeps that of the
// previous one: hosts that come and go may change the allocator and change it back, and
// so may a grant that arrives late.
func (p *AllocatedPermits) switchAllocator(epoch uint64) {
	next := permitCount{
		epoch: epoch,
	}
	if p.previous.epoch == epoch {
		next = p.previous
		next.used = next.total // permits left unused then have expired
	}
	p.previous = p.permitCount
	p.permitCount = next
}

// Pending implements Permits.
func (p *AllocatedPermits) Pending(now time.Time) (PermitRequest, bool) {
	p.expire(now)
	due := permitRequestInterval
	switch {
	case p.urgent:
		due = 0
	case p.changed:
		due = permitRequestSpacing
	case !p.requesting && p.loading == 0:
		return PermitRequest{}, false
	}
	if now.Sub(p.sentAt) < due {
		return PermitRequest{}, false
	}
	p.sentAt = now
	p.changed = false
	p.urgent = false
	if p.unansweredSince.IsZero() && p.requesting {
		p.unansweredSince = now
	}
	return p.currentRequest(), true
}

func (p *AllocatedPermits) currentRequest() PermitRequest {
	r := p.request
	if !p.requesting {
		r.Pending = 0
	}
	r.Loading = p.loading
	r.Busy = p.storeBusy
	r.Epoch = p.epoch
	r.Used = p.used
	return r
}

// Congestion implements Permits.
func (p *AllocatedPermits) Congestion(now time.Time, own Congestion) Congestion {
	if p.epoch == 0 {
		own.scale(p.interval)
		return own
	}
	// Part of the backlog in the latest grant has drained since.
	drained := int(now.Sub(p.lastGrantAt) / max(p.interval, time.Millisecond))
	return Congestion{
		Interval: p.interval,
		Backlog:  max(p.backlog-drained, own.Backlog),
		Load:     p.offeredLoad,
	}
}
