package cli

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn/soak"
)

// soakCmd injects faults into real daemon processes and checks the system's guarantees.
type soakCmd struct {
	Binary   string        `default:"target/wardturn-fleet" help:"Program of the daemons."`
	Seed     uint64        `default:"1" help:"Seed of the faults and of the traffic."`
	For      time.Duration `default:"30s" help:"Time with faults."`
	Gateways int           `default:"3" help:"Gateways."`
	Engines  int           `default:"6" help:"Engines, each with a keeper."`
	Apps     int           `default:"3" help:"Plain upstreams."`
	Callers  int           `default:"24" help:"Callers."`
	AtOnce   int           `default:"3" help:"Faults that overlap."`
	LogFile  string        `help:"File for the lines of daemons and faults; none if empty."`
}

// Run runs the soak test and prints its report.
func (c *soakCmd) Run(ctx context.Context, s Streams) error {
	log := io.Discard
	if c.LogFile != "" {
		f, err := os.Create(c.LogFile)
		if err != nil {
			return errors.Wrap(err, "log")
		}
		defer f.Close()
		log = f
	}
	rep, err := soak.Run(ctx, soak.Config{
		Binary:        c.Binary,
		Seed:          c.Seed,
		FaultDuration: c.For,
		Gateways:      c.Gateways,
		Engines:       c.Engines,
		Services:      c.Apps,
		Callers:       c.Callers,
		MaxFaults:     c.AtOnce,
		Log:           log,
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "seed %d: done %d, not run %d, unknown %d, cut %d, resumed %d (%d whole), full service again after %v, streams resumed beside new ones: %d of %d (%d new ones began), across losses: %d of %d (%d)\n",
		c.Seed, rep.Counts.Done, rep.Counts.NotRun, rep.Counts.Unknown, rep.Counts.Cut, rep.Counts.Resumed, rep.Counts.ResumedWhole, rep.RecoveryTime.Round(time.Millisecond), rep.Streams.Resumed, rep.Streams.Pairs, rep.Streams.Begun,
		rep.LossStreams.Resumed, rep.LossStreams.Pairs, rep.LossStreams.Begun)
	for _, name := range slices.Sorted(maps.Keys(rep.Faults)) {
		fmt.Fprintf(s.Out, "  %3d %s\n", rep.Faults[name], name)
	}
	for _, v := range rep.Violations {
		fmt.Fprintln(s.Out, "BROKEN:", v)
	}
	if len(rep.Violations) > 0 {
		return errors.Newf("%d violations", len(rep.Violations))
	}
	return nil
}
