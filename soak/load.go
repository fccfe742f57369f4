package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"wardturn/standin"
)

const (
	surgeTeam = "surge"
	surgeKey  = "key-surge"
	surgeCap  = 30 // requests per second
	// surgeFactor is how many times its cap the team sends.
	surgeFactor = 5
	// plainFactor is the demand for the plain service as a multiple of its capacity.
	plainFactor  = 1.5
	plainSlots   = 2 // of each upstream
	plainQueue   = 4
	plainTime    = 60 * time.Millisecond
	enginePause  = 80 * time.Millisecond  // added between the events of a slow engine's streams
	engineThink  = 300 * time.Millisecond // added before their first event
	loadParts    = 6                      // a load lasts one or two of these parts of the time with faults
	retrySuffix  = "-again"
	maxRetryWait = 800 * time.Millisecond // a third of the callers' deadline
)

// startLoads starts the kinds of load beyond what the system can serve. Each repeats, with
// random pauses, until the given time. Loads may overlap with each other and with faults.
func (s *soak) startLoads(ctx context.Context, wg *sync.WaitGroup, until time.Time) {
	part := s.cfg.FaultDuration / loadParts
	if part == 0 || s.cfg.Engines == 0 || s.cfg.Services == 0 {
		return
	}
	start := func(stream uint64, name string, run func(*rand.Rand, time.Duration)) {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(s.cfg.Seed, stream))
			for ctx.Err() == nil {
				time.Sleep(time.Duration(r.Int64N(int64(part))))
				if !time.Now().Before(until) {
					return
				}
				d := part + time.Duration(r.Int64N(int64(part)))
				s.mu.Lock()
				s.faultCounts[name]++
				s.mu.Unlock()
				fmt.Fprintf(s.cfg.Log, "soak: %s for=%v\n", name, d)
				run(r, d)
			}
		})
	}
	start(600, "load: team over its cap", s.runTeamSurge)
	start(601, "load: plain service over its slots", s.runPlainOverload)
	start(602, "load: slow engine", s.runSlowEngine)
}

// runTeamSurge has a team send several times its cap.
func (s *soak) runTeamSurge(r *rand.Rand, d time.Duration) {
	s.sendAtRate(r, surgeFactor*surgeCap, d, surgeKey, requestKinds)
}

// runPlainOverload limits the slots of the plain service and sends more than they can
// serve. Its upstreams queue a few requests and reject the others.
func (s *soak) runPlainOverload(r *rand.Rand, d time.Duration) {
	plain := s.world.upstreams[s.cfg.Engines:]
	for _, u := range plain {
		s.setLoad(u, standin.WorkerFaults{
			Slots: plainSlots,
			Queue: plainQueue,
			Think: plainTime,
		})
		defer s.setLoad(u, standin.WorkerFaults{})
	}
	kinds := slices.DeleteFunc(slices.Clone(requestKinds), func(k requestKind) bool {
		return k.onEngine
	})
	capacity := float64(len(plain)) * plainSlots / plainTime.Seconds()
	s.sendAtRate(r, plainFactor*capacity, d, permanentKey, kinds)
}

// runSlowEngine slows one engine.
func (s *soak) runSlowEngine(r *rand.Rand, d time.Duration) {
	u := s.world.upstreams[r.IntN(s.cfg.Engines)]
	s.setLoad(u, standin.WorkerFaults{
		Think:  engineThink,
		Linger: enginePause,
	})
	time.Sleep(d)
	s.setLoad(u, standin.WorkerFaults{})
}

// setLoad replaces the load of an upstream and writes its slots to the store.
func (s *soak) setLoad(u *upstream, load standin.WorkerFaults) {
	u.mu.Lock()
	u.load = load
	u.applyFaults()
	u.mu.Unlock()
	s.world.writeEntry(u)
}

// sendAtRate sends requests at a rate, in requests per second, whether or not earlier
// ones have ended. It returns when all have ended.
func (s *soak) sendAtRate(r *rand.Rand, rate float64, d time.Duration, key string, kinds []requestKind) {
	client := &http.Client{
		Timeout:   callerTimeout,
		Transport: &http.Transport{},
	}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	defer wg.Wait()
	began := time.Now()
	for n := 0; time.Since(began) < d; n++ {
		time.Sleep(time.Until(began.Add(time.Duration(float64(n) / rate * float64(time.Second)))))
		id := fmt.Sprintf("%s-%d-%d", key, began.UnixNano(), n)
		first, kind, draw := r.IntN(len(s.gateways)), randomElement(r, kinds), r.ExpFloat64()
		wg.Go(func() {
			_, delay := s.sendRequest(client, s.gateways[first], kind, id, key, draw)
			if delay == 0 || delay > maxRetryWait {
				return
			}
			time.Sleep(delay)
			s.sendRequest(client, s.gateways[(first+1)%len(s.gateways)], kind, id+retrySuffix, key, draw)
		})
	}
}

// logLoads logs how many requests exceeded a cap or were rejected by plain upstreams.
func (s *soak) logLoads() {
	arrived, rejected := 0, 0
	for _, u := range s.world.upstreams[s.cfg.Engines:] {
		for _, a := range u.worker.Arrivals() {
			arrived++
			if a.Rejected {
				rejected++
			}
		}
	}
	fmt.Fprintf(s.cfg.Log, "soak: over a cap: %d, rejected by plain upstreams: %d of %d\n", s.requests.counts.OverCap, rejected, arrived)
}

// content returns the body of a request, which a retry has in common with the first attempt.
func content(id string) string {
	return strings.TrimSuffix(id, retrySuffix)
}
