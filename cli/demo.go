package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"wardturn/demo"
	"wardturn/experiment"
	"wardturn/load"
	"wardturn/process"
)

// demoCmd runs the whole system on embedded stand-ins for its dependencies.
type demoCmd struct {
	Duration time.Duration `default:"20s" help:"Time of traffic."`
	Rate     float64       `default:"15" help:"Requests a second."`
	Adapters int           `default:"3000" help:"Number of adapters."`
	Seed     uint64        `default:"1" help:"Seed of the traffic."`
	Serve    bool          `help:"Keep the system up after the traffic, until interrupted."`
	LogLevel string        `default:"error" enum:"trace,debug,info,warn,error" help:"Least level of log lines: trace, debug, info, warn or error."`
}

// Run starts the system, sends traffic and prints the outcomes and latencies.
func (c *demoCmd) Run(ctx context.Context, s Streams) error {
	cfg := demo.ZurichConfig()
	cfg.Logger = newLogger(s, "demo", c.LogLevel)
	if c.LogLevel == "error" {
		cfg.Logger = hclog.NewNullLogger()
	}
	cfg.Adapters = c.Adapters
	fmt.Fprintf(s.Out, "starting %d entries, %d engines and %d services in %d failure domains, %d adapters\n",
		cfg.Entries, cfg.Engines, cfg.Services, cfg.Domains, cfg.Adapters)
	sys, err := demo.Start(ctx, cfg)
	if err != nil {
		return err
	}
	defer sys.Close()
	profile, err := experiment.NewProfile(experiment.ProfileZurich)
	if err != nil {
		return err
	}
	profile.Rate = c.Rate
	profile.Duration = c.Duration
	profile.Adapters = c.Adapters
	runner := load.NewRunner(load.Plan{
		Addrs:  sys.EntryAddrs(),
		Trace:  profile.Generate(c.Seed),
		Stream: true,
		Clock:  process.Clock{},
	})
	stop := showProgress(s.Err, runner, sys)
	summary := runner.Run(ctx)
	stop()
	if err := printSummary(s.Out, summary, sys); err != nil {
		return err
	}
	if c.Serve {
		printEndpoints(s.Out, sys)
		<-ctx.Done()
	}
	return nil
}

// showProgress writes a progress line every half second until stop is called.
func showProgress(w io.Writer, r *load.Runner, sys *demo.System) (stop func()) {
	const interval = 500 * time.Millisecond
	ticker := time.NewTicker(interval)
	quit := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-ticker.C:
				summary := r.Snapshot()
				totals := sys.Totals()
				fmt.Fprintf(w, "\rsent %d  done %d  not run %d  unknown %d  running %d  waiting %d  loads %d   ",
					summary.Sent, summary.Done, summary.NotRun, summary.Unknown, totals.Running, totals.Queued, totals.Loads)
			case <-quit:
				fmt.Fprintln(w)
				return
			}
		}
	}()
	return func() {
		ticker.Stop()
		close(quit)
		<-done
	}
}

func printSummary(w io.Writer, summary load.Summary, sys *demo.System) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\tmean\tp50\tp95\tp99\tmax\t")
	row := func(name string, l load.Latency) {
		fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", name, l.Mean, l.P50, l.P95, l.P99, l.Max)
	}
	row("load stall, ms", summary.LoadStall)
	row("first byte, ms", summary.FirstByte)
	row("whole answer, ms", summary.Total)
	if err := t.Flush(); err != nil {
		return err
	}
	totals := sys.Totals()
	fmt.Fprintf(w, "outcomes: done %d, not run %d, unknown %d, failed %d\n", summary.Done, summary.NotRun, summary.Unknown, summary.Failed)
	fmt.Fprintf(w, "batch efficiency %.3f over %d steps, %d loads, %d log records\n", totals.BatchEfficiency, totals.Steps, totals.Loads, sys.Log.AppendCount())
	return nil
}

func printEndpoints(w io.Writer, sys *demo.System) {
	fmt.Fprintf(w, "log at %s, host list at %s, operator key %s\n", sys.LogAddr, sys.HostsAddr, demo.OperatorKey)
	fmt.Fprintf(w, "serving; try:\ncurl -sN http://%s/v1/completions -H 'Content-Type: application/json' -d '{\"model\":\"a0001\",\"prompt\":\"Why is my fare 6.40?\",\"max_tokens\":12,\"stream\":true}'\n", sys.EntryAddrs()[0])
}

// loadCmd sends traffic to running entry hosts.
type loadCmd struct {
	Addr   []string `required:"" help:"Address of an entry host, IP:port; may be repeated."`
	Trace  string   `required:"" help:"Trace file in JSON lines."`
	Key    string   `help:"Bearer key of the caller."`
	Stream bool     `default:"true" negatable:"" help:"Ask for streamed answers."`
	Limit  int      `default:"20000" help:"Requests under way at most."`
	JSON   bool     `name:"json" help:"Print one JSON object."`
}

// Run sends the trace and prints a summary of the outcomes and latencies as JSON.
func (c *loadCmd) Run(ctx context.Context, s Streams) error {
	f, err := os.Open(c.Trace)
	if err != nil {
		return errors.Mark(err, ErrUsage)
	}
	defer f.Close()
	trace, err := experiment.ReadTrace(c.Trace, f)
	if err != nil {
		return err
	}
	summary := load.NewRunner(load.Plan{
		Addrs:       c.Addr,
		Trace:       trace,
		Key:         c.Key,
		Stream:      c.Stream,
		Clock:       process.Clock{},
		MaxInFlight: c.Limit,
	}).Run(ctx)
	enc := json.NewEncoder(s.Out)
	if !c.JSON {
		enc.SetIndent("", "  ")
	}
	return enc.Encode(summary)
}
