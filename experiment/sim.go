package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/standin"
)

const (
	tickInterval   = 50 * time.Millisecond
	reportInterval = 500 * time.Millisecond
	// drainLimit bounds the virtual time that is simulated after the last arrival.
	drainLimit = 4 * time.Hour
	// maxEntryTries bounds the number of upstreams that an entry tries per request.
	maxEntryTries = 3
)

// sim simulates one system that serves one trace with one policy.
type sim struct {
	setup        Setup
	clock        *standin.Clock
	store        *standin.Store
	rng          *rand.Rand
	nodes        []*node
	entries      []*entry
	allocators   []*allocator
	trace        []Request
	nextArrival  int // index of the next arrival in trace
	openRequests int // requests that have not ended
	samples      []sample
	onSecond     func(now time.Duration)
}

// sample is the result of one request.
type sample struct {
	class   wardturn.Class
	arrival time.Duration
	stall   time.Duration // wait for the adapter's load
	ttft    time.Duration // time to first token
	wait    time.Duration // from arrival until the start of the run
	outcome wardturn.Outcome
	ended   bool
}

// entry is an entry host: a router with its own view of the upstreams.
type entry struct {
	router *decide.Router
}

// node is an upstream with its agent.
type node struct {
	sim    *sim
	host   wardturn.Host
	agent  *decide.Agent
	engine *standin.Engine
	alloc  *allocator
	orders decide.Orders
	calls  map[wardturn.AttemptID]*call
}

// call is a request in progress.
type call struct {
	id     wardturn.AttemptID
	index  int // in the trace
	entry  *entry
	node   *node
	tried  []wardturn.UpstreamID
	sentAt time.Duration
}

// allocator is an allocator core with the timer for its next permit.
type allocator struct {
	sim   *sim
	core  *decide.Allocator
	timer wardturn.Timer
}

func newSim(trace []Request, setup Setup, mode decide.RouteMode, policies func() wardturn.Policy, seed uint64) *sim {
	s := &sim{
		setup:   setup,
		clock:   standin.NewClock(),
		rng:     rand.New(rand.NewPCG(seed, 0x73696d)),
		trace:   trace,
		samples: make([]sample, len(trace)),
	}
	s.store = standin.NewStore(s.clock, standin.StoreConfig{
		Rate:        setup.StoreRate,
		MaxParallel: setup.StoreParallel,
		FetchTime:   setup.LoadTime,
	})
	s.addAllocators()
	for i := range setup.Upstreams {
		s.addNode(i, policies())
	}
	s.addEntries(mode)
	s.scheduleFaults()
	return s
}

func (s *sim) limit() decide.StoreLimit {
	return decide.StoreLimit{
		Rate:     s.setup.StoreRate,
		Parallel: s.setup.StoreParallel,
	}
}

func (s *sim) addAllocators() {
	n := 0
	switch s.setup.Share {
	case ShareAllocator:
		n = 1
	case ShareTwoAllocators:
		n = 2
	}
	for i := range n {
		s.allocators = append(s.allocators, &allocator{
			sim:  s,
			core: decide.NewAllocator(s.limit(), uint64(i+1)),
		})
	}
}

func (s *sim) permits() decide.Permits {
	switch s.setup.Share {
	case ShareStatic:
		return decide.NewStaticPermits(s.limit(), s.setup.Upstreams)
	case ShareAdaptive:
		return decide.NewAdaptivePermits(s.limit(), s.setup.Upstreams)
	}
	return decide.NewAllocatedPermits(s.limit(), s.setup.Upstreams)
}

func (s *sim) addNode(i int, p wardturn.Policy) {
	engineCfg := s.setup.Engine
	engineCfg.Slots = s.setup.Slots
	if s.setup.Batch > 0 {
		engineCfg.MaxBatch = s.setup.Batch
	}
	agentCfg := s.setup.Agent
	agentCfg.Upstream = wardturn.UpstreamID(fmt.Sprintf("u%03d", i))
	agentCfg.Slots = engineCfg.Slots
	agentCfg.MaxRunning = engineCfg.MaxBatch
	if agentCfg.MaxQueue == 0 {
		agentCfg.MaxQueue = len(s.trace)
	}
	agentCfg.LoadTime = s.setup.LoadTime
	n := &node{
		sim: s,
		host: wardturn.Host{
			Upstream: agentCfg.Upstream,
			Region:   "r",
			Domain:   wardturn.FailureDomain(fmt.Sprintf("d%d", i%3)),
		},
		engine: standin.NewEngine(s.clock, s.store, engineCfg),
		calls:  make(map[wardturn.AttemptID]*call),
	}
	n.agent = decide.NewAgent(s.clock.Now(), agentCfg, p, s.permits())
	if len(s.allocators) > 0 {
		n.alloc = s.allocators[i%len(s.allocators)]
	}
	s.nodes = append(s.nodes, n)
	n.tick()
	n.report()
}

func (s *sim) addEntries(mode decide.RouteMode) {
	hosts := make([]wardturn.Host, 0, len(s.nodes))
	for _, n := range s.nodes {
		hosts = append(hosts, n.host)
	}
	for i := range s.setup.Entries {
		cfg := s.setup.Router
		cfg.Mode = mode
		cfg.Region = "r"
		cfg.Domain = wardturn.FailureDomain(fmt.Sprintf("d%d", i%3))
		e := &entry{
			router: decide.NewRouter(cfg),
		}
		e.router.SetHosts(hosts)
		s.entries = append(s.entries, e)
	}
}

// run simulates the whole trace. It stops when all requests have ended or after drainLimit.
func (s *sim) run() {
	s.openRequests = len(s.trace)
	s.scheduleArrival()
	end := s.trace[len(s.trace)-1].ArrivalTime() + drainLimit
	second := time.Duration(0)
	for s.openRequests > 0 && s.elapsed() < end && s.clock.Step() {
		if s.onSecond != nil && s.elapsed() >= second {
			s.onSecond(second)
			second += time.Second
		}
	}
}

// elapsed returns the time since the start of the trace.
func (s *sim) elapsed() time.Duration {
	return s.clock.Now().Sub(standin.Epoch)
}

func (s *sim) scheduleArrival() {
	if s.nextArrival == len(s.trace) {
		return
	}
	s.clock.AfterFunc(s.trace[s.nextArrival].ArrivalTime()-s.elapsed(), func() {
		i := s.nextArrival
		s.nextArrival++
		s.arrive(i)
		s.scheduleArrival()
	})
}

// arrive processes the arrival of request i of the trace.
func (s *sim) arrive(i int) {
	req := s.trace[i]
	class, _ := wardturn.ParseClass(req.Class)
	s.samples[i] = sample{
		class:   class,
		arrival: req.ArrivalTime(),
	}
	if s.setup.OmitBatch && class == wardturn.Batch {
		s.openRequests--
		return
	}
	c := &call{
		index: i,
		entry: s.entries[s.rng.IntN(len(s.entries))],
		id: wardturn.AttemptID{
			Entry: "trace",
			Seq:   uint64(i) + 1,
		},
		sentAt: req.ArrivalTime(),
	}
	s.send(c)
}

// send routes a request and sends it to the upstream.
func (s *sim) send(c *call) {
	req := s.trace[c.index]
	id, ok := c.entry.router.Pick(s.clock.Now(), decide.RouteRequest{
		Adapter: req.AdapterRef(),
		Tried:   c.tried,
	})
	if !ok {
		s.end(c, wardturn.Refused(wardturn.ReasonNoUpstream, 0))
		return
	}
	c.tried = append(c.tried, id)
	c.node = s.node(id)
	c.entry.router.RequestSent(id)
	s.clock.AfterFunc(s.setup.NetworkDelay, func() {
		c.node.admit(c)
	})
}

func (s *sim) node(id wardturn.UpstreamID) *node {
	for _, n := range s.nodes {
		if n.host.Upstream == id {
			return n
		}
	}
	panic("experiment: router chose an unknown upstream")
}

// reply sends an outcome and a hint back to the entry, which may retry the request.
func (s *sim) reply(c *call, outcome wardturn.Outcome) {
	hint := c.node.agent.Hint()
	s.clock.AfterFunc(s.setup.NetworkDelay, func() {
		c.entry.router.RequestEnded(s.clock.Now(), c.node.host.Upstream, true)
		c.entry.router.Hint(s.clock.Now(), c.node.host.Upstream, hint)
		retry := outcome.Reason == wardturn.ReasonQueueFull || outcome.Reason == wardturn.ReasonLeaving
		if retry && len(c.tried) < maxEntryTries {
			s.send(c)
			return
		}
		s.end(c, outcome)
	})
}

func (s *sim) end(c *call, outcome wardturn.Outcome) {
	sm := &s.samples[c.index]
	sm.outcome = outcome
	sm.ended = true
	s.openRequests--
	if outcome.Kind == wardturn.NotRun {
		// A refused request counts as stalled until its deadline.
		sm.stall = time.Duration(s.trace[c.index].DeadlineMS) * time.Millisecond
	}
}

// send sends grants to their agents and sets the timer for the next permit.
func (a *allocator) send(grants []decide.Grant) {
	for _, g := range grants {
		n := a.sim.node(g.Upstream)
		a.sim.clock.AfterFunc(a.sim.setup.NetworkDelay, func() {
			n.handleEvent(func(now time.Time, out *decide.Orders) {
				n.agent.Granted(now, g, out)
			})
		})
	}
	if a.timer != nil {
		a.timer.Stop()
		a.timer = nil
	}
	now := a.sim.clock.Now()
	if wait, ok := a.core.Next(now); ok {
		a.timer = a.sim.clock.AfterFunc(wait+time.Microsecond, func() {
			a.send(a.core.Tick(a.sim.clock.Now(), nil))
		})
	}
}

func (s *sim) scheduleFaults() {
	for _, f := range s.setup.Faults {
		s.clock.AfterFunc(f.At, func() {
			s.injectFault(f)
		})
		if f.Duration > 0 {
			s.clock.AfterFunc(f.At+f.Duration, func() {
				s.store.SetFaults(standin.StoreFaults{})
			})
		}
	}
}

func (s *sim) injectFault(f Fault) {
	switch f.Kind {
	case FaultStoreDown:
		s.store.SetFaults(standin.StoreFaults{
			Down: true,
		})
	case FaultStoreSlow:
		s.store.SetFaults(standin.StoreFaults{
			Slow: f.Factor,
		})
	case FaultLoadFail:
		s.store.SetFaults(standin.StoreFaults{
			Fail: func(wardturn.AdapterRef) error {
				if s.rng.Float64() < f.Factor {
					return wardturn.ErrUnavailable
				}
				return nil
			},
		})
	case FaultRestart:
		for i, n := range s.nodes {
			if float64(i) < f.Factor*float64(len(s.nodes)) {
				n.engine.Restart()
			}
		}
	}
}
