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

const flushEvery = time.Second

// Metrics is a process's root scope with the handler that serves it.
type Metrics struct {
	Scope   tally.Scope
	Handler fasthttp.RequestHandler
	closer  io.Closer
}

// NewMetrics returns a scope whose metrics are served in the Prometheus text
// format. Every metric starts with "wardturn_".
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
	}, flushEvery)
	h := promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	return &Metrics{
		Scope:   scope,
		Handler: fasthttpadaptor.NewFastHTTPHandler(h),
		closer:  closer,
	}
}

// Close stops the scope's reporting.
func (m *Metrics) Close() {
	_ = m.closer.Close()
}
