package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// fatalBody is the body of requests that crash every upstream that runs them.
	fatalBody = "fatal"
	// fatalInterval is the mean time between two of them.
	fatalInterval = 200 * time.Millisecond
	// fatalRepeats is the number of consecutive fatal requests with the same path.
	fatalRepeats = 20
	// crashGossipTime is the time in which gateways tell each other of a crash, with
	// some slack.
	crashGossipTime = 200 * time.Millisecond
	// listReadTime is the time in which all gateways read the list of upstreams. The list
	// alone tells of a crash if the upstream is back before a gateway checks whether it
	// still listens.
	listReadTime = 1200 * time.Millisecond
	// fatalDowntime is how long an upstream that a fatal request crashed refuses connections.
	fatalDowntime = 2 * time.Second
	// portRetryDelay is the delay before an upstream tries again to listen at its port.
	portRetryDelay = 20 * time.Millisecond
	// crashLimit is the number of upstreams that a request may crash before it is refused.
	crashLimit = 3
	// maxLateCrashes is how often such a request may still reach upstreams after that.
	maxLateCrashes = 3
	// crashSettleTime is the time after the last fault by which all gateways must know the
	// requests that crash upstreams.
	crashSettleTime = 3 * time.Second
)

// fatalRequests counts the crashes that fatal requests caused, by path.
type fatalRequests struct {
	mu      sync.Mutex
	crashes map[string]int
}

// handleCrash simulates the crash of an upstream by a request.
func (w *world) handleCrash(u *upstream, path string) {
	if strings.HasPrefix(path, partsPath) {
		w.handlePartCrash(u, path)
		return
	}
	w.crash(u, fatalDowntime, w.restart, func() {
		w.fatals.mu.Lock()
		defer w.fatals.mu.Unlock()
		w.fatals.crashes[path]++
	})
}

// crash ends the lifetime of an upstream. Its port refuses connections for a time, after which start begins
// the next one. Requests that reach it while it is down are of the same crash, so that count is called once.
func (w *world) crash(u *upstream, downtime time.Duration, start func(*upstream), count func()) {
	u.mu.Lock()
	down := u.down
	u.down = true
	u.mu.Unlock()
	if down {
		return
	}
	count()
	u.proxy.Refuse()
	w.wg.Go(func() {
		time.Sleep(downtime)
		start(u)
		u.mu.Lock()
		u.down = false
		u.mu.Unlock()
		for u.proxy.Listen() != nil { // another process uses the port for a moment
			time.Sleep(portRetryDelay)
		}
	})
}

// awaitUpstreams waits until no upstream is down.
func (w *world) awaitUpstreams() {
	for _, u := range w.upstreams {
		for u.isDown() {
			time.Sleep(crashGossipTime / 10)
		}
	}
}

func (u *upstream) isDown() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.down
}

// sendFatal sends a request that crashes its upstream and returns the status of the
// response; zero means that there was none.
func (s *soak) sendFatal(client *http.Client, g *gatewayProcess, path, id string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+g.addr+path, strings.NewReader(fatalBody))
	if err != nil {
		s.requests.addViolation("%s: %v", id, err)
		return 0
	}
	req.Host = "h"
	req.Header.Set(platformHeaders.AttemptID, id)
	req.Header.Set(platformHeaders.DeadlineMS, deadlineMS)
	req.Header.Set("Authorization", "Bearer "+permanentKey)
	res, err := client.Do(req)
	if err != nil {
		return 0 // the upstream crashed, or a fault is in progress
	}
	res.Body.Close()
	return res.StatusCode
}

// startFatalCaller starts a caller that sends fatal requests until stop is closed.
func (s *soak) startFatalCaller() {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		r := rand.New(rand.NewPCG(s.cfg.Seed, 1<<32))
		client := &http.Client{
			Timeout:   callerTimeout,
			Transport: &http.Transport{},
		}
		defer client.CloseIdleConnections()
		for n := 0; ; n++ {
			select {
			case <-s.stop:
				return
			case <-time.After(time.Duration(r.ExpFloat64() * float64(fatalInterval))):
			}
			s.sendFatal(client, randomElement(r, s.gateways), fmt.Sprintf("/charge/fatal%d", n/fatalRepeats), fmt.Sprintf("fatal-%d", n))
		}
	}()
}

// checkFatals sends each request that has crashed at least crashLimit upstreams to each
// gateway twice. In the first round the gateways together may forward it maxLateCrashes
// times, in the second they must refuse it. The allowance is needed since gateways miss
// some crashes: an upstream that is back within a millisecond may crash again before
// the list shows its new lifetime. It is called after the last fault.
func (s *soak) checkFatals() {
	time.Sleep(crashSettleTime)
	client := &http.Client{
		Timeout:   callerTimeout,
		Transport: &http.Transport{},
	}
	defer client.CloseIdleConnections()
	f := &s.world.fatals
	f.mu.Lock()
	known := make(map[string]int)
	for path, n := range f.crashes {
		if n >= crashLimit {
			known[path] = n
		}
	}
	f.mu.Unlock()
	for path, n := range known {
		for i, g := range s.gateways {
			s.world.awaitUpstreams() // a refusal for lack of them shows nothing
			s.sendFatal(client, g, path, fmt.Sprintf("%s-late-%d", path, i))
			time.Sleep(crashGossipTime)
		}
		late := f.crashCount(path) - n
		if late > 0 {
			time.Sleep(listReadTime)
		}
		for i, g := range s.gateways {
			s.world.awaitUpstreams()
			status := s.sendFatal(client, g, path, fmt.Sprintf("%s-last-%d", path, i))
			if status != http.StatusServiceUnavailable || late > maxLateCrashes {
				s.requests.addViolation("%s: answered %d by %s, sent on %d times after %d upstreams had ended under it", path, status, g.name, late, n)
			}
		}
		if now := f.crashCount(path) - n; now > late {
			s.requests.addViolation("%s: sent on %d times more", path, now-late)
		}
	}
}

// crashCount returns how many crashes the requests with a path have caused.
func (f *fatalRequests) crashCount(path string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes[path]
}
