package process

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
)

// The limits of servers for probes and metrics, whose requests are short and have no body.
const (
	ProbeTimeout     = 5 * time.Second  // for a request, and for its response
	ProbeIdleTimeout = 30 * time.Second // between requests
	MaxProbeHeader   = 4 << 10          // bytes of a head
)

// ServeMetrics starts an HTTP server with /metrics and /healthz, for processes that serve
// no other API, with a limit on its connections. The returned function closes its listener.
func ServeMetrics(addr string, m *Metrics, maxConns int, logger hclog.Logger) (stop func(), err error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	clock := Clock{}
	ln = RetryAccept(ln, clock, func(err error) {
		logger.Error("accepting clients of metrics failed", "error", err)
	})
	ln = NewConnLimit("metrics", maxConns, clock, logger, m.Scope).Listener(ln)
	s := &fasthttp.Server{
		GetOnly:            true,
		ReadBufferSize:     MaxProbeHeader,
		ReadTimeout:        ProbeTimeout,
		WriteTimeout:       ProbeTimeout,
		IdleTimeout:        ProbeIdleTimeout,
		MaxRequestBodySize: 1,
		Logger:             discardLogger{},
		Handler: func(ctx *fasthttp.RequestCtx) {
			switch string(ctx.Path()) {
			case "/metrics":
				m.Handler(ctx)
			case "/healthz":
				ctx.SetBodyString("ok\n")
			default:
				ctx.SetStatusCode(fasthttp.StatusNotFound)
			}
		},
		NoDefaultServerHeader: true,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ln)
	}()
	return func() {
		ln.Close()
		<-done
	}, nil
}

// discardLogger drops the log lines of fasthttp, one for each bad request.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
