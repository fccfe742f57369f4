package experiment

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"wardturn"
	"wardturn/decide"
	"wardturn/policy"
)

// Candidate is a policy to compare.
type Candidate struct {
	Name   string
	Source string // Starlark program; empty for a built-in policy
}

// Quantiles are quantiles of times in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
}

// StallSummary summarizes the load stalls of interactive requests in milliseconds. A load
// stall is the time that a request waits for its adapter to be loaded. A refused request
// counts as stalled until its deadline.
type StallSummary struct {
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Total float64 `json:"total"`
}

// ClassQuantiles contains quantiles by class.
type ClassQuantiles struct {
	Interactive Quantiles `json:"interactive"`
	Batch       Quantiles `json:"batch"`
}

// Result is the result of one policy.
type Result struct {
	Name            string         `json:"name"`
	LoadStall       StallSummary   `json:"load_stall_ms"`
	BatchEfficiency float64        `json:"batch_efficiency"` // 0 to 1
	TTFT            ClassQuantiles `json:"ttft_ms"`
	Loads           int            `json:"loads"`
	Evictions       int            `json:"evictions"`
	Done            int            `json:"done"`
	NotRun          int            `json:"not_run"`

	// The following fields are for tables and plots and not part of the JSON document.
	Unknown          int               `json:"-"`
	LongestWait      time.Duration     `json:"-"`
	Stalls           []time.Duration   `json:"-"` // ascending
	EfficiencyPoints []EfficiencyPoint `json:"-"`
	StallPoints      []StallPoint      `json:"-"`
}

// EfficiencyPoint is the batch efficiency during one interval.
type EfficiencyPoint struct {
	At         time.Duration
	Efficiency float64
}

// StallPoint is the stall of one request at its arrival time.
type StallPoint struct {
	At    time.Duration
	Stall time.Duration
}

// Report is the JSON document of the command compare.
type Report struct {
	Policies []Result `json:"policies"`
}

// Progress is called with the progress of a run, in time of the trace. Calls come from
// several goroutines.
type Progress func(name string, at, of time.Duration)

// Compare simulates the trace once for each candidate. The runs are independent and may
// be concurrent.
func Compare(ctx context.Context, trace []Request, setup Setup, candidates []Candidate, seed uint64, progress Progress) (Report, error) {
	rep := Report{
		Policies: make([]Result, len(candidates)),
	}
	g, _ := errgroup.WithContext(ctx)
	g.SetLimit(4)
	for i, c := range candidates {
		g.Go(func() error {
			res, err := Run(trace, setup, c, seed, progress)
			rep.Policies[i] = res
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return Report{}, err
	}
	return rep, nil
}

// Run simulates the trace for one candidate.
func Run(trace []Request, setup Setup, c Candidate, seed uint64, progress Progress) (Result, error) {
	mode := decide.RouteSticky
	switch c.Name {
	case policy.NameLRU:
		mode = decide.RouteLeastLoaded
		setup.Agent.AdmitAll = true
	case policy.NameAffinity:
		mode = decide.RouteAffinity
		setup.Agent.AdmitAll = true
	}
	s, err := newCandidateSim(trace, setup, mode, c, seed)
	if err != nil {
		return Result{}, err
	}
	meter := newEfficiencyMeter(s)
	last := trace[len(trace)-1].ArrivalTime()
	s.onSecond = func(at time.Duration) {
		meter.sample(at)
		if progress != nil {
			progress(c.Name, min(at, last), last)
		}
	}
	s.run()
	res := s.result(c.Name)
	res.EfficiencyPoints = meter.points
	return res, nil
}

// newCandidateSim returns the simulation of a candidate.
func newCandidateSim(trace []Request, setup Setup, mode decide.RouteMode, c Candidate, seed uint64) (*sim, error) {
	if c.Name == policy.NameClairvoyant {
		setup.Entries = 1 // a single view of all upstreams
		return newClairvoyantSim(trace, setup, seed), nil
	}
	newPolicy := func() (wardturn.Policy, error) {
		if c.Source != "" {
			return policy.Compile(c.Name, c.Source)
		}
		return policy.Builtin(c.Name)
	}
	if _, err := newPolicy(); err != nil {
		return nil, errors.Wrapf(err, "policy %s", c.Name)
	}
	mustNewPolicy := func() wardturn.Policy {
		p, _ := newPolicy() // the error is checked above
		return p
	}
	return newSim(trace, setup, mode, mustNewPolicy, seed), nil
}

// newClairvoyantSim returns a simulation of the clairvoyant policy, which needs the clock
// of the simulation.
func newClairvoyantSim(trace []Request, setup Setup, seed uint64) *sim {
	newPolicy := newClairvoyant(trace)
	clock := &deferredClock{}
	s := newSim(trace, setup, decide.RouteSticky, func() wardturn.Policy {
		return newPolicy(clock)
	}, seed)
	clock.Clock = s.clock
	return s
}

// deferredClock is a clock that is set after the policies that use it were created.
type deferredClock struct {
	wardturn.Clock
}

func (s *sim) result(name string) Result {
	res := Result{
		Name: name,
	}
	var ttft [2][]time.Duration
	for _, sm := range s.samples {
		switch sm.outcome.Kind {
		case wardturn.Done:
			res.Done++
			ttft[sm.class] = append(ttft[sm.class], sm.ttft)
			res.LongestWait = max(res.LongestWait, sm.wait)
		case wardturn.NotRun:
			res.NotRun++
		case wardturn.Unknown:
			res.Unknown++
		}
		if sm.class == wardturn.Interactive && sm.ended {
			res.Stalls = append(res.Stalls, sm.stall)
			res.StallPoints = append(res.StallPoints, StallPoint{
				At:    sm.arrival,
				Stall: sm.stall,
			})
		}
	}
	slices.Sort(res.Stalls)
	res.LoadStall = summarize(res.Stalls)
	res.TTFT = ClassQuantiles{
		Interactive: quantiles(ttft[wardturn.Interactive]),
		Batch:       quantiles(ttft[wardturn.Batch]),
	}
	steps, sequences := 0, 0
	for _, n := range s.nodes {
		st := n.agent.Stats()
		res.Loads += st.Loads
		res.Evictions += st.Evictions
		es := n.engine.Stats()
		steps += es.Steps
		sequences += es.Sequences
	}
	res.BatchEfficiency = s.efficiency(steps, sequences)
	return res
}

// efficiency returns the mean fraction of the batch that engine steps used.
func (s *sim) efficiency(steps, sequences int) float64 {
	batch := s.setup.Engine.MaxBatch
	if s.setup.Batch > 0 {
		batch = s.setup.Batch
	}
	if steps == 0 {
		return 0
	}
	return round(float64(sequences)/float64(steps*batch), 6)
}

func summarize(sorted []time.Duration) StallSummary {
	var total time.Duration
	for _, d := range sorted {
		total += d
	}
	sum := StallSummary{
		P50:   millis(quantile(sorted, 0.50)),
		P99:   millis(quantile(sorted, 0.99)),
		Total: millis(total),
	}
	if len(sorted) > 0 {
		sum.Mean = round(millis(total)/float64(len(sorted)), 3)
	}
	return sum
}

func quantiles(list []time.Duration) Quantiles {
	slices.Sort(list)
	return Quantiles{
		P50: millis(quantile(list, 0.50)),
		P99: millis(quantile(list, 0.99)),
	}
}

// quantile returns the value at rank ceil(q*n) of an ascending list.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	i := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(i, 0)]
}

func millis(d time.Duration) float64 {
	return round(float64(d)/float64(time.Millisecond), 3)
}

func round(x float64, digits int) float64 {
	scale := math.Pow10(digits)
	return math.Round(x*scale) / scale
}

// efficiencyMeter samples the batch efficiency over time.
type efficiencyMeter struct {
	sim       *sim
	points    []EfficiencyPoint
	steps     int // at the previous sample
	sequences int // at the previous sample
}

func newEfficiencyMeter(s *sim) *efficiencyMeter {
	return &efficiencyMeter{
		sim: s,
	}
}

// efficiencyInterval is the interval between samples.
const efficiencyInterval = 5 * time.Second

func (m *efficiencyMeter) sample(at time.Duration) {
	if at%efficiencyInterval != 0 {
		return
	}
	steps, sequences := 0, 0
	for _, n := range m.sim.nodes {
		st := n.engine.Stats()
		steps += st.Steps
		sequences += st.Sequences
	}
	if steps > m.steps {
		m.points = append(m.points, EfficiencyPoint{
			At:         at,
			Efficiency: m.sim.efficiency(steps-m.steps, sequences-m.sequences),
		})
	}
	m.steps = steps
	m.sequences = sequences
}
