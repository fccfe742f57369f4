package gateway

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"wardturn"
	"wardturn/decide"
)

// Metrics holds the gateway's counters, gauges and histograms. The series of requests are
// cached, so that counting a request needs no label lookup.
type Metrics struct {
	scope             tally.Scope
	resends           tally.Counter
	resendsDenied     tally.Counter
	coldLoads         tally.Histogram
	warmLoads         tally.Histogram
	waiting           tally.Gauge
	loading           tally.Gauge
	evacuated         tally.Gauge
	window            tally.Gauge
	sends             tally.Counter
	directUpdates     tally.Counter   // keeper updates received directly
	relayedUpdates    tally.Counter   // keeper updates received through relays
	replies           tally.Counter   // keeper replies to requests of this gateway
	oldVersionStart   tally.Histogram // time from learning of a newer version to a start on an old one
	oldVersionAborted tally.Counter   // requests aborted before they started on an old version
	relaysAbandoned   tally.Counter   // relays that sent nothing, were behind, or lost the keeper
	crashes           tally.Counter   // requests that were at an upstream when it crashed
	suspectsDropped   tally.Counter   // contents and parts of prompts that had no room to be watched for crashes
	suspectedParts    tally.Gauge     // parts of prompts under which upstreams crashed
	refusedParts      tally.Gauge     // those that are refused for it
	staleKeys         tally.Counter   // requests rejected because the API keys were too old
	backoffsRequested tally.Counter   // responses in which an upstream requested a backoff
	turnWait          tally.Histogram // waits for turns at engines
	originTime        tally.Histogram // lookups of the origins of streams
	originsDropped    tally.Counter   // origins never written, since the store was unavailable for long
	config            recordMetrics
	recordsApplied    tally.Counter // announcements of configuration records that were applied
	recordsNotApplied tally.Counter // and those that could not be
	members           recordMetrics
	lateWaiting       tally.Gauge // requests that wait beyond their objective
	bodyMemory        tally.Gauge // of the budget for request bodies, in bytes
	ranks             [maxPriority + 1]rankMetrics

	mu       sync.RWMutex
	requests map[seriesKey]outcomeSeries
}

// recordMetrics holds the metrics for reads of one record of the platform's store.
type recordMetrics struct {
	succeeded tally.Counter // successful reads by this gateway
	failed    tally.Counter
	announced tally.Counter // reads announced by other gateways
	age       tally.Gauge   // age of the local state, in seconds
	causes    map[decide.ReadCause]tally.Counter
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
		succeeded: reads("answered"),
		failed:    reads("failed"),
		announced: reads("by_another"),
		age: scope.Tagged(map[string]string{
			"record": record,
		}).Gauge("store_age_seconds"),
		causes: causes,
	}
}

// seriesKey identifies the request metrics of one route and outcome.
type seriesKey struct {
	route   string
	outcome string
}

type outcomeSeries struct {
	count tally.Counter
	time  tally.Histogram
}

// latencies holds the buckets of the latency histograms, 5 ms to 5 s.
var latencies = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 11)

// NewMetrics returns metrics that report to scope.
func NewMetrics(scope tally.Scope) *Metrics {
	loadTime := func(from string) tally.Histogram {
		return scope.Tagged(map[string]string{
			"from": from,
		}).Histogram("adapter_load_time", latencies)
	}
	return &Metrics{
		scope:             scope,
		resends:           scope.Counter("resends"),
		resendsDenied:     scope.Counter("resends_denied"),
		coldLoads:         loadTime("store"),
		warmLoads:         loadTime("memory"),
		waiting:           scope.Gauge("requests_waiting"),
		lateWaiting:       scope.Gauge("requests_waiting_late"),
		bodyMemory:        scope.Gauge("body_memory_bytes"),
		ranks:             newRankMetrics(scope),
		loading:           scope.Gauge("loads_under_way"),
		evacuated:         scope.Gauge("requests_in_evacuated"),
		window:            scope.Gauge("load_window"),
		sends:             scope.Counter("sends"),
		directUpdates:     keeperUpdates(scope, "direct"),
		relayedUpdates:    keeperUpdates(scope, "relay"),
		replies:           keeperUpdates(scope, "answer"),
		oldVersionStart:   scope.Histogram("old_version_begin_time", latencies),
		oldVersionAborted: scope.Counter("old_version_broken_off"),
		relaysAbandoned:   scope.Counter("relays_left"),
		crashes:           scope.Counter("crash_suspects"),
		suspectsDropped:   scope.Counter("crash_suspects_dropped"),
		suspectedParts:    scope.Gauge("prompt_parts_suspected"),
		refusedParts:      scope.Gauge("prompt_parts_refused"),
		staleKeys:         scope.Counter("refused_stale_keys"),
		backoffsRequested: scope.Counter("rests_asked"),
		turnWait:          scope.Histogram("turn_wait", latencies),
		originTime:        scope.Histogram("origin_lookup_time", latencies),
		originsDropped:    scope.Counter("origins_dropped"),
		config:            newRecordMetrics(scope, "configuration"),
		recordsApplied:    configAnnouncements(scope, "applied"),
		recordsNotApplied: configAnnouncements(scope, "not_applied"),
		members:           newRecordMetrics(scope, "upstreams"),
		requests:          make(map[seriesKey]outcomeSeries),
	}
}

func configAnnouncements(scope tally.Scope, result string) tally.Counter {
	return scope.Tagged(map[string]string{
		"result": result,
	}).Counter("config_announcements")
}

func keeperUpdates(scope tally.Scope, way string) tally.Counter {
	return scope.Tagged(map[string]string{
		"way": way,
	}).Counter("keeper_words")
}

// updatePlain updates the gauges of plain services.
func (m *Metrics) updatePlain(levels []decide.PlainLevels) {
	for _, l := range levels {
		scope := m.scope.Tagged(map[string]string{
			"service": string(l.Service),
		})
		scope.Gauge("plain_capacity").Update(l.Capacity)
		scope.Gauge("plain_demand").Update(l.Demand)
		scope.Gauge("plain_waiting").Update(float64(l.Waiting))
		scope.Gauge("plain_in_flight").Update(l.InFlight)
	}
}

// plainRefused counts a refused request to a plain service.
func (m *Metrics) plainRefused(service wardturn.ServiceName, rank int) {
	m.scope.Tagged(map[string]string{
		"service": string(service),
		"rank":    strconv.Itoa(rank),
	}).Counter("plain_refused").Inc(1)
}

// resumeMismatch counts a response that did not resume its stream at the right event.
func (m *Metrics) resumeMismatch(mismatch resumeMismatch) {
	m.scope.Tagged(map[string]string{
		"reason": string(mismatch),
	}).Counter("streams_misplaced").Inc(1)
}

// streamEnded counts a stream of events by the framing of its body and where it ended.
func (m *Metrics) streamEnded(framing bodyFraming, end streamEnd) {
	m.scope.Tagged(map[string]string{
		"framing": string(framing),
		"end":     string(end),
	}).Counter("stream_ends").Inc(1)
}

// The results of probes for the lifetime at the other end of a connection.
const (
	probeListed   = "listed"   // the listed lifetime
	probeOther    = "other"    // another lifetime of the upstream
	probeUnstated = "unstated" // the upstream does not tell
	probeFailed   = "failed"
)

// lifetimeProbed counts a probe.
func (m *Metrics) lifetimeProbed(result string) {
	m.scope.Tagged(map[string]string{
		"result": result,
	}).Counter("lifetime_probes").Inc(1)
}

// streamResumed counts a stream that a caller resumes, by how its origin was found.
func (m *Metrics) streamResumed(source originSource) {
	m.scope.Tagged(map[string]string{
		"origin": string(source),
	}).Counter("streams_resumed").Inc(1)
}

// originLookup counts the queries of a lookup of a stream's origin.
func (m *Metrics) originLookup(l *originLookup) {
	m.originTime.RecordDuration(l.took)
	m.originReplies(replyInTime, l.replied)
	m.originReplies(replyMissing, l.asked-l.replied)
}

// The results of queries for the origin of a stream.
const (
	replyInTime  = "in_time"
	replyMissing = "missing" // late, lost, or not awaited after one that knew
)

func (m *Metrics) originReplies(result string, n int) {
	if n == 0 {
		return
	}
	m.scope.Tagged(map[string]string{
		"result": result,
	}).Counter("origin_replies").Inc(int64(n))
}

// originRecorded counts the origin of a stream by the number of keepers that it was sent to.
func (m *Metrics) originRecorded(holders int) {
	m.scope.Tagged(map[string]string{
		"holders": strconv.Itoa(holders),
	}).Counter("origins_recorded").Inc(1)
}

// turnEnded records the wait for a turn at an engine and how it ended.
func (m *Metrics) turnEnded(r turnResult, waited time.Duration) {
	m.turnWait.RecordDuration(waited)
	m.scope.Tagged(map[string]string{
		"result": string(r),
	}).Counter("turns").Inc(1)
}

// keeperUpdate counts an update from a keeper.
func (m *Metrics) keeperUpdate(relayed, requested bool) {
	switch {
	case relayed:
		m.relayedUpdates.Inc(1)
	case requested:
		m.replies.Inc(1)
	default:
		m.directUpdates.Inc(1)
	}
}

// finished records the outcome and duration of a request.
func (m *Metrics) finished(x *exchange, outcome string) {
	key := seriesKey{
		outcome: outcome,
	}
	if x.route != nil {
		key.route = x.route.Name
	}
	m.mu.RLock()
	s, ok := m.requests[key]
	m.mu.RUnlock()
	if !ok {
		s = m.addSeries(key)
	}
	s.count.Inc(1)
	s.time.RecordDuration(x.g.clock.Now().Sub(x.arrived))
}

func (m *Metrics) addSeries(key seriesKey) outcomeSeries {
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

// loadDone records the load time of an adapter.
func (m *Metrics) loadDone(l decide.CompletedLoad) {
	if l.Warm {
		m.warmLoads.RecordDuration(l.Took)
		return
	}
	m.coldLoads.RecordDuration(l.Took)
}

// updateParts updates the gauges of parts of prompts that crash upstreams.
func (m *Metrics) updateParts(suspected, refused int) {
	m.suspectedParts.Update(float64(suspected))
	m.refusedParts.Update(float64(refused))
}

// updateLevels updates the gauges of waiting requests, adapter loads and the load window.
func (m *Metrics) updateLevels(l decide.FleetLevels) {
	m.waiting.Update(float64(l.Waiting))
	m.lateWaiting.Update(float64(l.LateWaiting))
	m.loading.Update(float64(l.LoadsInFlight))
	m.evacuated.Update(float64(l.Evacuated))
	m.window.Update(float64(l.Window))
}
