package agent

import (
	"time"

	"github.com/uber-go/tally/v4"

	"wardturn"
	"wardturn/decide"
	"wardturn/process"
)

// Metrics are an agent's counters, gauges and histograms. Labels are bounded:
// none carries an adapter, a caller or a request.
type Metrics struct {
	scope    tally.Scope
	running  tally.Gauge
	queued   tally.Gauge
	wants    tally.Gauge
	attempts tally.Gauge
	outcomes *process.OutcomeCounters
	stall    tally.Histogram
	loadTime tally.Histogram

	shadowLoads   tally.Gauge
	shadowWants   tally.Gauge
	shadowVictims tally.Gauge
	shadowHolds   tally.Gauge
	shadowHeld    tally.Gauge
}

// NewMetrics registers an agent's metrics.
func NewMetrics(scope tally.Scope) *Metrics {
	s := scope.SubScope("agent")
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)
	return &Metrics{
		scope:    s,
		running:  s.Gauge("running_requests"),
		queued:   s.Gauge("queued_requests"),
		wants:    s.Gauge("waiting_adapters"),
		attempts: s.Gauge("remembered_attempts"),
		outcomes: process.NewOutcomeCounters(s, "attempts_total"),
		stall:    s.Histogram("load_stall_seconds", buckets),
		loadTime: s.Histogram("load_seconds", buckets),

		shadowLoads:   s.Gauge("shadow_loads"),
		shadowWants:   s.Gauge("shadow_loads_of_another_adapter"),
		shadowVictims: s.Gauge("shadow_unloads_of_another_adapter"),
		shadowHolds:   s.Gauge("shadow_holds"),
		shadowHeld:    s.Gauge("shadow_holds_decided_otherwise"),
	}
}

func (m *Metrics) ended(class wardturn.Class, outcome wardturn.Outcome, stalled time.Duration) {
	m.outcomes.Count(class, outcome)
	if outcome.Kind == wardturn.Done {
		m.stall.RecordDuration(stalled)
	}
}

func (m *Metrics) loaded(result decide.OrderResult, took time.Duration) {
	name := "done"
	if result != decide.OrderDone {
		name = "failed"
	}
	m.scope.Tagged(map[string]string{
		"result": name,
	}).Counter("loads_total").Inc(1)
	if result == decide.OrderDone {
		m.loadTime.RecordDuration(took)
	}
}

// observe takes the core's present state.
func (m *Metrics) observe(core *decide.Agent, attempts int) {
	h := core.Hint()
	m.running.Update(float64(h.Running))
	m.queued.Update(float64(h.Queued))
	m.wants.Update(float64(h.WaitingAdapters))
	m.attempts.Update(float64(attempts))
	if sh, ok := core.Shadow(); ok {
		m.shadowLoads.Update(float64(sh.Loads))
		m.shadowWants.Update(float64(sh.OtherAdapters))
		m.shadowVictims.Update(float64(sh.OtherVictims))
		m.shadowHolds.Update(float64(sh.Holds))
		m.shadowHeld.Update(float64(sh.OtherHolds))
	}
}
