// Package fleet is the command line of the daemons on the users' platform: the
// gateway on entry hosts and the keeper beside model engines. It is apart from
// package cli so that the daemons link only what they need.
package fleet

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"go.uber.org/dig"

	"wardturn"
	"wardturn/decide"
	"wardturn/gateway"
	"wardturn/keeper"
	"wardturn/platform"
	"wardturn/policy"
	"wardturn/process"
)

// The exit codes of Main.
const (
	ExitOK      = 0
	ExitFailure = 1 // it ran and failed
	ExitUsage   = 2 // the command line or a setting is wrong; nothing was started
)

const (
	logLines = 4096 // that wait for a slow reader of the log
	// The lines a second of one message. Refusals and failures go before what
	// succeeded; a gateway had up to 227 in the worst second of a scale day.
	failureLines = 100
	otherLines   = 20
	// gcPercent trades memory for processor time; the heap is a few MB.
	gcPercent = 100
)

type commands struct {
	Gateway gatewayCmd `cmd:"" help:"The daemon on an entry host."`
	Keeper  keeperCmd  `cmd:"" help:"The daemon beside a model engine."`
}

// common are the settings of both daemons.
type common struct {
	Node     string `required:"" help:"Name of this host."`
	Domain   string `required:"" help:"Failure domain of this host."`
	Store    string `required:"" help:"Address of the platform's store, IP:port."`
	Port     string `required:"" help:"Port of the keepers, on the hosts of their engines."`
	Metrics  string `help:"Address of /metrics, IP:port; empty: none."`
	LogLevel string `default:"info" enum:"trace,debug,info,warn,error" help:"Least level of log lines: trace, debug, info, warn or error."`
	Check    bool   `help:"Check the settings and exit."`
	Settings string `help:"File of settings, a line FLAG=VALUE each; the command line and variables go before it. Read again on SIGHUP and when it changes."`
}

type gatewayCmd struct {
	common
	Listen       string        `required:"" help:"Address for callers, IP:port."`
	Ready        string        `required:"" help:"Address for the balancer's question, IP:port."`
	Drain        time.Duration `default:"2s" help:"Time after which a leaving upstream must get no new requests; the list is read each half of it."`
	LapseGrace   time.Duration `default:"2200ms" help:"Time after the store's return in which a lapsed entry may come back; the platform promises 2 s."`
	Grace        time.Duration `default:"8s" help:"Time between SIGTERM and SIGKILL."`
	LeaveAfter   time.Duration `default:"2500ms" help:"Time after SIGTERM in which requests are still taken; the balancer notices within 2 s."`
	RetryShare   float64       `default:"0.2" help:"Resends as a part of the requests of a service that the platform allows all gateways together; half is used."`
	RetryExtra   float64       `default:"52" help:"Resends beyond that which it allows all of them in a window."`
	RetryWindow  time.Duration `default:"10s" help:"That window."`
	MaxBody      int           `default:"1048576" help:"Bytes of a body while the configuration bounds none."`
	CrossBytes   int           `default:"28000" help:"Bytes sent to an adapter in another failure domain before it is loaded in the own one; that traffic costs the users as much as a load."`
	LoadsAtStart float64       `default:"8" help:"Adapter loads under way from the weight store, for all gateways, at the start: no more than the smallest known store serves at full speed."`
	LoadsAtMost  float64       `default:"1024" help:"Adapter loads under way from the weight store, for all gateways, at most; ten times what the largest known store serves at full speed."`
}

type keeperCmd struct {
	common
	IP     string `required:"" help:"Address of this host."`
	Engine string `required:"" help:"Address of the engine, IP:port."`
}

// name is the program's.
const name = "wardturn-fleet"

// commandLine are the arguments of the process, to be read again with its
// settings.
type commandLine []string

// newParser returns the parser of a command line, with the settings of its file.
func newParser(args []string, root *commands, options ...kong.Option) (*kong.Kong, error) {
	s, err := readSettings(settingsPath(args))
	if err != nil {
		return nil, err
	}
	return kong.New(root, append(options,
		kong.Name(name),
		kong.Description("The daemons of wardturn on the users' platform."),
		kong.DefaultEnvars("WARDTURN"),
		kong.Resolvers(s),
	)...)
}

// Main runs a daemon until ctx ends and returns the exit code.
func Main(ctx context.Context, args []string, out, errs io.Writer) int {
	var root commands
	exit := -1
	parser, err := newParser(args, &root,
		kong.Writers(out, errs),
		kong.Exit(func(c int) { exit = c }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.BindTo(out, (*io.Writer)(nil)),
		kong.Bind(commandLine(args)),
	)
	if err != nil {
		fmt.Fprintln(errs, name+":", err)
		return ExitFailure
	}
	k, err := parser.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		fmt.Fprintln(errs, name+":", err)
		return ExitUsage
	}
	err = k.Run()
	var bad badSettings
	switch {
	case errors.As(err, &bad):
		for _, p := range bad {
			fmt.Fprintln(errs, name+": bad setting:", p.Error())
		}
		return ExitUsage
	case err != nil:
		fmt.Fprintln(errs, name+":", err)
		return ExitFailure
	}
	return ExitOK
}

// badSettings are all faults found in the settings.
type badSettings []wardturn.SettingProblem

// Error implements error.
func (b badSettings) Error() string {
	return fmt.Sprintf("%d bad settings", len(b))
}

func (b *badSettings) addr(setting, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		*b = append(*b, wardturn.SettingProblem{
			Setting: setting,
			Reason:  fmt.Sprintf("%q is not IP:port", value),
		})
	}
}

func (b *badSettings) optionalAddr(setting, value string) {
	if value != "" {
		b.addr(setting, value)
	}
}

func (b *badSettings) require(setting string, ok bool, reason string) {
	if !ok {
		*b = append(*b, wardturn.SettingProblem{
			Setting: setting,
			Reason:  reason,
		})
	}
}

func (b badSettings) err() error {
	if len(b) == 0 {
		return nil
	}
	return b
}

func newProcess() wardturn.Incarnation {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return wardturn.Incarnation(hex.EncodeToString(b[:]))
}

func (c *common) logger(name string, w io.Writer) hclog.Logger {
	l := hclog.New(&hclog.LoggerOptions{
		Name:       name,
		Level:      hclog.LevelFromString(c.LogLevel),
		Output:     w,
		TimeFormat: "15:04:05.000",
	})
	return process.NewBudgetedLogger(l, process.Clock{}, process.LogRates{
		Of: map[string]float64{
			"refused":     failureLines,
			"failed":      failureLines,
			"answer cut":  failureLines,
			"send failed": failureLines,
		},
		Others: otherLines,
	})
}

// serveMetrics returns the scope of the process's metrics.
func (c *common) serveMetrics() (tally.Scope, func(), error) {
	if c.Metrics == "" {
		return tally.NoopScope, func() {}, nil
	}
	m := process.NewMetrics()
	stop, err := process.ServeMetrics(c.Metrics, m)
	if err != nil {
		return nil, nil, err
	}
	return m.Scope, func() {
		stop()
		m.Close()
	}, nil
}

func provideAll(c *dig.Container, constructors ...any) error {
	for _, f := range constructors {
		if err := c.Provide(f); err != nil {
			return errors.Wrap(err, "wiring")
		}
	}
	return nil
}

func (c *gatewayCmd) problems() error {
	var b badSettings
	b.addr("listen", c.Listen)
	b.addr("ready", c.Ready)
	b.addr("store", c.Store)
	b.optionalAddr("metrics", c.Metrics)
	b.require("drain", c.Drain >= time.Second, "must be at least 1s")
	b.require("grace", c.Grace > c.LeaveAfter, "must be over leave-after")
	b.require("retry-share", c.RetryShare >= 0 && c.RetryShare <= 1, "must be 0 to 1")
	b.require("retry-extra", c.RetryExtra >= 0, "must not be negative")
	b.require("retry-window", c.RetryWindow > 0, "must be over 0")
	b.require("loads-at-start", c.LoadsAtStart >= 1, "must be at least 1")
	b.require("loads-at-most", c.LoadsAtMost >= c.LoadsAtStart, "must not be under loads-at-start")
	return b.err()
}

func (c *gatewayCmd) config() gateway.Config {
	return gateway.Config{
		Process:     newProcess(),
		Domain:      wardturn.FailureDomain(c.Domain),
		KeeperPort:  c.Port,
		Drain:       c.Drain,
		LapseGrace:  c.LapseGrace,
		MaxBody:     c.MaxBody,
		RetryShare:  c.RetryShare,
		RetryExtra:  c.RetryExtra,
		RetryWindow: c.RetryWindow,
		LeaveAfter:  c.LeaveAfter,
		Fleet: decide.FleetConfig{
			Domain:     wardturn.FailureDomain(c.Domain),
			CrossBytes: c.CrossBytes,
			Window: decide.WindowConfig{
				Start: c.LoadsAtStart,
				Most:  c.LoadsAtMost,
			},
		},
	}
}

// retune takes the settings that may change while the gateway runs.
func (c *gatewayCmd) retune(g *gateway.Gateway, logger hclog.Logger, n *gatewayCmd) {
	if refused(logger, n.problems()) {
		return
	}
	logger.SetLevel(hclog.LevelFromString(n.LogLevel))
	t := n.config()
	g.Retune(t)
	logger.Info("settings read again", "log_level", n.LogLevel, "retry_share", t.RetryShare, "retry_extra", t.RetryExtra, "retry_window", t.RetryWindow, "cross_bytes", t.Fleet.CrossBytes, "loads_at_most", t.Fleet.Window.Most)
}

// leaveMargin is kept before SIGKILL to close connections.
const leaveMargin = 300 * time.Millisecond

// Run implements the gateway command.
func (c *gatewayCmd) Run(ctx context.Context, out io.Writer, args commandLine) error {
	if err := c.problems(); err != nil || c.Check {
		return err
	}
	debug.SetGCPercent(gcPercent)
	front, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	ready, err := net.Listen("tcp", c.Ready)
	if err != nil {
		return errors.Wrap(err, "ready")
	}
	scope, stopMetrics, err := c.serveMetrics()
	if err != nil {
		return err
	}
	defer stopMetrics()
	queue := process.NewLogQueue(out, logLines)
	d := dig.New()
	err = provideAll(d,
		func() wardturn.Clock { return process.Clock{} },
		func() hclog.Logger { return c.logger("gateway", queue) },
		func() tally.Scope { return scope },
		func() *platform.Store { return platform.NewStore(c.Store) },
		gateway.NewMetrics,
		c.newGateway(front, ready),
	)
	if err != nil {
		return err
	}
	return d.Invoke(func(g *gateway.Gateway, logger hclog.Logger) {
		watchSettings(ctx, args, func() {
			reload(args, logger, func(root *commands) {
				c.retune(g, logger, &root.Gateway)
			})
		})
		limit, cancel := context.WithTimeout(context.Background(), c.Grace-leaveMargin)
		defer cancel()
		g.Leave(limit)
		g.Close()
		queue.Close()
	})
}

func (c *gatewayCmd) newGateway(front, ready net.Listener) any {
	return func(clock wardturn.Clock, logger hclog.Logger, m *gateway.Metrics, s *platform.Store) *gateway.Gateway {
		return gateway.New(gateway.Deps{
			Config:    c.config(),
			Clock:     clock,
			Logger:    logger,
			Metrics:   m,
			Names:     platform.Headers(),
			Source:    platform.NewConfiguration(s, logger),
			Members:   platform.NewMembers(s, clock, logger),
			Front:     front,
			Ready:     ready,
			ReadyPath: platform.ReadyPath,
		})
	}
}

func (c *keeperCmd) problems() error {
	var b badSettings
	b.addr("store", c.Store)
	b.addr("engine", c.Engine)
	b.optionalAddr("metrics", c.Metrics)
	b.addr("ip", net.JoinHostPort(c.IP, c.Port))
	return b.err()
}

// Run implements the keeper command.
func (c *keeperCmd) Run(ctx context.Context, out io.Writer, args commandLine) error {
	if err := c.problems(); err != nil || c.Check {
		return err
	}
	debug.SetGCPercent(gcPercent)
	ln, err := net.Listen("tcp", net.JoinHostPort(c.IP, c.Port))
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	scope, stopMetrics, err := c.serveMetrics()
	if err != nil {
		return err
	}
	defer stopMetrics()
	queue := process.NewLogQueue(out, logLines)
	d := dig.New()
	err = provideAll(d,
		func() wardturn.Clock { return process.Clock{} },
		func() hclog.Logger { return c.logger("keeper", queue) },
		func() tally.Scope { return scope },
		func() wardturn.OrderedEngine { return platform.NewWorker(c.Engine) },
		func() wardturn.FenceSource { return platform.NewStore(c.Store) },
		func() wardturn.Policy { return policy.Default{} },
		c.newKeeper(ln),
	)
	if err != nil {
		return err
	}
	return d.Invoke(func(k *keeper.Keeper, logger hclog.Logger) {
		watchSettings(ctx, args, func() {
			reload(args, logger, func(root *commands) {
				if !refused(logger, root.Keeper.problems()) {
					logger.SetLevel(hclog.LevelFromString(root.Keeper.LogLevel))
					logger.Info("settings read again", "log_level", root.Keeper.LogLevel)
				}
			})
		})
		k.Close()
		queue.Close()
	})
}

func (c *keeperCmd) newKeeper(ln net.Listener) any {
	return func(clock wardturn.Clock, logger hclog.Logger, scope tally.Scope, e wardturn.OrderedEngine, f wardturn.FenceSource, p wardturn.Policy) *keeper.Keeper {
		return keeper.New(keeper.Deps{
			Config: keeper.Config{
				Process: newProcess(),
				Name:    c.Node,
			},
			Clock:    clock,
			Logger:   logger,
			Scope:    scope,
			Engine:   e,
			Fences:   f,
			Policy:   p,
			Listener: ln,
		})
	}
}
