package cli

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"go.uber.org/dig"

	"wardturn"
	"wardturn/agent"
	"wardturn/driver"
	"wardturn/policy"
	"wardturn/process"
)

// agentSettings has the settings of wardturn-agent.
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

		MaxConnections:  s.Connections(),
		MaxMessageBytes: s.Machine().Budget(),
		MaxQueuedBytes:  s.Machine().Budget(),
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
	p.addAll(s.config("check").Check())
	if !s.ChecksFences && s.GuardAddr == "" {
		p.add("guard-addr", errors.New("must be set for an upstream that checks no fences"))
	}
	return p
}

// AgentMain runs wardturn-agent and returns its exit code.
func AgentMain(ctx context.Context, args []string, s Streams) int {
	const name = "wardturn-agent"
	var settings agentSettings
	if code, done := readSettings(name, "The process beside one upstream.", &settings, args, s); done {
		return code
	}
	if settings.GuardAddr != "" {
		guard, err := net.Listen("tcp", settings.GuardAddr)
		if err != nil {
			fmt.Fprintln(s.Err, name+": another agent gives this upstream orders:", err)
			return ExitFailure
		}
		defer guard.Close()
	}
	return exitCode(s, runAgent(ctx, &settings, newLogger(s, name, settings.LogLevel)))
}

func runAgent(ctx context.Context, settings *agentSettings, logger hclog.Logger) error {
	ln, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	tlsConfig, err := settings.tlsConfig()
	if err != nil {
		return err
	}
	settings.Machine().LimitMemory()
	metrics := process.NewMetrics()
	defer metrics.Close()
	if settings.MetricsAddress != "" {
		stop, err := process.ServeMetrics(settings.MetricsAddress, metrics, settings.MaxProbes, logger)
		if err != nil {
			return err
		}
		defer stop()
	}
	c := dig.New()
	if err := settings.provide(c, logger, ln); err != nil {
		return err
	}
	err = process.Provide(c,
		func() agent.Config { return settings.config(process.NewIncarnation()) },
		func() *agent.Metrics { return agent.NewMetrics(metrics.Scope) },
		func() wardturn.Policy { return policy.Default{} },
		func() *tls.Config { return tlsConfig },
		agent.New,
	)
	if err != nil {
		return err
	}
	if settings.Service != "" {
		err = c.Provide(func() wardturn.Service { return driver.NewService(settings.UpstreamAddr) })
	} else {
		err = c.Provide(func() wardturn.Engine { return driver.NewEngine(settings.UpstreamAddr) })
	}
	if err != nil {
		return errors.Wrap(err, "wiring")
	}
	return c.Invoke(func(a *agent.Agent) {
		<-ctx.Done()
		<-a.Shutdown()
		a.Close()
	})
}
