package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn"
)

// Profile describes the traffic of a deployment.
type Profile struct {
	Name           string
	Adapters       int
	Exponent       float64 // of the Zipf popularity of adapters: the weight of rank k is k^-Exponent
	Rate           float64 // mean requests per second
	BatchShare     float64 // fraction of batch requests
	Duration       time.Duration
	ShiftAt        time.Duration          // time at which the popularity ranks are reassigned; zero: never
	DayLength      time.Duration          // period of the daily variation of the rate
	DailyAmplitude float64                // amplitude of the daily variation, as a fraction of Rate
	Deadline       time.Duration          // of interactive requests; zero: none
	TokenCounts    [2]TokenCounts         // by class
	Callers        [2][]wardturn.CallerID // by class
}

// TokenCounts are the medians of the log-normal distributions of token counts.
type TokenCounts struct {
	Prompt float64
	Output float64
}

// tokenCountSigma is the standard deviation of the logarithm of token counts.
const tokenCountSigma = 0.5

// The names of the profiles.
const (
	ProfileZurich  = "zurich"
	ProfileTampere = "tampere"
)

// ErrUnknownProfile is wrapped by the errors of NewProfile.
var ErrUnknownProfile = errors.New("experiment: unknown profile")

// NewProfile returns the profile with the given name, in its present size.
func NewProfile(name string) (Profile, error) {
	p := Profile{
		Name:           name,
		Adapters:       3000,
		Exponent:       0.9,
		Duration:       10 * time.Minute,
		DayLength:      24 * time.Hour,
		DailyAmplitude: 0.3,
	}
	switch name {
	case ProfileZurich:
		p.Rate = 15
		p.TokenCounts = [2]TokenCounts{{Prompt: 180, Output: 60}, {Prompt: 900, Output: 120}}
		p.Callers = [2][]wardturn.CallerID{{"machines", "handhelds", "clerks"}, {"settlement"}}
	case ProfileTampere:
		p.Rate = 8
		p.BatchShare = 0.5
		p.TokenCounts = [2]TokenCounts{{Prompt: 400, Output: 100}, {Prompt: 900, Output: 200}}
		p.Callers = [2][]wardturn.CallerID{{"maintainers", "schools", "firms"}, {"summaries"}}
	default:
		return Profile{}, errors.Wrapf(ErrUnknownProfile, "%q", name)
	}
	return p, nil
}

// Generate generates a trace. The same profile and seed give the same trace.
func (p Profile) Generate(seed uint64) []Request {
	g := generator{
		profile: p,
		rng:     rand.New(rand.NewPCG(seed, 0x77617264)),
		weights: zipf(p.Adapters, p.Exponent),
	}
	g.assignRanks()
	return g.run()
}

// generator generates one trace.
type generator struct {
	profile Profile
	rng     *rand.Rand
	weights []float64 // cumulative, by rank
	byRank  []int     // adapter of each rank
	shifted bool      // the ranks were reassigned at ShiftAt
}

// zipf returns the cumulative weights of ranks 1 to n.
func zipf(n int, exponent float64) []float64 {
	sums := make([]float64, n)
	sum := 0.0
	for i := range sums {
		sum += math.Pow(float64(i+1), -exponent)
		sums[i] = sum
	}
	return sums
}

// assignRanks assigns the popularity ranks to adapters at random.
func (g *generator) assignRanks() {
	g.byRank = g.rng.Perm(g.profile.Adapters)
}

// run generates the arrivals as a Poisson process of varying rate, by thinning.
func (g *generator) run() []Request {
	p := g.profile
	peak := p.Rate * (1 + p.DailyAmplitude)
	var trace []Request
	at := time.Duration(0)
	for {
		at += time.Duration(g.rng.ExpFloat64() / peak * float64(time.Second))
		if at >= p.Duration {
			return trace
		}
		if g.rng.Float64()*peak > p.rateAt(at) {
			continue
		}
		if p.ShiftAt > 0 && at >= p.ShiftAt && !g.shifted {
			g.shifted = true
			g.assignRanks()
		}
		trace = append(trace, g.request(at))
	}
}

// rateAt returns the rate at a time of the trace, which starts at the mean rate.
func (p Profile) rateAt(at time.Duration) float64 {
	phase := 2 * math.Pi * float64(at) / float64(p.DayLength)
	return p.Rate * (1 + p.DailyAmplitude*math.Sin(phase))
}

func (g *generator) request(at time.Duration) Request {
	class := wardturn.Interactive
	if g.rng.Float64() < g.profile.BatchShare {
		class = wardturn.Batch
	}
	lengths := g.profile.TokenCounts[class]
	callers := g.profile.Callers[class]
	r := Request{
		AtMS:         at.Milliseconds(),
		Caller:       callers[g.rng.IntN(len(callers))],
		Adapter:      adapterName(g.pickAdapter()),
		Version:      1,
		Class:        class.String(),
		PromptTokens: g.tokenCount(lengths.Prompt),
		OutputTokens: g.tokenCount(lengths.Output),
	}
	if class == wardturn.Interactive {
		r.DeadlineMS = g.profile.Deadline.Milliseconds()
	}
	return r
}

func adapterName(i int) wardturn.AdapterID {
	return wardturn.AdapterID(fmt.Sprintf("a%04d", i))
}

// pickAdapter draws an adapter by popularity.
func (g *generator) pickAdapter() int {
	x := g.rng.Float64() * g.weights[len(g.weights)-1]
	rank, _ := slices.BinarySearch(g.weights, x)
	return g.byRank[min(rank, len(g.byRank)-1)]
}

// tokenCount draws a token count from a log-normal distribution.
func (g *generator) tokenCount(median float64) wardturn.Tokens {
	n := median * math.Exp(tokenCountSigma*g.rng.NormFloat64())
	return wardturn.Tokens(max(1, math.Round(n)))
}
