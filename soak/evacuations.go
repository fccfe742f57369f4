package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"wardturn/standin"
)

const (
	// evacuatedBy is how long after the operator's word a failure domain gets no more
	// requests: readings of the store, their word to others, and the acknowledgement.
	evacuatedBy = 3 * time.Second
	// emptyFor is how long that is watched.
	emptyFor = 1500 * time.Millisecond
	// coldFor is how long an upstream is cold after its start.
	coldFor = 6 * time.Second
	// coldKnownBy is how long after such a start all gateways know of it.
	coldKnownBy = 4 * time.Second
	// coldRate, coldOverage and coldSlack are what a cold upstream bears within a second.
	coldRate    = 20
	coldOverage = 1.5
	coldSlack   = 5
)

// domains are the failure domains of the soak's upstreams.
var domains = []string{"d", "e"}

// evacuations are those that the operator has asked for.
type evacuations struct {
	mu  sync.Mutex
	now map[string]bool
}

// begin reports whether a domain was not evacuated.
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

// evacuation is the operator's word that a failure domain is to get nothing, taken back
// after a while.
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

// checkEmpty holds what an evacuated failure domain got against the word, if nothing else
// happened meanwhile.
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

// arrivedIn counts arrivals between two times.
func arrivedIn(arrivals []standin.Arrival, from, to time.Time) int {
	n := 0
	for _, a := range arrivals {
		if a.At.After(from) && a.At.Before(to) {
			n++
		}
	}
	return n
}

// checkCold holds what an upstream that started anew got while it was cold against what it
// bears, if nothing else happened from when all gateways should have known of it.
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

// mostInSecond returns the most arrivals of a second between two times.
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
