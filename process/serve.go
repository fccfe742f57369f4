package process

import (
	"net"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// ServeMetrics starts an HTTP server with /metrics and /healthz, for processes that serve
// no other API. The returned function closes its listener.
func ServeMetrics(addr string, m *Metrics) (stop func(), err error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	s := &fasthttp.Server{
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
