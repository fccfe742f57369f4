package entry

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"wardturn"
	"wardturn/control"
	"wardturn/decide"
	"wardturn/peer"
	"wardturn/process"
	"wardturn/report"
)

const (
	linkSweepInterval = 5 * time.Second
	minRetryRate      = 5  // retries per second that are allowed regardless of the request rate
	retryBurst        = 50 // maximum number of retries in a burst
	maxReadAhead      = 16 << 10
	maxHeaderBytes    = 16 << 10
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Deps holds the dependencies of an Entry.
type Deps struct {
	Config   Config
	Clock    wardturn.Clock
	Logger   hclog.Logger
	Metrics  *Metrics
	Log      wardturn.Log
	Hosts    wardturn.HostList
	Listener net.Listener
	TLS      *tls.Config // for connections to agents; nil disables TLS
	HTTPS    *tls.Config // for callers and operators; nil serves plain HTTP
}

// Entry serves the APIs for callers and operators on one entry host.
type Entry struct {
	cfg          Config
	clock        wardturn.Clock
	logger       hclog.Logger
	metrics      *Metrics
	hostList     wardturn.HostList
	replica      *control.Replica
	catalog      *control.Catalog
	tls          *tls.Config
	server       *fasthttp.Server
	bodies       *process.ByteBudget // memory of the bodies of requests
	tooLarge     sync.Map            // heads of requests whose body is refused, by *fasthttp.RequestHeader
	listener     net.Listener
	peerConfigs  peerConfigs
	activePolicy atomic.Pointer[string] // name of the active policy

	recorder *report.Recorder

	attemptSeq   atomic.Uint64
	requestSeq   atomic.Uint64
	openRequests atomic.Int64
	shuttingDown atomic.Bool

	routerMu    sync.Mutex
	router      *decide.Router
	retryBudget *decide.RetryBudget

	quotaMu sync.Mutex
	quotas  map[wardturn.CallerID]*decide.Quota

	mu       sync.Mutex
	hosts    map[wardturn.UpstreamID]wardturn.Host
	listedAt time.Time
	links    map[wardturn.UpstreamID]*link
	closed   bool
	tasks    *process.Tasks
}

// New creates an Entry and starts to serve. Ready reports when it has the hosts and the
// configuration that it needs to handle requests.
func New(d Deps) *Entry {
	cfg := d.Config.WithDefaults()
	e := &Entry{
		cfg:         cfg,
		clock:       d.Clock,
		logger:      d.Logger,
		metrics:     d.Metrics,
		hostList:    d.Hosts,
		tls:         d.TLS,
		bodies:      process.NewByteBudget(cfg.MaxBodyBytes),
		router:      decide.NewRouter(cfg.Router),
		retryBudget: decide.NewRetryBudget(cfg.RetryShare, minRetryRate, retryBurst),
		quotas:      make(map[wardturn.CallerID]*decide.Quota),
		hosts:       make(map[wardturn.UpstreamID]wardturn.Host),
		links:       make(map[wardturn.UpstreamID]*link),
		tasks:       process.NewTasks(d.Clock),
		peerConfigs: peerConfigs{
			partial: make(map[wardturn.UpstreamID]*partialConfig),
		},
	}
	accepted := process.RetryAccept(d.Listener, d.Clock, func(err error) {
		d.Logger.Error("accepting callers failed", "error", err)
	})
	connections := process.NewConnLimit("callers", cfg.MaxConnections, d.Clock, d.Logger, d.Metrics.scope)
	e.listener = lingeringListener{
		Listener: connections.Listener(accepted),
	}
	e.replica = control.NewReplica(d.Log, d.Clock, d.Logger, false)
	e.catalog = control.NewCatalog(e.replica)
	e.recorder = report.NewRecorder(d.Clock, cfg.Process)
	e.replica.Watch(e.onConfig)
	e.updateActivePolicy()
	e.server = e.newServer()
	if d.HTTPS != nil {
		e.listener = tls.NewListener(e.listener, d.HTTPS)
	}
	heads := process.NewHeadLimit(maxHeaderBytes, cfg.MaxHeadBytes, cfg.StallTimeout, d.Logger, d.Metrics.scope)
	e.listener = heads.Listener(e.listener)
	e.tasks.Every(linkSweepInterval, heads.Report)
	e.start()
	return e
}

func (e *Entry) newServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      e.withMemory(e.handler()),
		ConnState:                    onConnState,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		HeaderReceived:               e.onHead,
		Name:                         "wardturn",
		NoDefaultServerHeader:        true,
		MaxRequestBodySize:           e.cfg.MaxBody,
		ReadBufferSize:               maxHeaderBytes,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		CloseOnShutdown:              true,
		ErrorHandler:                 e.onProtocolError,
		Logger:                       discardLogger{},
	}
}

// onConnState follows the requests on a connection.
func onConnState(nc net.Conn, state fasthttp.ConnState) {
	if state != fasthttp.StateIdle {
		return
	}
	process.MarkIdle(nc)
	nc.(*process.HeadConn).ExpectHead()
}

// discardLogger drops the log lines of fasthttp; the entry logs the relevant events
// itself.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

func (e *Entry) start() {
	e.tasks.Every(linkSweepInterval, e.sweepLinks)
	e.tasks.Go(e.watchHosts)
	e.tasks.Go(e.pollPeersForConfig)
	e.tasks.Go(func() {
		e.replica.RunSnapshots(e.tasks.Context(), e.cfg.SnapshotInterval)
	})
	e.tasks.Go(func() {
		if err := e.server.Serve(e.listener); err != nil {
			e.logger.Error("HTTP server stopped", "error", err)
		}
	})
	e.logger.Info("entry started", "addr", e.listener.Addr(), "process", e.cfg.Process)
}

func (e *Entry) identity() peer.Identity {
	return peer.Identity{
		Role:    peer.RoleEntry,
		Process: e.cfg.Process,
		Config:  e.replica.AppliedOffset,
	}
}

func (e *Entry) nextAttemptID() wardturn.AttemptID {
	return wardturn.AttemptID{
		Entry: e.cfg.Process,
		Seq:   e.attemptSeq.Add(1),
	}
}

// Addr returns the listen address of the API.
func (e *Entry) Addr() string {
	return e.listener.Addr().String()
}

// Ready reports whether the entry can handle requests: it has the host list and the
// configuration, and it is not shutting down.
func (e *Entry) Ready() bool {
	if e.shuttingDown.Load() || e.replica.AppliedOffset() == 0 {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.hosts) > 0
}

// Replica returns the entry's replica of the configuration.
func (e *Entry) Replica() *control.Replica {
	return e.replica
}

// Shutdown starts a graceful shutdown: the entry reports that it is not ready and refuses
// new requests with the outcome "not run". It returns when all open requests have ended
// or ctx is done.
func (e *Entry) Shutdown(ctx context.Context) {
	e.shuttingDown.Store(true)
	e.logger.Info("leaving", "requests", e.openRequests.Load())
	for e.openRequests.Load() > 0 && ctx.Err() == nil {
		if !wardturn.Sleep(ctx, e.clock, shutdownPollInterval) {
			return
		}
	}
}

const shutdownPollInterval = 20 * time.Millisecond

// Close stops the entry without waiting for open requests.
func (e *Entry) Close() {
	e.mu.Lock()
	e.closed = true
	links := make([]*link, 0, len(e.links))
	for _, l := range e.links {
		links = append(links, l)
	}
	e.mu.Unlock()
	e.tasks.Stop()
	e.listener.Close()
	for _, l := range links {
		l.client.Close()
	}
	_ = e.server.ShutdownWithContext(closedContext())
	e.replica.Close()
	e.tasks.Wait()
}

// closedContext returns a canceled context, for a shutdown that does not wait.
func closedContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func (e *Entry) watchHosts() {
	for {
		hosts, err := e.hostList.Hosts(e.tasks.Context())
		if err == nil && len(hosts) > 0 {
			e.setHosts(hosts)
		}
		if !e.tasks.Sleep(e.cfg.HostsInterval) {
			return
		}
	}
}

// setHosts replaces the host list. The caller ignores empty lists, because an empty list
// is assumed to be a fault of its source.
func (e *Entry) setHosts(hosts []wardturn.Host) {
	byID := make(map[wardturn.UpstreamID]wardturn.Host, len(hosts))
	for _, h := range hosts {
		byID[h.Upstream] = h
	}
	e.routerMu.Lock()
	e.router.SetHosts(hosts)
	e.routerMu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hosts = byID // from now on Ready may return true
	e.listedAt = e.clock.Now()
}
