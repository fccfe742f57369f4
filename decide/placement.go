package decide

import (
	"slices"
	"time"

	"wardturn"
)

const (
	// MaxConcurrentLoads is the number of adapters that an engine may load concurrently, as
	// set by the platform's protocol.
	MaxConcurrentLoads = 4
	// loadRequestLifetime is the lifetime of a load request that is not repeated.
	// Gateways repeat theirs every loadRequestInterval.
	loadRequestLifetime = 700 * time.Millisecond
	// evictionNotice is the delay between announcing an eviction to the gateways and
	// ordering it. Requests that are in flight at the announcement arrive before the
	// order.
	evictionNotice = 4 * time.Millisecond
	// minResidentTime is how long a newly loaded adapter can't be evicted, since the
	// requests that waited for it are still in flight.
	minResidentTime = 300 * time.Millisecond
	// minIdleTime is how long an adapter can't be evicted after its last use, since further
	// use may not be reported yet.
	minIdleTime = 250 * time.Millisecond
)

// Placement decides which adapters occupy the adapter slots of one engine. Gateways send
// load requests for the adapters that their requests wait for, and Placement returns the
// load and unload orders.
//
// It receives a fresh report of the engine before every order, and each order carries
// the sequence number of that report. An order without a response is either visible in
// the next report or rejected as outdated once the engine has accepted another order, so
// no state is kept for orders in flight.
type Placement struct {
	policy              wardturn.Policy
	start               time.Time
	spec                wardturn.EngineSpec
	state               wardturn.EngineState
	known               bool
	pending             map[wardturn.ModelAdapter]*pendingLoad
	uses                map[wardturn.ModelAdapter]*adapterUse
	evictionAnnouncedAt map[wardturn.ModelAdapter]time.Time
	readyAt             map[wardturn.ModelAdapter]time.Time
	notBefore           time.Time // earliest time of the next order
	loads               loadTimes
	// lateOnly holds the resident adapters that were loaded for late requests only, and how
	// many of these have not started yet.
	lateOnly map[wardturn.ModelAdapter]int
	// orphaned holds the adapters that requests of disconnected gateways may still use, and
	// until when that is assumed.
	orphaned   map[wardturn.ModelAdapter]time.Time
	reportedAt time.Time
}

type adapterUse struct {
	demand  Demand
	running map[wardturn.Incarnation]int // by gateway
	last    time.Time
}

// NewPlacement returns the placement for an engine that has not reported yet.
func NewPlacement(now time.Time, p wardturn.Policy) *Placement {
	return &Placement{
		policy:              p,
		start:               now,
		pending:             make(map[wardturn.ModelAdapter]*pendingLoad),
		uses:                make(map[wardturn.ModelAdapter]*adapterUse),
		evictionAnnouncedAt: make(map[wardturn.ModelAdapter]time.Time),
		readyAt:             make(map[wardturn.ModelAdapter]time.Time),
		orphaned:            make(map[wardturn.ModelAdapter]time.Time),
		loads:               newLoadTimes(),
		lateOnly:            make(map[wardturn.ModelAdapter]int),
	}
}

// Spec returns the operator's specification of the engine.
func (p *Placement) Spec() wardturn.EngineSpec {
	return p.spec
}

// SetSpec sets the operator's specification of the engine, and reports whether it changed.
func (p *Placement) SetSpec(spec wardturn.EngineSpec) (changed bool) {
	changed = !p.spec.Equal(spec)
	p.spec = spec
	return changed
}

// ReportUse records a gateway's request counts for an adapter: those started since its
// previous message, and those running now.
func (p *Placement) ReportUse(now time.Time, gateway wardturn.Incarnation, key wardturn.ModelAdapter, started, running int) {
	u := p.useOf(key)
	for range started {
		u.demand.Record(now)
	}
	if started > 0 || running > 0 {
		u.last = now
	}
	p.startLate(key, started)
	u.running[gateway] = running
	if running == 0 {
		delete(u.running, gateway)
	}
}

func (p *Placement) useOf(key wardturn.ModelAdapter) *adapterUse {
	u := p.uses[key]
	if u == nil {
		u = &adapterUse{
			demand:  NewDemand(p.start),
			running: make(map[wardturn.Incarnation]int),
		}
		p.uses[key] = u
	}
	return u
}

// orphanLifetime is how long requests of a disconnected gateway are assumed to run. The
// longest streams take over 7 s.
const orphanLifetime = 8 * time.Second

// GatewayLost drops the request counts of a gateway whose connection ended. The gateway
// may only be partitioned from the keeper, so its requests are assumed to still run while
// the engine runs more requests than the other gateways report. Unloading an adapter in
// use would block all other orders of the engine until the requests end.
func (p *Placement) GatewayLost(gateway wardturn.Incarnation) {
	for key, u := range p.uses {
		if u.running[gateway] > 0 {
			p.orphaned[key] = p.reportedAt.Add(orphanLifetime)
		}
		delete(u.running, gateway)
	}
	p.dropOrphaned()
}

// dropOrphaned drops the assumed requests of disconnected gateways once the engine runs no
// more requests than the connected ones report.
func (p *Placement) dropOrphaned() {
	if len(p.orphaned) == 0 {
		return
	}
	reported := 0
	for _, u := range p.uses {
		for _, n := range u.running {
			reported += n
		}
	}
	if p.state.Running <= reported {
		clear(p.orphaned)
	}
}

// Defer delays the next order until the given time.
func (p *Placement) Defer(until time.Time) {
	p.notBefore = until
}

// Leaving reports whether an adapter is about to be unloaded or replaced.
func (p *Placement) Leaving(key wardturn.ModelAdapter) bool {
	_, ok := p.evictionAnnouncedAt[key]
	return ok
}

// PlacementOrder is a load or unload order for an engine. An order without an adapter loads
// the model.
type PlacementOrder struct {
	Unload  bool
	Target  wardturn.ModelAdapter
	Version wardturn.Version
}

// MayHaveOrder reports whether Next may have an order.
func (p *Placement) MayHaveOrder() bool {
	return len(p.pending) > 0 || len(p.state.Loading) > 0 || len(p.evictionAnnouncedAt) > 0 || len(p.state.Models) == 0
}

// Next returns the order to give now, or false if there is none. A busy engine rejects
// all orders, so none is returned for it.
func (p *Placement) Next(now time.Time) (PlacementOrder, bool) {
	p.expire(now)
	if !p.known || p.state.Busy || len(p.spec.Models) == 0 || now.Before(p.notBefore) {
		return PlacementOrder{}, false
	}
	if len(p.state.Models) == 0 {
		model := p.spec.Models[0]
		return PlacementOrder{
			Target: wardturn.ModelAdapter{
				Model: model.Name,
			},
		}, p.memoryHoldsModel(model)
	}
	for _, key := range p.byValue(now) {
		if o, ok := p.nextOrderFor(now, key); ok {
			return o, true
		}
	}
	return PlacementOrder{}, false
}

// expire drops load requests that are fulfilled or were not repeated, evictions that were
// announced but not needed any more, and assumed requests of disconnected gateways.
func (p *Placement) expire(now time.Time) {
	for key, l := range p.pending {
		if now.Sub(l.updatedAt) > loadRequestLifetime || p.holds(key, l.version) {
			delete(p.pending, key)
		}
	}
	for key, at := range p.evictionAnnouncedAt {
		if now.Sub(at) > loadRequestLifetime {
			delete(p.evictionAnnouncedAt, key)
		}
	}
	for key, until := range p.orphaned {
		if now.After(until) {
			delete(p.orphaned, key)
		}
	}
}

// holds reports whether an adapter is resident at version v or newer.
func (p *Placement) holds(key wardturn.ModelAdapter, v wardturn.Version) bool {
	have, ok := p.resident(key)
	return ok && have >= v
}

func (p *Placement) resident(key wardturn.ModelAdapter) (wardturn.Version, bool) {
	for _, m := range p.state.Models {
		if m.Name != key.Model {
			continue
		}
		for _, a := range m.Adapters {
			if a.Adapter == key.Adapter {
				return a.Version, true
			}
		}
	}
	return 0, false
}

func (p *Placement) isLoading(key wardturn.ModelAdapter) bool {
	return slices.ContainsFunc(p.state.Loading, func(a wardturn.AdapterVersion) bool {
		return a.Key() == key
	})
}

func (p *Placement) modelLoaded(m wardturn.BaseModel) bool {
	return slices.ContainsFunc(p.state.Models, func(l wardturn.LoadedModel) bool {
		return l.Name == m
	})
}

// nextOrderFor returns the next order needed to get an adapter loaded, if one can be
// given now.
func (p *Placement) nextOrderFor(now time.Time, key wardturn.ModelAdapter) (PlacementOrder, bool) {
	l := p.pending[key]
	if !p.modelLoaded(key.Model) || p.isLoading(key) {
		return PlacementOrder{}, false
	}
	load := PlacementOrder{
		Target:  key,
		Version: l.version,
	}
	held := p.adapterCounts()
	if _, ok := p.resident(key); ok {
		// While requests run on the old version, the order would block all other orders
		// of the engine until they end.
		if !p.announceEviction(now, key) || p.hasRunning(key) {
			return PlacementOrder{}, false
		}
		if !p.memoryHolds(held, key.Model) {
			return unload(key), true // both versions would be in memory during the load
		}
		return load, true
	}
	if len(p.state.Loading) >= MaxConcurrentLoads {
		return PlacementOrder{}, false
	}
	if p.hasRoom(held, key.Model) {
		return load, true
	}
	if p.hasRoom(p.adapterCountsReplaced(), key.Model) {
		return PlacementOrder{}, false // there is room when the replacement is done
	}
	victim, ok := p.victim(now, p.worth(now, key))
	if !ok || !p.announceEviction(now, victim) {
		return PlacementOrder{}, false
	}
	return unload(victim), true
}

func unload(key wardturn.ModelAdapter) PlacementOrder {
	return PlacementOrder{
		Unload: true,
		Target: key,
	}
}

// announceEviction marks an adapter as leaving and reports whether the eviction notice
// has passed since it was first marked.
func (p *Placement) announceEviction(now time.Time, key wardturn.ModelAdapter) bool {
	at, ok := p.evictionAnnouncedAt[key]
	if !ok {
		p.evictionAnnouncedAt[key] = now
		return false
	}
	return now.Sub(at) >= evictionNotice
}
