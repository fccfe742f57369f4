package entry

import (
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"wardturn"
	"wardturn/process"
)

// Metrics holds an entry's counters and histograms. To bound their cardinality, no label
// contains an adapter, a caller or a request ID.
type Metrics struct {
	scope         tally.Scope
	handler       fasthttp.RequestHandler
	bodiesRefused tally.Counter // for lack of memory
	requests      *process.OutcomeCounters
	loadStall     [2]tally.Histogram // by class: wait for the adapter to be loaded
	duration      [2]tally.Histogram // by class: total time of a request
}

// NewMetrics registers an entry's metrics in a scope. The handler serves /metrics.
func NewMetrics(scope tally.Scope, handler fasthttp.RequestHandler) *Metrics {
	s := scope.SubScope("entry")
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 18)
	m := &Metrics{
		scope:         s,
		handler:       handler,
		bodiesRefused: s.Counter("bodies_refused"),
		requests:      process.NewOutcomeCounters(s, "requests_total"),
	}
	for _, class := range []wardturn.Class{wardturn.Interactive, wardturn.Batch} {
		tagged := s.Tagged(map[string]string{
			"class": class.String(),
		})
		m.loadStall[class] = tagged.Histogram("load_stall_seconds", buckets)
		m.duration[class] = tagged.Histogram("request_seconds", buckets)
	}
	return m
}

func (m *Metrics) observe(x *exchange) {
	m.requests.Count(x.req.Class, x.outcome)
	if x.outcome.Kind != wardturn.Done {
		return
	}
	m.duration[x.req.Class].RecordDuration(x.now().Sub(x.arrived))
	if x.head != nil {
		m.loadStall[x.req.Class].RecordDuration(x.head.AdapterWait)
	}
}
