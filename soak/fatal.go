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
	// fatalBody is the body of requests that crash each upstream that runs them.
	fatalBody = "fatal"
	// fatalPause is the mean time between two of them.
	fatalPause = 200 * time.Millisecond
	// fatalTurn is how many in a row ask the same.
	fatalTurn = 20
	// fatalTold is how long gateways take to tell each other of an end, with some slack.
	fatalTold = 200 * time.Millisecond
	// fatalListed is by when all gateways have read the list of upstreams: an end is told
	// by that alone if the upstream is back before it is looked whether it still listens.
	fatalListed = 1200 * time.Millisecond
	// fatalLimit is how many upstreams may end under one before it is refused.
	fatalLimit = 3
	// fatalLate is how many times more such a request may reach upstreams.
	fatalLate = 3
	// fatalKnown is how long after the last fault all gateways have to know it.
	fatalKnown = 3 * time.Second
)

// fatals are the requests that crash upstreams, by path.
type fatals struct {
	mu      sync.Mutex
	crashes map[string]int
}

// crashed ends an upstream: it starts again at once, empty, as another lifetime.
func (w *world) crashed(u *upstream, path string) {
	w.fatals.mu.Lock()
	w.fatals.crashes[path]++
	w.fatals.mu.Unlock()
	w.restart(u)
	u.link.Reset()
}

// sendFatal sends a request that crashes its upstream, and returns the status of the
// answer; zero: there was none.
func (s *soak) sendFatal(client *http.Client, g *gatewayProcess, path, id string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+g.front+path, strings.NewReader(fatalBody))
	if err != nil {
		s.ledger.broken("%s: %v", id, err)
		return 0
	}
	req.Host = "h"
	req.Header.Set(names.AttemptID, id)
	req.Header.Set(names.DeadlineMS, deadlineMS)
	req.Header.Set("Authorization", "Bearer "+stayKey)
	res, err := client.Do(req)
	if err != nil {
		return 0 // its upstream ended, or a fault is under way
	}
	res.Body.Close()
	return res.StatusCode
}

// fatalCaller sends such requests until stop is closed.
func (s *soak) fatalCaller() {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		r := rand.New(rand.NewPCG(s.cfg.Seed, 1<<32))
		client := &http.Client{
			Timeout:   callerPatience,
			Transport: &http.Transport{},
		}
		defer client.CloseIdleConnections()
		for n := 0; ; n++ {
			select {
			case <-s.stop:
				return
			case <-time.After(time.Duration(r.ExpFloat64() * float64(fatalPause))):
			}
			s.sendFatal(client, pick(r, s.gateways), fmt.Sprintf("/charge/fatal%d", n/fatalTurn), fmt.Sprintf("fatal-%d", n))
		}
	}()
}

// checkFatals sends each request under which enough upstreams have ended to each gateway,
// twice: they may send it on fatalLate times in all, and then none may. Some upstreams end
// unnoticed, since they are back within a millisecond and end again before the list tells
// of that. It is called when all faults are over.
func (s *soak) checkFatals() {
	time.Sleep(fatalKnown)
	client := &http.Client{
		Timeout:   callerPatience,
		Transport: &http.Transport{},
	}
	defer client.CloseIdleConnections()
	f := &s.world.fatals
	f.mu.Lock()
	known := make(map[string]int)
	for path, n := range f.crashes {
		if n >= fatalLimit {
			known[path] = n
		}
	}
	f.mu.Unlock()
	for path, n := range known {
		for i, g := range s.gateways {
			s.sendFatal(client, g, path, fmt.Sprintf("%s-late-%d", path, i))
			time.Sleep(fatalTold)
		}
		late := f.count(path) - n
		if late > 0 {
			time.Sleep(fatalListed)
		}
		for i, g := range s.gateways {
			status := s.sendFatal(client, g, path, fmt.Sprintf("%s-last-%d", path, i))
			if status != http.StatusServiceUnavailable || late > fatalLate {
				s.ledger.broken("%s: answered %d by %s, sent on %d times after %d upstreams had ended under it", path, status, g.name, late, n)
			}
		}
		if now := f.count(path) - n; now > late {
			s.ledger.broken("%s: sent on %d times more", path, now-late)
		}
	}
}

// count returns how many upstreams have ended under a request.
func (f *fatals) count(path string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes[path]
}
