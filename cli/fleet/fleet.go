// Package fleet is the command line of the daemons on the users' platform: the
// gateway on entry hosts and the keeper next to model engines. It is separate from
// package cli so that the daemons link only what they need.
package fleet

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"runtime/debug"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"go.uber.org/dig"

	"wardturn"
	"wardturn/process"
)

// The exit codes of Main.
const (
	ExitOK      = 0
	ExitFailure = 1 // the command ran and failed
	ExitUsage   = 2 // the command line or a setting is wrong; nothing was started
)

const (
	logQueueSize = 4096 // lines buffered for a slow reader of the log
	// Limits on log lines per second for each message. Refusals and failures get a
	// higher limit than successes.
	failureLogRate = 100
	defaultLogRate = 20
	// gcPercent trades memory for CPU time; the heap is a few MB.
	gcPercent = 100
)

type commands struct {
	Gateway gatewayCmd `cmd:"" help:"The daemon on an entry host."`
	Keeper  keeperCmd  `cmd:"" help:"The daemon beside a model engine."`
	Crashes crashesCmd `cmd:"" help:"Shows the requests under which upstreams ended, or has them served again."`
}

// common has the settings of both daemons.
type common struct {
	Node     string `required:"" help:"Name of this host."`
	Domain   string `required:"" help:"Failure domain of this host."`
	Store    string `required:"" help:"Address of the platform's store, IP:port."`
	Port     string `required:"" help:"Port of the keepers, on the hosts of their engines."`
	Metrics  string `help:"Address of /metrics, IP:port; empty: none."`
	LogLevel string `default:"info" enum:"trace,debug,info,warn,error" help:"Least level of log lines: trace, debug, info, warn or error."`
	Check    bool   `help:"Check the settings and exit."`
	process.LimitSettings
	Settings string `help:"File of settings, a line FLAG=VALUE each; the command line and variables go before it. Read again on SIGHUP and when it changes."`
}

// programName is the name of the program.
const programName = "wardturn-fleet"

// commandLine has the arguments of the process. They are parsed again when the settings
// are reloaded.
type commandLine []string

// newParser returns a parser for a command line. It also takes values from the settings
// file that the command line names.
func newParser(args []string, root *commands, options ...kong.Option) (*kong.Kong, error) {
	s, err := readSettings(settingsPath(args))
	if err != nil {
		return nil, err
	}
	return kong.New(root, append(options,
		kong.Name(programName),
		kong.Description("The daemons of wardturn on the users' platform, and what their operators need."),
		kong.DefaultEnvars("WARDTURN"),
		kong.Resolvers(s),
	)...)
}

// Main runs a command, a daemon until ctx ends, and returns the exit code.
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
		fmt.Fprintln(errs, programName+":", err)
		return ExitFailure
	}
	k, err := parser.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		fmt.Fprintln(errs, programName+":", err)
		return ExitUsage
	}
	err = k.Run()
	var bad wardturn.SettingProblems
	switch {
	case errors.As(err, &bad):
		for _, p := range bad {
			fmt.Fprintln(errs, programName+": bad setting:", p.Error())
		}
		return ExitUsage
	case err != nil:
		fmt.Fprintln(errs, programName+":", err)
		return ExitFailure
	}
	return ExitOK
}

// badSettings collects the invalid settings of a command.
type badSettings struct {
	wardturn.SettingProblems
}

func (b *badSettings) addAll(list wardturn.SettingProblems) {
	b.SettingProblems = append(b.SettingProblems, list...)
}

func (b *badSettings) addr(setting, value string) {
	_, err := netip.ParseAddrPort(value)
	b.Require(err == nil, setting, fmt.Sprintf("%q is not IP:port", value))
}

func (b *badSettings) optionalAddr(setting, value string) {
	if value != "" {
		b.addr(setting, value)
	}
}

func (c *common) logger(name string, w io.Writer) hclog.Logger {
	l := hclog.New(&hclog.LoggerOptions{
		Name:       name,
		Level:      hclog.LevelFromString(c.LogLevel),
		Output:     w,
		TimeFormat: "15:04:05.000",
	})
	return process.NewRateLimitedLogger(l, process.Clock{}, process.LogRates{
		ByMessage: map[string]float64{
			"refused":        failureLogRate,
			"beyond the cap": failureLogRate,
			"failed":         failureLogRate,
			"answer cut":     failureLogRate,
			"answer lost":    failureLogRate,
			"send failed":    failureLogRate,
		},
		Default: defaultLogRate,
	})
}

// daemon has the dependencies that the gateway and the keeper share.
type daemon struct {
	*dig.Container

	logs        *process.LogQueue
	stopMetrics func()
}

// newDaemon starts the metrics server and the log queue of a daemon and provides its
// clock, logger and metrics scope. The function that calls it has to stop the metrics and
// close the log.
func (c *common) newDaemon(name string, out io.Writer) (*daemon, error) {
	debug.SetGCPercent(gcPercent)
	c.Machine().LimitMemory()
	d := &daemon{
		Container: dig.New(),
		logs:      process.NewLogQueue(out, logQueueSize),
	}
	logger := c.logger(name, d.logs)
	scope, stopMetrics, err := c.serveMetrics(logger)
	if err != nil {
		return nil, err
	}
	d.stopMetrics = stopMetrics
	err = process.Provide(d.Container,
		func() wardturn.Clock { return process.Clock{} },
		func() hclog.Logger { return logger },
		func() tally.Scope { return scope },
	)
	if err != nil {
		stopMetrics()
		return nil, err
	}
	return d, nil
}

// serveMetrics starts the metrics server if an address is set. It returns the scope of
// the process's metrics and a function that stops the server.
func (c *common) serveMetrics(logger hclog.Logger) (tally.Scope, func(), error) {
	if c.Metrics == "" {
		return tally.NoopScope, func() {}, nil
	}
	m := process.NewMetrics()
	stop, err := process.ServeMetrics(c.Metrics, m, c.MaxProbes, logger)
	if err != nil {
		return nil, nil, err
	}
	return m.Scope, func() {
		stop()
		m.Close()
	}, nil
}
