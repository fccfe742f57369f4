package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn/experiment"
	"wardturn/policy"
)

// traceCmd generates a trace.
type traceCmd struct {
	Profile    string        `required:"" enum:"zurich,tampere" help:"Whose traffic: zurich or tampere."`
	Seed       uint64        `default:"1" help:"Seed of the random source."`
	Duration   time.Duration `default:"10m" help:"Length of the trace."`
	ShiftAt    time.Duration `help:"Time at which popularity is dealt anew; 0: never."`
	Rate       float64       `help:"Requests a second on average; 0: the profile's."`
	Exponent   float64       `help:"Exponent of the popularity; 0: the profile's."`
	Adapters   int           `help:"Number of adapters; 0: the profile's."`
	BatchShare float64       `default:"-1" help:"Part of the requests that is batch work; negative: the profile's."`
	Deadline   time.Duration `help:"Deadline of interactive requests; 0: none."`
	Day        time.Duration `default:"24h" help:"Length of the daily shape."`
}

// Run prints the trace.
func (c *traceCmd) Run(s Streams) error {
	p, err := experiment.NewProfile(c.Profile)
	if err != nil {
		return errors.Mark(err, ErrUsage)
	}
	c.apply(&p)
	if p.Adapters < 1 || p.Rate <= 0 || p.Duration <= 0 {
		return errors.Mark(errors.New("--adapters, --rate and --duration must be positive"), ErrUsage)
	}
	return experiment.WriteTrace(s.Out, p.Generate(c.Seed))
}

func (c *traceCmd) apply(p *experiment.Profile) {
	p.Duration = c.Duration
	p.ShiftAt = c.ShiftAt
	p.Deadline = c.Deadline
	p.DayLength = c.Day
	if c.Rate != 0 {
		p.Rate = c.Rate
	}
	if c.Exponent != 0 {
		p.Exponent = c.Exponent
	}
	if c.Adapters != 0 {
		p.Adapters = c.Adapters
	}
	if c.BatchShare >= 0 {
		p.BatchShare = c.BatchShare
	}
}

// compareCmd compares policies.
type compareCmd struct {
	Trace         string        `required:"" help:"Trace file in JSON lines; - for standard input."`
	Policy        []string      `required:"" sep:"none" help:"Starlark file or built-in name; may be repeated."`
	Upstreams     int           `default:"18" help:"Number of engines."`
	Slots         int           `default:"8" help:"Adapter slots of an engine."`
	Batch         int           `default:"16" help:"Sequences in an engine step at most."`
	Entries       int           `default:"3" help:"Number of entry hosts."`
	StoreRate     float64       `default:"9" help:"Loads a second that the store allows."`
	StoreParallel int           `default:"4" help:"Loads at full speed at once."`
	LoadTime      time.Duration `default:"400ms" help:"Time of a load at full speed."`
	StoreShare    string        `default:"allocator" enum:"static,adaptive,allocator,two-allocators" help:"How agents share the store: static, adaptive, allocator or two-allocators."`
	Fault         []string      `sep:"none" help:"KIND@AT[+FOR][*FACTOR], KIND one of store-down, store-slow, load-fail, engine-restart; may be repeated."`
	NoBatch       bool          `help:"Leave the trace's batch requests out."`
	Seed          uint64        `default:"1" help:"Seed of the random source."`
	JSON          bool          `name:"json" help:"Print one JSON object."`
	Plot          string        `help:"Write a plot to this file, .svg or .png."`
	Quiet         bool          `short:"q" help:"Print no progress."`
}

// Run simulates the trace with each policy and prints the results.
func (c *compareCmd) Run(ctx context.Context, s Streams) error {
	setup, err := c.setup()
	if err != nil {
		return errors.Mark(err, ErrUsage)
	}
	candidates, err := readPolicies(c.Policy)
	if err != nil {
		return err
	}
	trace, err := c.readTrace(s)
	if err != nil {
		return err
	}
	var progress experiment.Progress
	if !c.Quiet {
		progress = newProgressLine(s.Err).update
	}
	rep, err := experiment.Compare(ctx, trace, setup, candidates, c.Seed, progress)
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := experiment.Plot(c.Plot, rep); err != nil {
			return err
		}
	}
	if c.JSON {
		return json.NewEncoder(s.Out).Encode(rep)
	}
	return printComparison(s.Out, rep)
}

func (c *compareCmd) readTrace(s Streams) ([]experiment.Request, error) {
	if c.Trace == "-" {
		return experiment.ReadTrace("standard input", s.In)
	}
	f, err := os.Open(c.Trace)
	if err != nil {
		return nil, errors.Mark(err, ErrUsage)
	}
	defer f.Close()
	return experiment.ReadTrace(c.Trace, f)
}

func (c *compareCmd) setup() (experiment.Setup, error) {
	setup := experiment.DefaultSetup()
	setup.Upstreams = c.Upstreams
	setup.Slots = c.Slots
	setup.Batch = c.Batch
	setup.Entries = c.Entries
	setup.StoreRate = c.StoreRate
	setup.StoreParallel = c.StoreParallel
	setup.LoadTime = c.LoadTime
	setup.Share = experiment.StoreShare(c.StoreShare)
	setup.OmitBatch = c.NoBatch
	if min(c.Upstreams, c.Slots, c.Batch, c.Entries, c.StoreParallel) < 1 || c.StoreRate <= 0 || c.LoadTime <= 0 {
		return setup, errors.New("--upstreams, --slots, --batch, --entries, --store-rate, --store-parallel and --load-time must be positive")
	}
	for _, text := range c.Fault {
		f, err := parseFault(text)
		if err != nil {
			return setup, err
		}
		setup.Faults = append(setup.Faults, f)
	}
	return setup, nil
}

// parseFault parses KIND@AT[+FOR][*FACTOR].
func parseFault(text string) (experiment.Fault, error) {
	errFormat := errors.Newf("--fault %q: want KIND@AT[+FOR][*FACTOR], as in store-slow@60s+30s*3", text)
	kind, rest, ok := strings.Cut(text, "@")
	if !ok {
		return experiment.Fault{}, errFormat
	}
	f := experiment.Fault{
		Kind:   experiment.FaultKind(kind),
		Factor: 1,
	}
	switch f.Kind {
	case experiment.FaultStoreDown, experiment.FaultStoreSlow, experiment.FaultLoadFail, experiment.FaultRestart:
	default:
		return f, errFormat
	}
	var err error
	if rest, factor, ok := strings.Cut(rest, "*"); ok {
		if f.Factor, err = strconv.ParseFloat(factor, 64); err != nil {
			return f, errFormat
		}
		return f, parseFaultTime(rest, &f, errFormat)
	}
	err = parseFaultTime(rest, &f, errFormat)
	return f, err
}

// parseFaultTime parses AT[+FOR] into f. It returns errFormat if the text is malformed.
func parseFaultTime(text string, f *experiment.Fault, errFormat error) error {
	at, duration, ok := strings.Cut(text, "+")
	var err error
	if f.At, err = time.ParseDuration(at); err != nil {
		return errFormat
	}
	if !ok {
		return nil
	}
	if f.Duration, err = time.ParseDuration(duration); err != nil {
		return errFormat
	}
	return nil
}

// readPolicies returns the policies to compare. Names with the suffix .star are files,
// which it reads; all others must be built-in policies.
func readPolicies(names []string) ([]experiment.Candidate, error) {
	list := make([]experiment.Candidate, 0, len(names))
	for _, name := range names {
		c := experiment.Candidate{
			Name: name,
		}
		if strings.HasSuffix(name, ".star") {
			text, err := os.ReadFile(name)
			if err != nil {
				return nil, errors.Mark(err, ErrUsage)
			}
			c.Source = string(text)
		} else if _, err := policy.Builtin(name); err != nil && name != policy.NameClairvoyant {
			return nil, errors.Mark(err, ErrUsage)
		}
		list = append(list, c)
	}
	return list, nil
}

func printComparison(w io.Writer, rep experiment.Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tstall mean ms\tp50\tp99\ttotal s\tbatch eff.\tttft p50 ms\tp99\tbatch ttft p99 s\tloads\tevictions\tdone\tnot run\tlongest wait s\t")
	for _, r := range rep.Policies {
		fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.4f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%.1f\t\n",
			r.Name, r.LoadStall.Mean, r.LoadStall.P50, r.LoadStall.P99, r.LoadStall.Total/1000,
			r.BatchEfficiency, r.TTFT.Interactive.P50, r.TTFT.Interactive.P99, r.TTFT.Batch.P99/1000,
			r.Loads, r.Evictions, r.Done, r.NotRun, r.LongestWait.Seconds())
	}
	return t.Flush()
}

// progressLine prints the progress of the runs, at most ten times a second.
type progressLine struct {
	mu      sync.Mutex
	w       io.Writer
	printed time.Time
	percent map[string]int
	order   []string
}

func newProgressLine(w io.Writer) *progressLine {
	return &progressLine{
		w:       w,
		percent: make(map[string]int),
	}
}

func (p *progressLine) update(name string, elapsed, total time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.percent[name]; !ok {
		p.order = append(p.order, name)
	}
	p.percent[name] = int(100 * elapsed / max(total, 1))
	const interval = 100 * time.Millisecond
	if time.Since(p.printed) < interval {
		return
	}
	p.printed = time.Now()
	fmt.Fprint(p.w, "\r")
	for _, n := range p.order {
		fmt.Fprintf(p.w, "%s %d%%  ", n, p.percent[n])
	}
}
