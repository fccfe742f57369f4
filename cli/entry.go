package cli

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"go.uber.org/dig"

	"wardturn"
	"wardturn/entry"
	"wardturn/process"
)

// entrySettings has the settings of wardturn-entry.
type entrySettings struct {
	processSettings
	CallerKeys    []string      `help:"Keys of callers as name:sha256, beside those of the configuration; two for one name allow rotation."`
	OperatorKeys  []string      `help:"Keys of operators as name:sha256."`
	HTTPSCert     string        `name:"https-cert" help:"Certificate towards callers, PEM text; --tls-cert if empty."`
	HTTPSKey      string        `name:"https-key" help:"Private key towards callers, PEM text."`
	Open          bool          `help:"Callers need no key; only with --plain."`
	MaxBody       int           `default:"1048576" help:"Bytes of a request's body at most."`
	MaxRequests   int           `default:"20000" help:"Requests at once at most."`
	Deadline      time.Duration `default:"60s" help:"Deadline of requests that name none."`
	RetryShare    float64       `default:"0.1" help:"Retries as a part of the requests, 0 to 1."`
	StallTimeout  time.Duration `default:"10s" help:"Time after which a caller that takes no byte of a response loses its connection."`
	ShutdownLimit time.Duration `default:"10m" help:"Time that running requests have to end after a signal."`
}

func (s *entrySettings) config(p wardturn.Incarnation) entry.Config {
	cfg := entry.Config{
		Process:        p,
		Region:         wardturn.Region(s.Region),
		Domain:         wardturn.FailureDomain(s.Domain),
		MaxBody:        s.MaxBody,
		MaxRequests:    s.MaxRequests,
		Deadline:       s.Deadline,
		RetryShare:     s.RetryShare,
		AllowAnonymous: s.Open,
		MaxConnections: s.Connections(),
		MaxHeadBytes:   s.Machine().Budget(),
		MaxBodyBytes:   s.Machine().Budget(),
		StallTimeout:   s.StallTimeout,
	}
	cfg.CallerKeys, _ = parseKeys(s.CallerKeys)
	cfg.OperatorKeys, _ = parseKeys(s.OperatorKeys)
	return cfg
}

func parseKeys(texts []string) ([]entry.KeyGrant, error) {
	var list []entry.KeyGrant
	for _, t := range texts {
		k, err := entry.ParseKeyGrant(t)
		if err != nil {
			return nil, err
		}
		list = append(list, k)
	}
	return list, nil
}

func (s *entrySettings) problems() *problems {
	p := &problems{}
	s.processSettings.problems(p)
	_, err := parseKeys(s.CallerKeys)
	p.add("caller-keys", err)
	_, err = parseKeys(s.OperatorKeys)
	p.add("operator-keys", err)
	if s.Open && !s.Plain {
		p.add("open", errors.New("only with --plain"))
	}
	p.addAll(s.config("check").Check())
	return p
}

// httpsConfig returns the TLS configuration for callers, or nil without TLS.
func (s *entrySettings) httpsConfig() (*tls.Config, error) {
	if s.Plain {
		return nil, nil
	}
	certPEM, keyPEM := s.HTTPSCert, s.HTTPSKey
	if certPEM == "" {
		certPEM, keyPEM = s.TLSCert, s.TLSKey
	}
	cert, err := tls.X509KeyPair([]byte(certPEM), []byte(keyPEM))
	if err != nil {
		return nil, errors.Wrap(err, "certificate for callers")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		MinVersion:   tls.VersionTLS12,
	}, nil
}

// EntryMain runs wardturn-entry and returns its exit code.
func EntryMain(ctx context.Context, args []string, s Streams) int {
	const name = "wardturn-entry"
	var settings entrySettings
	if code, done := readSettings(name, "The process on an entry host.", &settings, args, s); done {
		return code
	}
	return exitCode(s, runEntry(ctx, &settings, newLogger(s, name, settings.LogLevel)))
}

// entryParts has the dependencies of the entry. The names distinguish the TLS
// configuration for callers from the one for agents, which has the same type.
type entryParts struct {
	dig.In

	Config   entry.Config
	Clock    wardturn.Clock
	Logger   hclog.Logger
	Metrics  *entry.Metrics
	Log      wardturn.Log
	Hosts    wardturn.HostList
	Listener net.Listener
	TLS      *tls.Config `name:"peers"`
	HTTPS    *tls.Config `name:"callers"`
}

func newEntry(p entryParts) *entry.Entry {
	return entry.New(entry.Deps{
		Config:   p.Config,
		Clock:    p.Clock,
		Logger:   p.Logger,
		Metrics:  p.Metrics,
		Log:      p.Log,
		Hosts:    p.Hosts,
		Listener: p.Listener,
		TLS:      p.TLS,
		HTTPS:    p.HTTPS,
	})
}

func runEntry(ctx context.Context, settings *entrySettings, logger hclog.Logger) error {
	ln, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	peerTLS, err := settings.tlsConfig()
	if err != nil {
		return err
	}
	callerTLS, err := settings.httpsConfig()
	if err != nil {
		return err
	}
	settings.Machine().LimitMemory()
	metrics := process.NewMetrics()
	defer metrics.Close()
	c := dig.New()
	if err := settings.provide(c, logger, ln); err != nil {
		return err
	}
	err = process.Provide(c,
		func() entry.Config { return settings.config(process.NewIncarnation()) },
		func() *entry.Metrics { return entry.NewMetrics(metrics.Scope, metrics.Handler) },
		newEntry,
	)
	if err != nil {
		return err
	}
	if err := c.Provide(func() *tls.Config { return peerTLS }, dig.Name("peers")); err != nil {
		return errors.Wrap(err, "wiring")
	}
	if err := c.Provide(func() *tls.Config { return callerTLS }, dig.Name("callers")); err != nil {
		return errors.Wrap(err, "wiring")
	}
	return c.Invoke(func(e *entry.Entry, clock wardturn.Clock) {
		<-ctx.Done()
		shutdownCtx, cancel := wardturn.WithTimeout(context.Background(), clock, settings.ShutdownLimit)
		defer cancel()
		e.Shutdown(shutdownCtx)
		e.Close()
	})
}
