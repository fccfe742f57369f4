package entry

import (
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"wardturn"
	"wardturn/process"
)

// Metrics are an entry's counters and histograms. Labels are bounded: none
// carries an adapter, a caller or a request.
type Metrics struct {
	handler  fasthttp.RequestHandler
	requests *process.OutcomeCounters
	stall    [2]tally.Histogram // by class
	whole    [2]tally.Histogram
}

// NewMetrics registers an entry's metrics. The handler serves them all.
func NewMetrics(scope tally.Scope, handler fasthttp.RequestHandler) *Metrics {
	s := scope.SubScope("entry")
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 18)
	m := &Metrics{
		handler:  handler,
		requests: process.NewOutcomeCounters(s, "requests_total"),
	}
	for _, class := range []wardturn.Class{wardturn.Interactive, wardturn.Batch} {
		tagged := s.Tagged(map[string]string{
			"class": class.String(),
		})
		m.stall[class] = tagged.Histogram("load_stall_seconds", buckets)
		m.whole[class] = tagged.Histogram("request_seconds", buckets)
	}
	return m
}

func (m *Metrics) ended(x *exchange) {
	m.requests.Count(x.req.Class, x.outcome)
	if x.outcome.Kind != wardturn.Done {
		return
	}
	m.whole[x.req.Class].RecordDuration(x.now().Sub(x.arrived))
	if x.head != nil {
		m.stall[x.req.Class].RecordDuration(x.head.AdapterWait)
	}
}
