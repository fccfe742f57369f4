package decide

import (
	"slices"
	"strings"
	"time"

	"wardturn"
)

// Fleet is a gateway's view of the upstreams and the requests that wait for
// them: it chooses the upstream of each request, and asks for adapters to be
// loaded for requests that find theirs nowhere. It holds what the platform's
// list, the keepers beside the engines and the answers to requests have told;
// nothing of it outlives the process.
type Fleet struct {
	cfg        FleetConfig
	table      *wardturn.RouteTable
	namings    map[wardturn.ModelAdapter][]naming // of each adapter the latest, the oldest first
	rollouts   map[wardturn.ModelAdapter]*rollout
	members    map[wardturn.UpstreamID]*Member
	services   map[wardturn.ServiceName][]*Member // in order of id
	near       map[wardturn.ServiceName][]*Member // of them, in the own failure domain
	leaving    map[wardturn.UpstreamID]time.Time  // upstreams that were seen leaving, when the list last had them
	holders    engineIndex                        // engines that hold an adapter ready
	loaders    engineIndex                        // engines to which it is on its way
	heldBefore engineIndex                        // engines that held it in their lifetime
	wants      wants
	gateways   int       // as keepers tell
	gatewaysAt time.Time // of the latest look through all words
	window     LoadWindow
	refilled   map[wardturn.ServiceName]time.Time // by when engines that were all empty hold adapters again
	readers    []*Member                          // whose keepers have to be told of long prompts
	coming     int                                // loads under way from the weight store, for all gateways
	drawnAt    time.Time                          // latest draw for a share of the window below one
	crossed    map[wardturn.ModelAdapter]int      // bytes sent to other failure domains
	limits     *Limits
	rates      map[wardturn.ServiceName]*readRate // at which engines read prompts
	evacuated  wardturn.Evacuations
	rests      map[string]*rest // that upstreams asked for, by instance
}

// FleetConfig holds the limits of a Fleet.
type FleetConfig struct {
	Domain  wardturn.FailureDomain
	Regions map[wardturn.FailureDomain]wardturn.Region
	// CrossBytes is how much may be sent to an adapter in another failure domain
	// before it is loaded in the own one as well.
	CrossBytes int
	// MostBodies is how many bytes of requests an upstream is given by all gateways
	// together: it falls over when they outgrow its memory. Zero: there is no bound.
	MostBodies int
	Window     WindowConfig
	// VersionBound is how long after the store's word of a newer version of an adapter
	// requests may begin on an older one.
	VersionBound time.Duration
	Limits       *Limits // that upstreams name; nil: none
	Cold         ColdConfig
	Draw         func() float64 // in [0, 1), by chance; nil: Draw
}

// NewFleet returns a view without upstreams.
func NewFleet(cfg FleetConfig) *Fleet {
	if cfg.Draw == nil {
		cfg.Draw = Draw
	}
	if cfg.Limits == nil {
		cfg.Limits = NewLimits(time.Time{}, "")
	}
	cfg.Limits.SetColdConfig(cfg.Cold)
	return &Fleet{
		cfg:        cfg,
		namings:    make(map[wardturn.ModelAdapter][]naming),
		rollouts:   make(map[wardturn.ModelAdapter]*rollout),
		members:    make(map[wardturn.UpstreamID]*Member),
		services:   make(map[wardturn.ServiceName][]*Member),
		leaving:    make(map[wardturn.UpstreamID]time.Time),
		holders:    make(engineIndex),
		loaders:    make(engineIndex),
		heldBefore: make(engineIndex),
		wants:      make(wants),
		window:     NewLoadWindow(cfg.Window),
		refilled:   make(map[wardturn.ServiceName]time.Time),
		crossed:    make(map[wardturn.ModelAdapter]int),
		limits:     cfg.Limits,
		rates:      make(map[wardturn.ServiceName]*readRate),
		rests:      make(map[string]*rest),
	}
}

// Retune changes the limits. The failure domain stays.
func (f *Fleet) Retune(cfg FleetConfig) {
	f.cfg.CrossBytes = cfg.CrossBytes
	f.cfg.MostBodies = cfg.MostBodies
	f.window.Retune(cfg.Window)
	f.cfg.Cold = cfg.Cold
	f.limits.SetColdConfig(cfg.Cold)
}

// SetTable puts a configuration in force.
func (f *Fleet) SetTable(t *wardturn.RouteTable) {
	f.table = t
	f.expectLoads()
}

// Addrs returns the addresses of all upstreams.
func (f *Fleet) Addrs() map[string]bool {
	addrs := make(map[string]bool, len(f.members))
	for _, m := range f.members {
		addrs[m.Addr] = true
	}
	return addrs
}

// present leaves out entries of earlier lifetimes: an upstream that restarted
// stands in the list twice until its old entry lapses. The entry written last is
// the one that lives.
func present(list []wardturn.Member) []wardturn.Member {
	latest := make(map[string]wardturn.Position, len(list))
	for _, e := range list {
		latest[e.Addr] = max(latest[e.Addr], e.Seen)
	}
	return slices.DeleteFunc(slices.Clone(list), func(e wardturn.Member) bool {
		return e.Seen < latest[e.Addr]
	})
}

// SetMembers replaces the list of upstreams and keeps what is known of those
// that stay. It returns those that are gone and had not told that they leave.
func (f *Fleet) SetMembers(now time.Time, list []wardturn.Member) (lost []wardturn.UpstreamID) {
	members := make(map[wardturn.UpstreamID]*Member, len(list))
	services := make(map[wardturn.ServiceName][]*Member)
	list = present(list)
	f.keepLeaving(now, list)
	f.forgetRests(now)
	for _, e := range list {
		m := f.members[e.ID]
		if m == nil {
			m = &Member{
				coldSeen: -1,
				hash:     hashString(string(e.ID)),
				held:     make(map[wardturn.ModelAdapter]heldAdapter),
				everHeld: make(map[wardturn.ModelAdapter]bool),
				asks:     make(map[wardturn.ModelAdapter]bool),
				doubts:   make(map[wardturn.ModelAdapter]time.Time),
				uses:     make(map[wardturn.ModelAdapter]*AdapterCount),
			}
		}
		m.noteCold(now, e)
		m.Member = e
		m.rate = f.rateOf(e.Service)
		m.evacuated = f.evacuated[e.Domain]
		m.rest = f.rests[e.ID.Instance()]
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
			f.release(m)
			f.heldBefore.removeAll(m, m.everHeld)
			if !m.Draining {
				lost = append(lost, id)
			}
		}
	}
	f.members = members
	f.limits.Keep(now, listed(list))
	f.limitCold(now)
	f.services = services
	f.near = nearby(services, f.cfg.Domain)
	f.expectLoads()
	return lost
}

// listed returns whether an instance is in a list of upstreams.
func listed(list []wardturn.Member) func(instance string) bool {
	instances := make(map[string]bool, len(list))
	for _, e := range list {
		instances[e.ID.Instance()] = true
	}
	return func(instance string) bool {
		return instances[instance]
	}
}

// nearby returns the members in a failure domain.
func nearby(services map[wardturn.ServiceName][]*Member, d wardturn.FailureDomain) map[wardturn.ServiceName][]*Member {
	near := make(map[wardturn.ServiceName][]*Member, len(services))
	for s, list := range services {
		near[s] = slices.DeleteFunc(slices.Clone(list), func(m *Member) bool {
			return m.Domain != d
		})
	}
	return near
}

// expectLoads tells the window how many engines there are.
func (f *Fleet) expectLoads() {
	engines := 0
	for s, list := range f.services {
		if f.Engine(s) != nil {
			engines += len(list)
		}
	}
	f.window.Expect(engines)
}

// RecallWindow takes the window of loads that gateways had learned before all of them
// ended.
func (f *Fleet) RecallWindow(size int) {
	f.window.Recall(size)
}

// LearnedWindow returns the window of loads, and whether loads have confirmed it.
func (f *Fleet) LearnedWindow() (size int, ok bool) {
	return f.window.Learned()
}

// Members returns the members of a service.
func (f *Fleet) Members(s wardturn.ServiceName) []*Member {
	return f.services[s]
}

// Gateways returns how many gateways there are, as far as keepers tell; at least
// one.
func (f *Fleet) Gateways() int {
	return max(f.gateways, 1)
}

// CountedGateways returns how many gateways keepers tell of; zero: no keeper is heard.
func (f *Fleet) CountedGateways() int {
	return f.gateways
}

// gatewaysEvery is how often keepers' words on the number of gateways are looked
// through.
const gatewaysEvery = 100 * time.Millisecond

// countGateways brings the number of gateways up to date.
func (f *Fleet) countGateways(now time.Time) {
	if now.Sub(f.gatewaysAt) < gatewaysEvery {
		return
	}
	f.gatewaysAt = now
	f.gateways = 0
	for _, m := range f.members {
		if m.holding.Connected {
			f.gateways = max(f.gateways, m.holding.Gateways)
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

// KeeperLost records that the keeper beside an engine cannot be reached: nothing
// can be loaded there for now.
func (f *Fleet) KeeperLost(id wardturn.UpstreamID) {
	if m := f.members[id]; m != nil {
		m.holding.Connected = false
	}
}

// doubtFor is how long an engine's refusal counts against what its keeper told:
// the keeper's next word is on its way.
const doubtFor = 300 * time.Millisecond

// NotHeld records that an engine refused a request because it does not hold the
// adapter version.
func (f *Fleet) NotHeld(now time.Time, id wardturn.UpstreamID, key wardturn.ModelAdapter) {
	m := f.members[id]
	if m == nil {
		return
	}
	for k, until := range m.doubts {
		if now.After(until) {
			delete(m.doubts, k)
		}
	}
	m.doubts[key] = now.Add(doubtFor)
}
