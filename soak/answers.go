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
	// leavingBound is how long after a gateway passed on that an upstream leaves requests of
	// its callers may still be sent to it.
	leavingBound = 2 * time.Second
	// leavingFor is how long an upstream says so before it ends.
	leavingFor = 2500 * time.Millisecond
	// restFor is the rest that an upstream asks for, in seconds.
	restFor = 1.5
	// restGrace and restAllowed are by when requests under way at a refusal have come, and how
	// many of one gateway may come in the rest after that.
	restGrace   = 500 * time.Millisecond
	restAllowed = 2
)

// answerLedger holds which attempts were sent when by which gateway, and had answers that
// say that their upstream leaves.
type answerLedger struct {
	mu      sync.Mutex
	sent    map[string]sentAttempt
	leaving map[string]time.Time // when its caller had it, by attempt
	// excused are times in which gateways or links could not take in answers.
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

// passedOn records the head of an answer that a caller had.
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

// excusedIn reports whether a time overlaps with one that is excused; the lock is held.
func (l *answerLedger) excusedIn(from, to time.Time) bool {
	return slices.ContainsFunc(l.excused, func(x span) bool {
		return from.Before(x.to) && x.from.Before(to)
	})
}

// sayingLeaves is an upstream whose answers say that it leaves while the store has it as
// ready; then it starts again.
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

// askingRest is an upstream that turns requests away and asks for a rest.
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

// checkAnswers holds what upstreams got against what their answers had said.
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

// lateAtLeaving returns the arrivals at lifetimes of an upstream whose callers sent them later
// than allowed after their gateway had passed on that it leaves. The lock is held.
func (l *answerLedger) lateAtLeaving(arrivals []standin.Arrival) (late []standin.Arrival) {
	told := make(map[string]time.Time) // first, by gateway's process and lifetime
	key := func(a standin.Arrival) string {
		return l.sent[a.Attempt].process + " " + a.Lifetime
	}
	for _, a := range arrivals {
		// An attempt may have arrived here, been turned away, and been answered elsewhere.
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

// checkRests holds the arrivals of each gateway at an upstream against the rests that it was
// asked for. The lock is held.
func (l *answerLedger) checkRests(to *ledger, u *upstream, arrivals []standin.Arrival) {
	for _, refused := range arrivals {
		if refused.RetryAfter == 0 {
			continue
		}
		from, until := refused.At.Add(restGrace), refused.At.Add(refused.RetryAfter)
		got := 0
		for _, a := range arrivals {
			if a.At.After(from) && a.At.Before(until) && l.sent[a.Attempt].process == l.sent[refused.Attempt].process {
				got++
			}
		}
		if got > restAllowed && !l.excusedIn(refused.At, until) && !u.excusedIn(refused.At, until) {
			to.broken("%s asked %s for a rest of %v and got %d requests in it", u.addr, l.sent[refused.Attempt].process, refused.RetryAfter, got)
			return
		}
	}
}
