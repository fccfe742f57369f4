package process

import (
	"net"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// ServeMetrics serves /metrics and /healthz of a process without an API.
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
