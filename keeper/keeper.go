package keeper

import (
	"cmp"
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
	busyPoll = 10 * time.Millisecond  // of the engine's report while orders are due or under way
	restPoll = 200 * time.Millisecond // otherwise
	// fenceRetry is the pause after a failed start record. Without a fence nothing
	// can be loaded: a pause that doubles leaves engines without orders for seconds when
	// all processes start at once and the store refuses their first records.
	fenceRetry    = 400 * time.Millisecond
	conflictPause = 20 * time.Millisecond  // after an order that met another
	lostPause     = 5 * time.Millisecond   // after an order without answer
	invalidPause  = 500 * time.Millisecond // after one that makes no sense to the engine
)

// Config holds the settings of a keeper.
type Config struct {
	Process wardturn.Incarnation
	Name    string // of the host, in orders
}

// Deps are what a keeper is built from.
type Deps struct {
	Config   Config
	Clock    wardturn.Clock
	Logger   hclog.Logger
	Scope    tally.Scope
	Engine   wardturn.OrderedEngine
	Fences   wardturn.FenceSource
	Policy   wardturn.Policy
	Listener net.Listener
}

// Keeper holds the adapters of one engine.
type Keeper struct {
	cfg    Config
	clock  wardturn.Clock
	logger hclog.Logger
	scope  tally.Scope
	engine wardturn.OrderedEngine
	fences wardturn.FenceSource
	server *peer.Server
	relays *relays
	tasks  *process.Tasks
	wake   chan struct{}

	mu        sync.Mutex
	places    *decide.Places
	config    int64               // version of the latest notice
	upstream  wardturn.UpstreamID // the engine's present lifetime, as gateways and the engine say
	seen      wardturn.Position   // of the entry that named it
	fence     wardturn.Fence
	fencing   bool                // a start record is being written
	greeted   map[*peer.Conn]bool // connections that said which engine they mean
	gateways  map[string]int      // such connections, by the gateway's host
	hears     map[*peer.Conn]bool // connections on which news of the store is heard
	reading   map[*peer.Conn]int  // tokens of long prompts, by gateway's connection
	told      *holding            // what the listeners know
	listeners listeners
	countAt   time.Time // when a change of the number of gateways alone may be told
	words     words
	started   startedQueries
}

// New starts a keeper.
func New(d Deps) *Keeper {
	k := &Keeper{
		cfg:       d.Config,
		clock:     d.Clock,
		logger:    d.Logger,
		scope:     d.Scope,
		engine:    d.Engine,
		fences:    d.Fences,
		tasks:     process.NewTasks(d.Clock),
		wake:      make(chan struct{}, 1),
		greeted:   make(map[*peer.Conn]bool),
		gateways:  make(map[string]int),
		hears:     make(map[*peer.Conn]bool),
		reading:   make(map[*peer.Conn]int),
		places:    decide.NewPlaces(d.Clock.Now(), d.Policy),
		told:      &holding{},
		listeners: newListeners(),
		started:   newStartedQueries(),
	}
	k.takeFence()
	id := peer.Identity{
		Role:    peer.RoleAgent,
		Process: d.Config.Process,
		Config: func() wardturn.Offset {
			return 0
		},
	}
	k.relays = newRelays(k, id)
	k.server = peer.NewServer(d.Listener, nil, d.Clock, id, k)
	k.tasks.Go(k.run)
	k.tasks.Go(k.answerStarted)
	k.logger.Info("keeper started", "addr", d.Listener.Addr(), "process", d.Config.Process)
	return k
}

// Close ends the keeper at once. It carries no requests, so a planned stop needs
// no more.
func (k *Keeper) Close() {
	k.logger.Info("keeper stops")
	k.tasks.Stop()
	k.server.Close()
	k.relays.close()
	k.tasks.Wait()
}

// takeFence writes a start record until that succeeds; its offset is the fence
// of all orders after it.
func (k *Keeper) takeFence() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.fencing {
		return
	}
	k.fencing = true
	k.fence = 0
	k.tasks.Go(func() {
		for {
			fence, err := k.fences.TakeFence(k.cfg.Process)
			if err == nil {
				k.mu.Lock()
				k.fence = fence
				k.fencing = false
				k.mu.Unlock()
				k.logger.Info("fence taken", "fence", fence)
				k.signal()
				return
			}
			// A record whose answer was lost only leaves a gap in the fences.
			k.logger.Warn("no fence yet, no orders are given", "error", err)
			if !k.tasks.Pause(fenceRetry) {
				return
			}
		}
	})
}

func (k *Keeper) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// run reads the engine's report again and again and gives the orders that are
// due. It is the only goroutine that gives orders.
func (k *Keeper) run() {
	for k.tasks.Context().Err() == nil {
		k.observe()
		if k.step() {
			continue
		}
		k.rest()
	}
}

// rest waits for the next look at the engine.
func (k *Keeper) rest() {
	k.mu.Lock()
	wait := restPoll
	if k.places.Wanting() {
		wait = busyPoll
	}
	k.mu.Unlock()
	woken := make(chan struct{})
	timer := k.clock.AfterFunc(wait, func() {
		close(woken)
	})
	defer timer.Stop()
	select {
	case <-k.wake:
	case <-woken:
	case <-k.tasks.Context().Done():
	}
}

// observe takes a fresh report and tells the gateways what changed.
func (k *Keeper) observe() {
	st, err := k.engine.Report()
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		if k.places.Known() {
			k.logger.Warn("engine gives no report", "error", err)
		}
		k.places.Lost()
		k.tell()
		return
	}
	if !k.places.Known() {
		k.logger.Info("engine reports", "seq", st.Seq, "models", len(st.Models), "upstream", st.Upstream)
	}
	if now := reporting(st, k.upstream); now != k.upstream {
		k.begins(now)
	}
	k.places.Report(k.clock.Now(), st)
	k.tell()
}

// step gives the order that is due, if any, and reports whether to go on at
// once.
func (k *Keeper) step() bool {
	k.mu.Lock()
	if k.fence == 0 || k.upstream == "" {
		k.mu.Unlock()
		return false
	}
	next, ok := k.places.Next(k.clock.Now())
	k.tell() // an adapter may be about to leave
	if !ok {
		k.mu.Unlock()
		return false
	}
	order := wardturn.EngineOrder{
		Unload:   next.Unload,
		Target:   next.Target,
		Version:  next.Version,
		Upstream: k.upstream,
		Expected: k.places.State().Seq,
		Holder:   k.cfg.Process,
		Fence:    k.fence,
	}
	k.mu.Unlock()
	return k.give(order)
}

func (k *Keeper) give(o wardturn.EngineOrder) bool {
	answer := k.engine.Order(o)
	k.scope.Tagged(map[string]string{
		"answer": answer.String(),
	}).Counter("orders").Inc(1)
	k.logger.Debug("order", "unload", o.Unload, "adapter", o.Target.Adapter, "version", o.Version, "seq", o.Expected, "answer", answer)
	pause := time.Duration(0)
	switch answer {
	case wardturn.OrderTaken, wardturn.OrderHolds:
		return true
	case wardturn.OrderConflict:
		pause = conflictPause
	case wardturn.OrderLost:
		pause = lostPause
	case wardturn.OrderInvalid:
		pause = invalidPause
	case wardturn.OrderStale:
		k.logger.Warn("a newer holder gave orders; a new fence is taken", "fence", o.Fence)
		k.takeFence()
		return false
	}
	k.logger.Info("order not taken", "unload", o.Unload, "adapter", o.Target.Adapter, "seq", o.Expected, "upstream", o.Upstream, "answer", answer)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.places.Defer(k.clock.Now().Add(pause))
	return false
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
	case *peer.EngineNotice:
		k.notice(c, m)
	case *peer.LoadWish:
		k.places.Wish(now, c.Peer().Process, m.Adapter, m.Waiting, m.Oldest)
		k.tellAsked(c, m.Adapter.Key())
		k.signal()
	case *peer.Listen:
		k.tellFull(c)
	case *peer.Ping:
		k.listeners.mark(c, k.told.seq)
	case *peer.Reading:
		k.reading[c] = m.Tokens
		k.tell()
	case *peer.StoreNews, *peer.CrashNews:
		k.passOn(c, m)
	case *peer.TeamUse:
		k.gather(words{
			teams: m.Words,
		})
	case *peer.LimitNews:
		k.gather(words{
			limits: m.Words,
		})
	case *peer.StartedQuery:
		k.started.add(c, m.IDs)
	case *peer.Usage:
		for _, u := range m.Uses {
			k.places.Use(now, c.Peer().Process, u.Adapter, u.Started, u.Running)
		}
		k.listeners.mark(c, k.told.seq)
	}
}

// notice takes a gateway's word on the engine and answers with the holding; the
// lock is held. An older configuration than the latest is passed over, and so is
// an earlier lifetime of the engine: after a restart some gateways know only that.
func (k *Keeper) notice(c *peer.Conn, m *peer.EngineNotice) {
	if m.Config >= k.config {
		k.config = m.Config
		k.places.SetSpec(m.Spec)
	}
	if m.Seen >= k.seen {
		k.seen = m.Seen
		k.named(m.Upstream)
	}
	if !k.greeted[c] {
		k.greeted[c] = true
		k.gateways[hostOf(c)]++
	}
	if m.News {
		k.hears[c] = true
	} else {
		delete(k.hears, c)
	}
	if m.Relayed {
		delete(k.listeners.all, c)
	} else {
		k.tellFull(c)
	}
	k.signal()
}

// passOn tells what gateways tell each other to those that hear it here, but not to the
// one that brought it, if that is named; the lock is held.
func (k *Keeper) passOn(from *peer.Conn, m peer.Message) {
	for c := range k.hears {
		if c != from {
			_ = c.Send(m)
		}
	}
}

// hostOf returns the host of a gateway, so that a process and the one before it, whose
// connection still counts after a loss of power, are one.
func hostOf(c *peer.Conn) string {
	return cmp.Or(c.Peer().Host, string(c.Peer().Process))
}

// Closed implements peer.Handler.
func (k *Keeper) Closed(c *peer.Conn, _ error) {
	k.relays.lost(c)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listeners.lost(c)
	k.places.GatewayLost(c.Peer().Process)
	delete(k.reading, c)
	delete(k.hears, c)
	if !k.greeted[c] {
		return
	}
	delete(k.greeted, c)
	host := hostOf(c)
	k.gateways[host]--
	if k.gateways[host] == 0 {
		delete(k.gateways, host)
	}
}
