package fleet

import (
	"context"
	"io"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

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

func (c *keeperCmd) validate() error {
	var b badSettings
	b.addr("store", c.Store)
	b.addr("engine", c.Engine)
	b.optionalAddr("metrics", c.Metrics)
	b.addr("ip", net.JoinHostPort(c.IP, c.Port))
	b.addAll(c.LimitSettings.Problems())
	return b.Err()
}

// Run implements the keeper command.
func (c *keeperCmd) Run(ctx context.Context, out io.Writer, args commandLine) error {
	if err := c.validate(); err != nil || c.Check {
		return err
	}
	ln, err := net.Listen("tcp", net.JoinHostPort(c.IP, c.Port))
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	d, err := c.newDaemon("keeper", out)
	if err != nil {
		return err
	}
	defer d.stopMetrics()
	err = process.Provide(d.Container,
		func() wardturn.EngineController { return platform.NewWorker(c.Engine) },
		func(scope tally.Scope) *platform.Store { return platform.NewStore(c.Store, scope) },
		func() wardturn.Policy { return policy.Default{} },
		c.newKeeper(ln),
	)
	if err != nil {
		return err
	}
	return d.Invoke(func(k *keeper.Keeper, logger hclog.Logger) {
		watchSettings(ctx, args, logger, func(root *commands) {
			if logInvalidSettings(logger, root.Keeper.validate()) {
				return
			}
			logger.SetLevel(hclog.LevelFromString(root.Keeper.LogLevel))
			logger.Info("settings read again", "log_level", root.Keeper.LogLevel)
		})
		k.Close()
		d.logs.Close()
	})
}

func (c *keeperCmd) newKeeper(ln net.Listener) any {
	return func(clock wardturn.Clock, logger hclog.Logger, scope tally.Scope, e wardturn.EngineController, s *platform.Store, p wardturn.Policy) *keeper.Keeper {
		return keeper.New(keeper.Deps{
			Config: keeper.Config{
				Process: process.NewIncarnation(),
				Name:    c.Node,

				MaxConnections:  c.Connections(),
				MaxMessageBytes: c.Machine().Budget(),
			},
			Clock:    clock,
			Logger:   logger,
			Scope:    scope,
			Engine:   e,
			Fences:   s,
			Origins:  platform.NewOriginStore(s, logger),
			Policy:   p,
			Listener: ln,
		})
	}
}
