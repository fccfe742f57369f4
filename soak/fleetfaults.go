package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// lossStreams is the number of streams that are resumed after daemons were killed.
	lossStreams = 30
	// recordTime is the time after which the origins of streams are in the store.
	recordTime = time.Second
	// lossDuration is the time until callers resume streams, in which daemons start.
	lossDuration = 2500 * time.Millisecond
	// seriesInterval is the time between the stops of two daemons or the replacements of
	// two engines in a series, which leaves a daemon time to start.
	seriesInterval = 300 * time.Millisecond
	// replacementTime is how long the address of an engine that is replaced refuses
	// connections.
	replacementTime = 100 * time.Millisecond
	// maxNotice is the maximum time for which an engine that is replaced drains before.
	maxNotice = 500 * time.Millisecond
)

// randomFleetFault returns a fault or planned work that reaches many processes at once or in
// a series.
func (s *soak) randomFleetFault(r *rand.Rand) fault {
	switch r.IntN(4) {
	case 0:
		return s.killAllFault(r, "all keepers and a gateway restart", append(s.keeperDaemons(), s.gateways[0].daemon))
	case 1:
		return s.killAllFault(r, "loss of power", s.daemons())
	case 2:
		return s.keeperSeries(r)
	default:
		return s.rollout(r)
	}
}

func (s *soak) keeperDaemons() []*daemon {
	var all []*daemon
	for _, k := range s.keepers {
		all = append(all, k.daemon)
	}
	return all
}

// killAllFault returns a fault that kills daemons at the same moment. Streams that callers cut
// at the first gateway before are resumed at others afterwards.
func (s *soak) killAllFault(r *rand.Rand, name string, list []*daemon) fault {
	cut := make([]streamAttempt, lossStreams)
	for i := range cut {
		cut[i] = s.randomStream(r, fmt.Sprintf("loss%d-%d", r.Uint64(), i))
	}
	compared := r.IntN(4) > 0
	var lock sync.Locker
	if compared {
		lock = &s.calm
	}
	return fault{
		name:     name,
		duration: lossDuration,
		lock:     lock,
		begin: func() func() {
			client := &http.Client{
				Timeout:   callerTimeout,
				Transport: &http.Transport{},
			}
			time.Sleep(recordTime) // after other faults
			streams := s.cutStreams(client, cut)
			time.Sleep(recordTime)
			for _, d := range list {
				d.signal(syscall.SIGKILL)
			}
			return func() {
				s.resumeStreams(client, streams, compared)
				client.CloseIdleConnections()
			}
		},
	}
}

// cutStreams starts streams at the first gateway and returns those that can be resumed.
func (s *soak) cutStreams(client *http.Client, list []streamAttempt) (streams []cutStream) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, a := range list {
		wg.Go(func() {
			c, ok := s.cutStream(client, s.gateways[0], a)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				streams = append(streams, c)
			}
		})
	}
	wg.Wait()
	return streams
}

// resumeStreams resumes streams at gateways other than the first.
func (s *soak) resumeStreams(client *http.Client, streams []cutStream, compared bool) {
	pairs := &streamPairs{}
	var wg sync.WaitGroup
	for i, c := range streams {
		g := s.gateways[min(1+i%max(1, len(s.gateways)-1), len(s.gateways)-1)]
		wg.Go(func() {
			s.resumeBeside(client, g, c, pairs)
		})
	}
	wg.Wait()
	fmt.Fprintf(s.cfg.Log, "soak: streams across a loss: compared=%v %+v\n", compared, pairs.counted)
	s.lossStreams.add(compared, pairs)
}

// keeperSeries returns planned work that stops the keepers one after the other.
func (s *soak) keeperSeries(r *rand.Rand) fault {
	list := s.keeperDaemons()
	r.Shuffle(len(list), func(i, j int) {
		list[i], list[j] = list[j], list[i]
	})
	return fault{
		name:    "keepers stop in a series",
		planned: true,
		begin: func() func() {
			for _, d := range list {
				d.signal(syscall.SIGTERM)
				time.Sleep(seriesInterval)
			}
			return nil
		},
	}
}

// rollout returns a fault that replaces most engines one after the other by lifetimes of one
// software version. Each old lifetime leaves with or without notice.
func (s *soak) rollout(r *rand.Rand) fault {
	software := randomElement(r, softwareVersions)
	engines := slices.Clone(s.world.upstreams[:s.cfg.Engines])
	r.Shuffle(len(engines), func(i, j int) {
		engines[i], engines[j] = engines[j], engines[i]
	})
	engines = engines[:len(engines)-len(engines)/3]
	notices := make([]time.Duration, len(engines))
	for i := range notices {
		notices[i] = max(0, time.Duration(r.Int64N(2*int64(maxNotice)))-maxNotice)
	}
	return fault{
		name:   "rollout",
		target: software,
		begin: func() func() {
			for i, u := range engines {
				s.world.replace(u, software, notices[i])
				time.Sleep(seriesInterval)
			}
			return nil
		},
	}
}

// replace replaces an engine by a lifetime of a software version, with a new id at the same
// address. With a notice the old lifetime drains for that long, without one it just ends.
func (w *world) replace(u *upstream, software string, notice time.Duration) {
	if notice > 0 {
		u.setState("draining")
		w.writeEntry(u)
		time.Sleep(notice)
	}
	// Ended first, so that no request of the old lifetime gets events of the new one. A regular
	// close would complete a response without length and chunks.
	u.proxy.ResetConns()
	u.proxy.Block(true)
	time.Sleep(replacementTime)
	u.worker.SetSoftware(software)
	w.renew(u)
	u.proxy.ResetConns() // another fault may have ended the block
	u.setState("ready")
	w.writeEntry(u)
	u.proxy.Block(false)
}
