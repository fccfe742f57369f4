package decide

import (
	"time"

	"wardturn"
)

const (
	// usualReadRate is the assumed prefill rate of an engine, in tokens per millisecond,
	// before any prefill was measured.
	usualReadRate = 40.0
	// usualReadTokens is the weight of that assumption, as a number of measured tokens.
	usualReadTokens = 16000.0
	// leastReadSample is the smallest prompt, in tokens, that is used as a sample: a
	// shorter one is prefilled within an engine step that runs anyway.
	leastReadSample = 1000
	// readKeep is the factor by which each new sample reduces the weight of older ones.
	readKeep = 1 - 1.0/64
	// mostReadTime bounds a sample to a multiple of its expected time, since an engine
	// that hung prefills at its usual rate afterwards.
	mostReadTime = 4.0
)

// readRate estimates the prefill rate of the engines of a service from the time to first
// token. The estimate so includes the waiting time caused by prompts that this gateway
// does not know of.
type readRate struct {
	tokens float64 // decayed sum of prefilled tokens
	took   float64 // decayed sum of prefill times, in milliseconds
}

func newReadRate() *readRate {
	return &readRate{
		tokens: usualReadTokens,
		took:   usualReadTokens / usualReadRate,
	}
}

// add records the time in which a number of tokens was prefilled.
func (r *readRate) add(tokens int, took time.Duration) {
	if tokens < leastReadSample || took <= 0 {
		return
	}
	ms := min(milliseconds(took), mostReadTime*r.cost(tokens))
	r.tokens = readKeep*r.tokens + float64(tokens)
	r.took = readKeep*r.took + ms
}

// cost returns the expected prefill time of a number of tokens, in milliseconds.
func (r *readRate) cost(tokens int) float64 {
	return float64(tokens) * r.took / r.tokens
}

// time returns the expected prefill time of a number of tokens.
func (r *readRate) time(tokens int) time.Duration {
	return time.Duration(r.cost(tokens) * float64(time.Millisecond))
}

// rateOf returns the prefill rate estimate for the engines of a service.
func (f *Fleet) rateOf(s wardturn.ServiceName) *readRate {
	r := f.rates[s]
	if r == nil {
		r = newReadRate()
		f.rates[s] = r
	}
	return r
}

// Read records the time from sending a request to an engine to the first token of its
// answer, with the number of tokens the engine had to prefill in that time: those of the
// prompt and those known to be queued before it.
func (f *Fleet) Read(s wardturn.ServiceName, tokens int, took time.Duration) {
	f.rateOf(s).add(tokens, took)
}
