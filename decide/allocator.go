package decide

import (
	"time"

	"wardturn"
)

const (
	// permitRequestLifetime is the lifetime of a permit request that is not repeated.
	permitRequestLifetime = 2 * time.Second
	// loadingLifetime is how long the loads and permits of an agent that stopped sending
	// requests still count against the store's parallel limit.
	loadingLifetime = 5 * time.Second
	// allocatorDecrease and allocatorIncrease are the factors that adapt the rate when the
	// store refuses loads within its limit, because another allocator is active or the
	// store's capacity is below its configured limit. The rate stays above allocatorFloor
	// times the limit.
	allocatorDecrease = 0.7
	allocatorIncrease = 0.02
	allocatorFloor    = 0.1
	// batchReservedLoads is how many of the store's parallel loads batch work leaves free.
	batchReservedLoads = 2
)

// Allocator shares the rate and the parallel loads of one weight store between the agents
// that use it. It gives each permit to the most valuable request.
//
// Agents find their allocator by rendezvous hashing over the live hosts. Agents with
// different views of the hosts may use two allocators for a while. Then the store refuses
// more loads and both allocators lower their rate; there is no other effect.
type Allocator struct {
	limit  StoreLimit
	epoch  uint64
	bucket tokenBucket
	agents []*agentPermits // in order of upstream
	byID   map[wardturn.UpstreamID]*agentPermits
	misses meter
}

type agentPermits struct {
	request     PermitRequest
	total       uint64 // permits granted in this epoch
	used        uint64
	busy        int
	misses      uint64
	requestedAt time.Time
}

// outstanding counts an agent's loads in progress and unused permits.
func (a *agentPermits) outstanding() int {
	return a.request.Loading + int(a.total-a.used)
}

// NewAllocator returns an allocator for one store. The epoch must differ from that of any
// earlier allocator that the agents may know.
func NewAllocator(limit StoreLimit, epoch uint64) *Allocator {
	return &Allocator{
		limit: limit,
		epoch: epoch,
		bucket: tokenBucket{
			rate:  limit.Rate,
			burst: max(2, float64(limit.Parallel)),
		},
		byID: make(map[wardturn.UpstreamID]*agentPermits),
	}
}

// Request applies an agent's permit request and appends the grants to send to out. They
// always include one for the agent itself.
func (l *Allocator) Request(now time.Time, r PermitRequest, out []Grant) []Grant {
	a := l.agent(r.Upstream)
	if r.Busy > a.busy && !a.requestedAt.IsZero() {
		l.bucket.rate = max(l.limit.Rate*allocatorFloor, l.bucket.rate*allocatorDecrease)
	}
	a.busy = r.Busy
	if r.Misses > a.misses {
		if !a.requestedAt.IsZero() {
			l.misses.add(now, float64(r.Misses-a.misses))
		}
		a.misses = r.Misses
	}
	a.request = r
	a.requestedAt = now
	if r.Epoch == l.epoch {
		// An agent that was forgotten after a long silence starts again at the number
		// it has used. From zero, it would take new permits for old ones.
		a.total = max(a.total, r.Used)
		a.used = max(a.used, r.Used)
	}
	out = l.Tick(now, out)
	for _, g := range out {
		if g.Upstream == r.Upstream {
			return out
		}
	}
	return append(out, l.grant(now, a))
}

func (l *Allocator) agent(id wardturn.UpstreamID) *agentPermits {
	if a := l.byID[id]; a != nil {
		return a
	}
	a := &agentPermits{}
	l.byID[id] = a
	at := len(l.agents)
	for at > 0 && l.agents[at-1].request.Upstream > id {
		at--
	}
	a.request.Upstream = id
	l.agents = append(l.agents, nil)
	copy(l.agents[at+1:], l.agents[at:])
	l.agents[at] = a
	return a
}

// Tick grants the permits that have become available and appends the grants to out.
func (l *Allocator) Tick(now time.Time, out []Grant) []Grant {
	l.expire(now)
	for l.loading() < l.limit.Parallel {
		a := l.best()
		if a == nil || !l.hasCapacity(now, a) || !l.bucket.take(now) {
			break
		}
		l.bucket.rate = min(l.limit.Rate, l.bucket.rate*(1+allocatorIncrease))
		a.total++
		out = append(out, l.grant(now, a))
	}
	return out
}

// Next returns the time until the next permit becomes available, or false if no agent waits
// or if only a change at an agent can make one available.
func (l *Allocator) Next(now time.Time) (time.Duration, bool) {
	a := l.best()
	if a == nil || l.loading() >= l.limit.Parallel {
		return 0, false
	}
	need := 1.0
	if a.request.Class == wardturn.Batch {
		need = l.bucket.burst
	}
	l.bucket.fill(now)
	missing := max(0, need-l.bucket.tokens)
	if missing == 0 && !l.hasCapacity(now, a) {
		return 0, false // capacity becomes free only with an agent's next request
	}
	return time.Duration(missing / l.bucket.rate * float64(time.Second)), true
}

// hasCapacity reports whether the store has capacity for a request. Batch work leaves
// permits and parallel loads free for interactive work that may arrive.
func (l *Allocator) hasCapacity(now time.Time, a *agentPermits) bool {
	if a.request.Class == wardturn.Interactive {
		return true
	}
	l.bucket.fill(now)
	return l.bucket.tokens >= l.bucket.burst && l.loading() < max(1, l.limit.Parallel-batchReservedLoads)
}

func (l *Allocator) expire(now time.Time) {
	kept := l.agents[:0]
	for _, a := range l.agents {
		silent := now.Sub(a.requestedAt)
		if silent > loadingLifetime {
			delete(l.byID, a.request.Upstream)
			continue
		}
		if silent > permitRequestLifetime {
			a.request.Pending = 0
		}
		kept = append(kept, a)
	}
	clear(l.agents[len(kept):])
	l.agents = kept
}

func (l *Allocator) loading() int {
	n := 0
	for _, a := range l.agents {
		n += a.outstanding()
	}
	return n
}

// best returns the agent with the most valuable request among those without an unused
// permit, or nil.
func (l *Allocator) best() *agentPermits {
	var best *agentPermits
	for _, a := range l.agents {
		if a.request.Pending == 0 || a.total > a.used {
			continue
		}
		if best == nil || moreValuable(a.request, best.request) {
			best = a
		}
	}
	return best
}

func moreValuable(x, y PermitRequest) bool {
	if x.Class != y.Class {
		return x.Class == wardturn.Interactive
	}
	return x.Value > y.Value
}

func (l *Allocator) grant(now time.Time, a *agentPermits) Grant {
	pace := interval(l.bucket.rate)
	backlog := 0
	for _, other := range l.agents {
		if other.request.Class == wardturn.Interactive {
			backlog += other.request.Pending
		}
	}
	return Grant{
		Upstream: a.request.Upstream,
		Epoch:    l.epoch,
		Total:    a.total,
		Interval: pace,
		Backlog:  backlog,
		Load:     l.misses.rate(now) * pace.Seconds(),
	}
}

// AllocatorOf returns the host whose agent runs the allocator for the store of a model in a
// region: the first by rendezvous hashing over the live hosts.
func AllocatorOf(hosts []wardturn.Host, model wardturn.BaseModel, region wardturn.Region) (wardturn.Host, bool) {
	var live []wardturn.Host
	for _, h := range hosts {
		if h.Model == model && h.Region == region && h.State == wardturn.HostLive {
			live = append(live, h)
		}
	}
	key := "allocator/" + string(model) + "/" + string(region)
	return First(key, live, func(h wardturn.Host) string {
		return string(h.Upstream)
	})
}
