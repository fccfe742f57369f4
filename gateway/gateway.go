package gateway

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"wardturn"
	"wardturn/decide"
	"wardturn/process"
)

const (
	tickInterval  = 10 * time.Millisecond  // interval for rescheduling waiting requests
	usageInterval = 100 * time.Millisecond // interval of adapter usage reports to keepers
	checkInterval = 100 * time.Millisecond // interval of checks of relays and evacuations
	sweepInterval = time.Second            // interval of Gateway.sweep
	// configWait is how long a long poll of the configuration blocks in the store. A
	// poll whose response was lost never completes, so polls must time out and be
	// repeated within the 2 s in which a change must be in force. With the slack and
	// spread of the read schedule, the last gateway polls after 1.7 s.
	configWait = 1200 * time.Millisecond
	// configIdleWait replaces configWait while no upstream is registered and nothing can
	// be served. A poll on a connection that has gone silent must still be repeated within
	// the 3 s after which a change must be in force again.
	configIdleWait = 2 * time.Second
	// configMinInterval is the minimum interval between configuration reads triggered by
	// announcements of other gateways. Every gateway reads a change itself that was announced
	// without its records.
	configMinInterval = 800 * time.Millisecond
	// configRetryDelay is the initial delay after a failed read, doubled up to
	// configMaxRetryDelay. Together with the poll's wait and timeout margin, the first
	// retry starts 1.9 s after a read whose response was lost.
	configRetryDelay    = 100 * time.Millisecond
	configMaxRetryDelay = 500 * time.Millisecond
	// membersMinInterval is the minimum interval between reads of the upstream list.
	membersMinInterval = 250 * time.Millisecond
	// membersDrainFraction is the interval of reads of the upstream list as a fraction of the
	// drain time. With it the last gateway scheduled to read still meets the drain time.
	membersDrainFraction = 0.5
	// configStartTimeout is how long requests wait for the first configuration. After it they
	// are rejected.
	configStartTimeout    = time.Second
	defaultMaxHeaderBytes = 16 << 10
	defaultIdleTimeout    = 15 * time.Second
	defaultReadTimeout    = 3 * time.Second
	defaultStallTimeout   = 10 * time.Second
)

// Config holds the settings of a gateway.
type Config struct {
	Process    wardturn.Incarnation
	Host       string // host name
	Domain     wardturn.FailureDomain
	KeeperPort string // port of the keeper beside each engine
	// Drain is the time after which a draining upstream must receive no new requests.
	Drain time.Duration
	// ExpiryGrace is how long to retain entries that expired while the store was unavailable.
	ExpiryGrace time.Duration
	// MaxBody limits a request body in bytes unless the configuration sets a limit.
	MaxBody int
	// MaxBufferedBytes limits the bytes of request bodies buffered for all requests together.
	// Zero means no limit.
	MaxBufferedBytes int64
	// MaxConnections limits the connections of callers. Zero means no limit.
	MaxConnections int
	// MaxHeadBytes limits the memory of the heads of all requests together, in bytes, beyond a
	// few KB for each. Zero means no limit.
	MaxHeadBytes int64
	// MaxProbes limits the connections of readiness probes. Zero means no limit.
	MaxProbes int
	// StallTimeout is how long a caller may take no byte of a response before its connection is
	// closed; zero means 10 s. Within a request, its deadline comes first.
	StallTimeout time.Duration
	// RetryShare is the number of retries allowed over all gateways, as a fraction of a
	// service's requests.
	RetryShare    float64
	RetryExtra    float64 // additional retries allowed per RetryWindow
	RetryWindow   time.Duration
	ShutdownDelay time.Duration // how long a gateway that shuts down still accepts requests
	// ShutdownLimit is the time from the start of a shutdown until requests that have not completed
	// are ended. Zero means no limit.
	ShutdownLimit time.Duration
	// KeyBound limits how long after an API key was revoked in the store requests with
	// that key may still be sent, on any host. Zero means no limit.
	KeyBound time.Duration
	// EqualCapShares gives each gateway an equal share of each team's cap, regardless of
	// the usage at the other gateways.
	EqualCapShares bool
	Fleet          decide.FleetConfig
	Crashes        decide.CrashConfig
}

// Deps holds the dependencies of a gateway.
type Deps struct {
	Config         Config
	Clock          wardturn.Clock
	Logger         hclog.Logger
	Metrics        *Metrics
	Names          wardturn.HeaderNames
	ResponseReader wardturn.ResponseReader
	LifetimeProbe  wardturn.LifetimeProbe
	Source         wardturn.ConfigSource
	Members        wardturn.MemberSource
	FactStore      wardturn.FleetFactStore
	Crashes        wardturn.CrashStore
	Origins        wardturn.OriginStore
	Listener       net.Listener // for callers
	ReadyListener  net.Listener // for the load balancer's readiness probe; may be nil
	// ReadyPath is the path of the readiness probe.
	ReadyPath string
}

// Gateway serves callers on one entry host.
type Gateway struct {
	cfg            Config
	clock          wardturn.Clock
	logger         hclog.Logger
	metrics        *Metrics
	promptCounts   *promptCounts
	names          wardturn.HeaderNames
	responseReader wardturn.ResponseReader
	configSource   wardturn.ConfigSource
	configMu       sync.Mutex // serializes the changes of the configuration
	factStore      wardturn.FleetFactStore
	// savedFacts is the latest state saved to factStore; used by a single goroutine.
	savedFacts wardturn.FleetFacts
	// storeRestored reports that the store was restored from an older copy, so that it may
	// have lost the saved state.
	storeRestored     atomic.Bool
	membership        *membership
	reads             *readCoordinator
	caps              *caps
	limits            *limits
	plain             *plain
	unknownHeaders    unknownHeaders
	backoffsRequested atomic.Bool // an upstream has requested a backoff
	crashes           *crashes
	routes            atomic.Pointer[routes]
	pool              *pool
	lifetimes         *lifetimes
	links             *links
	pendingSends      *pendingSends
	origins           *origins
	originRecords     *originRecords
	callers           *callerServer
	readyServer       *http.Server
	openRequests      atomic.Int64
	bodies            *process.ByteBudget // buffered request bodies
	leaving           atomic.Bool
	ending            *ending
	membersRead       atomic.Bool // the list of upstreams has been read
	hadUpstreams      atomic.Bool // the list has contained an upstream
	tasks             *process.Tasks

	mu             sync.Mutex
	fleet          *decide.Fleet
	evacuations    evacuations
	partialMembers []wardturn.Member // pages received so far of the initial list; nil if none
	budgets        map[wardturn.ServiceName]*decide.RetryBudget
	gatewayCount   decide.GatewayCount // number of gateways that share the budgets
}

// New starts a gateway. It accepts requests once it has a configuration, or after one
// second without one.
func New(d Deps) *Gateway {
	g := &Gateway{
		cfg:            d.Config,
		clock:          d.Clock,
		logger:         d.Logger,
		metrics:        d.Metrics,
		promptCounts:   newPromptCounts(),
		names:          d.Names,
		responseReader: d.ResponseReader,
		configSource:   d.Source,
		factStore:      d.FactStore,
		pool:           newPool(d.Clock),
		ending:         newEnding(),
		pendingSends:   newPendingSends(),
		tasks:          process.NewTasks(d.Clock),
		bodies:         process.NewByteBudget(d.Config.MaxBufferedBytes),
		budgets:        make(map[wardturn.ServiceName]*decide.RetryBudget),
	}
	g.lifetimes = newLifetimes(g, d.LifetimeProbe)
	g.membership = newMembership(d.Members, d.Clock, d.Logger, d.Config.ExpiryGrace)
	g.reads = newReadCoordinator(g)
	g.membership.announced = g.reads.announcedSoftwareOf
	g.caps = newCaps(g)
	g.limits = newLimits(g)
	g.plain = newPlain(g)
	d.Config.Fleet.Limits = g.limits.state
	d.Config.Fleet.Plain = g.plain.loads
	g.fleet = decide.NewFleet(d.Config.Fleet)
	g.crashes = newCrashes(g, d.Crashes)
	g.links = newLinks(g)
	g.origins = newOrigins(g)
	g.originRecords = newOriginRecords(g, d.Origins)
	g.callers = newCallerServer(g, d, g.tasks)
	if d.ReadyListener != nil {
		g.serveReadiness(d.ReadyListener, d.ReadyPath)
	}
	g.tasks.Go(g.followConfig)
	g.tasks.Go(g.followAnnouncedConfig)
	g.tasks.Go(g.followMembers)
	g.tasks.Go(g.crashes.readLoop)
	g.tasks.Go(g.crashes.writeLoop)
	g.tasks.Go(g.originRecords.readLoop)
	g.tasks.Go(g.caps.sendUrgent)
	g.tasks.Go(func() {
		g.restoreFleetFacts()
		for g.tasks.Sleep(saveInterval) {
			g.saveFleetFacts()
		}
	})
	g.tasks.Go(func() {
		if g.tasks.Sleep(configStartTimeout) {
			g.callers.start()
		}
	})
	g.tasks.Every(tickInterval, g.tick)
	g.tasks.Every(usageInterval, g.links.reportUsage)
	g.tasks.Every(checkInterval, g.links.checkRelays)
	g.tasks.Every(sweepInterval, g.links.expireFormer)
	g.tasks.Every(checkInterval, g.endRetainedEvacuations)
	g.tasks.Every(capInterval, g.caps.announce)
	g.tasks.Every(limitInterval, g.limits.announce)
	g.tasks.Every(plainInterval, g.plain.announce)
	g.tasks.Every(startedQueryInterval, g.queryStarted)
	g.tasks.Every(sweepInterval, g.sweep)
	g.tasks.Every(promptLogInterval, g.logPromptCounts)
	g.tasks.Every(heldPartsInterval, g.crashes.countHeldParts)
	g.logger.Info("gateway started", "front", d.Listener.Addr(), "process", d.Config.Process, "domain", d.Config.Domain)
	return g
}

func (g *Gateway) serveReadiness(ln net.Listener, path string) {
	mux := http.NewServeMux()
	mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	g.readyServer = &http.Server{
		Handler:        mux,
		ReadTimeout:    process.ProbeTimeout,
		WriteTimeout:   process.ProbeTimeout,
		IdleTimeout:    process.ProbeIdleTimeout,
		MaxHeaderBytes: process.MaxProbeHeader,
		ErrorLog:       g.callers.errorLog,
	}
	limited := process.NewConnLimit("readiness", g.cfg.MaxProbes, g.clock, g.logger, g.metrics.scope).Listener(ln)
	g.tasks.Go(func() {
		if err := g.readyServer.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
			g.logger.Error("readiness server failed", "error", err)
		}
	})
}

// Ready reports whether the gateway can serve requests.
func (g *Gateway) Ready() bool {
	return !g.leaving.Load() && g.routes.Load() != nil && g.membersRead.Load()
}

// sweep updates the metrics and retry budgets, and drops idle connections and expired crashes.
func (g *Gateway) sweep() {
	g.mu.Lock()
	addrs := g.fleet.Addrs()
	levels := g.fleet.Levels()
	plainLevels := g.plain.loads.Levels()
	g.resizeBudgets()
	g.mu.Unlock()
	g.metrics.updateLevels(levels)
	g.metrics.updatePlain(plainLevels)
	g.callers.heads.Report()
	g.metrics.bodyMemory.Update(float64(g.bodies.Held()))
	g.reads.reportAges()
	g.crashes.sweep()
	g.lifetimes.retain(g.listsLifetime)
	g.pool.sweep(func(addr string) bool {
		return addrs[addr]
	})
}

// Close stops the gateway immediately, without waiting for open requests.
func (g *Gateway) Close() {
	g.ending.end()
	g.tasks.Stop()
	g.callers.stop()
	if g.readyServer != nil {
		_ = g.readyServer.Close()
	}
	g.links.close()
	g.pool.close()
}
