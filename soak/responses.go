package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"wardturn/standin"
)

const (
	// maxLeavingDelay is how long after a gateway forwarded a response which says that its
	// upstream is leaving a request sent to that gateway may still reach the upstream.
	maxLeavingDelay = 2 * time.Second
	// leavingDuration is how long an upstream announces that it is leaving before it ends.
	leavingDuration = 2500 * time.Millisecond
	// backoffSeconds is the backoff that an upstream requests with Retry-After, in
	// seconds.
	backoffSeconds = 1.5
	// backoffGrace is the time after a refusal in which requests already in flight may
	// still arrive, and backoffAllowed how many requests of one gateway may arrive
	// between then and the end of the backoff.
	backoffGrace   = 500 * time.Millisecond
	backoffAllowed = 2
)

// responseChecker checks that gateways obey the headers of upstream responses which
// announce that the upstream is leaving or request a backoff. It records when each
// attempt was sent to which gateway process, and which responses announced that the
// upstream is leaving.
type responseChecker struct {
	mu        sync.Mutex
	sent      map[string]sentAttempt
	leavingAt map[string]time.Time // when the caller received that announcement, by attempt
	// excused are the intervals in which a daemon was paused, so that a gateway may not
	// have processed responses.
	excused []interval
}

type sentAttempt struct {
	process string // of the gateway
	at      time.Time
}

func newResponseChecker() *responseChecker {
	return &responseChecker{
		sent:      make(map[string]sentAttempt),
		leavingAt: make(map[string]time.Time),
	}
}

func (c *responseChecker) recordSent(id, process string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[id] = sentAttempt{
		process: process,
		at:      time.Now(),
	}
}

// recordResponse records the headers of a response to a caller.
func (c *responseChecker) recordResponse(id string, h http.Header) {
	if h.Get(standin.HeaderLeaving) != "1" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leavingAt[id] = time.Now()
}

func (c *responseChecker) addExcused(from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.excused = append(c.excused, interval{
		from: from,
		to:   to,
	})
}

// excusedIn reports whether an excused interval overlaps with the given one. The caller
// holds the lock.
func (c *responseChecker) excusedIn(from, to time.Time) bool {
	return slices.ContainsFunc(c.excused, func(x interval) bool {
		return from.Before(x.to) && x.from.Before(to)
	})
}

// leavingFault returns a fault in which the responses of an upstream say that it is
// leaving, while its entry in the store says that it is ready. At the end it restarts.
func (s *soak) leavingFault(u *upstream) fault {
	return fault{
		name:     "upstream says in answers that it leaves",
		target:   u.addr,
		duration: leavingDuration,
		begin: func() func() {
			u.setFaults(standin.WorkerFaults{
				Leaving: "1",
			})
			return func() {
				u.setFaults(standin.WorkerFaults{})
				s.world.restart(u)
				u.proxy.ResetConns()
			}
		},
	}
}

// backoffFault returns a fault in which an upstream refuses requests and requests a
// backoff.
func backoffFault(u *upstream) fault {
	return fault{
		name:   "upstream asks for a rest",
		target: u.addr,
		begin: func() func() {
			u.setFaults(backoffWorkerFaults())
			return func() { u.setFaults(standin.WorkerFaults{}) }
		},
	}
}

func backoffWorkerFaults() standin.WorkerFaults {
	return standin.WorkerFaults{
		Full:       true,
		RetryAfter: []string{"soon", strconv.FormatFloat(backoffSeconds, 'f', 1, 64), "0"},
	}
}

// checkResponses compares the requests that reached upstreams with what the headers of
// their responses had announced before.
func (s *soak) checkResponses() {
	c := s.responses
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range s.world.upstreams {
		arrivals := u.worker.Arrivals()
		for _, late := range c.sentAfterLeaving(arrivals) {
			s.requests.addViolation("%s reached %s %s after its gateway had passed on that it leaves", late.Attempt, u.addr, late.Lifetime)
		}
		c.checkBackoffs(s.requests, u, arrivals)
	}
	fmt.Fprintf(s.cfg.Log, "soak: answers that say that an upstream leaves: %d\n", len(c.leavingAt))
}

// sentAfterLeaving returns the arrivals that reached a leaving upstream although they were
// sent more than maxLeavingDelay after their gateway had forwarded the announcement. Each
// lifetime of the upstream is checked for itself. The caller holds the lock.
func (c *responseChecker) sentAfterLeaving(arrivals []standin.Arrival) (late []standin.Arrival) {
	announcedAt := make(map[string]time.Time) // first announcement, by gateway process and lifetime
	key := func(a standin.Arrival) string {
		return c.sent[a.Attempt].process + " " + a.Lifetime
	}
	for _, a := range arrivals {
		// The attempt may have been refused here and resent to another upstream, whose
		// response the caller received.
		at, ok := c.leavingAt[a.Attempt]
		if first := announcedAt[key(a)]; ok && a.Leaving && (first.IsZero() || at.Before(first)) {
			announcedAt[key(a)] = at
		}
	}
	for _, a := range arrivals {
		if at := announcedAt[key(a)]; !at.IsZero() && c.sent[a.Attempt].at.After(at.Add(maxLeavingDelay)) {
			late = append(late, a)
		}
	}
	return late
}

// checkBackoffs checks that each gateway obeyed the backoffs that the upstream
// requested. The caller holds the lock.
func (c *responseChecker) checkBackoffs(requests *requestChecker, u *upstream, arrivals []standin.Arrival) {
	for _, refused := range arrivals {
		if refused.RetryAfter == 0 {
			continue
		}
		from, until := refused.At.Add(backoffGrace), refused.At.Add(refused.RetryAfter)
		arrived := 0
		for _, a := range arrivals {
			if a.At.After(from) && a.At.Before(until) && c.sent[a.Attempt].process == c.sent[refused.Attempt].process {
				arrived++
			}
		}
		if arrived > backoffAllowed && !c.excusedIn(refused.At, until) && !u.excusedIn(refused.At, until) {
			requests.addViolation("%s asked %s for a rest of %v and got %d requests in it", u.addr, c.sent[refused.Attempt].process, refused.RetryAfter, arrived)
			return
		}
	}
}
