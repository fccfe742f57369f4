package cli

import (
	"context"
	"fmt"
	"sync"

	"github.com/cockroachdb/errors"

	"wardturn/chaos"
)

// chaosCmd runs histories. A history is a run of a small system with traffic and two
// faults drawn at random from a seed, after which the system's guarantees are checked.
type chaosCmd struct {
	Seed      uint64 `default:"1" help:"Seed of the first history; the next ones follow."`
	Histories int    `default:"20" help:"Number of histories."`
	Parallel  int    `default:"2" help:"Histories at once."`
}

// Run runs the histories and prints their outcomes.
func (c *chaosCmd) Run(ctx context.Context, s Streams) error {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed int
	var firstErr error
	var total chaos.Counts
	seeds := make(chan uint64)
	for range max(c.Parallel, 1) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for seed := range seeds {
				outcome, err := chaos.Run(ctx, seed)
				mu.Lock()
				if err != nil && firstErr == nil {
					firstErr = err
				}
				if len(outcome.Violations) > 0 {
					failed++
				}
				total.Done += outcome.Counts.Done
				total.NotRun += outcome.Counts.NotRun
				total.Unknown += outcome.Counts.Unknown
				total.Cut += outcome.Counts.Cut
				printHistory(s, outcome)
				mu.Unlock()
			}
		}()
	}
	for i := range c.Histories {
		if ctx.Err() != nil {
			break
		}
		seeds <- c.Seed + uint64(i)
	}
	close(seeds)
	wg.Wait()
	fmt.Fprintf(s.Out, "%d histories, %d broke a promise; answers: %d done, %d not run, %d unknown, %d streams cut visibly\n",
		c.Histories, failed, total.Done, total.NotRun, total.Unknown, total.Cut)
	if firstErr != nil {
		return firstErr
	}
	if failed > 0 {
		return errors.Newf("%d histories had violations", failed)
	}
	return nil
}

func printHistory(s Streams, outcome chaos.Result) {
	verdict := "ok"
	if len(outcome.Violations) > 0 {
		verdict = "BROKEN"
	}
	fmt.Fprintf(s.Out, "seed %d: %s, %s: %s %+v\n", outcome.Seed, outcome.Faults[0], outcome.Faults[1], verdict, outcome.Counts)
	for _, v := range outcome.Violations {
		fmt.Fprintln(s.Out, "   ", v)
	}
}
