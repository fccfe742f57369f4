package fleet

import (
	"context"
	"io"
	"net"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"go.uber.org/dig"

	"wardturn"
	"wardturn/keeper"
	"wardturn/platform"
	"wardturn/policy"
	"wardturn/process"
)

type keeperCmd struct {
	common
	IP     string `required:"" help:"Address of this host."`
	Engine string `required:"" help:"Address of the engine, IP:port."`
}

func (c *keeperCmd) problems() error {
	var b badSettings
	b.addr("store", c.Store)
	b.addr("engine", c.Engine)
	b.optionalAddr("metrics", c.Metrics)
	b.addr("ip", net.JoinHostPort(c.IP, c.Port))
	return b.Err()
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
