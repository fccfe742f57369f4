package decide

import (
	"cmp"
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
	cfg      FleetConfig
	table    *wardturn.RouteTable
	versions map[wardturn.ModelAdapter]wardturn.Version // the newest named
	rollouts map[wardturn.ModelAdapter]*rollout
	members  map[wardturn.UpstreamID]*Member
	services map[wardturn.ServiceName][]*Member  // in order of id
	holders  map[wardturn.ModelAdapter][]*Member // engines that hold an adapter ready
	wants    map[wardturn.ModelAdapter]*want
	window   LoadWindow
	asked    int                           // wants whose load was asked for
	crossed  map[wardturn.ModelAdapter]int // bytes sent to other failure domains
}

// FleetConfig holds the limits of a Fleet.
type FleetConfig struct {
	Domain wardturn.FailureDomain
	// HoldPart is the part of a request's objective for which it may wait for
	// its adapter before it is told when to come back.
	HoldPart float64
	// CrossBytes is how much may be sent to an adapter in another failure domain
	// before it is loaded in the own one as well.
	CrossBytes int
	Window     WindowConfig
}

// Member is an upstream with what this gateway knows of it.
type Member struct {
	wardturn.Member
	hash      uint64
	breaker   Breaker
	failing   float64 // share of its requests that failed lately
	running   int     // requests of this gateway under way
	prefill   int     // tokens of prompts of those that have no byte of an answer yet
	holding   Holding
	heldAt    time.Time // of the holding
	atHold    int       // running when the holding arrived
	held      map[wardturn.ModelAdapter]heldAdapter
	everHeld  map[wardturn.ModelAdapter]bool
	uses      map[wardturn.ModelAdapter]*AdapterCount
	doubts    map[wardturn.ModelAdapter]time.Time // adapters that it refused, until when that counts
	misplaced bool                                // it answered as another lifetime, or refused connections
}

// Holding is what a keeper tells of its engine.
type Holding struct {
	Connected bool // a keeper is there
	Known     bool // and it knows its engine
	Models    []wardturn.BaseModel
	Full      bool // Adapters are all; otherwise those that changed
	Adapters  []HeldVersion
	Gone      []wardturn.ModelAdapter
	Running   int
	Queued    int
	Gateways  int // connected to the keeper
}

// HeldVersion is an adapter version that an engine holds or loads.
type HeldVersion struct {
	Adapter wardturn.AdapterVersion
	Ready   bool
	Loading bool
}

type heldAdapter struct {
	version wardturn.Version
	ready   bool
	loading bool
}

// NewFleet returns a view without upstreams.
func NewFleet(cfg FleetConfig) *Fleet {
	return &Fleet{
		cfg:      cfg,
		versions: make(map[wardturn.ModelAdapter]wardturn.Version),
		rollouts: make(map[wardturn.ModelAdapter]*rollout),
		members:  make(map[wardturn.UpstreamID]*Member),
		services: make(map[wardturn.ServiceName][]*Member),
		holders:  make(map[wardturn.ModelAdapter][]*Member),
		wants:    make(map[wardturn.ModelAdapter]*want),
		window:   NewLoadWindow(cfg.Window),
		crossed:  make(map[wardturn.ModelAdapter]int),
	}
}

// SetTable puts a configuration in force.
func (f *Fleet) SetTable(t *wardturn.RouteTable) {
	f.table = t
}

// Addrs returns the addresses of all upstreams.
func (f *Fleet) Addrs() map[string]bool {
	addrs := make(map[string]bool, len(f.members))
	for _, m := range f.members {
		addrs[m.Addr] = true
	}
	return addrs
}

// Version returns the newest version named of an adapter; zero if none was.
func (f *Fleet) Version(key wardturn.ModelAdapter) wardturn.Version {
	return f.versions[key]
}

// present leaves out entries of earlier lifetimes: an upstream that restarted
// stands in the list twice until its old entry lapses. The entry written last is
// the one that lives.
func present(list []wardturn.Member) []wardturn.Member {
	latest := make(map[string]int64, len(list))
	for _, e := range list {
		latest[e.Addr] = max(latest[e.Addr], e.Seen)
	}
	return slices.DeleteFunc(slices.Clone(list), func(e wardturn.Member) bool {
		return e.Seen < latest[e.Addr]
	})
}

// SetMembers replaces the list of upstreams and keeps what is known of those
// that stay.
func (f *Fleet) SetMembers(list []wardturn.Member) {
	members := make(map[wardturn.UpstreamID]*Member, len(list))
	services := make(map[wardturn.ServiceName][]*Member)
	for _, e := range present(list) {
		m := f.members[e.ID]
		if m == nil {
			m = &Member{
				hash:     hashString(string(e.ID)),
				held:     make(map[wardturn.ModelAdapter]heldAdapter),
				everHeld: make(map[wardturn.ModelAdapter]bool),
				doubts:   make(map[wardturn.ModelAdapter]time.Time),
				uses:     make(map[wardturn.ModelAdapter]*AdapterCount),
			}
		}
		if m.Addr != e.Addr {
			m.misplaced = false
		}
		m.Member = e
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
		}
	}
	f.members = members
	f.services = services
}

// forget removes what a holding says is no longer there, or is told anew.
func (f *Fleet) forget(m *Member, h Holding) {
	if h.Full {
		f.release(m)
		return
	}
	gone := h.Gone
	for _, a := range h.Adapters {
		gone = append(gone, a.Adapter.Key())
	}
	for _, key := range gone {
		if m.held[key].ready {
			f.unhold(m, key)
		}
		delete(m.held, key)
	}
}

// release forgets what a member holds.
func (f *Fleet) release(m *Member) {
	for key, h := range m.held {
		if h.ready {
			f.unhold(m, key)
		}
	}
	clear(m.held)
}

func (f *Fleet) unhold(m *Member, key wardturn.ModelAdapter) {
	list := slices.DeleteFunc(f.holders[key], func(o *Member) bool {
		return o == m
	})
	if len(list) == 0 {
		delete(f.holders, key)
		return
	}
	f.holders[key] = list
}

// Members returns the members of a service.
func (f *Fleet) Members(s wardturn.ServiceName) []*Member {
	return f.services[s]
}

// Gateways returns how many gateways there are, as far as keepers tell; at least
// one.
func (f *Fleet) Gateways() int {
	n := 1
	for _, m := range f.members {
		if m.holding.Connected {
			n = max(n, m.holding.Gateways)
		}
	}
	return n
}

// Engine returns the specification of the engines of a service, or nil.
func (f *Fleet) Engine(s wardturn.ServiceName) *wardturn.EngineSpec {
	if f.table == nil {
		return nil
	}
	return f.table.Services[s].Engine
}

// SetHolding takes a keeper's word on its engine.
func (f *Fleet) SetHolding(now time.Time, id wardturn.UpstreamID, h Holding, out *Moves) {
	m := f.members[id]
	if m == nil {
		return
	}
	m.holding = h
	m.heldAt = now
	m.atHold = m.running
	f.forget(m, h)
	for _, a := range h.Adapters {
		m.held[a.Adapter.Key()] = heldAdapter{
			version: a.Adapter.Version,
			ready:   a.Ready,
			loading: a.Loading,
		}
		if a.Ready {
			m.everHeld[a.Adapter.Key()] = true
			f.holders[a.Adapter.Key()] = append(f.holders[a.Adapter.Key()], m)
		}
	}
	for _, a := range h.Adapters {
		if a.Ready {
			f.arrived(now, m, a.Adapter, out)
		}
	}
	f.pump(now, out)
}

// sent records that a request goes to an upstream.
func (f *Fleet) sent(now time.Time, m *Member, key wardturn.ModelAdapter, prompt wardturn.Tokens) {
	m.running++
	m.prefill += int(prompt)
	m.breaker.Tried(now)
	if key.Adapter == "" {
		return
	}
	u := m.uses[key]
	if u == nil {
		u = &AdapterCount{
			Key: key,
		}
		m.uses[key] = u
	}
	u.Started++
	u.Running++
	u.changed = true
}

// Began records that the answer to a request began: its prompt has been read.
func (f *Fleet) Began(id wardturn.UpstreamID, prompt wardturn.Tokens) {
	if m := f.members[id]; m != nil {
		m.prefill = max(0, m.prefill-int(prompt))
	}
}

// Ending is how a request at an upstream ended, as far as that tells of the
// upstream.
type Ending uint8

const (
	// EndedWell had its whole answer, or was refused as not run.
	EndedWell Ending = iota
	// EndedInError had an answer that says the upstream failed.
	EndedInError
	// EndedBroken had no answer, or a part of one.
	EndedBroken
	// EndedUnseen ended for a reason that tells nothing of the upstream.
	EndedUnseen
)

// Ended records the end of a request at an upstream. Call Began before, also for
// a request that had no answer.
func (f *Fleet) Ended(now time.Time, id wardturn.UpstreamID, key wardturn.ModelAdapter, how Ending) {
	m := f.members[id]
	if m == nil {
		return
	}
	if u := m.uses[key]; u != nil {
		u.Running--
		u.changed = true
	}
	m.running = max(0, m.running-1)
	m.atHold = max(0, m.atHold-1)
	switch how {
	case EndedUnseen:
		return
	case EndedBroken:
		m.breaker.Fail(now)
	default:
		m.breaker.Succeed()
	}
	bad := 0.0
	if how != EndedWell {
		bad = 1
	}
	m.failing += failWeight * (bad - m.failing)
}

// KeeperLost records that the keeper beside an engine cannot be reached: nothing
// can be loaded there for now.
func (f *Fleet) KeeperLost(id wardturn.UpstreamID) {
	if m := f.members[id]; m != nil {
		m.holding.Connected = false
	}
}

// AdapterCount counts this gateway's requests to an adapter of one engine.
type AdapterCount struct {
	Key     wardturn.ModelAdapter
	Started int // since it was last reported
	Running int
	changed bool
}

// Usage returns what changed in the use of a member's adapters since the last
// call.
func (f *Fleet) Usage(id wardturn.UpstreamID) []AdapterCount {
	m := f.members[id]
	if m == nil {
		return nil
	}
	var list []AdapterCount
	for key, u := range m.uses {
		if !u.changed {
			continue
		}
		list = append(list, *u)
		u.Started = 0
		u.changed = false
		if u.Running == 0 {
			delete(m.uses, key)
		}
	}
	return list
}

// Misplaced records that an upstream's address answers as another lifetime or
// refuses connections. That is newer than the list, and holds until the list
// names another address.
func (f *Fleet) Misplaced(id wardturn.UpstreamID) {
	if m := f.members[id]; m != nil {
		m.misplaced = true
	}
}

// Found records that an upstream answered under its own name.
func (f *Fleet) Found(id wardturn.UpstreamID) {
	if m := f.members[id]; m != nil {
		m.misplaced = false
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

// usable reports whether a member may be given a request.
func (m *Member) usable(now time.Time, tried []wardturn.UpstreamID) bool {
	if m.Draining || m.misplaced || !m.breaker.Allows(now) {
		return false
	}
	return !slices.Contains(tried, m.ID)
}

// load estimates the requests at a member: what its keeper saw there and what
// this gateway has sent since. Without a keeper only the own ones are known.
func (m *Member) load() int {
	if !m.holding.Known {
		return m.running
	}
	return max(m.running, m.holding.Running+m.holding.Queued+m.running-m.atHold)
}

// The costs of a choice, in milliseconds that a request is expected to lose.
const (
	// farCost stands for the price of traffic between failure domains, some
	// thirtieth of a request's worth. 0 to 30 measured alike.
	farCost = 20.0
	// runCost is what each request at an engine costs another: its prompt is
	// read and its tokens are made in the same steps.
	runCost = 3.0
	// failCost is what a request loses that has to be sent once more, or cannot.
	failCost = 500.0
	// failWeight is the weight of one request in the share that fails: some ten
	// requests show a fault.
	failWeight = 0.1
	// prefillRate is how many tokens of prompts an engine of today reads in a
	// millisecond. While it does, those that run there get their tokens later.
	prefillRate = 40.0
)

// best returns the member of the least cost among those that match.
func (f *Fleet) best(list []*Member, match func(*Member) bool) *Member {
	var best *Member
	least := 0.0
	for _, m := range list {
		if !match(m) {
			continue
		}
		if c := f.cost(m); best == nil || c < least {
			best = m
			least = c
		}
	}
	return best
}

func (f *Fleet) cost(m *Member) float64 {
	c := float64(m.prefill)/prefillRate + runCost*float64(m.load())
	if m.Domain != f.cfg.Domain {
		c += farCost
	}
	return c + failCost*m.failing
}

// fill is the load as a part of what the member works on at once.
func (m *Member) fill() float64 {
	return float64(m.load()) / float64(max(m.Slots, 1))
}

// loads reports whether an engine can be asked for adapters of a model.
func (m *Member) loads(now time.Time, model wardturn.BaseModel) bool {
	return m.usable(now, nil) && m.holding.Connected && m.holding.Known && slices.Contains(m.holding.Models, model)
}

// homes returns the engines that may load an adapter, the first choice first: all
// gateways agree on the order, so that a cold adapter is loaded once. With near
// set only engines of the own failure domain count.
func (f *Fleet) homes(now time.Time, s wardturn.ServiceName, key wardturn.ModelAdapter, near bool) []*Member {
	h := hashString(string(key.Adapter))
	var list []*Member
	for _, m := range f.services[s] {
		if near && m.Domain != f.cfg.Domain {
			continue
		}
		if m.loads(now, key.Model) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(x, y *Member) int {
		return cmp.Compare(mix(h^y.hash), mix(h^x.hash))
	})
	return list
}
