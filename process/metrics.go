package process

import (
	"io"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

const reportInterval = time.Second

// Metrics is the root metrics scope of a process and the handler that serves it.
type Metrics struct {
	Scope   tally.Scope
	Handler fasthttp.RequestHandler
	closer  io.Closer
}

// NewMetrics returns a root scope whose metrics are served in the Prometheus text format.
// The names of all metrics start with "wardturn_".
func NewMetrics() *Metrics {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer:               registry,
		DefaultTimerType:         promreporter.HistogramTimerType,
		OnRegisterError:          func(error) {},
		DefaultSummaryObjectives: nil,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "wardturn",
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        &promreporter.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	h := promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	return &Metrics{
		Scope:   scope,
		Handler: fasthttpadaptor.NewFastHTTPHandler(h),
		closer:  closer,
	}
}

// Close stops reporting.
func (m *Metrics) Close() {
	_ = m.closer.Close()
}
