package decide

import (
	"time"

	"wardturn"
)

const (
	// wishLifetime is the lifetime of a permit request that is not repeated.
	wishLifetime = 2 * time.Second
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
	// batchPlaces is how many of the store's parallel loads batch work leaves free.
	batchPlaces = 2
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
	bucket bucket
	asks   []*ask // in order of upstream
	byID   map[wardturn.UpstreamID]*ask
	misses meter
}

type ask struct {
	wish  Wish
	total uint64 // permits granted in this epoch
	used  uint64
	busy  int
	miss  uint64
	at    time.Time
}

// outstanding counts an agent's loads in progress and unused permits.
func (k *ask) outstanding() int {
	return k.wish.Loading + int(k.total-k.used)
}

// NewAllocator returns an allocator for one store. The epoch must differ from that of any
// earlier allocator that the agents may know.
func NewAllocator(limit StoreLimit, epoch uint64) *Allocator {
	return &Allocator{
		limit: limit,
		epoch: epoch,
		bucket: bucket{
			rate:  limit.Rate,
			burst: max(2, float64(limit.Parallel)),
		},
		byID: make(map[wardturn.UpstreamID]*ask),
	}
}

// Wish applies an agent's permit request and appends the grants to send to out. They always
// include one for the agent itself.
func (l *Allocator) Wish(now time.Time, w Wish, out []Grant) []Grant {
	k := l.ask(w.Upstream)
	if w.Busy > k.busy && !k.at.IsZero() {
		l.bucket.rate = max(l.limit.Rate*allocatorFloor, l.bucket.rate*allocatorDecrease)
	}
	k.busy = w.Busy
	if w.Misses > k.miss {
		if !k.at.IsZero() {
			l.misses.add(now, float64(w.Misses-k.miss))
		}
		k.miss = w.Misses
	}
	k.wish = w
	k.at = now
	if w.Epoch == l.epoch {
		// An agent that was forgotten after a long silence starts again at the number
		// it has used. From zero, it would take new permits for old ones.
		k.total = max(k.total, w.Used)
		k.used = max(k.used, w.Used)
	}
	out = l.Tick(now, out)
	for _, g := range out {
		if g.Upstream == w.Upstream {
			return out
		}
	}
	return append(out, l.grant(now, k))
}

func (l *Allocator) ask(id wardturn.UpstreamID) *ask {
	if k := l.byID[id]; k != nil {
		return k
	}
	k := &ask{}
	l.byID[id] = k
	at := len(l.asks)
	for at > 0 && l.asks[at-1].wish.Upstream > id {
		at--
	}
	k.wish.Upstream = id
	l.asks = append(l.asks, nil)
	copy(l.asks[at+1:], l.asks[at:])
	l.asks[at] = k
	return k
}

// Tick grants the permits that have become available and appends the grants to out.
func (l *Allocator) Tick(now time.Time, out []Grant) []Grant {
	l.forget(now)
	for l.loading() < l.limit.Parallel {
		k := l.best()
		if k == nil || !l.affords(now, k) || !l.bucket.take(now) {
			break
		}
		l.bucket.rate = min(l.limit.Rate, l.bucket.rate*(1+allocatorIncrease))
		k.total++
		out = append(out, l.grant(now, k))
	}
	return out
}

// Next returns the time until the next permit becomes available, or false if no agent waits
// or if only a change at an agent can make one available.
func (l *Allocator) Next(now time.Time) (time.Duration, bool) {
	k := l.best()
	if k == nil || l.loading() >= l.limit.Parallel {
		return 0, false
	}
	need := 1.0
	if k.wish.Class == wardturn.Batch {
		need = l.bucket.burst
	}
	l.bucket.fill(now)
	missing := max(0, need-l.bucket.tokens)
	if missing == 0 && !l.affords(now, k) {
		return 0, false // capacity becomes free only with an agent's next request
	}
	return time.Duration(missing / l.bucket.rate * float64(time.Second)), true
}

// affords reports whether the store has capacity for a request. Batch work leaves permits
// and parallel loads free for interactive work that may arrive.
func (l *Allocator) affords(now time.Time, k *ask) bool {
	if k.wish.Class == wardturn.Interactive {
		return true
	}
	l.bucket.fill(now)
	return l.bucket.tokens >= l.bucket.burst && l.loading() < max(1, l.limit.Parallel-batchPlaces)
}

func (l *Allocator) forget(now time.Time) {
	kept := l.asks[:0]
	for _, k := range l.asks {
		silent := now.Sub(k.at)
		if silent > loadingLifetime {
			delete(l.byID, k.wish.Upstream)
			continue
		}
		if silent > wishLifetime {
			k.wish.Want = 0
		}
		kept = append(kept, k)
	}
	clear(l.asks[len(kept):])
	l.asks = kept
}

func (l *Allocator) loading() int {
	n := 0
	for _, k := range l.asks {
		n += k.outstanding()
	}
	return n
}

// best returns the agent with the most valuable request among those without an unused
// permit, or nil.
func (l *Allocator) best() *ask {
	var best *ask
	for _, k := range l.asks {
		if k.wish.Want == 0 || k.total > k.used {
			continue
		}
		if best == nil || better(k.wish, best.wish) {
			best = k
		}
	}
	return best
}

func better(x, y Wish) bool {
	if x.Class != y.Class {
		return x.Class == wardturn.Interactive
	}
	return x.Value > y.Value
}

func (l *Allocator) grant(now time.Time, k *ask) Grant {
	pace := interval(l.bucket.rate)
	backlog := 0
	for _, other := range l.asks {
		if other.wish.Class == wardturn.Interactive {
			backlog += other.wish.Want
		}
	}
	return Grant{
		Upstream: k.wish.Upstream,
		Epoch:    l.epoch,
		Total:    k.total,
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
