package agent

import (
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/dig"

	"wardturn"
	"wardturn/control"
	"wardturn/decide"
	"wardturn/peer"
	"wardturn/process"
)

const (
	tickEvery = 50 * time.Millisecond
	sweepEach = 5 * time.Second
)

// Deps are what an agent is built from.
type Deps struct {
	dig.In

	Config   Config
	Clock    wardturn.Clock
	Logger   hclog.Logger
	Metrics  *Metrics
	Log      wardturn.Log
	Hosts    wardturn.HostList
	Engine   wardturn.Engine  `optional:"true"`
	Service  wardturn.Service `optional:"true"`
	Policy   wardturn.Policy
	Listener net.Listener
	TLS      *tls.Config `optional:"true"`
}

// Agent serves one upstream.
type Agent struct {
	cfg     Config
	clock   wardturn.Clock
	logger  hclog.Logger
	metrics *Metrics
	engine  wardturn.Engine
	service wardturn.Service
	hosts   wardturn.HostList
	replica *control.Replica
	claimer *control.Claimer
	server  *peer.Server
	tls     *tls.Config

	// applying is held from the reading of a document until it is in force, so that
	// an older one does not land after a newer. It is taken before mu.
	applying sync.Mutex

	mu       sync.Mutex
	core     *decide.Agent
	ledger   *decide.Ledger
	attempts map[wardturn.AttemptID]*attempt
	past     []*attempt // whose answers are kept, oldest first
	kept     int        // bytes of them
	orders   decide.Orders
	fence    wardturn.Fence
	unfenced int             // orders not given for want of a fence
	builtin  wardturn.Policy // in force while none is published
	alloc    *allocatorRole
	started  time.Time
	listed   listedAs // what the platform's list has shown of this process
	leaving  bool
	idle     chan struct{} // closed when leaving and nothing is left
	closed   bool
	tasks    *process.Tasks
}

// New starts an agent. It serves at once with what its engine holds; orders to
// the engine wait for the fence from the log.
func New(d Deps) *Agent {
	cfg := d.Config.WithDefaults()
	now := d.Clock.Now()
	a := &Agent{
		cfg:      cfg,
		clock:    d.Clock,
		logger:   d.Logger.With("upstream", cfg.Upstream),
		metrics:  d.Metrics,
		engine:   d.Engine,
		service:  d.Service,
		hosts:    d.Hosts,
		tls:      d.TLS,
		ledger:   decide.NewLedger(cfg.MaxEndedAttempts, cfg.AttemptTTL),
		attempts: make(map[wardturn.AttemptID]*attempt),
		builtin:  d.Policy,
		idle:     make(chan struct{}),
		started:  now,
		tasks:    process.NewTasks(d.Clock),
	}
	a.core = decide.NewAgent(now, decide.AgentConfig{
		Upstream:   cfg.Upstream,
		Slots:      cfg.Slots,
		MaxRunning: cfg.MaxRunning,
		MaxQueue:   cfg.MaxQueue,
	}, d.Policy, a.newPermits())
	a.replica = control.NewReplica(d.Log, d.Clock, a.logger, cfg.Service != "")
	a.claimer = control.NewClaimer(a.replica, d.Clock, cfg.Upstream, cfg.Process)
	a.alloc = newAllocatorRole(a)
	a.server = peer.NewServer(d.Listener, d.TLS, d.Clock, a.identity(), (*inbound)(a))
	a.begin()
	return a
}

func (a *Agent) newPermits() decide.Permits {
	return decide.NewAllocatedPermits(a.cfg.Store, a.cfg.StoreAgents)
}

func (a *Agent) identity() peer.Identity {
	return peer.Identity{
		Role:     peer.RoleAgent,
		Process:  a.cfg.Process,
		Upstream: a.cfg.Upstream,
		Config:   a.replica.Applied,
	}
}

// begin starts what happens by itself.
func (a *Agent) begin() {
	a.tasks.Every(tickEvery, a.tick)
	a.tasks.Every(sweepEach, a.sweep)
	a.tasks.Go(a.watchHosts)
	if a.engine != nil {
		a.tasks.Go(a.takeFence)
		a.tasks.Go(a.watchEngine)
	}
	a.replica.Watch(a.onConfig)
	a.applyPolicy()
	a.applyShares()
	a.checkDrain()
	a.logger.Info("agent started", "addr", a.server.Addr(), "process", a.cfg.Process)
}

// Addr returns the address that peers connect to.
func (a *Agent) Addr() string {
	return a.server.Addr().String()
}

// Close ends the agent at once, as a crash would: nothing is waited for. Use
// Leave before for a planned stop.
func (a *Agent) Close() {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.tasks.Stop()
	a.alloc.close()
	a.server.Close()
	a.replica.Close()
	a.tasks.Wait()
}

// Leave refuses new work, hands queued work back as not run, and returns a
// channel that is closed when the last running request has ended.
func (a *Agent) Leave() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leave("signal")
	return a.idle
}

// leave starts to leave; the lock is held.
func (a *Agent) leave(why string) {
	if a.leaving {
		return
	}
	a.leaving = true
	a.logger.Info("leaving", "why", why, "attempts", len(a.attempts))
	a.do(a.core.Leave)
	a.server.Broadcast(a.hint())
	a.checkIdle()
}

func (a *Agent) hint() *peer.Hint {
	return &peer.Hint{
		Upstream: a.cfg.Upstream,
		Hint:     a.core.Hint(),
	}
}

// checkIdle closes idle when a leaving agent has nothing left to do.
func (a *Agent) checkIdle() {
	if !a.leaving || !a.core.Idle() {
		return
	}
	for _, t := range a.attempts {
		if !t.ended {
			return
		}
	}
	select {
	case <-a.idle:
	default:
		close(a.idle)
	}
}

// do passes an event to the core and carries out its orders; the lock is held.
func (a *Agent) do(event func(now time.Time, out *decide.Orders)) {
	orders := a.orders
	a.orders = decide.Orders{}
	orders.Reset()
	event(a.clock.Now(), &orders)
	a.carryOut(&orders)
	a.orders = orders
}

// event is do for callers without the lock.
func (a *Agent) event(f func(now time.Time, out *decide.Orders)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.do(f)
}

func (a *Agent) carryOut(o *decide.Orders) {
	for _, r := range o.Refuse {
		if t := a.attempts[r.Attempt]; t != nil {
			a.finish(t, r.Outcome)
		}
	}
	for _, so := range o.Unload {
		a.startOrder(so, a.unload)
	}
	for _, so := range o.Load {
		a.startOrder(so, a.load)
	}
	for _, st := range o.Run {
		a.startRun(st)
	}
	for _, w := range o.PermitRequests {
		a.alloc.wish(w)
	}
}

func (a *Agent) tick() {
	a.event(a.core.Tick)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checkIdle()
}

// sweep forgets ended attempts with their answers.
func (a *Agent) sweep() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	for id, t := range a.attempts {
		if t.ended && now.Sub(t.endedAt) > a.cfg.AttemptTTL {
			delete(a.attempts, id)
		}
	}
	for len(a.past) > 0 && now.Sub(a.past[0].endedAt) > a.cfg.AttemptTTL {
		a.dropOldest()
	}
	a.ledger.Sweep(now)
	a.ledger.SweepHighWaterMarks(now)
	a.metrics.observe(a.core, len(a.attempts))
}

// Status is a copy of an agent's state for status pages and tests.
type Status struct {
	Hint    decide.Hint
	Slots   []decide.SlotView
	Fence   wardturn.Fence
	Config  wardturn.Offset
	Leaving bool
	Policy  string // in force
	// Refusals counts orders that the agent did not give for want of a fence.
	Refusals int
	Shadow   *decide.ShadowStats // nil without a shadow policy
}

// Status returns the agent's present state.
func (a *Agent) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	st := Status{
		Hint:    a.core.Hint(),
		Slots:   a.core.Slots(),
		Fence:   a.fence,
		Config:  a.replica.Applied(),
		Leaving: a.leaving,
		Policy:  a.core.PolicyName(),

		Refusals: a.unfenced,
	}
	if sh, ok := a.core.Shadow(); ok {
		st.Shadow = &sh
	}
	return st
}
