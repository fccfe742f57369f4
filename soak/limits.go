package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"wardturn/standin"
)

const (
	limitWindow  = 4 * time.Second
	limitGrace   = 500 * time.Millisecond // from an answer that names a limit until its gateway keeps it
	limitExcused = 1500 * time.Millisecond
	leastNamed   = 6 * time.Second // that an upstream names a limit
	moreNamed    = 5 * time.Second
	limitRest    = 2 * time.Second // between two upstreams that do
	garbledFor   = 300 * time.Millisecond
	mostRate     = 20.0 // requests a second
)

// naming is a time in which an upstream names a limit. Its figure is given by no other.
type naming struct {
	u      *upstream
	figure string
	rate   float64
	from   time.Time
	to     time.Time
}

// span is a time in which requests reach an upstream in other order than they were sent, or
// in which it is a new one to gateways.
type span struct {
	from time.Time
	to   time.Time
}

// limitLedger holds which upstreams named limits, which gateways passed that on, and by
// which gateway each attempt went.
type limitLedger struct {
	mu      sync.Mutex
	namings []naming
	told    map[string]time.Time // first, by gateway's process and figure
	via     map[string]string    // gateway's process, by attempt
}

func newLimitLedger() *limitLedger {
	return &limitLedger{
		told: make(map[string]time.Time),
		via:  make(map[string]string),
	}
}

func (l *limitLedger) sent(id, process string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.via[id] = process
}

// passedOn records that a caller had an answer that names a limit.
func (l *limitLedger) passedOn(process, figure string) {
	if figure == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key := process + " " + figure
	if l.told[key].IsZero() {
		l.told[key] = time.Now()
	}
}

// nameLimits has one upstream after another name a limit until the soak ends; some figures
// in between are garbled.
func (s *soak) nameLimits() {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		r := rand.New(rand.NewPCG(s.cfg.Seed, 500))
		for i := 0; ; i++ {
			rate := r.Float64() * mostRate
			n := naming{
				u:      pick(r, s.world.upstreams),
				figure: strconv.FormatFloat(rate, 'f', 2, 64) + fmt.Sprintf("%04d", i),
				rate:   rate,
				from:   time.Now(),
			}
			fmt.Fprintf(s.cfg.Log, "soak: fault=limit target=%s figure=%s\n", n.u.addr, n.figure)
			n.u.nameLimit(n.figure)
			half := (leastNamed + time.Duration(r.Int64N(int64(moreNamed)))) / 2
			going := s.pause(half)
			n.u.nameLimit("4,5 a second")
			going = going && s.pause(garbledFor)
			n.u.nameLimit(n.figure)
			going = going && s.pause(half)
			n.u.nameLimit("")
			n.to = time.Now()
			s.limits.mu.Lock()
			s.limits.namings = append(s.limits.namings, n)
			s.limits.mu.Unlock()
			if !going || !s.pause(limitRest) {
				return
			}
		}
	}()
}

// pause waits, and reports whether the soak goes on.
func (s *soak) pause(d time.Duration) bool {
	select {
	case <-s.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// checkLimits holds what upstreams got against what they named.
func (s *soak) checkLimits() {
	l := s.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.namings {
		allowed := int(1.5*n.rate*limitWindow.Seconds()) + 5
		got := l.mostOf(n, n.u.worker.Arrivals())
		fmt.Fprintf(s.cfg.Log, "soak: limit target=%s figure=%s most=%d allowed=%d\n", n.u.addr, n.figure, got, allowed)
		if got > allowed {
			s.ledger.broken("upstream %s named %s a second and got %d requests in %v from gateways that it had told, at most %d", n.u.addr, n.figure, got, limitWindow, allowed)
		}
	}
}

// mostOf returns the most requests of a window that count: of gateways that had passed the
// figure on. The lock is held.
func (l *limitLedger) mostOf(n naming, arrivals []standin.Arrival) int {
	var times []time.Time
	for _, a := range arrivals {
		told := l.told[l.via[a.Attempt]+" "+n.figure]
		if !told.IsZero() && a.At.Sub(told) >= limitGrace && a.At.Before(n.to) {
			times = append(times, a.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) >= limitWindow {
			first++
		}
		if !n.u.excusedIn(times[first], t) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// nameLimit sets the figure that the upstream's answers name; empty: none.
func (u *upstream) nameLimit(figure string) {
	u.mu.Lock()
	u.limit = figure
	f := u.faults
	u.mu.Unlock()
	u.behave(f)
}

// excuse records that something happened to the upstream or its link that may bring
// requests together.
func (u *upstream) excuse(from, to time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.excused = append(u.excused, span{
		from: from,
		to:   to.Add(limitExcused),
	})
}

// excusedIn reports whether a window overlaps with such a time.
func (u *upstream) excusedIn(from, to time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.ContainsFunc(u.excused, func(x span) bool {
		return from.Before(x.to) && x.from.Before(to)
	})
}

// upstreamOf returns the upstream of a link, or nil.
func (w *world) upstreamOf(l *standin.Relay) *upstream {
	for _, u := range w.upstreams {
		if u.link == l {
			return u
		}
	}
	return nil
}

// excusing has a fault of an upstream's link excuse what comes while it lasts.
func excusing(u *upstream, begin func() func()) func() func() {
	if u == nil {
		return begin
	}
	return func() func() {
		from := time.Now()
		undo := begin()
		u.excuse(from, from)
		return func() {
			if undo != nil {
				undo()
			}
			u.excuse(from, time.Now())
		}
	}
}
