package demo

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"wardturn"
	"wardturn/agent"
	"wardturn/control"
	"wardturn/decide"
	"wardturn/driver"
	"wardturn/entry"
	"wardturn/policy"
	"wardturn/process"
	"wardturn/standin"
)

// Config configures a system.
type Config struct {
	Engines        int
	Services       int
	Entries        int
	Domains        int
	Adapters       int
	AdapterSlots   int
	Batch          int
	Store          standin.StoreConfig
	Log            standin.LogConfig
	HostListDelay  time.Duration
	Engine         standin.EngineConfig
	ServiceTime    time.Duration // service time of a call to a plain service
	Logger         hclog.Logger
	Clock          wardturn.Clock
	Deadline       time.Duration // of requests without their own; zero: the entry's default
	DeadlineGrace  time.Duration // how long after a deadline an entry waits for the agent's result; zero: the entry's default
	ConnectTimeout time.Duration // timeout of the first connection to an agent; zero: the entry's default
	FaultProxies   bool          // reach each agent through a proxy that can simulate network faults
}

// ZurichConfig returns a configuration of the size of the present Zurich deployment.
func ZurichConfig() Config {
	return Config{
		Engines:      18,
		Services:     3,
		Entries:      3,
		Domains:      3,
		Adapters:     3000,
		AdapterSlots: 8,
		Batch:        16,
		Store: standin.StoreConfig{
			Rate:        9,
			MaxParallel: 4,
			FetchTime:   400 * time.Millisecond,
		},
		HostListDelay: 2 * time.Second,
		Engine:        standin.DefaultEngine(),
		ServiceTime:   5 * time.Millisecond,
		Logger:        hclog.NewNullLogger(),
		Clock:         process.Clock{},
	}
}

// The names in a system's configuration.
const (
	Model   wardturn.BaseModel   = "base"
	Service wardturn.ServiceName = "fares"
	Region  wardturn.Region      = "local"
)

// Upstream is an upstream of a system with its agent.
type Upstream struct {
	ID         wardturn.UpstreamID
	Host       wardturn.Host
	Engine     *standin.Engine  // nil for a plain service
	Service    *standin.Service // nil for a model engine
	Agent      *agent.Agent
	FaultProxy *standin.FaultProxy // to the agent; nil without Config.FaultProxies
	addr       string              // of the upstream itself
	stopServer func()
}

// System is a running system.
type System struct {
	cfg          Config
	Log          *standin.Log
	Hosts        *standin.HostList
	Store        *standin.Store
	Upstreams    []*Upstream
	Entries      []*entry.Entry
	LogAddr      string
	HostsAddr    string
	metrics      []*process.Metrics
	stopServers  []func()
	processCount int
}

// Start starts a system and publishes its configuration. It returns once every
// entry is ready.
func Start(ctx context.Context, cfg Config) (*System, error) {
	s := &System{
		cfg:   cfg,
		Log:   standin.NewLog(cfg.Clock, cfg.Log),
		Hosts: standin.NewHostList(cfg.Clock, cfg.HostListDelay),
		Store: standin.NewStore(cfg.Clock, cfg.Store),
	}
	if err := s.start(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *System) start(ctx context.Context) error {
	var err error
	if s.LogAddr, err = s.serve(standin.LogHandler(s.Log)); err != nil {
		return err
	}
	if s.HostsAddr, err = s.serve(standin.HostsHandler(s.Hosts)); err != nil {
		return err
	}
	for i := range s.cfg.Engines + s.cfg.Services {
		if err := s.addUpstream(i); err != nil {
			return err
		}
	}
	for range s.cfg.Entries {
		if err := s.StartEntry(); err != nil {
			return err
		}
	}
	if err := s.publish(ctx); err != nil {
		return err
	}
	return s.waitReady(ctx)
}

func listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	return ln, errors.Wrap(err, "listen")
}

// serve runs a handler on a new port until Close.
func (s *System) serve(h fasthttp.RequestHandler) (string, error) {
	ln, err := listen()
	if err != nil {
		return "", err
	}
	s.stopServers = append(s.stopServers, standin.Serve(ln, h))
	return ln.Addr().String(), nil
}

func (s *System) failureDomain(i int) wardturn.FailureDomain {
	return wardturn.FailureDomain(fmt.Sprintf("d%d", i%s.cfg.Domains))
}

func (s *System) newProcess(kind string) wardturn.Incarnation {
	s.processCount++
	return wardturn.Incarnation(fmt.Sprintf("%s%d", kind, s.processCount))
}

func (s *System) addUpstream(i int) error {
	u := &Upstream{
		ID: wardturn.UpstreamID(fmt.Sprintf("u%02d", i)),
	}
	u.Host = wardturn.Host{
		Upstream: u.ID,
		Region:   Region,
		Domain:   s.failureDomain(i),
	}
	ln, err := listen()
	if err != nil {
		return err
	}
	u.addr = ln.Addr().String()
	if i < s.cfg.Engines {
		cfg := s.cfg.Engine
		cfg.Slots = s.cfg.AdapterSlots
		cfg.MaxBatch = s.cfg.Batch
		u.Engine = standin.NewEngine(s.cfg.Clock, s.Store, cfg)
		u.Host.Model = Model
		u.stopServer = standin.Serve(ln, standin.EngineHandler(u.Engine))
	} else {
		u.Service = standin.NewService(s.cfg.Clock, s.cfg.ServiceTime)
		u.Host.Service = Service
		u.stopServer = standin.Serve(ln, u.Service.Handler())
	}
	s.Upstreams = append(s.Upstreams, u)
	return s.StartAgent(u, "127.0.0.1:0")
}

// StartAgent starts a new agent for an upstream and adds it to the host list.
func (s *System) StartAgent(u *Upstream, addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	metrics := process.NewMetrics()
	s.metrics = append(s.metrics, metrics)
	deps := agent.Deps{
		Config: agent.Config{
			Upstream: u.ID,
			Process:  s.newProcess("a"),
			Region:   u.Host.Region,
			Domain:   u.Host.Domain,
			Model:    u.Host.Model,
			Service:  u.Host.Service,
			Store: decide.StoreLimit{
				Rate:     s.cfg.Store.Rate,
				Parallel: s.cfg.Store.MaxParallel,
			},
			StoreAgents:  s.cfg.Engines,
			MaxRunning:   s.cfg.Batch,
			RequireFence: true,
		},
		Clock:    s.cfg.Clock,
		Logger:   s.cfg.Logger.Named("agent"),
		Metrics:  agent.NewMetrics(metrics.Scope),
		Log:      driver.NewLog(s.LogAddr),
		Hosts:    driver.NewHostList(s.HostsAddr),
		Policy:   policy.Default{},
		Listener: ln,
	}
	if u.Engine != nil {
		deps.Engine = driver.NewEngine(u.addr)
		deps.Config.Slots = s.cfg.AdapterSlots
	} else {
		deps.Service = driver.NewService(u.addr)
	}
	u.Agent = agent.New(deps)
	if err := s.setListedAddr(u); err != nil {
		return err
	}
	u.Host.State = wardturn.HostLive
	s.Hosts.Set(u.Host)
	return nil
}

// setListedAddr sets the upstream's listed address to that of its agent, or of the fault
// proxy to it.
func (s *System) setListedAddr(u *Upstream) error {
	u.Host.Addr = u.Agent.Addr()
	if !s.cfg.FaultProxies {
		return nil
	}
	if u.FaultProxy == nil {
		r, err := standin.NewFaultProxy(u.Agent.Addr())
		if err != nil {
			return err
		}
		u.FaultProxy = r
	}
	u.FaultProxy.SetTarget(u.Agent.Addr())
	u.Host.Addr = u.FaultProxy.Addr()
	return nil
}

// StartEntry starts a new entry.
func (s *System) StartEntry() error {
	i := len(s.Entries)
	ln, err := listen()
	if err != nil {
		return err
	}
	metrics := process.NewMetrics()
	s.metrics = append(s.metrics, metrics)
	s.Entries = append(s.Entries, entry.New(entry.Deps{
		Config: entry.Config{
			Process:        s.newProcess("e"),
			Region:         Region,
			Domain:         s.failureDomain(i),
			AllowAnonymous: true,
			Deadline:       s.cfg.Deadline,
			DeadlineGrace:  s.cfg.DeadlineGrace,
			ConnectTimeout: s.cfg.ConnectTimeout,
			OperatorKeys:   []entry.KeyGrant{{Name: "demo", Digest: control.KeyDigest(OperatorKey)}},
		},
		Clock:    s.cfg.Clock,
		Logger:   s.cfg.Logger.Named("entry"),
		Metrics:  entry.NewMetrics(metrics.Scope, metrics.Handler),
		Log:      driver.NewLog(s.LogAddr),
		Hosts:    driver.NewHostList(s.HostsAddr),
		Listener: ln,
	}))
	return nil
}

// OperatorKey is the operator key of a demo system. It need not be secret, since the
// system listens on loopback only.
const OperatorKey = "demo-operator"

// docsPerChange is the maximum number of documents per publication.
const docsPerChange = 500

// publish publishes the adapters and the service.
func (s *System) publish(ctx context.Context) error {
	docs := []control.DocChange{{
		Key:  control.KeyOf(control.KindService, string(Service)),
		Body: []byte("team: demo\nnot_repeatable: [POST]\n"),
	}}
	for i := range s.cfg.Adapters {
		docs = append(docs, control.DocChange{
			Key:  control.KeyOf(control.KindAdapter, fmt.Sprintf("a%04d", i)),
			Body: []byte("base_model: base\nteam: demo\nversion: 1\n"),
		})
	}
	for n := 0; len(docs) > 0; n++ {
		part := docs[:min(docsPerChange, len(docs))]
		docs = docs[len(part):]
		_, err := s.Entries[0].Replica().Publish(ctx, control.Change{
			ID:     control.PublicationID(fmt.Sprintf("demo-%d", n)),
			Author: "demo",
			Time:   s.cfg.Clock.Now(),
			Docs:   part,
		})
		if err != nil {
			return errors.Wrap(err, "publish")
		}
	}
	return nil
}

// waitReady waits until every entry has read the host list and the published
// configuration.
func (s *System) waitReady(ctx context.Context) error {
	last := s.Entries[0].Replica().AppliedOffset()
	for _, e := range s.Entries {
		if err := e.Replica().WaitFor(ctx, last); err != nil {
			return err
		}
		for !e.Ready() {
			if !wardturn.Sleep(ctx, s.cfg.Clock, readyPoll) {
				return errors.Wrap(ctx.Err(), "entry not ready")
			}
		}
	}
	return nil
}

const readyPoll = 10 * time.Millisecond

// Close stops all parts of the system without draining them.
func (s *System) Close() {
	for _, e := range s.Entries {
		e.Close()
	}
	for _, u := range s.Upstreams {
		if u.Agent != nil {
			u.Agent.Close()
		}
		if u.FaultProxy != nil {
			u.FaultProxy.Close()
		}
		u.stopServer()
	}
	for _, stop := range s.stopServers {
		stop()
	}
	for _, m := range s.metrics {
		m.Close()
	}
}
