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
	limitWindow        = 4 * time.Second         // in which requests are counted
	limitGrace         = 500 * time.Millisecond  // until a gateway obeys a limit in a response
	excuseMargin       = 1500 * time.Millisecond // how long the effects of a fault outlast it
	minLimitDuration   = 6 * time.Second         // minimum duration of an announced limit
	maxExtraDuration   = 5 * time.Second         // maximum random addition to minLimitDuration
	limitPause         = 2 * time.Second         // between the limits of two upstreams
	unparsableDuration = 300 * time.Millisecond  // for which the announced limit can't be parsed
	maxLimit           = 20.0                    // maximum limit in requests per second
)

// limitPeriod is a time in which an upstream announces a rate limit in its responses. The
// text of the limit is unique, to tell which period a response belongs to.
type limitPeriod struct {
	upstream *upstream
	limit    string
	rate     float64
	from     time.Time
	to       time.Time
}

// interval is a time interval to which checks of arrivals do not apply, since a fault
// may have delayed or reordered requests, or since an upstream has a new id.
type interval struct {
	from time.Time
	to   time.Time
}

// limitChecker checks that gateways obey the rate limits that upstreams announce. It
// records which upstreams announced which limits, which gateway processes forwarded
// them, and to which gateway process each attempt was sent.
type limitChecker struct {
	mu          sync.Mutex
	periods     []limitPeriod
	announcedAt map[string]time.Time // first response with it, by gateway process and limit
	gatewayOf   map[string]string    // gateway process, by attempt
}

func newLimitChecker() *limitChecker {
	return &limitChecker{
		announcedAt: make(map[string]time.Time),
		gatewayOf:   make(map[string]string),
	}
}

func (c *limitChecker) recordSent(id, process string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gatewayOf[id] = process
}

// recordResponse records that a caller received a response that announces a limit.
func (c *limitChecker) recordResponse(process, limit string) {
	if limit == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	key := process + " " + limit
	if c.announcedAt[key].IsZero() {
		c.announcedAt[key] = time.Now()
	}
}

// startLimitPeriods starts a goroutine in which one random upstream after another
// announces a limit, until the soak ends. For a while in between it announces one that
// can't be parsed.
func (s *soak) startLimitPeriods() {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		r := rand.New(rand.NewPCG(s.cfg.Seed, 500))
		for i := 0; ; i++ {
			rate := r.Float64() * maxLimit
			period := limitPeriod{
				upstream: randomElement(r, s.world.upstreams),
				limit:    strconv.FormatFloat(rate, 'f', 2, 64) + fmt.Sprintf("%04d", i),
				rate:     rate,
				from:     time.Now(),
			}
			fmt.Fprintf(s.cfg.Log, "soak: fault=limit target=%s figure=%s\n", period.upstream.addr, period.limit)
			period.upstream.setLimit(period.limit)
			half := (minLimitDuration + time.Duration(r.Int64N(int64(maxExtraDuration)))) / 2
			running := s.sleep(half)
			period.upstream.setLimit("4,5 a second")
			running = running && s.sleep(unparsableDuration)
			period.upstream.setLimit(period.limit)
			running = running && s.sleep(half)
			period.upstream.setLimit("")
			period.to = time.Now()
			s.limits.mu.Lock()
			s.limits.periods = append(s.limits.periods, period)
			s.limits.mu.Unlock()
			if !running || !s.sleep(limitPause) {
				return
			}
		}
	}()
}

// sleep waits for d or the end of the soak, and reports whether the soak goes on.
func (s *soak) sleep(d time.Duration) bool {
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
	c := s.limits
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, period := range c.periods {
		allowed := int(1.5*period.rate*limitWindow.Seconds()) + 5
		got := c.maxRequests(period, period.upstream.worker.Arrivals())
		fmt.Fprintf(s.cfg.Log, "soak: limit target=%s figure=%s most=%d allowed=%d\n", period.upstream.addr, period.limit, got, allowed)
		if got > allowed {
			s.requests.addViolation("upstream %s named %s a second and got %d requests in %v from gateways that it had told, at most %d", period.upstream.addr, period.limit, got, limitWindow, allowed)
		}
	}
}

// maxRequests returns the maximum number of requests within any limitWindow that is not
// excused. Only requests of gateways that had forwarded the limit count. The caller
// holds the lock.
func (c *limitChecker) maxRequests(n limitPeriod, arrivals []standin.Arrival) int {
	var times []time.Time
	for _, a := range arrivals {
		announced := c.announcedAt[c.gatewayOf[a.Attempt]+" "+n.limit]
		if !announced.IsZero() && a.At.Sub(announced) >= limitGrace && a.At.Before(n.to) {
			times = append(times, a.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	highest, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) >= limitWindow {
			first++
		}
		if !n.upstream.excusedIn(times[first], t) {
			highest = max(highest, i-first+1)
		}
	}
	return highest
}

// setLimit sets the limit that the upstream's responses announce; empty means none.
func (u *upstream) setLimit(limit string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit = limit
	u.applyFaults()
}

// addExcused records an event at the upstream or its link that may delay requests so
// that they arrive bunched.
func (u *upstream) addExcused(from, to time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.excused = append(u.excused, interval{
		from: from,
		to:   to.Add(excuseMargin),
	})
}

// excusedIn reports whether an excused interval overlaps with the given one.
func (u *upstream) excusedIn(from, to time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.ContainsFunc(u.excused, func(x interval) bool {
		return from.Before(x.to) && x.from.Before(to)
	})
}

// upstreamOf returns the upstream behind a link between it and gateways, or nil.
func (w *world) upstreamOf(l *standin.FaultProxy) *upstream {
	for _, u := range w.upstreams {
		if u.proxy == l {
			return u
		}
	}
	return nil
}

// excuseDuring wraps the begin function of a fault at an upstream's link, so that the
// upstream's arrivals are excused while the fault lasts.
func excuseDuring(u *upstream, begin func() func()) func() func() {
	if u == nil {
		return begin
	}
	return func() func() {
		from := time.Now()
		undo := begin()
		u.addExcused(from, from)
		return func() {
			if undo != nil {
				undo()
			}
			u.addExcused(from, time.Now())
		}
	}
}
