package decide_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wardturn"
	"wardturn/decide"
)

const (
	limitID     = wardturn.UpstreamID("u")
	limitWindow = 4 * time.Second
	// limitLearnTime is the time from the first response with a limit until all gateways
	// must keep it.
	limitLearnTime = time.Second
	// limitGraceTime is the time after which a gateway that got such a response must keep
	// it.
	limitGraceTime = 500 * time.Millisecond
	responseTime   = 30 * time.Millisecond
)

// limitSim simulates gateways in front of an upstream that announces a limit, with callers
// that send requests at a rate, responses, delayed and lost gossip messages, and gateways
// that are partitioned, frozen and restarted.
type limitSim struct {
	now           time.Time
	rate          float64 // limit in the upstream's responses; negative: none
	gateways      []*limitGateway
	messages      []limitMessage
	responses     []limitResponse
	sent          []int // by step, of all gateways
	sentInformed  []int // of these, from gateways that knew the limit for limitGraceTime
	firstResponse int   // step of the first response with the limit; negative: none yet
	sentTotal     int
	refused       int
	countOwnSide  bool // keepers count the gateways of their own side only
	started       int
}

type limitGateway struct {
	limits     *decide.Limits
	informedAt time.Time // time of the first response with the limit to this process; zero: none
	pending    float64
	frozen     int // steps
	side       int // side of a partition: messages and keepers' counts do not cross it
}

type limitMessage struct {
	to      *limitGateway
	at      time.Time
	message decide.LimitGossip
}

type limitResponse struct {
	to   *limitGateway
	sent time.Time
	at   time.Time
	rate float64
}

func newLimitSim(n int) *limitSim {
	s := &limitSim{
		now:           start,
		rate:          -1,
		firstResponse: -1,
	}
	for range n {
		g := &limitGateway{}
		s.startProcess(g)
		s.gateways = append(s.gateways, g)
	}
	return s
}

// startProcess starts a gateway's process.
func (s *limitSim) startProcess(g *limitGateway) {
	s.started++
	g.informedAt = time.Time{}
	g.limits = decide.NewLimits(s.now, wardturn.Incarnation(fmt.Sprint("p", s.started)))
}

// counted returns the number of gateways that keepers report to a gateway; zero if it is
// partitioned from them.
func (s *limitSim) counted(g *limitGateway) int {
	switch {
	case !s.countOwnSide && g.side == 0:
		return len(s.gateways)
	case !s.countOwnSide:
		return 0
	}
	n := 0
	for _, o := range s.gateways {
		if o.side == g.side {
			n++
		}
	}
	return n
}

// step advances time by one step, in which each gateway gets requests for the upstream at
// the rate demand.
func (s *limitSim) step(demand float64, delay func() time.Duration, lost func() bool) {
	s.now = s.now.Add(capStep)
	s.deliver()
	sent, informed := 0, 0
	for _, g := range s.gateways {
		if g.frozen > 0 {
			g.frozen--
			continue
		}
		for g.pending += demand * capStep.Seconds(); g.pending >= 1; g.pending-- {
			if !g.limits.Allows(s.now, limitID) {
				s.refused++
				continue
			}
			g.limits.Sent(s.now, limitID)
			s.sentTotal++
			sent++
			if !g.informedAt.IsZero() && s.now.Sub(g.informedAt) >= limitGraceTime {
				informed++
			}
			s.responses = append(s.responses, limitResponse{
				to:   g,
				sent: s.now,
				at:   s.now.Add(responseTime),
				rate: s.rate,
			})
		}
		s.gossip(g, s.now.Sub(start)%checkInterval == 0, delay, lost)
	}
	s.sent = append(s.sent, sent)
	s.sentInformed = append(s.sentInformed, informed)
}

func (s *limitSim) gossip(g *limitGateway, check bool, delay func() time.Duration, lost func() bool) {
	if !check {
		return
	}
	g.limits.SetGateways(s.now, s.counted(g))
	msg, _, due := g.limits.Gossip(s.now)
	if !due {
		return
	}
	for _, to := range s.gateways {
		if to == g || to.side != g.side || lost() {
			continue
		}
		s.messages = append(s.messages, limitMessage{
			to:      to,
			at:      s.now.Add(delay()),
			message: msg,
		})
	}
}

func (s *limitSim) deliver() {
	messages := s.messages[:0]
	for _, m := range s.messages {
		if m.at.After(s.now) || m.to.frozen > 0 {
			messages = append(messages, m)
			continue
		}
		m.to.limits.Receive(s.now, m.message)
	}
	s.messages = messages
	responses := s.responses[:0]
	for _, r := range s.responses {
		switch {
		case r.at.After(s.now) || r.to.frozen > 0:
			responses = append(responses, r)
		case r.rate >= 0:
			if r.to.informedAt.IsZero() {
				r.to.informedAt = s.now
			}
			if s.firstResponse < 0 {
				s.firstResponse = len(s.sent)
			}
			r.to.limits.Observe(s.now, limitID, wardturn.RequestRate(r.rate))
		default:
			r.to.limits.ObserveNone(s.now, limitID, r.sent)
		}
	}
	s.responses = responses
}

func (s *limitSim) run(demand float64, span time.Duration) {
	for range int(span / capStep) {
		s.step(demand, usualDelay, noLoss)
	}
}

// announce sets the limit that the upstream announces from now on; negative: none.
func (s *limitSim) announce(rate float64) {
	s.rate = rate
	s.firstResponse = -1
}

// partition partitions the first n gateways from the others.
func (s *limitSim) partition(n int) {
	for i, g := range s.gateways {
		g.side = 0
		if i < n {
			g.side = 1
		}
	}
}

// maxSent returns the highest number of requests that the upstream got in a window from
// all gateways, after they had time to learn of the limit.
func (s *limitSim) maxSent() int {
	if s.firstResponse < 0 {
		return 0
	}
	from := s.firstResponse + steps(limitLearnTime)
	return maxSum(s.sent[min(from, len(s.sent)):], steps(limitWindow))
}

// maxAllowed returns the highest number of requests that an upstream may get in any
// window.
func maxAllowed(rate float64) int {
	return int(1.5*rate*limitWindow.Seconds()) + 5
}

// All gateways together keep within an upstream's limit, whatever their number, the time at
// which the limit is announced and the demand.
func TestLimitsKeptTogether(t *testing.T) {
	for _, n := range []int{1, 2, 4, 9, 26, 68, 107} {
		for _, rate := range []float64{0, 0.3, 1, 3.9, 5.4, 12, 40, 300} {
			for at := 3 * time.Second; at < 3400*time.Millisecond; at += 130 * time.Millisecond {
				s := newLimitSim(n)
				s.run(400/float64(n), at)
				s.announce(rate)
				s.run(400/float64(n), 8*time.Second)
				s.run(0, 12*time.Second) // without demand, so that the buckets fill up
				s.run(4000/float64(n), 8*time.Second)
				if got := s.maxSent(); got > maxAllowed(rate) {
					t.Errorf("%d gateways, limit %g/s announced at %v: %d requests in 4 s, want at most %d", n, rate, at, got, maxAllowed(rate))
				}
			}
		}
	}
}

// Gateways on different sides of a partition keep within a limit, whether the partition
// begins before or after the limit is announced, also when keepers count only the gateways
// of their own side.
func TestLimitsApart(t *testing.T) {
	for _, n := range []int{2, 4, 9, 26, 68} {
		for _, side := range []int{1, n / 3, n / 2} {
			for _, rate := range []float64{0.3, 3.9, 5.4, 12} {
				for _, before := range []bool{true, false} {
					s := newLimitSim(n)
					demand := 400 / float64(n)
					s.run(demand, 2*time.Second)
					if before {
						s.partition(side)
						s.run(demand, time.Second)
					}
					s.announce(rate)
					s.run(demand, 4*time.Second)
					s.partition(side)
					s.run(demand, 5*time.Second)
					s.countOwnSide = true
					s.run(demand, 30*time.Second)
					s.countOwnSide = false
					s.partition(0)
					s.run(demand, 10*time.Second)
					if got := s.maxSent(); got > maxAllowed(rate) {
						t.Errorf("%d and %d gateways, limit %g/s, partitioned before the announcement %v: %d requests in 4 s, want at most %d", side, n-side, rate, before, got, maxAllowed(rate))
					}
				}
			}
		}
	}
}

// A limit is kept under random loss and delay of messages, restarts, freezes and
// partitions.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "gateways")
		rate := rapid.Float64Range(0, 30).Draw(t, "rate")
		s := newLimitSim(n)
		share := rapid.Float64Range(0, 0.3).Draw(t, "lost")
		delays := rapid.IntRange(0, 300)
		draw := rapid.Float64Range(0, 1)
		delay := func() time.Duration {
			return time.Duration(delays.Draw(t, "delay ms")) * time.Millisecond
		}
		lost := func() bool {
			return draw.Draw(t, "loss") < share
		}
		s.run(100, time.Duration(rapid.IntRange(0, 100).Draw(t, "before"))*capStep)
		s.announce(rate)
		for range rapid.IntRange(1, 4).Draw(t, "phases") {
			g := s.gateways[rapid.IntRange(0, n-1).Draw(t, "of")]
			switch rapid.IntRange(0, 3).Draw(t, "trouble") {
			case 0:
				s.startProcess(g)
			case 1:
				g.frozen = rapid.IntRange(1, 400).Draw(t, "steps")
			case 2:
				s.partition(rapid.IntRange(0, n).Draw(t, "apart"))
			}
			demand := rapid.Float64Range(0, 200).Draw(t, "demand")
			for range rapid.IntRange(1, 300).Draw(t, "length") {
				s.step(demand, delay, lost)
			}
		}
		got := maxSum(s.sentInformed, steps(limitWindow))
		if got > maxAllowed(rate) {
			t.Fatalf("%d requests in 4 s from gateways that knew the limit, want at most %d", got, maxAllowed(rate))
		}
	})
}

// The limit of an upstream is used while there is enough demand.
func TestLimitsUsed(t *testing.T) {
	const least = 0.6 // fraction of the limit
	for _, n := range []int{1, 4, 26, 68} {
		for _, rate := range []float64{1, 3.9, 12, 40} {
			s := newLimitSim(n)
			s.announce(rate)
			s.run(400/float64(n), 5*time.Second)
			before := s.sentTotal
			s.run(400/float64(n), 20*time.Second)
			if got := float64(s.sentTotal-before) / 20; got < least*rate || got > 1.05*rate {
				t.Errorf("%d gateways, limit %g/s: %.2f requests a second sent", n, rate, got)
			}
		}
	}
}

// A limit ends when responses no longer carry one, also for gateways that get no responses,
// and is kept when it is announced again.
func TestLimitsEnd(t *testing.T) {
	for _, n := range []int{1, 4, 26, 68} {
		for _, rate := range []float64{1, 3.9, 12} {
			s := newLimitSim(n)
			demand := 200 / float64(n)
			s.run(demand, time.Second)
			s.announce(rate)
			s.run(demand, 6*time.Second)
			s.announce(-1)
			s.run(demand, 12*time.Second)
			refused := s.refused
			s.run(demand, 5*time.Second)
			if got := s.refused - refused; got > 0 {
				t.Errorf("%d gateways, limit %g/s: %d requests refused later than 12 s after the end", n, rate, got)
			}
			s.announce(rate)
			s.run(demand, 10*time.Second)
			if got := s.maxSent(); got > maxAllowed(rate) {
				t.Errorf("%d gateways, limit %g/s announced again: %d requests in 4 s, want at most %d", n, rate, got, maxAllowed(rate))
			}
		}
	}
}

// A single response without a limit among responses with one does not end the limit, nor
// does a response to a request sent before the latest response with the limit.
func TestLimitsSingleAnswers(t *testing.T) {
	l := decide.NewLimits(start, "p")
	l.SetGateways(start, 1)
	now := start
	for i := range 60 {
		now = now.Add(500 * time.Millisecond)
		l.Observe(now, limitID, 5)
		if l.ObserveNone(now.Add(time.Millisecond), limitID, now.Add(-time.Second)) {
			t.Fatal("limit ended by a response to a request sent before the latest response with the limit")
		}
		if i%2 == 0 && l.ObserveNone(now.Add(400*time.Millisecond), limitID, now.Add(time.Millisecond)) {
			t.Fatal("limit ended by a single response")
		}
	}
	if !l.Limited(limitID) {
		t.Error("limit is no longer in force")
	}
}

// A limit that cannot be parsed neither ends a known limit nor sets one.
func TestLimitsUnclear(t *testing.T) {
	l := decide.NewLimits(start, "p")
	l.SetGateways(start, 1)
	l.ObserveUnparsed(start, limitID)
	if l.Limited(limitID) {
		t.Error("limit set by a response whose limit cannot be parsed")
	}
	l.Observe(start, limitID, 5)
	for i := range 50 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		l.ObserveNone(now, limitID, now)
		l.ObserveUnparsed(now, limitID)
	}
	if !l.Limited(limitID) {
		t.Error("limit ended while responses carry one")
	}
}

// The limit of an upstream that restarts under the same name stays in force; an upstream
// with another name has none.
func TestLimitsRestartedWorker(t *testing.T) {
	l := decide.NewLimits(start, "p")
	l.SetGateways(start, 1)
	l.Observe(start, wardturn.NewUpstreamID("u", 1000), 5)
	if !l.Limited(wardturn.NewUpstreamID("u", 2000)) {
		t.Error("limit is not in force after a restart")
	}
	if l.Limited("v") {
		t.Error("limit applies to another upstream")
	}
}
