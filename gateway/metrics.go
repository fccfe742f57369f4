package gateway

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"wardturn"
	"wardturn/decide"
)

// Metrics are the gateway's counters and histograms. The series that it made are
// kept, so that counting needs no look-up of labels.
type Metrics struct {
	scope      tally.Scope
	resends    tally.Counter
	denied     tally.Counter
	loads      tally.Histogram
	warm       tally.Histogram
	waiting    tally.Gauge
	under      tally.Gauge
	evacuated  tally.Gauge
	window     tally.Gauge
	sends      tally.Counter
	direct     tally.Counter   // words of keepers, from themselves
	relayed    tally.Counter   // by relays
	answers    tally.Counter   // on what was asked for
	oldBegan   tally.Histogram // from a newer version's name to the begin on an old one
	oldEnded   tally.Counter   // requests broken off that had not begun on an old version
	relaysLeft tally.Counter   // relays that told nothing, were behind, or lost their keeper
	crashes    tally.Counter   // requests that were there when an upstream ended
	staleKeys  tally.Counter   // requests refused because the keys were known too long ago
	rests      tally.Counter   // answers of upstreams that asked for a rest
	config     recordMetrics
	members    recordMetrics

	mu       sync.RWMutex
	requests map[series]outcomeSeries
}

// recordMetrics tell of one record of the platform's store.
type recordMetrics struct {
	read   tally.Counter // readings of this gateway that had an answer
	failed tally.Counter
	heard  tally.Counter // readings of other gateways
	age    tally.Gauge   // of what is known, in seconds
	causes map[decide.ReadCause]tally.Counter
}

func newRecordMetrics(scope tally.Scope, record string) recordMetrics {
	reads := func(result string) tally.Counter {
		return scope.Tagged(map[string]string{
			"record": record,
			"result": result,
		}).Counter("store_reads")
	}
	causes := make(map[decide.ReadCause]tally.Counter)
	for _, cause := range decide.ReadCauses() {
		causes[cause] = scope.Tagged(map[string]string{
			"record": record,
			"cause":  string(cause),
		}).Counter("store_read_causes")
	}
	return recordMetrics{
		read:   reads("answered"),
		failed: reads("failed"),
		heard:  reads("by_another"),
		age: scope.Tagged(map[string]string{
			"record": record,
		}).Gauge("store_age_seconds"),
		causes: causes,
	}
}

// series names the series of requests that ended alike.
type series struct {
	route   string
	outcome string
}

type outcomeSeries struct {
	count tally.Counter
	time  tally.Histogram
}

// latencies are the buckets of latency histograms: 5 ms to 5 s.
var latencies = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 11)

// NewMetrics returns metrics in a scope.
func NewMetrics(scope tally.Scope) *Metrics {
	kind := func(k string) tally.Histogram {
		return scope.Tagged(map[string]string{
			"from": k,
		}).Histogram("adapter_load_time", latencies)
	}
	return &Metrics{
		scope:      scope,
		resends:    scope.Counter("resends"),
		denied:     scope.Counter("resends_denied"),
		loads:      kind("store"),
		warm:       kind("memory"),
		waiting:    scope.Gauge("requests_waiting"),
		under:      scope.Gauge("loads_under_way"),
		evacuated:  scope.Gauge("requests_in_evacuated"),
		window:     scope.Gauge("load_window"),
		sends:      scope.Counter("sends"),
		direct:     words(scope, "direct"),
		relayed:    words(scope, "relay"),
		answers:    words(scope, "answer"),
		oldBegan:   scope.Histogram("old_version_begin_time", latencies),
		oldEnded:   scope.Counter("old_version_broken_off"),
		relaysLeft: scope.Counter("relays_left"),
		crashes:    scope.Counter("crash_suspects"),
		staleKeys:  scope.Counter("refused_stale_keys"),
		rests:      scope.Counter("rests_asked"),
		config:     newRecordMetrics(scope, "configuration"),
		members:    newRecordMetrics(scope, "upstreams"),
		requests:   make(map[series]outcomeSeries),
	}
}

func words(scope tally.Scope, way string) tally.Counter {
	return scope.Tagged(map[string]string{
		"way": way,
	}).Counter("keeper_words")
}

// misplaced counts an answer that did not go on where its stream should.
func (m *Metrics) misplaced(why misplacement) {
	m.scope.Tagged(map[string]string{
		"reason": string(why),
	}).Counter("streams_misplaced").Inc(1)
}

// beyondCap counts a request beyond its team's cap.
func (m *Metrics) beyondCap(team wardturn.TeamID) {
	m.scope.Tagged(map[string]string{
		"team": string(team),
	}).Counter("beyond_cap").Inc(1)
}

// told counts a word of a keeper.
func (m *Metrics) told(relayed, answer bool) {
	switch {
	case relayed:
		m.relayed.Inc(1)
	case answer:
		m.answers.Inc(1)
	default:
		m.direct.Inc(1)
	}
}

// finished counts the end of a request.
func (m *Metrics) finished(x *exchange, outcome string) {
	key := series{
		outcome: outcome,
	}
	if x.route != nil {
		key.route = x.route.Name
	}
	m.mu.RLock()
	s, ok := m.requests[key]
	m.mu.RUnlock()
	if !ok {
		s = m.add(key)
	}
	s.count.Inc(1)
	s.time.RecordDuration(x.g.clock.Now().Sub(x.arrived))
}

func (m *Metrics) add(key series) outcomeSeries {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.requests[key]; ok {
		return s
	}
	scope := m.scope.Tagged(map[string]string{
		"route":   key.route,
		"outcome": key.outcome,
	})
	s := outcomeSeries{
		count: scope.Counter("requests"),
		time:  scope.Histogram("request_time", latencies),
	}
	m.requests[key] = s
	return s
}

// loaded counts an adapter that arrived.
func (m *Metrics) loaded(n decide.LoadNote) {
	if n.Warm {
		m.warm.RecordDuration(n.Took)
		return
	}
	m.loads.RecordDuration(n.Took)
}

// levels takes the present sizes of queues and windows.
func (m *Metrics) levels(l decide.Levels) {
	m.waiting.Update(float64(l.Waiting))
	m.under.Update(float64(l.Under))
	m.evacuated.Update(float64(l.Evacuated))
	m.window.Update(float64(l.Window))
}
