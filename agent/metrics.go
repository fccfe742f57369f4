package agent

import (
	"time"

	"github.com/uber-go/tally/v4"

	"wardturn"
	"wardturn/decide"
	"wardturn/process"
)

// Metrics holds an agent's counters, gauges and histograms. The number of label
// values is bounded: no label contains an adapter, a caller or a request.
type Metrics struct {
	scope           tally.Scope
	running         tally.Gauge
	queued          tally.Gauge
	waitingAdapters tally.Gauge
	attempts        tally.Gauge
	outcomes        *process.OutcomeCounters
	loadStall       tally.Histogram
	loadTime        tally.Histogram

	shadowLoads         tally.Gauge
	shadowOtherAdapters tally.Gauge
	shadowOtherVictims  tally.Gauge
	shadowHolds         tally.Gauge
	shadowOtherHolds    tally.Gauge
}

// NewMetrics registers an agent's metrics.
func NewMetrics(scope tally.Scope) *Metrics {
	s := scope.SubScope("agent")
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)
	return &Metrics{
		scope:           s,
		running:         s.Gauge("running_requests"),
		queued:          s.Gauge("queued_requests"),
		waitingAdapters: s.Gauge("waiting_adapters"),
		attempts:        s.Gauge("remembered_attempts"),
		outcomes:        process.NewOutcomeCounters(s, "attempts_total"),
		loadStall:       s.Histogram("load_stall_seconds", buckets),
		loadTime:        s.Histogram("load_seconds", buckets),

		shadowLoads:         s.Gauge("shadow_loads"),
		shadowOtherAdapters: s.Gauge("shadow_loads_of_another_adapter"),
		shadowOtherVictims:  s.Gauge("shadow_unloads_of_another_adapter"),
		shadowHolds:         s.Gauge("shadow_holds"),
		shadowOtherHolds:    s.Gauge("shadow_holds_decided_otherwise"),
	}
}

func (m *Metrics) attemptEnded(class wardturn.Class, outcome wardturn.Outcome, adapterWait time.Duration) {
	m.outcomes.Count(class, outcome)
	if outcome.Kind == wardturn.Done {
		m.loadStall.RecordDuration(adapterWait)
	}
}

func (m *Metrics) loadEnded(result decide.OrderResult, took time.Duration) {
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

// observe updates the gauges from the state of the core.
func (m *Metrics) observe(core *decide.Agent, attempts int) {
	h := core.Hint()
	m.running.Update(float64(h.Running))
	m.queued.Update(float64(h.Queued))
	m.waitingAdapters.Update(float64(h.WaitingAdapters))
	m.attempts.Update(float64(attempts))
	if sh, ok := core.Shadow(); ok {
		m.shadowLoads.Update(float64(sh.Loads))
		m.shadowOtherAdapters.Update(float64(sh.OtherAdapters))
		m.shadowOtherVictims.Update(float64(sh.OtherVictims))
		m.shadowHolds.Update(float64(sh.Holds))
		m.shadowOtherHolds.Update(float64(sh.OtherHolds))
	}
}
