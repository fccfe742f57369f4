package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Metrics are the gateway's counters and histograms.
type Metrics struct {
	scope tally.Scope
}

// NewMetrics returns metrics in a scope.
func NewMetrics(scope tally.Scope) *Metrics {
	return &Metrics{
		scope: scope,
	}
}

// latencies are the buckets of latency histograms.
var latencies = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 11)

// finished counts the end of a request.
func (m *Metrics) finished(x *exchange, outcome string) {
	class := "plain"
	if x.engine {
		class = "engine"
	}
	s := m.scope.Tagged(map[string]string{
		"class":   class,
		"outcome": outcome,
	})
	s.Counter("requests").Inc(1)
	s.Histogram("request_time", latencies).RecordDuration(x.g.clock.Now().Sub(x.arrived))
}
