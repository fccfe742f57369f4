package decide

import (
	"time"

	"wardturn"
)

const (
	// assumedPrefillRate is the assumed prefill rate of an engine, in tokens per
	// millisecond, before any prefill was measured.
	assumedPrefillRate = 40.0
	// assumedPrefillTokens is the weight of that assumption, as a number of measured
	// tokens.
	assumedPrefillTokens = 16000.0
	// minPrefillSample is the smallest prompt, in tokens, that is used as a sample: a
	// shorter one is prefilled within an engine step that runs anyway.
	minPrefillSample = 1000
	// prefillSampleDecay is the factor by which each new sample reduces the weight of
	// older ones.
	prefillSampleDecay = 1 - 1.0/64
	// maxPrefillRatio bounds a sample to a multiple of its expected time, since an engine
	// that hung prefills at its usual rate afterwards.
	maxPrefillRatio = 4.0
)

// prefillRate estimates the prefill rate of the engines of a service from the time to
// first token. The estimate so includes the waiting time caused by prompts that this
// gateway does not know of.
type prefillRate struct {
	tokens float64 // decayed sum of prefilled tokens
	millis float64 // decayed sum of prefill times, in milliseconds
}

func newPrefillRate() *prefillRate {
	return &prefillRate{
		tokens: assumedPrefillTokens,
		millis: assumedPrefillTokens / assumedPrefillRate,
	}
}

// observe records the time in which a number of tokens was prefilled.
func (r *prefillRate) observe(tokens int, took time.Duration) {
	if tokens < minPrefillSample || took <= 0 {
		return
	}
	millis := min(milliseconds(took), maxPrefillRatio*r.cost(tokens))
	r.tokens = prefillSampleDecay*r.tokens + float64(tokens)
	r.millis = prefillSampleDecay*r.millis + millis
}

// cost returns the expected prefill time of a number of tokens, in milliseconds.
func (r *prefillRate) cost(tokens int) float64 {
	return float64(tokens) * r.millis / r.tokens
}

// time returns the expected prefill time of a number of tokens.
func (r *prefillRate) time(tokens int) time.Duration {
	return time.Duration(r.cost(tokens) * float64(time.Millisecond))
}

// prefillRateOf returns the prefill rate estimate for the engines of a service.
func (f *Fleet) prefillRateOf(s wardturn.ServiceName) *prefillRate {
	r := f.prefillRates[s]
	if r == nil {
		r = newPrefillRate()
		f.prefillRates[s] = r
	}
	return r
}

// PrefillMeasured records the time from sending a request to an engine to the first token
// of its response, with the number of tokens the engine had to prefill in that time: those
// of the prompt and those known to be queued before it.
func (f *Fleet) PrefillMeasured(s wardturn.ServiceName, tokens int, took time.Duration) {
	f.prefillRateOf(s).observe(tokens, took)
}
