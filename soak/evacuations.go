package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"wardturn/standin"
)

const (
	// maxEvacuationTime is the time after the operator's order to evacuate a failure
	// domain from which on it must get no requests. It covers the gateways' reads of
	// the store, their reports of that to each other, and the acknowledgement.
	maxEvacuationTime = 3 * time.Second
	// evacuationWatch is how long the evacuated failure domain is watched after that.
	evacuationWatch = 1500 * time.Millisecond
	// coldDuration is how long an upstream is cold after its start.
	coldDuration = 6 * time.Second
	// maxColdDelay is the time after such a start by which all gateways know of it.
	maxColdDelay = 4 * time.Second
	// A cold upstream may get coldRate*coldOverage + coldSlack requests within a second.
	coldRate    = 20
	coldOverage = 1.5
	coldSlack   = 5
)

// domains are the failure domains of the soak's upstreams.
var domains = []string{"d", "e"}

// evacuations are the evacuations in progress, by failure domain.
type evacuations struct {
	mu     sync.Mutex
	active map[string]bool
}

// begin marks a domain as evacuated and reports whether it was not before.
func (e *evacuations) begin(domain string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.active[domain] {
		return false
	}
	e.active[domain] = true
	return true
}

func (e *evacuations) isActive(domain string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.active[domain]
}

func (e *evacuations) end(domain string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.active, domain)
}

// evacuationFault returns a fault in which the operator evacuates a failure domain, and
// revokes that when the fault ends.
func (s *soak) evacuationFault(r *rand.Rand) fault {
	domain := randomElement(r, domains)
	return fault{
		name:     "evacuation",
		target:   domain,
		planned:  true,
		duration: maxEvacuationTime + evacuationWatch,
		begin: func() func() {
			if !s.evacuations.begin(domain) {
				return nil
			}
			began := time.Now()
			s.world.store.SetEvacuated(domain, true)
			return func() {
				s.checkEvacuated(domain, began)
				s.world.store.SetEvacuated(domain, false)
				s.evacuations.end(domain)
			}
		},
	}
}

// checkEvacuated checks that the upstreams of an evacuated failure domain got no requests
// after maxEvacuationTime, if there was no unplanned fault meanwhile.
func (s *soak) checkEvacuated(domain string, began time.Time) {
	if !s.noFaultsSince(began.Add(-quietBefore)) {
		return
	}
	for _, u := range s.world.upstreams {
		if u.domain != domain {
			continue
		}
		if n := countArrivals(u.worker.Arrivals(), began.Add(maxEvacuationTime), time.Now()); n > 0 {
			s.requests.addViolation("upstream %s got %d requests later than %v after the evacuation of %s", u.addr, n, maxEvacuationTime, domain)
		}
	}
}

// countArrivals returns the number of arrivals between two times.
func countArrivals(arrivals []standin.Arrival, from, to time.Time) int {
	n := 0
	for _, a := range arrivals {
		if a.At.After(from) && a.At.Before(to) {
			n++
		}
	}
	return n
}

// checkCold checks that a restarted upstream got no more requests while it was cold than
// allowed, if there was no unplanned fault from quietBefore before all gateways should
// have known of the restart.
func (s *soak) checkCold(u *upstream, started time.Time) {
	if !s.noFaultsSince(started.Add(maxColdDelay - quietBefore)) {
		return
	}
	allowed := int(coldOverage*coldRate) + coldSlack
	got := maxPerSecond(u.worker.Arrivals(), started.Add(maxColdDelay), started.Add(coldDuration))
	if got > allowed {
		s.requests.addViolation("upstream %s got %d requests in a second while it was cold, at most %d", u.addr, got, allowed)
	}
}

// maxPerSecond returns the maximum number of arrivals within any second between two times.
func maxPerSecond(arrivals []standin.Arrival, from, to time.Time) int {
	var times []time.Time
	for _, a := range arrivals {
		if a.At.After(from) && a.At.Before(to) {
			times = append(times, a.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	highest, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) >= time.Second {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}
