package capacity

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn"
	"wardturn/demo"
)

const (
	recoveryAdapters = 500
	recoveryLimit    = time.Minute
	recoveryPoll     = 2 * time.Millisecond
)

// Recovery measures the time from the death of every agent at once until each
// has a successor with a fence and the whole configuration, by their number. All
// run in one process on one machine, with their engines and entries.
func Recovery() (Series, error) {
	s := Series{
		Name: "all agents restart at once",
		Size: "agents",
		Unit: "ms",
	}
	for _, n := range []int{50, 100, 200} {
		ms, err := recoveryTime(n)
		if err != nil {
			return s, err
		}
		s.Points = append(s.Points, Point{float64(n), ms})
	}
	return s, nil
}

func recoveryTime(n int) (float64, error) {
	cfg := demo.Zurich()
	cfg.Engines = n
	cfg.Services = 0
	cfg.Entries = max(2, n/20)
	cfg.Adapters = recoveryAdapters
	cfg.Log.Latency = 10 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), recoveryLimit)
	defer cancel()
	sys, err := demo.Start(ctx, cfg)
	if err != nil {
		return 0, err
	}
	defer sys.Close()
	last := sys.Entries[0].Replica().Applied()
	if err := each(ctx, sys, func(u *demo.Upstream) bool { return recovered(u, last) }); err != nil {
		return 0, err
	}
	var wg sync.WaitGroup
	for _, u := range sys.Upstreams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			u.Agent.Close()
		}()
	}
	wg.Wait()
	start := time.Now()
	for _, u := range sys.Upstreams {
		if err := sys.StartAgent(u, "127.0.0.1:0"); err != nil {
			return 0, err
		}
	}
	if err := each(ctx, sys, func(u *demo.Upstream) bool { return recovered(u, last) }); err != nil {
		return 0, err
	}
	return float64(time.Since(start).Microseconds()) / 1000, nil
}

func recovered(u *demo.Upstream, config wardturn.Offset) bool {
	st := u.Agent.Status()
	return st.Fence > 0 && st.Config >= config
}

// each waits until a condition holds for every upstream.
func each(ctx context.Context, sys *demo.System, holds func(*demo.Upstream) bool) error {
	for _, u := range sys.Upstreams {
		for !holds(u) {
			if ctx.Err() != nil {
				return errors.Wrapf(ctx.Err(), "%s has not recovered", u.ID)
			}
			time.Sleep(recoveryPoll)
		}
	}
	return nil
}
