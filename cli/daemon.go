package cli

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"net/netip"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"go.uber.org/dig"

	"wardturn"
	"wardturn/driver"
	"wardturn/process"
)

// processSettings has the settings that the entry and the agent share.
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
	process.LimitSettings
}

// problems collects invalid settings, at most one problem per flag.
type problems struct {
	list wardturn.SettingProblems
}

// add records err for a flag, unless err is nil or the flag already has a problem.
func (p *problems) add(flag string, err error) {
	if err == nil {
		return
	}
	for _, known := range p.list {
		if known.Setting == flag {
			return
		}
	}
	p.list.Require(false, flag, err.Error())
}

// addAll records the problems found by the validation of a configuration.
func (p *problems) addAll(list wardturn.SettingProblems) {
	for _, sp := range list {
		p.add(sp.Setting, errors.New(sp.Reason))
	}
}

// problems records the invalid settings among those that all processes share.
func (s *processSettings) problems(p *problems) {
	p.add("listen", checkAddr(s.Listen, s.Plain))
	p.add("log-addr", checkAddr(s.LogAddr, false))
	p.add("host-list", checkAddr(s.HostList, false))
	p.addAll(s.LimitSettings.Problems())
	if !s.Plain {
		_, err := s.tlsConfig()
		p.add("tls-cert", err)
	}
}

// checkOnly implements daemonSettings.
func (s *processSettings) checkOnly() bool {
	return s.Check
}

// provide adds the dependencies that the entry and the agent share to the container.
func (s *processSettings) provide(c *dig.Container, logger hclog.Logger, ln net.Listener) error {
	return process.Provide(c,
		func() wardturn.Clock { return process.Clock{} },
		func() hclog.Logger { return logger },
		func() wardturn.Log { return driver.NewLog(s.LogAddr) },
		func() wardturn.HostList { return driver.NewHostList(s.HostList) },
		func() net.Listener { return ln },
	)
}

// envVar returns the name of the environment variable of a flag.
func envVar(flag string) string {
	return "WARDTURN_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

func checkAddr(addr string, loopback bool) error {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return errors.Newf("%q is not IP:port", addr)
	}
	if loopback && !ap.Addr().IsLoopback() {
		return errors.Newf("%q is not a loopback address, which --plain requires", addr)
	}
	return nil
}

// tlsConfig returns the configuration for mutual TLS between processes, or nil without
// TLS.
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
		return nil, errors.New("CA contains no certificate")
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

func newLogger(s Streams, name, level string) hclog.Logger {
	l := hclog.New(&hclog.LoggerOptions{
		Name:   name,
		Level:  hclog.LevelFromString(level),
		Output: s.Err,
	})
	return process.NewRateLimitedLogger(l, process.Clock{}, process.LogRates{
		Default: logRate,
	})
}

// logRate is the maximum number of log lines per second for each message.
const logRate = 100

// daemonSettings is implemented by the settings of a daemon, which are also its flags.
type daemonSettings interface {
	// problems returns the invalid settings.
	problems() *problems
	// checkOnly reports whether the daemon only validates its settings and exits.
	checkOnly() bool
}

// readSettings parses a daemon's settings from its command line and validates them. If
// done is true, the daemon must not start but exit with the returned code.
func readSettings(name, description string, settings daemonSettings, args []string, s Streams) (code int, done bool) {
	if code, done := parse(name, description, settings, args, s); done {
		return code, true
	}
	if p := settings.problems(); len(p.list) > 0 {
		return p.print(name, s), true
	}
	return ExitOK, settings.checkOnly()
}

// parse parses a daemon's settings from its command line. If done is true, the daemon
// must exit with the returned code.
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

// print prints all invalid settings and returns the exit code for them.
func (p *problems) print(name string, s Streams) int {
	for _, sp := range p.list {
		fmt.Fprintf(s.Err, "%s: bad setting: --%s (%s): %s\n", name, sp.Setting, envVar(sp.Setting), sp.Reason)
	}
	return ExitUsage
}
