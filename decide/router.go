package decide

import (
	"math"
	"slices"
	"strings"
	"time"

	"wardturn"
)

// RouteMode selects how a Router spreads requests.
type RouteMode uint8

const (
	// RouteSticky is the mode of the product: rendezvous candidates, bounded
	// load, replicas by demand, and locations learnt from replies.
	RouteSticky RouteMode = iota
	// RouteAffinity sends each adapter to its first rendezvous candidate. It is
	// kept as a baseline.
	RouteAffinity
	// RouteLeastLoaded ignores adapters. It is kept as a baseline.
	RouteLeastLoaded
)

// The defaults of RouterConfig.
const (
	DefaultCandidates   = 1
	DefaultMaxLocations = 4096
	DefaultHintLifetime = 10 * time.Second
	DefaultLocationLife = 5 * time.Minute
	DefaultBoundFactor  = 1.5
)

// RouterConfig holds a router's limits.
type RouterConfig struct {
	Mode         RouteMode
	Region       wardturn.Region
	Domain       wardturn.FailureDomain
	Candidates   int           // rendezvous candidates of a cold adapter
	MaxLocations int           // adapters whose place is remembered
	HintLifetime time.Duration // after which a load hint no longer counts
	LocationLife time.Duration // idle time after which a place is forgotten
	BoundFactor  float64       // load over the average at which a replica is added
}

func (c RouterConfig) withDefaults() RouterConfig {
	if c.Candidates == 0 {
		c.Candidates = DefaultCandidates
	}
	if c.MaxLocations == 0 {
		c.MaxLocations = DefaultMaxLocations
	}
	if c.HintLifetime == 0 {
		c.HintLifetime = DefaultHintLifetime
	}
	if c.LocationLife == 0 {
		c.LocationLife = DefaultLocationLife
	}
	if c.BoundFactor == 0 {
		c.BoundFactor = DefaultBoundFactor
	}
	return c
}

// Hint is an agent's load as it rides on replies. It is out of date when it
// arrives and expires soon after.
type Hint struct {
	Running  int  `msgpack:"r" json:"running"`
	Queued   int  `msgpack:"q" json:"queued"`
	Capacity int  `msgpack:"c" json:"capacity"`         // requests that can run at once
	Wants    int  `msgpack:"w" json:"waiting_adapters"` // that wait for a slot
	Spare    int  `msgpack:"s" json:"spare_slots"`      // that could be reused at once
	Leaving  bool `msgpack:"l" json:"leaving"`
}

// Hint returns the agent's present load.
func (a *Agent) Hint() Hint {
	h := Hint{
		Running:  a.running,
		Queued:   a.queued,
		Capacity: a.cfg.MaxRunning,
		Wants:    len(a.wanted),
		Leaving:  a.leaving,
	}
	for i := range a.slots {
		s := &a.slots[i]
		if s.state == SlotEmpty || a.evictable(s) {
			h.Spare++
		}
	}
	return h
}

// Ask is a request as a router sees it.
type Ask struct {
	Adapter wardturn.AdapterRef
	Service wardturn.ServiceName
	Model   wardturn.BaseModel
	Tried   []wardturn.UpstreamID // not to be chosen again
}

// Router chooses upstreams for one entry host. It knows the hosts of its own
// view of the platform's list, what they hinted, and where it sent the adapters
// that it saw lately; it holds no map of everything.
type Router struct {
	cfg       RouterConfig
	pools     map[poolKey]*pool
	byID      map[wardturn.UpstreamID]*target
	locations locations
}

// poolKey names a set of interchangeable upstreams.
type poolKey struct {
	model   wardturn.BaseModel
	service wardturn.ServiceName
}

type pool struct {
	targets []*target // in order of upstream
	load    float64   // sum over the targets, kept up to date
	scratch []scored
}

type target struct {
	host     wardturn.Host
	hash     uint64
	pool     *pool
	hint     Hint
	hintAt   time.Time
	mine     int // requests of this entry under way
	mineThen int // of them, those that the hint knows
	breaker  Breaker
	removed  bool
}

type scored struct {
	t     *target
	score float64
}

// NewRouter returns a router that knows no hosts yet.
func NewRouter(cfg RouterConfig) *Router {
	cfg = cfg.withDefaults()
	return &Router{
		cfg:       cfg,
		pools:     make(map[poolKey]*pool),
		byID:      make(map[wardturn.UpstreamID]*target),
		locations: newLocations(cfg.MaxLocations),
	}
}

// SetHosts replaces the router's view of the hosts. What is known of hosts that
// stay is kept.
func (r *Router) SetHosts(hosts []wardturn.Host) {
	byID := make(map[wardturn.UpstreamID]*target, len(hosts))
	pools := make(map[poolKey]*pool)
	for _, h := range hosts {
		t := r.byID[h.Upstream]
		if t == nil || t.host.Addr != h.Addr {
			t = &target{
				hash: hashString(string(h.Upstream)),
			}
		}
		t.host = h
		byID[h.Upstream] = t
		key := poolKey{
			model:   h.Model,
			service: h.Service,
		}
		p := pools[key]
		if p == nil {
			p = &pool{}
			pools[key] = p
		}
		t.pool = p
		p.targets = append(p.targets, t)
		p.load += t.load()
	}
	for id, t := range r.byID {
		if byID[id] != t {
			t.removed = true
		}
	}
	for _, p := range pools {
		slices.SortFunc(p.targets, func(x, y *target) int {
			return strings.Compare(string(x.host.Upstream), string(y.host.Upstream))
		})
	}
	r.byID = byID
	r.pools = pools
}

// Hint takes a load hint of an upstream.
func (r *Router) Hint(now time.Time, id wardturn.UpstreamID, h Hint) {
	t := r.byID[id]
	if t == nil {
		return
	}
	t.change(func() {
		t.hint = h
		t.hintAt = now
		t.mineThen = t.mine
	})
}

// Sent records that a request went to an upstream.
func (r *Router) Sent(id wardturn.UpstreamID) {
	if t := r.byID[id]; t != nil {
		t.change(func() {
			t.mine++
		})
	}
}

// Ended records the end of a request that was sent. An upstream that is
// unreachable or loses requests is left alone for a while.
func (r *Router) Ended(now time.Time, id wardturn.UpstreamID, healthy bool) {
	t := r.byID[id]
	if t == nil {
		return
	}
	t.change(func() {
		t.mine = max(0, t.mine-1)
		t.mineThen = max(0, t.mineThen-1)
	})
	if healthy {
		t.breaker.Succeed()
		return
	}
	t.breaker.Fail(now)
}

// change keeps the pool's sum right while a target's load changes.
func (t *target) change(f func()) {
	before := t.load()
	f()
	t.pool.load += t.load() - before
}

// load estimates the requests at a target: what it hinted, and what this entry
// sent it since.
func (t *target) load() float64 {
	return float64(t.hint.Running + t.hint.Queued + max(0, t.mine-t.mineThen))
}

// Pick chooses an upstream. It reports false when none may take the request.
func (r *Router) Pick(now time.Time, ask Ask) (wardturn.UpstreamID, bool) {
	p := r.pools[poolKey{
		model:   ask.Model,
		service: ask.Service,
	}]
	if p == nil {
		return "", false
	}
	r.expireHints(now, p)
	usable := r.usable(now, p, ask)
	if len(usable) == 0 {
		return "", false
	}
	t := r.choose(now, p, usable, ask)
	t.breaker.Tried(now)
	return t.host.Upstream, true
}

func (r *Router) choose(now time.Time, p *pool, usable []scored, ask Ask) *target {
	switch {
	case ask.Adapter.IsZero(), r.cfg.Mode == RouteLeastLoaded:
		return r.leastLoaded(usable)
	case r.cfg.Mode == RouteAffinity:
		return top(usable)
	}
	return r.sticky(now, p, usable, ask)
}

// expireHints forgets loads that are too old to mean anything.
func (r *Router) expireHints(now time.Time, p *pool) {
	for _, t := range p.targets {
		if t.hintAt.IsZero() || now.Sub(t.hintAt) <= r.cfg.HintLifetime {
			continue
		}
		t.change(func() {
			leaving := t.hint.Leaving
			t.hint = Hint{
				Capacity: t.hint.Capacity,
				Leaving:  leaving,
			}
			t.mineThen = 0
			t.hintAt = time.Time{}
		})
	}
}

// usable lists the targets that may take a request, with their rendezvous
// score. When every breaker is open they are all tried: a fault that looks the
// same everywhere is no reason to refuse everything.
func (r *Router) usable(now time.Time, p *pool, ask Ask) []scored {
	key := hashString(string(ask.Adapter.Adapter))
	list := p.scratch[:0]
	open := 0
	for _, t := range p.targets {
		if t.host.State == wardturn.HostLeaving || t.hint.Leaving || slices.Contains(ask.Tried, t.host.Upstream) {
			continue
		}
		if !t.breaker.Allows(now) {
			open++
			continue
		}
		list = append(list, scored{
			t:     t,
			score: r.score(key, t),
		})
	}
	if len(list) == 0 && open > 0 {
		list = r.ejected(p, ask, key, list)
	}
	p.scratch = list
	return list
}

func (r *Router) ejected(p *pool, ask Ask, key uint64, list []scored) []scored {
	for _, t := range p.targets {
		if t.host.State == wardturn.HostLeaving || t.hint.Leaving || slices.Contains(ask.Tried, t.host.Upstream) {
			continue
		}
		list = append(list, scored{
			t:     t,
			score: r.score(key, t),
		})
	}
	return list
}

// The weights by which nearness counts in the rendezvous score. All entry hosts
// of a region agree on it, so that an adapter has one home in each region.
const (
	weightRegion = 1.0
	weightFar    = 0.05
)

// score is the weighted rendezvous score of a target for an adapter: the
// highest wins, and a target of weight w wins in proportion to w.
func (r *Router) score(key uint64, t *target) float64 {
	w := weightRegion
	if t.host.Region != r.cfg.Region {
		w = weightFar
	}
	h := mix(key ^ t.hash)
	unit := (float64(h>>11) + 0.5) / (1 << 53)
	return -w / math.Log(unit)
}

func top(list []scored) *target {
	best := 0
	for i := range list {
		if list[i].score > list[best].score {
			best = i
		}
	}
	return list[best].t
}

func (r *Router) leastLoaded(list []scored) *target {
	best := list[0].t
	for _, s := range list[1:] {
		if r.lighter(s.t, best) {
			best = s.t
		}
	}
	return best
}

// lighter compares by load; equal loads go to the own failure domain.
func (r *Router) lighter(x, y *target) bool {
	if x.load() != y.load() {
		return x.load() < y.load()
	}
	near := x.host.Domain == r.cfg.Domain
	return near && y.host.Domain != r.cfg.Domain
}

// TargetView is a copy of what a router knows of an upstream.
type TargetView struct {
	Host    wardturn.Host
	Hint    Hint
	HintAge time.Duration // negative without a hint
	Ejected bool
}

// Targets returns what the router knows, in order of upstream.
func (r *Router) Targets(now time.Time) []TargetView {
	list := make([]TargetView, 0, len(r.byID))
	for _, t := range r.byID {
		v := TargetView{
			Host:    t.host,
			Hint:    t.hint,
			HintAge: -time.Second,
			Ejected: !t.breaker.Allows(now),
		}
		if !t.hintAt.IsZero() {
			v.HintAge = now.Sub(t.hintAt)
		}
		list = append(list, v)
	}
	slices.SortFunc(list, func(x, y TargetView) int {
		return strings.Compare(string(x.Host.Upstream), string(y.Host.Upstream))
	})
	return list
}
