package decide

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"wardturn"
)

// RouteMode selects how a Router spreads requests.
type RouteMode uint8

const (
	// RouteSticky is the production mode: rendezvous hashing with bounded load, sticky
	// routing to the upstreams used before, and replicas for adapters in high demand.
	RouteSticky RouteMode = iota
	// RouteAffinity sends each adapter to its first rendezvous candidate. It serves as a
	// baseline in experiments.
	RouteAffinity
	// RouteLeastLoaded ignores adapters. It serves as a baseline in experiments.
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
	Candidates   int           // rendezvous candidates of an adapter without a location
	MaxLocations int           // adapters whose locations are remembered
	HintLifetime time.Duration // age at which a load hint expires
	LocationLife time.Duration // idle time after which a location is forgotten
	BoundFactor  float64       // load, relative to the average, at which a replica is added
}

func (c RouterConfig) withDefaults() RouterConfig {
	c.Candidates = cmp.Or(c.Candidates, DefaultCandidates)
	c.MaxLocations = cmp.Or(c.MaxLocations, DefaultMaxLocations)
	c.HintLifetime = cmp.Or(c.HintLifetime, DefaultHintLifetime)
	c.LocationLife = cmp.Or(c.LocationLife, DefaultLocationLife)
	c.BoundFactor = cmp.Or(c.BoundFactor, DefaultBoundFactor)
	return c
}

// RouteRequest describes a request to be routed.
type RouteRequest struct {
	Adapter wardturn.AdapterRef
	Service wardturn.ServiceName
	Model   wardturn.BaseModel
	Tried   []wardturn.UpstreamID // not to be chosen again
}

// Router chooses upstreams for the requests of one entry host. It knows the hosts in its
// own view of the platform's list, their latest load hints, and the locations of recently
// requested adapters. It holds no global map of adapters.
type Router struct {
	cfg       RouterConfig
	pools     map[poolKey]*pool
	byID      map[wardturn.UpstreamID]*target
	locations locations
}

// poolKey identifies a pool of interchangeable upstreams.
type poolKey struct {
	model   wardturn.BaseModel
	service wardturn.ServiceName
}

type pool struct {
	local          []*target // of the entry's region, in order of upstream
	remote         []*target
	load           float64 // sum over the local targets, kept up to date
	hintsCheckedAt time.Time
	scratch        []scoredTarget
}

type target struct {
	host           wardturn.Host
	hash           uint64
	pool           *pool
	hint           Hint
	hintAt         time.Time
	inFlight       int // requests of this entry in flight
	inFlightAtHint int // those of them that the hint includes
	breaker        Breaker
	local          bool // in the entry's region
	removed        bool
}

// scoredTarget is a target with its rendezvous score for an adapter. The highest score
// wins.
type scoredTarget struct {
	target *target
	score  uint64
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

// SetHosts replaces the router's view of the hosts. The state of hosts that stay at the
// same address is kept.
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
		t.local = h.Region == r.cfg.Region
		if t.local {
			p.local = append(p.local, t)
			p.load += t.load()
			continue
		}
		p.remote = append(p.remote, t)
	}
	for id, t := range r.byID {
		if byID[id] != t {
			t.removed = true
		}
	}
	for _, p := range pools {
		slices.SortFunc(p.local, byUpstream)
		slices.SortFunc(p.remote, byUpstream)
	}
	r.byID = byID
	r.pools = pools
}

func byUpstream(x, y *target) int {
	return strings.Compare(string(x.host.Upstream), string(y.host.Upstream))
}

// Hint records a load hint of an upstream.
func (r *Router) Hint(now time.Time, id wardturn.UpstreamID, h Hint) {
	t := r.byID[id]
	if t == nil {
		return
	}
	t.update(func() {
		t.hint = h
		t.hintAt = now
		t.inFlightAtHint = t.inFlight
	})
}

// RequestSent records that a request went to an upstream.
func (r *Router) RequestSent(id wardturn.UpstreamID) {
	if t := r.byID[id]; t != nil {
		t.update(func() {
			t.inFlight++
		})
	}
}

// RequestEnded records the end of a request that was sent. Healthy is false if the upstream
// was unreachable or lost the request, which counts against its circuit breaker.
func (r *Router) RequestEnded(now time.Time, id wardturn.UpstreamID, healthy bool) {
	t := r.byID[id]
	if t == nil {
		return
	}
	t.update(func() {
		t.inFlight = max(0, t.inFlight-1)
		t.inFlightAtHint = max(0, t.inFlightAtHint-1)
	})
	if healthy {
		t.breaker.Succeed()
		return
	}
	t.breaker.Fail(now)
}

// update applies f, which may change the target's load, and updates the pool's sum.
func (t *target) update(f func()) {
	before := t.load()
	f()
	if t.local {
		t.pool.load += t.load() - before
	}
}

// load estimates the number of requests at a target: those in its latest hint and those
// that this entry has sent since.
func (t *target) load() float64 {
	return float64(t.hint.Running + t.hint.Queued + max(0, t.inFlight-t.inFlightAtHint))
}

// Pick chooses an upstream for a request. It reports false if no upstream can take it.
func (r *Router) Pick(now time.Time, req RouteRequest) (wardturn.UpstreamID, bool) {
	p := r.pools[poolKey{
		model:   req.Model,
		service: req.Service,
	}]
	if p == nil {
		return "", false
	}
	r.expireHints(now, p)
	t := r.choose(now, p, req)
	if t == nil {
		return "", false
	}
	t.breaker.Tried(now)
	return t.host.Upstream, true
}

// choose prefers the entry's own region and uses others only if no upstream there can take
// the request. Upstreams with an open breaker are used if there are no others: a fault that
// all upstreams show is no reason to refuse every request.
func (r *Router) choose(now time.Time, p *pool, req RouteRequest) *target {
	for _, ignoreBreakers := range []bool{false, true} {
		for _, targets := range [][]*target{p.local, p.remote} {
			if t := r.chooseAmong(now, p, targets, req, ignoreBreakers); t != nil {
				return t
			}
		}
	}
	return nil
}

func (r *Router) chooseAmong(now time.Time, p *pool, targets []*target, req RouteRequest, ignoreBreakers bool) *target {
	usable := func(t *target) bool {
		return t.accepts(req) && (ignoreBreakers || t.breaker.Allows(now))
	}
	switch {
	case req.Adapter.IsZero(), r.cfg.Mode == RouteLeastLoaded:
		return r.leastLoaded(targets, usable)
	case r.cfg.Mode == RouteAffinity:
		list := p.candidates(targets, usable, req.Adapter, 1)
		if len(list) == 0 {
			return nil
		}
		return list[0].target
	}
	return r.chooseSticky(now, p, targets, usable, req)
}

// accepts reports whether a target may be given a request.
func (t *target) accepts(req RouteRequest) bool {
	return t.host.State != wardturn.HostLeaving && !t.hint.Leaving && !slices.Contains(req.Tried, t.host.Upstream)
}

// hintCheckInterval is the interval at which a pool is checked for expired hints.
const hintCheckInterval = time.Second

// expireHints drops the load hints of a pool that are older than the hint lifetime.
func (r *Router) expireHints(now time.Time, p *pool) {
	if now.Sub(p.hintsCheckedAt) < hintCheckInterval {
		return
	}
	p.hintsCheckedAt = now
	for _, targets := range [][]*target{p.local, p.remote} {
		for _, t := range targets {
			if !t.hintAt.IsZero() && now.Sub(t.hintAt) > r.cfg.HintLifetime {
				t.clearHint()
			}
		}
	}
}

func (t *target) clearHint() {
	t.update(func() {
		t.hint = Hint{
			Capacity: t.hint.Capacity,
			Leaving:  t.hint.Leaving,
		}
		t.inFlightAtHint = 0
		t.hintAt = time.Time{}
	})
}

// candidates returns the n usable targets with the highest rendezvous scores for an
// adapter, in descending order. All entry hosts of a region compute the same scores.
func (p *pool) candidates(targets []*target, usable func(*target) bool, ref wardturn.AdapterRef, n int) []scoredTarget {
	key := hashString(string(ref.Adapter))
	list := p.scratch[:0]
	for _, t := range targets {
		score := mix(key ^ t.hash)
		if len(list) == n && score <= list[n-1].score || !usable(t) {
			continue
		}
		if len(list) < n {
			list = append(list, scoredTarget{})
		}
		at := len(list) - 1
		for at > 0 && list[at-1].score < score {
			list[at] = list[at-1]
			at--
		}
		list[at] = scoredTarget{
			target: t,
			score:  score,
		}
	}
	p.scratch = list
	return list
}

// leastLoaded returns the usable target with the least load. Ties go to the entry's own
// failure domain.
func (r *Router) leastLoaded(targets []*target, usable func(*target) bool) *target {
	var best *target
	for _, t := range targets {
		if usable(t) && (best == nil || r.lessLoaded(t, best)) {
			best = t
		}
	}
	return best
}

// lessLoaded reports whether x has less load than y. Ties go to the entry's own failure
// domain.
func (r *Router) lessLoaded(x, y *target) bool {
	if x.load() != y.load() {
		return x.load() < y.load()
	}
	sameDomain := x.host.Domain == r.cfg.Domain
	return sameDomain && y.host.Domain != r.cfg.Domain
}
