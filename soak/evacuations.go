package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"wardturn/standin"
)

const (
	// evacuatedBy is the time after the operator's order to evacuate a failure domain from
	// which on it must get no requests. It covers the gateways' reads of the store, their
	// reports of that to each other, and the acknowledgement.
	evacuatedBy = 3 * time.Second
	// emptyFor is how long the evacuated failure domain is watched after that.
	emptyFor = 1500 * time.Millisecond
	// coldFor is how long an upstream is cold after its start.
	coldFor = 6 * time.Second
	// coldKnownBy is the time after such a start by which all gateways know of it.
	coldKnownBy = 4 * time.Second
	// A cold upstream may get coldRate*coldOverage + coldSlack requests within a second.
	coldRate    = 20
	coldOverage = 1.5
	coldSlack   = 5
)

// domains are the failure domains of the soak's upstreams.
var domains = []string{"d", "e"}

// evacuations are the evacuations in progress, by failure domain.
type evacuations struct {
	mu  sync.Mutex
	now map[string]bool
}

// begin marks a domain as evacuated and reports whether it was not before.
func (e *evacuations) begin(domain string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.now[domain] {
		return false
	}
	e.now[domain] = true
	return true
}

func (e *evacuations) end(domain string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.now, domain)
}

// evacuation returns a fault in which the operator evacuates a failure domain, and revokes
// that when the fault ends.
func (s *soak) evacuation(r *rand.Rand) fault {
	domain := pick(r, domains)
	return fault{
		name:    "evacuation",
		target:  domain,
		planned: true,
		last:    evacuatedBy + emptyFor,
		begin: func() func() {
			if !s.evacuations.begin(domain) {
				return nil
			}
			began := time.Now()
			s.world.store.Evacuate(domain, true)
			return func() {
				s.checkEmpty(domain, began)
				s.world.store.Evacuate(domain, false)
				s.evacuations.end(domain)
			}
		},
	}
}

// checkEmpty checks that the upstreams of an evacuated failure domain got no requests
// after evacuatedBy, if there was no unplanned fault meanwhile.
func (s *soak) checkEmpty(domain string, began time.Time) {
	if !s.calmSince(began.Add(-calmBefore)) {
		return
	}
	for _, u := range s.world.upstreams {
		if u.domain != domain {
			continue
		}
		if n := arrivedIn(u.worker.Arrivals(), began.Add(evacuatedBy), time.Now()); n > 0 {
			s.ledger.broken("upstream %s got %d requests later than %v after the evacuation of %s", u.addr, n, evacuatedBy, domain)
		}
	}
}

// arrivedIn returns the number of arrivals between two times.
func arrivedIn(arrivals []standin.Arrival, from, to time.Time) int {
	n := 0
	for _, a := range arrivals {
		if a.At.After(from) && a.At.Before(to) {
			n++
		}
	}
	return n
}

// checkCold checks that a restarted upstream got no more requests while it was cold than
// allowed, if there was no unplanned fault from calmBefore before all gateways should
// have known of the restart.
func (s *soak) checkCold(u *upstream, started time.Time) {
	if !s.calmSince(started.Add(coldKnownBy - calmBefore)) {
		return
	}
	allowed := int(coldOverage*coldRate) + coldSlack
	got := mostInSecond(u.worker.Arrivals(), started.Add(coldKnownBy), started.Add(coldFor))
	if got > allowed {
		s.ledger.broken("upstream %s got %d requests in a second while it was cold, at most %d", u.addr, got, allowed)
	}
}

// mostInSecond returns the maximum number of arrivals within any second between two times.
func mostInSecond(arrivals []standin.Arrival, from, to time.Time) int {
	var times []time.Time
	for _, a := range arrivals {
		if a.At.After(from) && a.At.Before(to) {
			times = append(times, a.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
