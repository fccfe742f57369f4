package keeper

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
	"wardturn/process"
)

const (
	// busyPoll is the interval between reads of the engine's report while orders may be
	// due or are in progress.
	busyPoll = 10 * time.Millisecond
	idlePoll = 200 * time.Millisecond // interval otherwise
	// fenceRetryDelay is the delay after a failed attempt to write the start record. It is
	// constant because nothing can be loaded without a fence: with exponential backoff,
	// engines get no orders for seconds when all processes start at once and the store
	// refuses their first records.
	fenceRetryDelay = 400 * time.Millisecond
	conflictDelay   = 20 * time.Millisecond  // after an order that conflicted with another
	lostDelay       = 5 * time.Millisecond   // after an order without a response
	invalidDelay    = 500 * time.Millisecond // after an order that was rejected as invalid
)

// Config is the configuration of a keeper.
type Config struct {
	Process wardturn.Incarnation
	Name    string // host name
	// MaxConnections limits the connections of gateways and of other keepers. Zero means no limit.
	MaxConnections int
	// MaxMessageBytes limits the memory in bytes of messages of all connections together that are
	// read or wait to be sent, beyond a few KB for each connection. Zero means no limit.
	MaxMessageBytes int64
}

// Deps are the dependencies of a keeper.
type Deps struct {
	Config   Config
	Clock    wardturn.Clock
	Logger   hclog.Logger
	Scope    tally.Scope
	Engine   wardturn.EngineController
	Fences   wardturn.FenceSource
	Origins  wardturn.OriginStore
	Policy   wardturn.Policy
	Listener net.Listener
}

// Keeper manages the adapters of one engine.
type Keeper struct {
	cfg    Config
	clock  wardturn.Clock
	logger hclog.Logger
	scope  tally.Scope
	engine wardturn.EngineController
	fences wardturn.FenceSource
	server *peer.Server
	relays *relays
	tasks  *process.Tasks
	wake   chan struct{}

	mu               sync.Mutex
	placement        *decide.Placement
	configVersion    int64               // version of the configuration in the latest EngineConfig
	sizesVersion     int64               // the same of the latest EngineSizes
	sizes            wardturn.EngineSpec // from that
	upstream         wardturn.UpstreamID // the engine's current lifetime, from gateways and reports
	upstreamPosition wardturn.Position   // position of the list entry with this lifetime
	fence            wardturn.Fence
	takingFence      bool                // a goroutine is writing a start record
	registered       map[*peer.Conn]bool // connections that have sent an EngineConfig
	gateways         map[string]int      // number of these connections, by the gateway's host
	forwardTo        map[*peer.Conn]bool // connections that get messages between gateways
	prefill          map[*peer.Conn]int  // tokens of long prompts in prefill, by gateway
	sent             *engineSnapshot     // snapshot that the subscribers have
	subscribers      subscribers
	gatewayCountAt   time.Time // when an update with only a new number of gateways may be sent
	pendingGossip    gossip
	startedQueries   startedQueries
	streamOrigins    *decide.StreamOrigins // guarded by mu
	originRecords    *process.Batcher[wardturn.StreamRecord]
	turns            prefillTurns
}

// New creates and starts a keeper.
func New(d Deps) *Keeper {
	k := &Keeper{
		cfg:            d.Config,
		clock:          d.Clock,
		logger:         d.Logger,
		scope:          d.Scope,
		engine:         d.Engine,
		fences:         d.Fences,
		tasks:          process.NewTasks(d.Clock),
		wake:           make(chan struct{}, 1),
		registered:     make(map[*peer.Conn]bool),
		gateways:       make(map[string]int),
		forwardTo:      make(map[*peer.Conn]bool),
		prefill:        make(map[*peer.Conn]int),
		placement:      decide.NewPlacement(d.Clock.Now(), d.Policy),
		sent:           &engineSnapshot{},
		subscribers:    newSubscribers(),
		startedQueries: newStartedQueries(),
		streamOrigins:  decide.NewStreamOrigins(),
		turns:          newPrefillTurns(d.Scope),
	}
	k.originRecords = k.newOriginRecords(d.Origins)
	k.takeFence()
	id := peer.Identity{
		Role:    peer.RoleAgent,
		Process: d.Config.Process,
		Config: func() wardturn.Offset {
			return 0
		},
	}
	k.relays = newRelays(k, id)
	limits := peer.Limits{
		Messages: process.NewByteBudget(d.Config.MaxMessageBytes),
	}
	connections := process.NewConnLimit("peers", d.Config.MaxConnections, d.Clock, d.Logger, d.Scope)
	k.server = peer.NewServer(connections.Listener(d.Listener), nil, d.Clock, id, limits, k)
	k.tasks.Go(k.run)
	k.tasks.Go(k.answerStarted)
	k.tasks.Every(turnKeepAlive, k.checkTurns)
	k.logger.Info("keeper started", "addr", d.Listener.Addr(), "process", d.Config.Process)
	return k
}

// Close stops the keeper immediately. No requests pass through it, so there is nothing to
// drain.
func (k *Keeper) Close() {
	k.logger.Info("keeper stopping")
	k.tasks.Stop()
	k.server.Close()
	k.relays.close()
	k.tasks.Wait()
}

// takeFence writes a start record in the background, with retries. The fence of all orders
// after it is derived from the record's position. Until then no orders are given.
func (k *Keeper) takeFence() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fence = 0
	k.renewFence()
}

// renewFence is takeFence, but orders are given with the current fence meanwhile. The lock must be held.
func (k *Keeper) renewFence() {
	if k.takingFence {
		return
	}
	k.takingFence = true
	k.tasks.Go(func() {
		for {
			fence, err := k.fences.TakeFence(k.cfg.Process)
			if err == nil {
				k.mu.Lock()
				k.fence = fence
				k.takingFence = false
				k.mu.Unlock()
				k.logger.Info("fence taken", "fence", fence)
				k.wakeUp()
				return
			}
			// If the record was written but the reply was lost, that fence is skipped.
			k.logger.Warn("taking a fence failed; no orders are given until it succeeds", "error", err)
			if !k.tasks.Sleep(fenceRetryDelay) {
				return
			}
		}
	})
}

// wakeUp ends the wait before the next poll.
func (k *Keeper) wakeUp() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// run polls the engine's report and gives the orders that are due. It is the only goroutine
// that gives orders.
func (k *Keeper) run() {
	for k.tasks.Context().Err() == nil {
		k.poll()
		if k.giveNextOrder() {
			continue
		}
		k.waitForPoll()
	}
}

// waitForPoll waits until the next poll is due or wakeUp is called.
func (k *Keeper) waitForPoll() {
	k.mu.Lock()
	wait := idlePoll
	if k.placement.MayHaveOrder() {
		wait = busyPoll
	}
	k.mu.Unlock()
	elapsed := make(chan struct{})
	timer := k.clock.AfterFunc(wait, func() {
		close(elapsed)
	})
	defer timer.Stop()
	select {
	case <-k.wake:
	case <-elapsed:
	case <-k.tasks.Context().Done():
	}
}

// poll gets a new report and sends the changes to the gateways.
func (k *Keeper) poll() {
	st, err := k.engine.Report()
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		if k.placement.Known() {
			k.logger.Warn("engine gives no report", "error", err)
		}
		k.placement.EngineLost()
		k.sendUpdate()
		return
	}
	if !k.placement.Known() {
		k.logger.Info("engine reports", "seq", st.Seq, "models", len(st.Models), "upstream", st.Upstream)
	}
	if lifetime := reportedLifetime(st, k.upstream); lifetime != k.upstream {
		k.startLifetime(lifetime)
	}
	k.placement.Report(k.clock.Now(), st)
	k.sendUpdate()
}

// giveNextOrder gives the order that is due, if any, and reports whether to poll again
// without delay.
func (k *Keeper) giveNextOrder() bool {
	k.mu.Lock()
	if k.fence == 0 || k.upstream == "" {
		k.mu.Unlock()
		return false
	}
	next, ok := k.placement.Next(k.clock.Now())
	k.sendUpdate() // an adapter may have been chosen for eviction
	if !ok {
		k.mu.Unlock()
		return false
	}
	order := wardturn.EngineOrder{
		Unload:      next.Unload,
		Target:      next.Target,
		Version:     next.Version,
		Upstream:    k.upstream,
		ExpectedSeq: k.placement.State().Seq,
		Holder:      k.cfg.Process,
		Fence:       k.fence,
	}
	k.mu.Unlock()
	return k.giveOrder(order)
}

// giveOrder sends an order to the engine and reports whether it was accepted or had nothing
// to change. Otherwise the next order is delayed.
func (k *Keeper) giveOrder(o wardturn.EngineOrder) bool {
	result := k.engine.Order(o)
	k.scope.Tagged(map[string]string{
		"answer": result.String(),
	}).Counter("orders").Inc(1)
	k.logger.Debug("order", "unload", o.Unload, "adapter", o.Target.Adapter, "version", o.Version, "seq", o.ExpectedSeq, "answer", result)
	delay := time.Duration(0)
	switch result {
	case wardturn.OrderAccepted, wardturn.OrderNoChange:
		return true
	case wardturn.OrderConflict:
		delay = conflictDelay
	case wardturn.OrderLost:
		delay = lostDelay
	case wardturn.OrderInvalid:
		delay = invalidDelay
	case wardturn.OrderStale:
		k.logger.Warn("order refused because of a newer holder; taking a new fence", "fence", o.Fence)
		k.takeFence()
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.logger.Info("order not taken", "unload", o.Unload, "adapter", o.Target.Adapter, "seq", o.ExpectedSeq, "occupied", k.placement.Occupied(), "upstream", o.Upstream, "answer", result)
	k.placement.Defer(k.clock.Now().Add(delay))
	return false
}

// AcceptFailed implements peer.AcceptErrorHandler.
func (k *Keeper) AcceptFailed(err error) {
	k.logger.Error("accepting connections failed", "error", err)
}

// Handle implements peer.Handler.
func (k *Keeper) Handle(c *peer.Conn, m peer.Message) {
	if f, ok := m.(*peer.Follow); ok {
		k.relays.follow(c, f)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	switch m := m.(type) {
	case *peer.EngineConfig:
		k.handleEngineConfig(c, m)
	case *peer.EngineSizes:
		k.handleEngineSizes(m)
	case *peer.LoadRequest:
		k.placement.RequestLoad(now, c.Peer().Process, m.Adapter, m.Waiting, m.OldestWait)
		k.subscribeAdapter(c, m.Adapter.Key())
		k.wakeUp()
	case *peer.UrgentLoadRequest:
		k.placement.RequestUrgentLoad(now, c.Peer().Process, m.Adapter, m.Waiting, m.OldestWait, decide.LoadUrgency{
			Weight: m.Weight,
			LateAt: now.Add(m.LateIn),
		})
		k.subscribeAdapter(c, m.Adapter.Key())
		k.wakeUp()
	case *peer.Subscribe:
		k.addSubscriber(c)
	case *peer.Ping:
		k.subscribers.sendMark(c, k.sent.seq)
	case *peer.PrefillReport:
		k.prefill[c] = m.Tokens
		k.sendUpdate()
	case *peer.PrefillRequest:
		k.handlePrefillRequest(c, m)
	case *peer.PrefillDone:
		k.handlePrefillDone(c, m)
	case *peer.ReadAnnouncement, *peer.CrashAnnouncement:
		k.forward(c, m)
	case *peer.ConfigAnnouncement:
		k.forwardFeature(c, m, peer.FeatureConfigRecords)
	case *peer.PartAnnouncement:
		k.forwardFeature(c, m, peer.FeaturePromptParts)
	case *peer.TeamUsageReports:
		k.queueGossip(gossip{
			teams: m.Reports,
		})
	case *peer.LimitGossip:
		k.queueGossip(gossip{
			limits: m.Messages,
		})
	case *peer.PlainLoadReports:
		k.queueGossip(gossip{
			plain: m.Reports,
		})
	case *peer.StreamStarts:
		for _, s := range m.Starts {
			k.streamOrigins.Record(now, s.Attempt, s.Origin, now.Add(s.For))
		}
	case *peer.StreamRecords:
		k.originRecords.Add(m.Records...)
	case *peer.OriginQuery:
		k.replyOrigin(c, now, m)
	case *peer.SoftwareAnnouncement:
		k.forwardFeature(c, m, peer.FeatureStreamOrigins)
	case *peer.StartedQuery:
		k.startedQueries.add(c, m.IDs)
	case *peer.AdapterUsage:
		for _, u := range m.Uses {
			k.placement.ReportUse(now, c.Peer().Process, u.Adapter, u.Started, u.Running)
		}
		k.subscribers.sendMark(c, k.sent.seq)
	}
}
