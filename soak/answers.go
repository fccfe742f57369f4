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
	// leavingBound is the time after a gateway forwarded a response which says that its
	// upstream is leaving. Requests that callers send to the gateway later must not reach
	// that upstream.
	leavingBound = 2 * time.Second
	// leavingFor is how long an upstream announces that it is leaving before it ends.
	leavingFor = 2500 * time.Millisecond
	// restFor is the backoff that an upstream requests with Retry-After, in seconds.
	restFor = 1.5
	// restGrace is the time after a refusal in which requests already in flight may still
	// arrive, and restAllowed how many requests of one gateway may arrive between then and
	// the end of the backoff.
	restGrace   = 500 * time.Millisecond
	restAllowed = 2
)

// answerLedger checks that gateways obey the headers of upstream responses which announce
// that the upstream is leaving or request a backoff. It records when each attempt was sent
// to which gateway process, and which responses announced that the upstream is leaving.
type answerLedger struct {
	mu      sync.Mutex
	sent    map[string]sentAttempt
	leaving map[string]time.Time // when the caller received that announcement, by attempt
	// excused are the intervals in which a daemon was paused, so that a gateway may not
	// have processed responses.
	excused []span
}

type sentAttempt struct {
	process string // of the gateway
	at      time.Time
}

func newAnswerLedger() *answerLedger {
	return &answerLedger{
		sent:    make(map[string]sentAttempt),
		leaving: make(map[string]time.Time),
	}
}

func (l *answerLedger) note(id, process string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = sentAttempt{
		process: process,
		at:      time.Now(),
	}
}

// passedOn records the headers of a response to a caller.
func (l *answerLedger) passedOn(id string, h http.Header) {
	if h.Get(standin.HeaderLeaving) != "1" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving[id] = time.Now()
}

func (l *answerLedger) excuse(from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.excused = append(l.excused, span{
		from: from,
		to:   to,
	})
}

// excusedIn reports whether an excused interval overlaps with the given one. The caller
// holds the lock.
func (l *answerLedger) excusedIn(from, to time.Time) bool {
	return slices.ContainsFunc(l.excused, func(x span) bool {
		return from.Before(x.to) && x.from.Before(to)
	})
}

// sayingLeaves returns a fault in which the responses of an upstream say that it is
// leaving, while its entry in the store says that it is ready. At the end it restarts.
func (s *soak) sayingLeaves(u *upstream) fault {
	return fault{
		name:   "upstream says in answers that it leaves",
		target: u.addr,
		last:   leavingFor,
		begin: func() func() {
			u.behave(standin.WorkerFaults{
				Leaving: "1",
			})
			return func() {
				u.behave(standin.WorkerFaults{})
				s.world.restart(u)
				u.link.Reset()
			}
		},
	}
}

// askingRest returns a fault in which an upstream refuses requests and requests a backoff.
func askingRest(u *upstream) fault {
	return fault{
		name:   "upstream asks for a rest",
		target: u.addr,
		begin: func() func() {
			u.behave(askingRestFaults())
			return func() { u.behave(standin.WorkerFaults{}) }
		},
	}
}

func askingRestFaults() standin.WorkerFaults {
	return standin.WorkerFaults{
		Full:       true,
		RetryAfter: []string{"soon", strconv.FormatFloat(restFor, 'f', 1, 64), "0"},
	}
}

// checkAnswers compares the requests that reached upstreams with what the headers of
// their responses had announced before.
func (s *soak) checkAnswers() {
	l := s.answers
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range s.world.upstreams {
		arrivals := u.worker.Arrivals()
		for _, late := range l.lateAtLeaving(arrivals) {
			s.ledger.broken("%s reached %s %s after its gateway had passed on that it leaves", late.Attempt, u.addr, late.Lifetime)
		}
		l.checkRests(s.ledger, u, arrivals)
	}
	fmt.Fprintf(s.cfg.Log, "soak: answers that say that an upstream leaves: %d\n", len(l.leaving))
}

// lateAtLeaving returns the arrivals that reached a leaving upstream although they were
// sent more than leavingBound after their gateway had forwarded the announcement. Each
// lifetime of the upstream is checked for itself. The caller holds the lock.
func (l *answerLedger) lateAtLeaving(arrivals []standin.Arrival) (late []standin.Arrival) {
	told := make(map[string]time.Time) // first announcement, by gateway process and lifetime
	key := func(a standin.Arrival) string {
		return l.sent[a.Attempt].process + " " + a.Lifetime
	}
	for _, a := range arrivals {
		// The attempt may have been refused here and resent to another upstream, whose
		// response the caller received.
		at, ok := l.leaving[a.Attempt]
		if first := told[key(a)]; ok && a.Leaving && (first.IsZero() || at.Before(first)) {
			told[key(a)] = at
		}
	}
	for _, a := range arrivals {
		if at := told[key(a)]; !at.IsZero() && l.sent[a.Attempt].at.After(at.Add(leavingBound)) {
			late = append(late, a)
		}
	}
	return late
}

// checkRests checks that each gateway obeyed the backoffs that the upstream requested. The
// caller holds the lock.
func (l *answerLedger) checkRests(to *ledger, u *upstream, arrivals []standin.Arrival) {
	for _, refused := range arrivals {
		if refused.Rest == 0 {
			continue
		}
		from, until := refused.At.Add(restGrace), refused.At.Add(refused.Rest)
		got := 0
		for _, a := range arrivals {
			if a.At.After(from) && a.At.Before(until) && l.sent[a.Attempt].process == l.sent[refused.Attempt].process {
				got++
			}
		}
		if got > restAllowed && !l.excusedIn(refused.At, until) && !u.excusedIn(refused.At, until) {
			to.broken("%s asked %s for a rest of %v and got %d requests in it", u.addr, l.sent[refused.Attempt].process, refused.Rest, got)
			return
		}
	}
}
