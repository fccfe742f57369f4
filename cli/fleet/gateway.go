package fleet

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"wardturn"
	"wardturn/decide"
	"wardturn/gateway"
	"wardturn/platform"
	"wardturn/process"
)

type gatewayCmd struct {
	common
	Listen       string                                     `required:"" help:"Address for callers, IP:port."`
	Ready        string                                     `required:"" help:"Address for the balancer's question, IP:port."`
	Drain        time.Duration                              `default:"2s" help:"Time after which a leaving upstream must get no new requests; the list is read each half of it."`
	LapseGrace   time.Duration                              `default:"2200ms" help:"Time after the store's return in which a lapsed entry may come back; the platform promises 2 s."`
	Grace        time.Duration                              `default:"8s" help:"Time between SIGTERM and SIGKILL."`
	LeaveAfter   time.Duration                              `default:"2500ms" help:"Time after SIGTERM in which requests are still taken; the balancer notices within 2 s."`
	RetryShare   float64                                    `default:"0.2" help:"Resends as a part of the requests of a service that the platform allows all gateways together; half is used."`
	RetryExtra   float64                                    `default:"52" help:"Resends beyond that which it allows all of them in a window."`
	RetryWindow  time.Duration                              `default:"10s" help:"That window."`
	MaxBody      int                                        `default:"1048576" help:"Bytes of a body while the configuration bounds none."`
	StallTimeout time.Duration                              `default:"10s" help:"Time after which a caller that takes no byte of a response loses its connection."`
	VersionBound time.Duration                              `default:"5s" help:"Time after the store's word of a newer version of an adapter in which requests may begin on an older one."`
	KeyBound     time.Duration                              `default:"5s" help:"Time after the store's word that a key was taken away in which requests may be sent that still run with it, on hosts out of touch too; 0: no bound."`
	ColdOverage  float64                                    `default:"1" help:"What a cold upstream bears in any second, from all gateways together: so many times its rate, and cold-slack requests."`
	ColdSlack    float64                                    `default:"1" help:"Requests beyond that."`
	Regions      map[wardturn.FailureDomain]wardturn.Region `mapsep:"," placeholder:"DOMAIN=REGION" help:"Regions of the failure domains. A request that may be served in some regions only goes to no domain that is not named here."`
	CrashLimit   int                                        `default:"3" help:"Upstreams that end without notice under a request before it is refused, by whatever attempt it comes; the platform bears three."`
	CrashMemory  time.Duration                              `default:"24h" help:"Time after the latest of them in which it is refused; the platform bears three more sends of such a request in all."`
	EqualCaps    bool                                       `help:"Give each gateway the same part of each team's usage cap, whatever the others take. Without it they tell each other, and a team may use its whole cap at any of them."`
	UpstreamMB   int                                        `default:"64" help:"Bytes of requests' bodies, in MB, that one upstream is given at once by all gateways together."`
	CrossBytes   int                                        `default:"28000" help:"Bytes sent to an adapter in another failure domain before it is loaded in the own one; that traffic costs the users as much as a load."`
	LoadsAtStart float64                                    `default:"8" help:"Adapter loads under way from the weight store, for all gateways, at the start, at least: no more than the smallest known store serves at full speed. Half of the engines if that is more."`
	LoadsAtMost  float64                                    `default:"1024" help:"Adapter loads under way from the weight store, for all gateways, at most; ten times what the largest known store serves at full speed."`
}

// minKeyBound is the least KeyBound other than 0. It leaves time to read the
// configuration: gateways that rely on another gateway's announcement of a read know the
// configuration as it was up to 1.7 s earlier.
const minKeyBound = 3 * time.Second

func (c *gatewayCmd) validate() error {
	var b badSettings
	b.addr("listen", c.Listen)
	b.addr("ready", c.Ready)
	b.addr("store", c.Store)
	b.optionalAddr("metrics", c.Metrics)
	b.Require(c.Drain >= time.Second, "drain", "must be at least 1s")
	b.Require(c.Grace > c.LeaveAfter, "grace", "must be over leave-after")
	b.Require(c.RetryShare >= 0 && c.RetryShare <= 1, "retry-share", "must be 0 to 1")
	b.Require(c.RetryExtra >= 0, "retry-extra", "must not be negative")
	b.Require(c.RetryWindow > 0, "retry-window", "must be over 0")
	b.Require(c.VersionBound >= 0, "version-bound", "must not be negative")
	b.Require(c.KeyBound == 0 || c.KeyBound >= minKeyBound, "key-bound", "must be 0 or at least 3s")
	b.addAll(c.LimitSettings.Problems())
	b.Require(c.StallTimeout > 0, "stall-timeout", "must be over 0")
	b.Require(c.UpstreamMB >= 1, "upstream-mb", "must be at least 1")
	b.Require(c.ColdOverage >= 1, "cold-overage", "must be at least 1")
	b.Require(c.ColdSlack >= 0, "cold-slack", "must not be negative")
	b.Require(c.CrashLimit >= 1, "crash-limit", "must be at least 1")
	b.Require(c.CrashMemory > 0, "crash-memory", "must be over 0")
	b.Require(c.LoadsAtStart >= 1, "loads-at-start", "must be at least 1")
	b.Require(c.LoadsAtMost >= c.LoadsAtStart, "loads-at-most", "must not be under loads-at-start")
	return b.Err()
}

func (c *gatewayCmd) config() gateway.Config {
	return gateway.Config{
		Process:          process.NewIncarnation(),
		Host:             c.Node,
		Domain:           wardturn.FailureDomain(c.Domain),
		KeeperPort:       c.Port,
		Drain:            c.Drain,
		ExpiryGrace:      c.LapseGrace,
		MaxBody:          c.MaxBody,
		MaxBufferedBytes: c.Machine().Budget(),
		MaxConnections:   c.Connections(),
		MaxHeadBytes:     c.Machine().Budget(),
		MaxProbes:        c.MaxProbes,
		StallTimeout:     c.StallTimeout,
		RetryShare:       c.RetryShare,
		RetryExtra:       c.RetryExtra,
		RetryWindow:      c.RetryWindow,
		ShutdownDelay:    c.LeaveAfter,
		ShutdownLimit:    c.Grace - shutdownMargin,
		KeyBound:         c.KeyBound,

		EqualCapShares: c.EqualCaps,
		Crashes: decide.CrashConfig{
			Limit:  c.CrashLimit,
			Memory: c.CrashMemory,
		},
		Fleet: decide.FleetConfig{
			Domain:              wardturn.FailureDomain(c.Domain),
			Regions:             c.Regions,
			MaxCrossDomainBytes: c.CrossBytes,
			MaxBodyBytes:        c.UpstreamMB << 20,
			VersionBound:        c.VersionBound,
			Cold: decide.ColdConfig{
				Overage: c.ColdOverage,
				Slack:   c.ColdSlack,
			},
			Window: decide.WindowConfig{
				Start: c.LoadsAtStart,
				Max:   c.LoadsAtMost,
			},
		},
	}
}

// applySettings applies those reloaded settings that can change at run time. It changes
// nothing if a setting is invalid.
func (c *gatewayCmd) applySettings(g *gateway.Gateway, logger hclog.Logger, reloaded *gatewayCmd) {
	if logInvalidSettings(logger, reloaded.validate()) {
		return
	}
	logger.SetLevel(hclog.LevelFromString(reloaded.LogLevel))
	cfg := reloaded.config()
	g.ApplySettings(cfg)
	logger.Info("settings read again", "log_level", reloaded.LogLevel, "retry_share", cfg.RetryShare, "retry_extra", cfg.RetryExtra, "retry_window", cfg.RetryWindow, "cross_bytes", cfg.Fleet.MaxCrossDomainBytes, "loads_at_most", cfg.Fleet.Window.Max)
}

// shutdownMargin is the time reserved before SIGKILL to terminate the responses in
// progress with an error that the caller sees, and to write the last log lines, which
// takes a few ms. It cuts streams that would have completed within the margin: in 24
// shutdowns under load, 67 streams were still running 300 ms before SIGKILL and 5 of them
// completed in the next 200 ms. No gateway was killed.
const shutdownMargin = 100 * time.Millisecond

// Run implements the gateway command.
func (c *gatewayCmd) Run(ctx context.Context, out io.Writer, args commandLine) error {
	if err := c.validate(); err != nil || c.Check {
		return err
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	readyListener, err := net.Listen("tcp", c.Ready)
	if err != nil {
		return errors.Wrap(err, "ready")
	}
	d, err := c.newDaemon("gateway", out)
	if err != nil {
		return err
	}
	defer d.stopMetrics()
	err = process.Provide(d.Container,
		func(scope tally.Scope) *platform.Store { return platform.NewStore(c.Store, scope) },
		gateway.NewMetrics,
		c.newGateway(listener, readyListener),
	)
	if err != nil {
		return err
	}
	return d.Invoke(func(g *gateway.Gateway, clock wardturn.Clock, logger hclog.Logger) {
		watchSettings(ctx, args, logger, func(root *commands) {
			c.applySettings(g, logger, &root.Gateway)
		})
		shutdownCtx, cancel := wardturn.WithTimeout(context.Background(), clock, c.Grace-shutdownMargin)
		defer cancel()
		g.Shutdown(shutdownCtx)
		g.Close()
		d.logs.Close()
	})
}

func (c *gatewayCmd) newGateway(listener, readyListener net.Listener) any {
	return func(clock wardturn.Clock, logger hclog.Logger, m *gateway.Metrics, s *platform.Store) *gateway.Gateway {
		return gateway.New(gateway.Deps{
			Config:         c.config(),
			Clock:          clock,
			Logger:         logger,
			Metrics:        m,
			Names:          platform.Headers(),
			ResponseReader: platform.Responses{},
			LifetimeProbe:  platform.LifetimeProbe{},
			Source:         platform.NewConfigReader(s, logger),
			Members:        platform.NewMemberReader(s, clock, logger),
			FactStore:      s,
			Crashes:        platform.NewCrashStore(s, logger),
			Origins:        platform.NewOriginStore(s, logger),
			Listener:       listener,
			ReadyListener:  readyListener,
			ReadyPath:      platform.ReadyPath,
		})
	}
}
