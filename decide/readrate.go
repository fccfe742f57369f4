package decide

import (
	"time"

	"wardturn"
)

const (
	// usualReadRate is how many tokens of prompts an engine is taken to read in a
	// millisecond until some were seen to be read.
	usualReadRate = 40.0
	// usualReadTokens is how many read tokens that counts for.
	usualReadTokens = 16000.0
	// leastReadSample is the least number of tokens that tells of the rate: fewer are read
	// within a step that the engine takes anyway.
	leastReadSample = 1000
	// readKeep is what remains of the weight of older prompts after each new one.
	readKeep = 1 - 1.0/64
	// mostReadTime bounds, in times that are expected, what one prompt tells: an engine
	// that hangs reads at its usual rate afterwards.
	mostReadTime = 4.0
)

// readRate estimates how fast the engines of a service read prompts, from the time
// until the first tokens of answers. It so contains what prompts wait for that this gateway
// does not know of.
type readRate struct {
	tokens float64 // read lately
	took   float64 // milliseconds
}

func newReadRate() *readRate {
	return &readRate{
		tokens: usualReadTokens,
		took:   usualReadTokens / usualReadRate,
	}
}

// add takes the time in which tokens were read.
func (r *readRate) add(tokens int, took time.Duration) {
	if tokens < leastReadSample || took <= 0 {
		return
	}
	ms := min(milliseconds(took), mostReadTime*r.cost(tokens))
	r.tokens = readKeep*r.tokens + float64(tokens)
	r.took = readKeep*r.took + ms
}

// cost returns the milliseconds in which tokens are read.
func (r *readRate) cost(tokens int) float64 {
	return float64(tokens) * r.took / r.tokens
}

// time returns the time in which tokens are read.
func (r *readRate) time(tokens int) time.Duration {
	return time.Duration(r.cost(tokens) * float64(time.Millisecond))
}

// rateOf returns the rate of the engines of a service.
func (f *Fleet) rateOf(s wardturn.ServiceName) *readRate {
	r := f.rates[s]
	if r == nil {
		r = newReadRate()
		f.rates[s] = r
	}
	return r
}

// Read records how long an engine took from a request to the first token of its answer,
// with the tokens that it had to read: of the prompt, and of those before it as far as
// known.
func (f *Fleet) Read(s wardturn.ServiceName, tokens int, took time.Duration) {
	f.rateOf(s).add(tokens, took)
}
