package decide

import (
	"time"

	"wardturn"
)

// engineRateTTL is how long the measured rate of an engine is used. A gateway sends an engine a
// prompt every few seconds, seldom a slow one, and engines may be slow for some seconds only.
const engineRateTTL = 30 * time.Second

// engineRate is the prefill rate of one engine.
type engineRate struct {
	perMilli   float64 // tokens per millisecond; zero: not measured
	measuredAt time.Time
}

// prefillCost returns the expected prefill time of a number of tokens at an engine, in
// milliseconds.
func (m *Member) prefillCost(now time.Time, tokens int) float64 {
	if m.engineRate.perMilli > 0 && now.Sub(m.engineRate.measuredAt) <= engineRateTTL {
		return float64(tokens) / m.engineRate.perMilli
	}
	return m.prefillRate.cost(tokens)
}

// prefillTime returns the expected prefill time of a number of tokens at an engine.
func (m *Member) prefillTime(now time.Time, tokens int) time.Duration {
	return time.Duration(m.prefillCost(now, tokens) * float64(time.Millisecond))
}

// updatePauseLimits records the services with a route that limits the pauses of its
// streams.
func (f *Fleet) updatePauseLimits() {
	f.limitsPauses = make(map[wardturn.ServiceName]bool)
	for i := range f.table.Routes {
		r := &f.table.Routes[i]
		for _, t := range r.Targets {
			f.limitsPauses[t.Service] = f.limitsPauses[t.Service] || r.MaxPause > 0
		}
	}
}

// takesTurn reports whether a request waits for a turn before it is sent to an engine. Its
// keeper must be connected and understand turns. Without a route that limits pauses, turns
// would be granted at once, so none are requested. A request whose response is no stream takes
// none either: its first byte comes after the generation, until which it would hold its turn.
func (f *Fleet) takesTurn(r *PendingRequest, m *Member) bool {
	return r.Streaming && r.Prompt > 0 && m.lastUpdate.Connected && m.lastUpdate.PrefillTurns && f.limitsPauses[r.Service]
}

// registerTurn counts a prompt as one that the engine's keeper counts from its request for
// a turn. It is not reported to the keeper a second time.
func (m *Member) registerTurn(prompt wardturn.Tokens) {
	if prompt >= minReportedPrompt {
		m.prefill.own = max(0, m.prefill.own-int(prompt))
	}
	m.prefill.registered += int(prompt)
}

// TurnEnded records that the keeper of an engine does not count a prompt any more that has
// taken a turn or was to take one. If its prefill has not ended, it is reported to the
// keeper as a prompt without a turn from now on.
func (f *Fleet) TurnEnded(id wardturn.UpstreamID, prompt wardturn.Tokens) {
	m := f.members[id]
	if m == nil {
		return
	}
	m.prefill.registered = max(0, m.prefill.registered-int(prompt))
	if prompt >= minReportedPrompt {
		m.prefill.own += int(prompt)
		f.queuePrefillReport(m)
	}
}

// ServicePrefillRate returns the estimated prefill rate of the engines of a service, in
// tokens per second.
func (f *Fleet) ServicePrefillRate(s wardturn.ServiceName) float64 {
	return float64(time.Second/time.Millisecond) / f.prefillRateOf(s).cost(1)
}

// EngineMeasured records the prefill rate of an engine in tokens per second, as measured by
// its keeper, with the tokens of a prompt that took a turn there.
func (f *Fleet) EngineMeasured(now time.Time, id wardturn.UpstreamID, rate float64, prompt wardturn.Tokens) {
	m := f.members[id]
	if m == nil || rate <= 0 {
		return
	}
	m.engineRate = engineRate{
		perMilli:   rate / float64(time.Second/time.Millisecond),
		measuredAt: now,
	}
	m.prefillRate.observe(int(prompt), time.Duration(float64(prompt)/rate*float64(time.Second)))
}

// PrefillTimes returns the expected prefill time of a prompt at an engine, and that of all
// prompts known there, the prompt itself included once it was assigned.
func (f *Fleet) PrefillTimes(now time.Time, id wardturn.UpstreamID, prompt wardturn.Tokens) (own, all time.Duration) {
	m := f.members[id]
	if m == nil {
		return 0, 0
	}
	return m.prefillTime(now, int(prompt)), m.prefillTime(now, m.pendingPrefill(now))
}
