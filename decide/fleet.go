package decide

import (
	"slices"
	"strings"
	"time"

	"wardturn"
)

// Fleet is a gateway's view of the upstreams and of the requests that wait for them. It
// chooses the upstream of each request, and asks engines to load adapters that no
// available engine holds. Its state comes from the platform's list of upstreams, from the
// keepers beside the engines and from responses to requests. It is not persisted.
type Fleet struct {
	cfg           FleetConfig
	table         *wardturn.RouteTable
	announcements map[wardturn.ModelAdapter][]announcement // of each adapter, oldest first
	rollouts      map[wardturn.ModelAdapter]*rollout
	members       map[wardturn.UpstreamID]*Member
	services      map[wardturn.ServiceName][]*Member // sorted by ID
	software      SoftwareHistory
	// local holds those of services that are in this gateway's failure domain.
	local map[wardturn.ServiceName][]*Member
	// leaving holds the upstreams that announced that they are leaving, and when the list
	// last had them.
	leaving    map[wardturn.UpstreamID]time.Time
	holders    engineIndex // engines that hold an adapter ready
	loaders    engineIndex // engines that are loading it
	heldBefore engineIndex // engines that have held it since they started
	missing    missingAdapters
	ranked     bool      // the routes to engines differ in rank
	gateways   int       // as reported by keepers
	gatewaysAt time.Time // when gateways was last updated
	window     LoadWindow
	queue      loadQueue
	teams      teamLoads
	// refilledBy holds when services whose engines were all empty are expected to hold
	// adapters again.
	refilledBy       map[wardturn.ServiceName]time.Time
	reportsDue       []*Member                     // members whose prefill counts are to be sent
	loadsInFlight    int                           // loads from the weight store, of all gateways
	lastDrawAt       time.Time                     // latest random draw for a load
	crossDomainBytes map[wardturn.ModelAdapter]int // bytes sent to other failure domains
	limits           *Limits
	plain            *PlainLoads
	prefillRates     map[wardturn.ServiceName]*prefillRate // prefill rates of engines
	limitsPauses     map[wardturn.ServiceName]bool         // services with a route that limits pauses
	evacuated        wardturn.Evacuations
	backoffs         map[string]*upstreamBackoff // backoffs asked for by upstreams, by instance
}

// FleetConfig holds the limits of a Fleet.
type FleetConfig struct {
	Domain  wardturn.FailureDomain
	Regions map[wardturn.FailureDomain]wardturn.Region
	// MaxCrossDomainBytes is how many bytes may be sent for an adapter to other failure
	// domains before it is also loaded in this one.
	MaxCrossDomainBytes int
	// MaxBodyBytes bounds the total size in bytes of the request bodies that all gateways
	// together may have at one upstream, which crashes when they outgrow its memory. Zero
	// means no bound.
	MaxBodyBytes int
	Window       WindowConfig
	// VersionBound is how long requests may start on an older version of an adapter after
	// the store announced a newer one.
	VersionBound time.Duration
	Limits       *Limits     // request rate limits stated by upstreams; nil if none
	Plain        *PlainLoads // loads of plain services; nil: this gateway hears no other
	Cold         ColdConfig
	Random       func() float64 // returns a random number in [0, 1); nil means RandomFloat
}

// NewFleet returns a Fleet without upstreams.
func NewFleet(cfg FleetConfig) *Fleet {
	if cfg.Random == nil {
		cfg.Random = RandomFloat
	}
	if cfg.Limits == nil {
		cfg.Limits = NewLimits(time.Time{}, "")
	}
	if cfg.Plain == nil {
		cfg.Plain = NewPlainLoads(time.Time{}, "")
	}
	cfg.Limits.SetColdConfig(cfg.Cold)
	return &Fleet{
		cfg:              cfg,
		announcements:    make(map[wardturn.ModelAdapter][]announcement),
		rollouts:         make(map[wardturn.ModelAdapter]*rollout),
		members:          make(map[wardturn.UpstreamID]*Member),
		services:         make(map[wardturn.ServiceName][]*Member),
		leaving:          make(map[wardturn.UpstreamID]time.Time),
		holders:          make(engineIndex),
		loaders:          make(engineIndex),
		heldBefore:       make(engineIndex),
		missing:          make(missingAdapters),
		window:           NewLoadWindow(cfg.Window),
		teams:            make(teamLoads),
		refilledBy:       make(map[wardturn.ServiceName]time.Time),
		crossDomainBytes: make(map[wardturn.ModelAdapter]int),
		limits:           cfg.Limits,
		plain:            cfg.Plain,
		prefillRates:     make(map[wardturn.ServiceName]*prefillRate),
		backoffs:         make(map[string]*upstreamBackoff),
	}
}

// ApplySettings changes the limits. The failure domain stays the same.
func (f *Fleet) ApplySettings(cfg FleetConfig) {
	f.cfg.MaxCrossDomainBytes = cfg.MaxCrossDomainBytes
	f.cfg.MaxBodyBytes = cfg.MaxBodyBytes
	f.window.ApplySettings(cfg.Window)
	f.cfg.Cold = cfg.Cold
	f.limits.SetColdConfig(cfg.Cold)
}

// SetTable replaces the routing configuration.
func (f *Fleet) SetTable(t *wardturn.RouteTable) {
	f.table = t
	f.updatePauseLimits()
	f.ranked = ranksDiffer(t)
	f.updatePlainMembers()
	f.updateEngineCount()
}

// Addrs returns the addresses of all upstreams.
func (f *Fleet) Addrs() map[string]bool {
	addrs := make(map[string]bool, len(f.members))
	for _, m := range f.members {
		addrs[m.Addr] = true
	}
	return addrs
}

// currentEntries removes entries of earlier lifetimes. An upstream that restarted is
// listed twice until its old entry expires; the entry written last is the current one. An entry of a
// service that is not configured removes none: another writer may have written it, and an upstream that
// has taken over an address refuses requests for the one before.
func (f *Fleet) currentEntries(list []wardturn.Member) []wardturn.Member {
	latest := make(map[string]wardturn.Position, len(list))
	for _, e := range list {
		if f.configured(e.Service) {
			latest[e.Addr] = max(latest[e.Addr], e.Position)
		}
	}
	return slices.DeleteFunc(slices.Clone(list), func(e wardturn.Member) bool {
		return e.Position < latest[e.Addr]
	})
}

// configured reports whether a service is configured, as far as is known.
func (f *Fleet) configured(s wardturn.ServiceName) bool {
	if f.table == nil {
		return true
	}
	_, ok := f.table.Services[s]
	return ok
}

// SetMembers replaces the list of upstreams. It keeps the state of those that remain, and
// returns those that are gone without having announced that they were leaving.
func (f *Fleet) SetMembers(now time.Time, list []wardturn.Member) (lost []wardturn.UpstreamID) {
	members := make(map[wardturn.UpstreamID]*Member, len(list))
	services := make(map[wardturn.ServiceName][]*Member)
	list = f.currentEntries(list)
	f.markKnownLeaving(now, list)
	f.dropEndedBackoffs(now)
	for _, e := range list {
		m := f.members[e.ID]
		if m == nil {
			m = &Member{
				coldEntry:    -1,
				hash:         hashString(string(e.ID)),
				held:         make(map[wardturn.ModelAdapter]heldAdapter),
				everHeld:     make(map[wardturn.ModelAdapter]bool),
				requested:    make(map[wardturn.ModelAdapter]bool),
				notHeldUntil: make(map[wardturn.ModelAdapter]time.Time),
				uses:         make(map[wardturn.ModelAdapter]*AdapterCount),
			}
		}
		m.updateCold(now, e)
		m.Member = e
		m.prefillRate = f.prefillRateOf(e.Service)
		m.evacuated = f.evacuated[e.Domain]
		m.backoff = f.backoffs[e.ID.Instance()]
		members[e.ID] = m
		services[e.Service] = append(services[e.Service], m)
	}
	for _, ms := range services {
		slices.SortFunc(ms, func(x, y *Member) int {
			return strings.Compare(string(x.ID), string(y.ID))
		})
	}
	for id, m := range f.members {
		if members[id] != m {
			f.removeAllHeld(m)
			f.heldBefore.removeAll(m, m.everHeld)
			if !m.Draining {
				lost = append(lost, id)
			}
		}
	}
	f.members = members
	f.limits.Retain(now, listedInstances(list))
	f.updateColdLimits(now)
	f.services = services
	f.software.Observe(now, services)
	f.updatePlainMembers()
	f.local = membersByServiceIn(services, f.cfg.Domain)
	f.updateEngineCount()
	return lost
}

// listedInstances returns a function that reports whether an instance is in a list of
// upstreams.
func listedInstances(list []wardturn.Member) func(instance string) bool {
	instances := make(map[string]bool, len(list))
	for _, e := range list {
		instances[e.ID.Instance()] = true
	}
	return func(instance string) bool {
		return instances[instance]
	}
}

// membersByServiceIn returns, for each service, the members in a failure domain.
func membersByServiceIn(services map[wardturn.ServiceName][]*Member, d wardturn.FailureDomain) map[wardturn.ServiceName][]*Member {
	inDomain := make(map[wardturn.ServiceName][]*Member, len(services))
	for s, list := range services {
		inDomain[s] = slices.DeleteFunc(slices.Clone(list), func(m *Member) bool {
			return m.Domain != d
		})
	}
	return inDomain
}

// updatePlainMembers passes the upstreams of the plain services on to their shared loads.
func (f *Fleet) updatePlainMembers() {
	if f.table == nil {
		return
	}
	for name, spec := range f.table.Services {
		if spec.Engine == nil {
			f.plain.setMembers(name, f.services[name])
		}
	}
	f.plain.retain(func(name wardturn.ServiceName) bool {
		spec, listed := f.table.Services[name]
		return listed && spec.Engine == nil
	})
}

// updateEngineCount updates the number of engines in the load window.
func (f *Fleet) updateEngineCount() {
	engines := 0
	for s, list := range f.services {
		if f.Engine(s) != nil {
			engines += len(list)
		}
	}
	f.window.SetEngineCount(engines)
}

// RestoreWindow sets the size of the load window that gateways had learned before all of
// them ended.
func (f *Fleet) RestoreWindow(size int) {
	f.window.Restore(size)
}

// LearnedWindow returns the size of the load window, and whether loads have confirmed it.
func (f *Fleet) LearnedWindow() (size int, ok bool) {
	return f.window.Learned()
}

// Software returns the software versions that the list has had.
func (f *Fleet) Software() *SoftwareHistory {
	return &f.software
}

// Members returns the members of a service, sorted by ID.
func (f *Fleet) Members(s wardturn.ServiceName) []*Member {
	return f.services[s]
}

// Gateways returns the number of gateways reported by keepers, at least one.
func (f *Fleet) Gateways() int {
	return max(f.gateways, 1)
}

// ReportedGateways returns the number of gateways reported by keepers, or zero if no
// keeper is connected.
func (f *Fleet) ReportedGateways() int {
	return f.gateways
}

// gatewayCountInterval is the interval at which the number of gateways is recomputed from
// the keepers' reports.
const gatewayCountInterval = 100 * time.Millisecond

// countGateways updates the number of gateways.
func (f *Fleet) countGateways(now time.Time) {
	if now.Sub(f.gatewaysAt) < gatewayCountInterval {
		return
	}
	f.gatewaysAt = now
	f.gateways = 0
	for _, m := range f.members {
		if m.lastUpdate.Connected {
			f.gateways = max(f.gateways, m.lastUpdate.Gateways)
		}
	}
}

// Engine returns the specification of the engines of a service, or nil.
func (f *Fleet) Engine(s wardturn.ServiceName) *wardturn.EngineSpec {
	if f.table == nil {
		return nil
	}
	return f.table.Services[s].Engine
}

// KeeperLost records that the keeper beside an engine is unreachable: no adapter can be
// loaded there for now.
func (f *Fleet) KeeperLost(id wardturn.UpstreamID) {
	if m := f.members[id]; m != nil {
		m.lastUpdate.Connected = false
	}
}

// refusalOverride is how long an engine's refusal takes precedence over its keeper's
// update, until the keeper's next update has arrived.
const refusalOverride = 300 * time.Millisecond

// NotHeld records that an engine refused a request because it does not hold the adapter
// version.
func (f *Fleet) NotHeld(now time.Time, id wardturn.UpstreamID, key wardturn.ModelAdapter) {
	m := f.members[id]
	if m == nil {
		return
	}
	for k, until := range m.notHeldUntil {
		if now.After(until) {
			delete(m.notHeldUntil, k)
		}
	}
	m.notHeldUntil[key] = now.Add(refusalOverride)
}
