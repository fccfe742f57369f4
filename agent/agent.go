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
	tickInterval  = 50 * time.Millisecond
	sweepInterval = 5 * time.Second
)

// Deps holds the dependencies of an Agent.
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

	// applyMu is held from the read of a configuration document until the document is
	// current, so that an older version is not applied after a newer one. It is
	// acquired before mu.
	applyMu sync.Mutex

	mu               sync.Mutex
	core             *decide.Agent
	ledger           *decide.Ledger
	attempts         map[wardturn.AttemptID]*attempt
	retained         []*attempt // ended attempts whose responses are retained, oldest first
	retainedBytes    int        // total bytes of the retained responses
	orders           decide.Orders
	fence            wardturn.Fence
	suppressedOrders int             // orders not sent because there is no fence yet
	builtin          wardturn.Policy // used while no policy is published
	allocator        *allocatorRole
	started          time.Time
	listing          listingState // states of this agent seen in the host list
	leaving          bool
	idle             chan struct{} // closed when the agent is leaving and has no work left
	closed           bool
	bodies           *process.ByteBudget // bodies of requests that wait or run
	tasks            *process.Tasks
}

// New starts an agent. It immediately serves requests for the adapters that its
// engine holds; orders to the engine wait until the log has assigned a fence.
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
		bodies:   process.NewByteBudget(cfg.MaxQueuedBytes),
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
	a.allocator = newAllocatorRole(a)
	limits := peer.Limits{
		Messages: process.NewByteBudget(cfg.MaxMessageBytes),
	}
	connections := process.NewConnLimit("peers", cfg.MaxConnections, d.Clock, d.Logger, d.Metrics.scope)
	a.server = peer.NewServer(connections.Listener(d.Listener), d.TLS, d.Clock, a.identity(), limits, (*peerHandler)(a))
	a.start()
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
		Config:   a.replica.AppliedOffset,
	}
}

// start starts the background tasks and applies the current configuration.
func (a *Agent) start() {
	a.tasks.Every(tickInterval, a.tick)
	a.tasks.Every(sweepInterval, a.sweep)
	a.tasks.Go(a.watchHosts)
	if a.engine != nil {
		a.tasks.Go(a.acquireFence)
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

// Close stops the agent immediately, as a crash would, without waiting for running
// requests. For a planned shutdown call Shutdown first.
func (a *Agent) Close() {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.tasks.Stop()
	a.allocator.close()
	a.server.Close()
	a.replica.Close()
	a.tasks.Wait()
}

// Shutdown makes the agent refuse new requests and return the queued ones as not run. It
// returns a channel that is closed when the last running request has ended.
func (a *Agent) Shutdown() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.startLeaving("signal")
	return a.idle
}

// startLeaving starts the shutdown. a.mu is held.
func (a *Agent) startLeaving(why string) {
	if a.leaving {
		return
	}
	a.leaving = true
	a.logger.Info("leaving", "why", why, "attempts", len(a.attempts))
	a.applyLocked(a.core.Leave)
	a.server.Broadcast(a.hint())
	a.checkIdle()
}

func (a *Agent) hint() *peer.Hint {
	return &peer.Hint{
		Upstream: a.cfg.Upstream,
		Hint:     a.core.Hint(),
	}
}

// checkIdle closes a.idle if the agent is leaving and has no work left. a.mu is held.
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

// applyLocked passes an event to the core and executes the resulting orders. a.mu is
// held.
func (a *Agent) applyLocked(event func(now time.Time, out *decide.Orders)) {
	orders := a.orders
	a.orders = decide.Orders{}
	orders.Reset()
	event(a.clock.Now(), &orders)
	a.execute(&orders)
	a.orders = orders
}

// apply is like applyLocked, for callers that do not hold a.mu.
func (a *Agent) apply(f func(now time.Time, out *decide.Orders)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyLocked(f)
}

func (a *Agent) execute(o *decide.Orders) {
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
		a.allocator.requestPermit(w)
	}
}

func (a *Agent) tick() {
	a.apply(a.core.Tick)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checkIdle()
}

// sweep removes ended attempts and their responses after the configured time.
func (a *Agent) sweep() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	for id, t := range a.attempts {
		if t.ended && now.Sub(t.endedAt) > a.cfg.AttemptTTL {
			delete(a.attempts, id)
		}
	}
	for len(a.retained) > 0 && now.Sub(a.retained[0].endedAt) > a.cfg.AttemptTTL {
		a.dropOldest()
	}
	a.ledger.Sweep(now)
	a.ledger.SweepHighWaterMarks(now)
	a.metrics.observe(a.core, len(a.attempts))
}

// Status is a snapshot of an agent's state for status pages and tests.
type Status struct {
	Hint    decide.Hint
	Slots   []decide.SlotView
	Fence   wardturn.Fence
	Config  wardturn.Offset
	Leaving bool
	Policy  string // name of the current policy
	// SuppressedOrders counts the orders that the agent did not send because it had no fence.
	SuppressedOrders int
	Shadow           *decide.ShadowStats // nil if there is no shadow policy
}

// Status returns a snapshot of the agent's state.
func (a *Agent) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	st := Status{
		Hint:    a.core.Hint(),
		Slots:   a.core.Slots(),
		Fence:   a.fence,
		Config:  a.replica.AppliedOffset(),
		Leaving: a.leaving,
		Policy:  a.core.PolicyName(),

		SuppressedOrders: a.suppressedOrders,
	}
	if sh, ok := a.core.Shadow(); ok {
		st.Shadow = &sh
	}
	return st
}
