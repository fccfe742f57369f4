package decide

import (
	"time"
)

const (
	// warmLoadTime is the time to load an adapter from the engine's own memory, as seen by
	// gateways, including the time to request it.
	warmLoadTime = 50 * time.Millisecond
	// refusalMargin is how long before its deadline a waiting request is refused, so that
	// the refusal reaches the caller in time.
	refusalMargin = 100 * time.Millisecond
	// refillWait is how long requests continue to wait after all engines were empty, from
	// the moment the first one has loaded its model. A weight store of 32 loads a second
	// takes about this long to fill a hundred adapter slots. Callers refused earlier would
	// retry before their adapters are loaded and be refused again.
	refillWait = 3 * time.Second
	// minRetryDelay is the minimum retry delay given to a caller. With a delay shorter than
	// a load from the store, the caller would retry before anything has changed.
	minRetryDelay = 150 * time.Millisecond
)

// shouldRefuse reports whether a waiting request should be refused now, because it can no
// longer be served within its objective, its adapter is not being loaded, and its deadline
// is too near for a late load. While its adapter is being loaded the request continues to
// wait, since a late response is worth more to the caller than none. Before is the number
// of requests that wait for the adapter before it, and tokens that of their prompts.
func (f *Fleet) shouldRefuse(now time.Time, missing *missingAdapter, r *PendingRequest, before, tokens int) bool {
	if !now.Before(r.Deadline.Add(-refusalMargin)) {
		return true
	}
	if f.homeIsLoading(missing) {
		return false
	}
	if f.noneHoldsModel(now, missing) {
		f.refilledBy[missing.service] = now.Add(refillWait)
	}
	if now.Before(f.refilledBy[missing.service]) {
		return false
	}
	return now.Add(f.minTimeToFirstToken(missing, r)).After(r.lateAt()) && !f.waitsBeyondObjective(now, missing, r, before, tokens)
}

// noneHoldsModel reports whether a service has engines but none of them holds the model of
// a missing adapter, because all have restarted and are loading it.
func (f *Fleet) noneHoldsModel(now time.Time, missing *missingAdapter) bool {
	list := f.services[missing.service]
	for _, m := range list {
		if m.canLoad(now, missing.key.Model) {
			return false
		}
	}
	return len(list) > 0
}

// minTimeToFirstToken returns the minimum time until the first token of a request: the
// time to load its adapter, unless an engine already holds it and is merely full, and to
// prefill its prompt.
func (f *Fleet) minTimeToFirstToken(missing *missingAdapter, r *PendingRequest) time.Duration {
	prefill := f.prefillRateOf(r.Service).time(int(r.Prompt))
	switch {
	case missing.key.Adapter == "" || f.isHeld(missing):
		return prefill
	case missing.warm:
		return prefill + warmLoadTime
	}
	return prefill + f.window.MedianLoadTime()
}

// loadRetryDelay returns the retry delay for a caller, from the estimated time until the
// adapter is loaded.
func (f *Fleet) loadRetryDelay(now time.Time, missing *missingAdapter) time.Duration {
	typical := f.window.MedianLoadTime()
	if missing.firstRequestedAt.IsZero() {
		return max(minRetryDelay, time.Duration(f.loadRounds()*float64(typical)))
	}
	return max(minRetryDelay, typical-now.Sub(missing.firstRequestedAt))
}

// loadRounds estimates the time until an adapter that has not been requested is loaded, in
// units of the typical load time. Missing adapters share the load window with those of the
// other gateways, which are assumed to have as many.
func (f *Fleet) loadRounds() float64 {
	pending := 0
	for _, missing := range f.missing {
		if missing.firstRequestedAt.IsZero() && missing.key.Adapter != "" {
			pending++
		}
	}
	return 1 + float64(pending*f.Gateways())/float64(max(f.window.Size(), 1))
}
