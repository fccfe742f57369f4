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
	limitWindow  = 4 * time.Second         // in which requests are counted
	limitGrace   = 500 * time.Millisecond  // until a gateway obeys a limit in a response
	limitExcused = 1500 * time.Millisecond // how long the effects of a fault outlast it
	leastNamed   = 6 * time.Second         // minimum duration of an announced limit
	moreNamed    = 5 * time.Second         // maximum random addition to leastNamed
	limitRest    = 2 * time.Second         // between the limits of two upstreams
	garbledFor   = 300 * time.Millisecond  // for which the announced limit can't be parsed
	mostRate     = 20.0                    // maximum limit in requests per second
)

// naming is an interval in which an upstream announces a rate limit in its responses. Its
// figure, the text of the limit, is unique.
type naming struct {
	u      *upstream
	figure string
	rate   float64
	from   time.Time
	to     time.Time
}

// span is an interval to which checks of arrivals do not apply, since a fault may have
// delayed or reordered requests, or since an upstream has a new id.
type span struct {
	from time.Time
	to   time.Time
}

// limitLedger checks that gateways obey the rate limits that upstreams announce. It records
// which upstreams announced which limits, which gateway processes forwarded them, and to
// which gateway process each attempt was sent.
type limitLedger struct {
	mu      sync.Mutex
	namings []naming
	told    map[string]time.Time // first response with it, by gateway process and figure
	via     map[string]string    // gateway process, by attempt
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

// passedOn records that a caller received a response that announces a limit.
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

// nameLimits starts a goroutine in which one random upstream after another announces a
// limit, until the soak ends. For a while in between it announces one that can't be parsed.
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

// pause waits for d or the end of the soak, and reports whether the soak goes on.
func (s *soak) pause(d time.Duration) bool {
	select {
	case <-s.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// checkLimits compares the rates of requests that upstreams got with the limits that they
// announced.
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

// mostOf returns the maximum number of requests within any limitWindow that is not excused.
// Only requests of gateways that had forwarded the limit count. The caller holds the lock.
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

// nameLimit sets the limit that the upstream's responses announce; empty means none.
func (u *upstream) nameLimit(figure string) {
	u.mu.Lock()
	u.limit = figure
	f := u.faults
	u.mu.Unlock()
	u.behave(f)
}

// excuse records an event at the upstream or its link that may delay requests so that they
// arrive bunched.
func (u *upstream) excuse(from, to time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.excused = append(u.excused, span{
		from: from,
		to:   to.Add(limitExcused),
	})
}

// excusedIn reports whether an excused interval overlaps with the given one.
func (u *upstream) excusedIn(from, to time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.ContainsFunc(u.excused, func(x span) bool {
		return from.Before(x.to) && x.from.Before(to)
	})
}

// upstreamOf returns the upstream behind a link between it and gateways, or nil.
func (w *world) upstreamOf(l *standin.Relay) *upstream {
	for _, u := range w.upstreams {
		if u.link == l {
			return u
		}
	}
	return nil
}

// excusing wraps the begin function of a fault at an upstream's link, so that the
// upstream's arrivals are excused while the fault lasts.
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
