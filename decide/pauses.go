package decide

import (
	"time"
)

const (
	// longPauseCost is the cost of a stream that pauses for longer than its route allows,
	// in milliseconds.
	longPauseCost = 250.0
	// pauseThreshold is the fraction of the longest allowed pause that prefilling prompts
	// may take before longer pauses become likely, since other prompts arrive meanwhile.
	pauseThreshold = 0.5
	// spreadPauseCost is the pause cost of one prompt, in milliseconds, above which an
	// adapter is loaded on another engine.
	spreadPauseCost = 150.0
	// lonePromptShare is the fraction of the longest allowed pause that the prefill of one
	// prompt may take. The rest is for the steps of the engine, which generate the tokens of
	// the streams.
	lonePromptShare = 0.85
)

// pauseCost returns the expected cost, in milliseconds, of pauses in the streams of an
// engine while it prefills the prompt of a request and those before it. Each step of an
// engine prefills a part of its prompts and generates one token of each stream, so many
// prompts together stall all streams.
func (m *Member) pauseCost(now time.Time, r *PendingRequest) float64 {
	if r.MaxPause == 0 {
		return 0
	}
	fraction := m.prefillCost(now, m.pendingPrefill(now)+int(r.Prompt)) / milliseconds(r.MaxPause)
	probability := min(1, max(0, (fraction-pauseThreshold)/(1-pauseThreshold)))
	return longPauseCost * probability * float64(m.load())
}

// costForRequest is cost plus the pause cost of the request's prompt for the streams at the
// member.
func (f *Fleet) costForRequest(now time.Time, r *PendingRequest, m *Member) float64 {
	return f.cost(now, m) + m.pauseCost(now, r)
}

// pausesForLong reports whether the prefill of a request's prompt alone pauses the streams
// at the member for longer than they allow. Their limits are taken to be that of the
// request.
func (m *Member) pausesForLong(now time.Time, r *PendingRequest) bool {
	if r.MaxPause == 0 || m.load() == 0 {
		return false
	}
	return m.prefillCost(now, int(r.Prompt)) > lonePromptShare*milliseconds(r.MaxPause)
}
