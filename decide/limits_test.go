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
	limitLearn  = time.Second            // from the first answer with a limit until all must keep it
	limitGrace  = 500 * time.Millisecond // until a gateway that had such an answer must keep it
	answerTime  = 30 * time.Millisecond
)

// limitSim simulates gateways in front of an upstream that announces a limit, with callers
// that send requests at a rate, answers, delayed and lost gossip messages, and gateways
// that are partitioned, frozen and restarted.
type limitSim struct {
	now      time.Time
	rate     float64 // limit in the upstream's answers; negative: none
	gateways []*limitGateway
	words    []limitWord
	answers  []limitAnswer
	sent     []int // by step, of all gateways
	told     []int // of these, from gateways that had an answer with the limit limitGrace before
	firstAt  int   // step of the first answer with the limit; negative: none yet
	all      int
	refused  int
	ownSide  bool // keepers count the gateways of their own side only
	started  int
}

type limitGateway struct {
	limits *decide.Limits
	toldAt time.Time // time of the first answer with the limit to this process; zero: none
	owed   float64
	frozen int // steps
	side   int // side of a partition: messages and keepers' counts do not cross it
}

type limitWord struct {
	to   *limitGateway
	at   time.Time
	word decide.LimitGossip
}

type limitAnswer struct {
	to   *limitGateway
	sent time.Time
	at   time.Time
	rate float64
}

func newLimitSim(n int) *limitSim {
	s := &limitSim{
		now:     start,
		rate:    -1,
		firstAt: -1,
	}
	for range n {
		g := &limitGateway{}
		s.begin(g)
		s.gateways = append(s.gateways, g)
	}
	return s
}

// begin starts a gateway's process.
func (s *limitSim) begin(g *limitGateway) {
	s.started++
	g.toldAt = time.Time{}
	g.limits = decide.NewLimits(s.now, wardturn.Incarnation(fmt.Sprint("p", s.started)))
}

// counted returns the number of gateways that keepers report to a gateway; zero if it is
// cut off from them.
func (s *limitSim) counted(g *limitGateway) int {
	switch {
	case !s.ownSide && g.side == 0:
		return len(s.gateways)
	case !s.ownSide:
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
	sent, told := 0, 0
	for _, g := range s.gateways {
		if g.frozen > 0 {
			g.frozen--
			continue
		}
		for g.owed += demand * capStep.Seconds(); g.owed >= 1; g.owed-- {
			if !g.limits.Allows(s.now, limitID) {
				s.refused++
				continue
			}
			g.limits.Sent(s.now, limitID)
			s.all++
			sent++
			if !g.toldAt.IsZero() && s.now.Sub(g.toldAt) >= limitGrace {
				told++
			}
			s.answers = append(s.answers, limitAnswer{
				to:   g,
				sent: s.now,
				at:   s.now.Add(answerTime),
				rate: s.rate,
			})
		}
		s.tell(g, s.now.Sub(start)%capLook == 0, delay, lost)
	}
	s.sent = append(s.sent, sent)
	s.told = append(s.told, told)
}

func (s *limitSim) tell(g *limitGateway, look bool, delay func() time.Duration, lost func() bool) {
	if !look {
		return
	}
	g.limits.SetGateways(s.now, s.counted(g))
	w, _, due := g.limits.Word(s.now)
	if !due {
		return
	}
	for _, to := range s.gateways {
		if to == g || to.side != g.side || lost() {
			continue
		}
		s.words = append(s.words, limitWord{
			to:   to,
			at:   s.now.Add(delay()),
			word: w,
		})
	}
}

func (s *limitSim) deliver() {
	words := s.words[:0]
	for _, w := range s.words {
		if w.at.After(s.now) || w.to.frozen > 0 {
			words = append(words, w)
			continue
		}
		w.to.limits.Heard(s.now, w.word)
	}
	s.words = words
	answers := s.answers[:0]
	for _, a := range s.answers {
		switch {
		case a.at.After(s.now) || a.to.frozen > 0:
			answers = append(answers, a)
		case a.rate >= 0:
			if a.to.toldAt.IsZero() {
				a.to.toldAt = s.now
			}
			if s.firstAt < 0 {
				s.firstAt = len(s.sent)
			}
			a.to.limits.Observe(s.now, limitID, wardturn.RequestRate(a.rate))
		default:
			a.to.limits.ObserveNone(s.now, limitID, a.sent)
		}
	}
	s.answers = answers
}

func (s *limitSim) run(demand float64, span time.Duration) {
	for range int(span / capStep) {
		s.step(demand, quick, never)
	}
}

// name sets the limit that the upstream announces from now on; negative: none.
func (s *limitSim) name(rate float64) {
	s.rate = rate
	s.firstAt = -1
}

// apart partitions the first n gateways from the others.
func (s *limitSim) apart(n int) {
	for i, g := range s.gateways {
		g.side = 0
		if i < n {
			g.side = 1
		}
	}
}

// mostSent returns the highest number of requests that the upstream got in a window from
// all gateways, after they had time to learn of the limit.
func (s *limitSim) mostSent() int {
	if s.firstAt < 0 {
		return 0
	}
	from := s.firstAt + steps(limitLearn)
	return most(s.sent[min(from, len(s.sent)):], steps(limitWindow))
}

// limitAllowed returns the highest number of requests that an upstream may get in any
// window.
func limitAllowed(rate float64) int {
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
				s.name(rate)
				s.run(400/float64(n), 8*time.Second)
				s.run(0, 12*time.Second) // without demand, so that the buckets fill up
				s.run(4000/float64(n), 8*time.Second)
				if got := s.mostSent(); got > limitAllowed(rate) {
					t.Errorf("%d gateways, limit %g/s announced at %v: %d requests in 4 s, want at most %d", n, rate, at, got, limitAllowed(rate))
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
						s.apart(side)
						s.run(demand, time.Second)
					}
					s.name(rate)
					s.run(demand, 4*time.Second)
					s.apart(side)
					s.run(demand, 5*time.Second)
					s.ownSide = true
					s.run(demand, 30*time.Second)
					s.ownSide = false
					s.apart(0)
					s.run(demand, 10*time.Second)
					if got := s.mostSent(); got > limitAllowed(rate) {
						t.Errorf("%d and %d gateways, limit %g/s, partitioned before the announcement %v: %d requests in 4 s, want at most %d", side, n-side, rate, before, got, limitAllowed(rate))
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
		s.name(rate)
		for range rapid.IntRange(1, 4).Draw(t, "phases") {
			g := s.gateways[rapid.IntRange(0, n-1).Draw(t, "of")]
			switch rapid.IntRange(0, 3).Draw(t, "trouble") {
			case 0:
				s.begin(g)
			case 1:
				g.frozen = rapid.IntRange(1, 400).Draw(t, "steps")
			case 2:
				s.apart(rapid.IntRange(0, n).Draw(t, "apart"))
			}
			demand := rapid.Float64Range(0, 200).Draw(t, "demand")
			for range rapid.IntRange(1, 300).Draw(t, "length") {
				s.step(demand, delay, lost)
			}
		}
		got := most(s.told, steps(limitWindow))
		if got > limitAllowed(rate) {
			t.Fatalf("%d requests in 4 s from gateways that knew the limit, want at most %d", got, limitAllowed(rate))
		}
	})
}

// The limit of an upstream is used while there is enough demand.
func TestLimitsUsed(t *testing.T) {
	const least = 0.6 // fraction of the limit
	for _, n := range []int{1, 4, 26, 68} {
		for _, rate := range []float64{1, 3.9, 12, 40} {
			s := newLimitSim(n)
			s.name(rate)
			s.run(400/float64(n), 5*time.Second)
			before := s.all
			s.run(400/float64(n), 20*time.Second)
			if got := float64(s.all-before) / 20; got < least*rate || got > 1.05*rate {
				t.Errorf("%d gateways, limit %g/s: %.2f requests a second sent", n, rate, got)
			}
		}
	}
}

// A limit ends when answers no longer carry one, also for gateways that get no answers, and
// is kept when it is announced again.
func TestLimitsEnd(t *testing.T) {
	for _, n := range []int{1, 4, 26, 68} {
		for _, rate := range []float64{1, 3.9, 12} {
			s := newLimitSim(n)
			demand := 200 / float64(n)
			s.run(demand, time.Second)
			s.name(rate)
			s.run(demand, 6*time.Second)
			s.name(-1)
			s.run(demand, 12*time.Second)
			refused := s.refused
			s.run(demand, 5*time.Second)
			if got := s.refused - refused; got > 0 {
				t.Errorf("%d gateways, limit %g/s: %d requests refused later than 12 s after the end", n, rate, got)
			}
			s.name(rate)
			s.run(demand, 10*time.Second)
			if got := s.mostSent(); got > limitAllowed(rate) {
				t.Errorf("%d gateways, limit %g/s announced again: %d requests in 4 s, want at most %d", n, rate, got, limitAllowed(rate))
			}
		}
	}
}

// A single answer without a limit among answers with one does not end the limit, nor does
// an answer to a request sent before the latest answer with the limit.
func TestLimitsSingleAnswers(t *testing.T) {
	l := decide.NewLimits(start, "p")
	l.SetGateways(start, 1)
	now := start
	for i := range 60 {
		now = now.Add(500 * time.Millisecond)
		l.Observe(now, limitID, 5)
		if l.ObserveNone(now.Add(time.Millisecond), limitID, now.Add(-time.Second)) {
			t.Fatal("limit ended by an answer to a request sent before the latest answer with the limit")
		}
		if i%2 == 0 && l.ObserveNone(now.Add(400*time.Millisecond), limitID, now.Add(time.Millisecond)) {
			t.Fatal("limit ended by a single answer")
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
	l.ObserveUnclear(start, limitID)
	if l.Limited(limitID) {
		t.Error("limit set by an answer whose limit cannot be parsed")
	}
	l.Observe(start, limitID, 5)
	for i := range 50 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		l.ObserveNone(now, limitID, now)
		l.ObserveUnclear(now, limitID)
	}
	if !l.Limited(limitID) {
		t.Error("limit ended while answers carry one")
	}
}

// The limit of a worker that restarts under the same name stays in force; a worker with
// another name has none.
func TestLimitsReborn(t *testing.T) {
	l := decide.NewLimits(start, "p")
	l.SetGateways(start, 1)
	l.Observe(start, wardturn.Lifetime("u", 1000), 5)
	if !l.Limited(wardturn.Lifetime("u", 2000)) {
		t.Error("limit is not in force after a restart")
	}
	if l.Limited("v") {
		t.Error("limit applies to another upstream")
	}
}
