package cli

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"go.uber.org/dig"

	"wardturn"
	"wardturn/agent"
	"wardturn/driver"
	"wardturn/policy"
	"wardturn/process"
)

// processSettings are the settings that entry and agent share.
type processSettings struct {
	Listen   string `required:"" help:"Address to serve on, IP:port; port 0 lets the kernel choose."`
	Region   string `required:"" help:"Region of this host."`
	Domain   string `required:"" help:"Failure domain of this host."`
	LogAddr  string `required:"" help:"Address of the platform's log, IP:port."`
	HostList string `required:"" help:"Address of the platform's list of hosts, IP:port."`
	LogLevel string `default:"info" enum:"trace,debug,info,warn,error" help:"Least level of log lines: trace, debug, info, warn or error."`
	Plain    bool   `help:"Run without TLS; only on loopback addresses."`
	TLSCert  string `name:"tls-cert" help:"Certificate of this process, PEM text."`
	TLSKey   string `name:"tls-key" help:"Private key of this process, PEM text."`
	TLSCA    string `name:"tls-ca" help:"Certificates that sign the other processes, PEM text; several allow rotation."`
	Check    bool   `help:"Check the settings and exit."`
}

// problems collects bad settings, one for each flag.
type problems struct {
	list []wardturn.SettingProblem
}

// add records a problem of a flag, unless there is none or the flag has one.
func (p *problems) add(flag string, err error) {
	if err == nil {
		return
	}
	for _, have := range p.list {
		if have.Setting == flag {
			return
		}
	}
	p.list = append(p.list, wardturn.SettingProblem{
		Setting: flag,
		Reason:  err.Error(),
	})
}

// check records the problems that a configuration found in itself.
func (p *problems) check(list []wardturn.SettingProblem) {
	for _, sp := range list {
		p.add(sp.Setting, errors.New(sp.Reason))
	}
}

// problems records the bad settings that all processes share.
func (s *processSettings) problems(p *problems) {
	p.add("listen", checkAddr(s.Listen, s.Plain))
	p.add("log-addr", checkAddr(s.LogAddr, false))
	p.add("host-list", checkAddr(s.HostList, false))
	if !s.Plain {
		_, err := s.tlsConfig()
		p.add("tls-cert", err)
	}
}

// variable is the environment variable of a flag.
func variable(flag string) string {
	return "WARDTURN_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

func checkAddr(addr string, loopback bool) error {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return errors.Newf("%q is not IP:port", addr)
	}
	if loopback && !ap.Addr().IsLoopback() {
		return errors.Newf("%q is not a loopback address, as --plain demands", addr)
	}
	return nil
}

// tlsConfig returns the mutual TLS configuration, or nil in plain mode.
func (s *processSettings) tlsConfig() (*tls.Config, error) {
	if s.Plain {
		return nil, nil
	}
	if s.TLSCert == "" || s.TLSKey == "" || s.TLSCA == "" {
		return nil, errors.New("certificate, key and CA must be set, or --plain on loopback")
	}
	cert, err := tls.X509KeyPair([]byte(s.TLSCert), []byte(s.TLSKey))
	if err != nil {
		return nil, errors.Wrap(err, "certificate and key")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM([]byte(s.TLSCA)) {
		return nil, errors.New("CA holds no certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		ClientCAs:    pool,
		RootCAs:      pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		ServerName:   "wardturn",
	}, nil
}

// NewProcess returns a name for one run of a process.
func NewProcess() wardturn.Incarnation {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return wardturn.Incarnation(hex.EncodeToString(b[:]))
}

func newLogger(s Streams, name, level string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:   name,
		Level:  hclog.LevelFromString(level),
		Output: s.Err,
	})
}

// parse fills a daemon's settings, or returns the exit code.
func parse(name, description string, settings any, args []string, s Streams) (code int, done bool) {
	exit := -1
	parser, err := kong.New(settings,
		kong.Name(name),
		kong.Description(description),
		kong.Writers(s.Out, s.Err),
		kong.Exit(func(c int) { exit = c }),
		kong.DefaultEnvars("WARDTURN"),
	)
	if err != nil {
		fmt.Fprintln(s.Err, name+":", err)
		return ExitFailure, true
	}
	_, err = parser.Parse(args)
	if exit >= 0 {
		return exit, true
	}
	if err != nil {
		fmt.Fprintln(s.Err, name+":", err)
		return ExitUsage, true
	}
	return 0, false
}

// refuse prints every bad setting and returns the exit code for them.
func (p *problems) refuse(name string, s Streams) int {
	for _, sp := range p.list {
		fmt.Fprintf(s.Err, "%s: bad setting: --%s (%s): %s\n", name, sp.Setting, variable(sp.Setting), sp.Reason)
	}
	return ExitUsage
}

// provideAll adds constructors to a container.
func provideAll(c *dig.Container, constructors ...any) error {
	for _, f := range constructors {
		if err := c.Provide(f); err != nil {
			return errors.Wrap(err, "wiring")
		}
	}
	return nil
}

// agentSettings are the settings of wardturn-agent.
type agentSettings struct {
	processSettings
	Upstream       string  `required:"" help:"Name of the upstream beside this agent."`
	UpstreamAddr   string  `required:"" help:"Address of the upstream, IP:port."`
	Model          string  `help:"Base model of the upstream, if it is a model engine."`
	Service        string  `help:"Service of the upstream, if it is a plain service."`
	Slots          int     `default:"8" help:"Adapter slots of the engine."`
	MaxRunning     int     `default:"16" help:"Requests that run at once."`
	MaxQueue       int     `default:"1024" help:"Requests that wait at most."`
	StoreRate      float64 `default:"9" help:"Loads a second that the weight store allows all agents."`
	StoreParallel  int     `default:"4" help:"Loads at full speed at once."`
	StoreAgents    int     `default:"18" help:"Agents that share the store, as a first guess."`
	ChecksFences   bool    `default:"true" negatable:"" help:"Whether the upstream checks who gives it orders."`
	GuardAddr      string  `help:"Loopback address that this agent binds for life, so that no second one runs; for upstreams that check no fences."`
	MetricsAddress string  `help:"Address of /metrics and /healthz, IP:port; empty: none."`
}

func (s *agentSettings) config(p wardturn.Incarnation) agent.Config {
	cfg := agent.Config{
		Upstream:     wardturn.UpstreamID(s.Upstream),
		Process:      p,
		Region:       wardturn.Region(s.Region),
		Domain:       wardturn.FailureDomain(s.Domain),
		Model:        wardturn.BaseModel(s.Model),
		Service:      wardturn.ServiceName(s.Service),
		Slots:        s.Slots,
		MaxRunning:   s.MaxRunning,
		MaxQueue:     s.MaxQueue,
		StoreAgents:  s.StoreAgents,
		RequireFence: true,
	}
	cfg.Store.Rate = s.StoreRate
	cfg.Store.Parallel = s.StoreParallel
	if s.Service != "" {
		cfg.Slots = 0
	}
	return cfg
}

func (s *agentSettings) problems() *problems {
	p := &problems{}
	s.processSettings.problems(p)
	p.add("upstream-addr", checkAddr(s.UpstreamAddr, false))
	p.check(s.config("check").Check())
	if !s.ChecksFences && s.GuardAddr == "" {
		p.add("guard-addr", errors.New("must be set for an upstream that checks no fences"))
	}
	return p
}

// AgentMain runs wardturn-agent and returns its exit code.
func AgentMain(ctx context.Context, args []string, s Streams) int {
	const name = "wardturn-agent"
	var set agentSettings
	if code, done := parse(name, "The process beside one upstream.", &set, args, s); done {
		return code
	}
	if p := set.problems(); len(p.list) > 0 {
		return p.refuse(name, s)
	}
	if set.Check {
		return ExitOK
	}
	if set.GuardAddr != "" {
		guard, err := net.Listen("tcp", set.GuardAddr)
		if err != nil {
			fmt.Fprintln(s.Err, name+": another agent gives this upstream orders:", err)
			return ExitFailure
		}
		defer guard.Close()
	}
	return exitCode(s, runAgent(ctx, &set, newLogger(s, name, set.LogLevel)))
}

func runAgent(ctx context.Context, set *agentSettings, logger hclog.Logger) error {
	ln, err := net.Listen("tcp", set.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	conf, err := set.tlsConfig()
	if err != nil {
		return err
	}
	metrics := process.NewMetrics()
	defer metrics.Close()
	if set.MetricsAddress != "" {
		stop, err := process.ServeMetrics(set.MetricsAddress, metrics)
		if err != nil {
			return err
		}
		defer stop()
	}
	c := dig.New()
	err = provideAll(c,
		func() agent.Config { return set.config(NewProcess()) },
		func() wardturn.Clock { return process.Clock{} },
		func() hclog.Logger { return logger },
		func() *agent.Metrics { return agent.NewMetrics(metrics.Scope) },
		func() wardturn.Log { return driver.NewLog(set.LogAddr) },
		func() wardturn.HostList { return driver.NewHostList(set.HostList) },
		func() wardturn.Policy { return policy.Default{} },
		func() net.Listener { return ln },
		func() *tls.Config { return conf },
		agent.New,
	)
	if err != nil {
		return err
	}
	if set.Service != "" {
		err = c.Provide(func() wardturn.Service { return driver.NewService(set.UpstreamAddr) })
	} else {
		err = c.Provide(func() wardturn.Engine { return driver.NewEngine(set.UpstreamAddr) })
	}
	if err != nil {
		return errors.Wrap(err, "wiring")
	}
	return c.Invoke(func(a *agent.Agent) {
		<-ctx.Done()
		<-a.Leave()
		a.Close()
	})
}
