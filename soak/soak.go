package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	stopGrace       = 4 * time.Second  // the gateways' time between SIGTERM and exit
	leaveAfter      = time.Second      // how long a stopping gateway still accepts requests
	quietBefore     = 3 * time.Second  // without unplanned faults, required by some checks
	maxRecoveryTime = 12 * time.Second // until full service after the last fault
	maxStartTime    = 15 * time.Second // until full service after the start
)

// Config configures a soak.
type Config struct {
	Binary        string // path of the daemons' executable
	Seed          uint64
	FaultDuration time.Duration // time in which faults are injected
	Gateways      int
	Engines       int // each with a keeper
	Services      int // plain services
	Callers       int
	MaxFaults     int       // maximum number of concurrent faults
	Log           io.Writer // receives the output of the daemons and a line for each fault
}

// Report is the result of a soak.
type Report struct {
	Counts       Counts
	Faults       map[string]int // number of injected faults by name
	RecoveryTime time.Duration  // from the last fault to full service
	Streams      StreamPairs
	LossStreams  StreamPairs // resumed after many daemons were killed
	Violations   []string
}

// gatewayProcess is a gateway with its link to the store.
type gatewayProcess struct {
	*daemon
	addr  string
	store storeLink
}

type soak struct {
	cfg       Config
	world     *world
	gateways  []*gatewayProcess
	keepers   []*keeperProcess
	requests  *requestChecker
	limits    *limitChecker
	responses *responseChecker
	stop      chan struct{}
	wg        sync.WaitGroup

	evacuations evacuations
	streams     streamPairs
	lossStreams streamPairs // resumed after many daemons were killed
	// calm is held by faults of processes, links and the store, and exclusively by losses whose
	// streams are compared: a second fault may take a stream's origin before it is recorded, or
	// keep all gateways from it.
	calm sync.RWMutex

	mu              sync.Mutex
	faultCounts     map[string]int
	unplannedFaults int       // unplanned faults in progress
	lastFaultEnd    time.Time // when the latest one ended
}

// Run runs a soak and returns its result.
func Run(ctx context.Context, cfg Config) (Report, error) {
	w, err := newWorld(cfg.Engines, cfg.Services)
	if err != nil {
		return Report{}, err
	}
	defer w.close()
	s := &soak{
		cfg:         cfg,
		world:       w,
		stop:        make(chan struct{}),
		faultCounts: make(map[string]int),
		limits:      newLimitChecker(),
		responses:   newResponseChecker(),
		evacuations: evacuations{
			active: make(map[string]bool),
		},
		requests: &requestChecker{
			world: w,
		},
	}
	defer s.closeDaemons()
	if err := s.startDaemons(); err != nil {
		return Report{}, err
	}
	if _, ok := s.waitForService(maxStartTime); !ok {
		s.requests.addViolation("no full service %v after the start", maxStartTime)
	}
	s.startCallers(cfg.Callers)
	s.startStreamCallers(cfg.Callers / callersPerStreamCaller)
	s.startFatalCaller()
	s.startPartCaller()
	s.startLimitPeriods()
	s.injectFaults(ctx)
	took, ok := s.waitForService(maxRecoveryTime)
	if !ok {
		s.requests.addViolation("no full service %v after the last fault", maxRecoveryTime)
	}
	close(s.stop)
	s.wg.Wait()
	s.checkFatals()
	s.checkLimits()
	s.checkResponses()
	s.checkStreams()
	s.checkParts()
	s.requests.check()
	s.checkCrashes()
	s.logLoads()
	return Report{
		Counts:       s.requests.counts,
		Faults:       s.faultCounts,
		RecoveryTime: took,
		Streams:      s.streams.counted,
		LossStreams:  s.lossStreams.counted,
		Violations:   s.requests.violations,
	}, nil
}

func (s *soak) startDaemons() error {
	for i, u := range s.world.upstreams {
		if u.keeperProxy == nil {
			continue
		}
		k, err := s.startKeeper(i, u)
		if err != nil {
			return err
		}
		s.keepers = append(s.keepers, k)
	}
	for i := range s.cfg.Gateways {
		g, err := s.startGateway(i)
		if err != nil {
			return err
		}
		s.gateways = append(s.gateways, g)
	}
	return nil
}

func (s *soak) startGateway(i int) (*gatewayProcess, error) {
	link, err := s.newStoreLink()
	if err != nil {
		return nil, err
	}
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	ready, err := freeAddr()
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("gateway-%d", i)
	d, err := startDaemon(name, s.cfg.Binary, []string{
		"gateway", "--node=" + name, "--domain=d", "--store=" + link.Addr(), "--port=" + s.world.keeperPort,
		"--listen=" + addr, "--ready=" + ready, "--grace=" + stopGrace.String(), "--leave-after=" + leaveAfter.String(),
		fmt.Sprintf("--cold-overage=%g", coldOverage), fmt.Sprintf("--cold-slack=%d", coldSlack),
	}, s.cfg.Log)
	return &gatewayProcess{
		daemon: d,
		addr:   addr,
		store:  link,
	}, err
}

// keeperProcess is a keeper with its link to the store.
type keeperProcess struct {
	*daemon
	store storeLink
}

func (s *soak) startKeeper(i int, u *upstream) (*keeperProcess, error) {
	link, err := s.newStoreLink()
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("keeper-%d", i)
	host, _, _ := net.SplitHostPort(u.backAddr())
	d, err := startDaemon(name, s.cfg.Binary, []string{
		"keeper", "--node=" + name, "--domain=" + u.domain, "--store=" + link.Addr(), "--port=" + s.world.keeperPort,
		"--ip=" + host, "--engine=" + u.backAddr(),
	}, s.cfg.Log)
	return &keeperProcess{
		daemon: d,
		store:  link,
	}, err
}

func (s *soak) closeDaemons() {
	for _, g := range s.gateways {
		g.close()
		g.store.Close()
	}
	for _, k := range s.keepers {
		k.close()
		k.store.Close()
	}
}

// waitForService waits until every gateway has served every kind of request and returns
// how long that took. It reports false if it took longer than the limit.
func (s *soak) waitForService(limit time.Duration) (time.Duration, bool) {
	began := time.Now()
	client := &http.Client{
		Timeout:   callerTimeout,
		Transport: &http.Transport{},
	}
	defer client.CloseIdleConnections()
	for i, g := range s.gateways {
		for j, k := range requestKinds {
			for n := 0; ; n++ {
				id := fmt.Sprintf("probe-%d-%d-%d-%d", began.UnixNano(), i, j, n)
				if status, _ := s.sendRequest(client, g, k, id, permanentKey, 0); status == http.StatusOK {
					break
				}
				if time.Since(began) > limit {
					return limit, false
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	return time.Since(began), true
}

// checkCrashes reports daemons that exited without a signal from the soak.
func (s *soak) checkCrashes() {
	var all []*daemon
	for _, g := range s.gateways {
		all = append(all, g.daemon)
	}
	for _, k := range s.keepers {
		all = append(all, k.daemon)
	}
	for _, d := range all {
		d.mu.Lock()
		n := d.crashes
		d.mu.Unlock()
		if n > 0 {
			s.requests.addViolation("%s ended %d times by itself", d.name, n)
		}
	}
}

// noFaultsSince reports whether no unplanned fault has been in progress since t.
func (s *soak) noFaultsSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unplannedFaults == 0 && s.lastFaultEnd.Before(t) && s.world.parts.noCrashesSince(t)
}

// injectFaults injects random faults, up to cfg.MaxFaults concurrently, until
// cfg.FaultDuration has passed, and then heals all of them.
func (s *soak) injectFaults(ctx context.Context) {
	var wg sync.WaitGroup
	until := time.Now().Add(s.cfg.FaultDuration)
	for i := range s.cfg.MaxFaults {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := rand.New(rand.NewPCG(s.cfg.Seed, 1000+uint64(i)))
			for time.Now().Before(until) && ctx.Err() == nil {
				s.injectFault(r)
				time.Sleep(time.Duration(r.IntN(800)) * time.Millisecond)
			}
		}()
	}
	s.startLoads(ctx, &wg, until)
	wg.Wait()
	s.heal()
}

func (s *soak) injectFault(r *rand.Rand) {
	f := s.randomFault(r)
	if f.lock != nil {
		f.lock.Lock()
		defer f.lock.Unlock()
	}
	s.mu.Lock()
	s.faultCounts[f.name]++
	if !f.planned {
		s.unplannedFaults++
	}
	s.mu.Unlock()
	fmt.Fprintf(s.cfg.Log, "soak: fault=%s target=%s for=%v\n", f.name, f.target, f.duration)
	undo := f.begin()
	time.Sleep(f.duration)
	if undo != nil {
		undo()
	}
	if !f.planned {
		s.mu.Lock()
		s.unplannedFaults--
		s.lastFaultEnd = time.Now()
		s.mu.Unlock()
	}
}
