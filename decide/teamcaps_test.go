package decide_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wardturn"
	"wardturn/decide"
)

const (
	capTeam       = wardturn.TeamID("t")
	capRate       = 100_000.0 // tokens a second
	capStep       = 10 * time.Millisecond
	checkInterval = 200 * time.Millisecond // between checks whether a report is due
	capWindow     = 8 * time.Second        // window over which usage is summed
	capUnits      = 700                    // tokens of a request
)

// capSim simulates gateways that share a cap, with callers at a rate, reports that are
// delayed, lost and reordered, and gateways that are killed, frozen and isolated.
type capSim struct {
	now            time.Time
	gateways       []*capGateway
	reports        []capReport
	taken          []int64 // units by step, of all gateways
	demanded       []int64
	refused        int64
	started        int
	equalShares    bool
	noEarlyReports bool // all reports wait for the next regular check
	countOwnSide   bool // keepers count the gateways of their own side only
}

type capGateway struct {
	caps            *decide.TeamCaps
	pending         float64 // accumulated demand, in units, not yet sent as requests
	frozen          int     // steps
	isolated        int     // steps
	sendsNothing    int     // steps in which its reports reach nobody
	receivesNothing int     // steps in which it receives no reports
	weight          float64 // relative share of the callers
	side            int     // side of a partition: reports and keepers' counts do not cross it
}

type capReport struct {
	to     *capGateway
	at     time.Time
	report decide.TeamUsageReport
}

func newCapSim(n int, shares bool) *capSim {
	s := &capSim{
		now:         start,
		equalShares: shares,
	}
	for range n {
		g := &capGateway{
			weight: 1,
		}
		s.startProcess(g)
		s.gateways = append(s.gateways, g)
	}
	return s
}

// startProcess starts a gateway's process.
func (s *capSim) startProcess(g *capGateway) {
	s.started++
	g.caps = decide.NewTeamCaps(s.now, wardturn.Incarnation(fmt.Sprint("p", s.started)), decide.TeamCapConfig{
		EqualShares: s.equalShares,
	})
	g.caps.SetTeams(s.now, []wardturn.Team{{
		ID: capTeam,
		Cap: wardturn.UsageCap{
			Unit:  wardturn.CapTokens,
			Rate:  capRate,
			Burst: capRate,
		},
	}})
}

// step advances time by one step, in which callers ask for units at a rate. The delay and
// loss of each report are drawn by the functions.
func (s *capSim) step(rate float64, delay func() time.Duration, lost func() bool) {
	s.now = s.now.Add(capStep)
	s.deliver()
	weights := 0.0
	for _, g := range s.gateways {
		weights += g.weight
	}
	taken, demanded := int64(0), int64(0)
	for _, g := range s.gateways {
		if g.frozen > 0 {
			g.frozen--
			continue
		}
		g.isolated = max(0, g.isolated-1)
		g.sendsNothing = max(0, g.sendsNothing-1)
		g.receivesNothing = max(0, g.receivesNothing-1)
		for g.pending += rate * capStep.Seconds() * g.weight / weights; g.pending >= capUnits; g.pending -= capUnits {
			demanded += capUnits
			if _, ok := g.caps.Charge(s.now, capTeam, capUnits); ok {
				taken += capUnits
			} else {
				s.refused += capUnits
			}
		}
		if s.now.Sub(start)%checkInterval == 0 || !s.noEarlyReports && g.caps.NeedsEarlyReport(s.now, capTeam) {
			s.sendReport(g, delay, lost)
		}
	}
	s.taken = append(s.taken, taken)
	s.demanded = append(s.demanded, demanded)
}

func (s *capSim) sendReport(g *capGateway, delay func() time.Duration, lost func() bool) {
	counted := len(s.gateways)
	switch {
	case g.isolated > 0:
		counted = 0
	case s.countOwnSide:
		counted = s.countSide(g.side)
	case g.side != s.gateways[0].side:
		counted = 0
	}
	g.caps.SetGateways(s.now, counted)
	report, due := g.caps.Report(s.now)
	if !due {
		return
	}
	for _, to := range s.gateways {
		if to == g || g.isolated > 0 || to.isolated > 0 || g.sendsNothing > 0 || to.receivesNothing > 0 || g.side != to.side || lost() {
			continue
		}
		s.reports = append(s.reports, capReport{
			to:     to,
			at:     s.now.Add(delay()),
			report: report,
		})
	}
}

func (s *capSim) countSide(side int) int {
	n := 0
	for _, g := range s.gateways {
		if g.side == side {
			n++
		}
	}
	return n
}

// run advances time by a span without loss of reports.
func (s *capSim) run(rate float64, span time.Duration) {
	for range int(span / capStep) {
		s.step(rate, usualDelay, noLoss)
	}
}

func (s *capSim) deliver() {
	kept := s.reports[:0]
	for _, r := range s.reports {
		if r.at.After(s.now) || r.to.frozen > 0 {
			kept = append(kept, r)
			continue
		}
		r.to.caps.Receive(s.now, r.report)
	}
	s.reports = kept
}

// steps returns the number of steps in a span.
func steps(span time.Duration) int {
	return int(span / capStep)
}

// maxSum returns the highest sum over the given number of consecutive steps.
func maxSum[T int | int64](values []T, steps int) T {
	var sum, highest T
	for i, n := range values {
		sum += n
		if i >= steps {
			sum -= values[i-steps]
		}
		highest = max(highest, sum)
	}
	return highest
}

// excess returns the excess over the cap in the worst capWindow, in seconds of the
// cap's rate.
func (s *capSim) excess() float64 {
	return float64(maxSum(s.taken, steps(capWindow)))/capRate - capWindow.Seconds() - 1
}

func usualDelay() time.Duration { return 60 * time.Millisecond }

func noLoss() bool { return false }

// Under random order, loss and delay of reports, and with gateways that are killed, frozen
// and isolated, the excess over the cap is at most the demand during the time until a
// missing gateway is noticed.
func TestTeamCapsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "gateways")
		s := newCapSim(n, false)
		share := rapid.Float64Range(0, 0.3).Draw(t, "lost")
		delays := rapid.IntRange(0, 300)
		draw := rapid.Float64Range(0, 1)
		delay := func() time.Duration {
			return time.Duration(delays.Draw(t, "delay ms")) * time.Millisecond
		}
		lost := func() bool {
			return draw.Draw(t, "loss") < share
		}
		for range rapid.IntRange(1, 4).Draw(t, "phases") {
			rate := capRate * rapid.Float64Range(0, 4.2).Draw(t, "demand")
			for range rapid.IntRange(0, 2).Draw(t, "troubles") {
				g := s.gateways[rapid.IntRange(0, n-1).Draw(t, "of")]
				steps := rapid.IntRange(1, 400).Draw(t, "steps")
				switch rapid.IntRange(0, 3).Draw(t, "trouble") {
				case 0:
					s.startProcess(g) // killed
				case 1:
					g.frozen = steps
				case 2:
					g.isolated = steps
				case 3:
					g.weight = rapid.Float64Range(0.1, 8).Draw(t, "weight")
				}
			}
			for range rapid.IntRange(1, 400).Draw(t, "length") {
				s.step(rate, delay, lost)
			}
		}
		unnoticed := 1900 * time.Millisecond // reportTimeout plus the delay of a report
		bound := float64(maxSum(s.demanded, steps(unnoticed)))/capRate + 0.25 + float64(n*capUnits)/capRate
		if excess := s.excess(); excess > bound {
			t.Fatalf("excess of %.2f s of the rate, want at most %.2f", excess, bound)
		}
	})
}

var _ = Describe("TeamCaps", func() {
	run := (*capSim).run

	It("keeps the excess within a tenth plus the usage in transit if a team suddenly sends 4.2 times its cap to 26 gateways", func() {
		s := newCapSim(26, false)
		run(s, 0.55*capRate, 6*time.Second)
		Expect(s.refused).To(BeZero())
		run(s, 4.2*capRate, 10*time.Second)
		Expect(s.excess()).To(BeNumerically("<", 0.3))
		used := float64(maxSum(s.taken[len(s.taken)-500:], steps(5*time.Second))) / capRate
		Expect(used).To(BeNumerically(">", 4.5), "the cap is used")
	})

	// Without early reports the gateways do not learn of a sudden increase until the next
	// regular checks, and a cap with little slack is exceeded.
	It("keeps the excess small if a team jumps to 7.5 times its cap at any moment between two regular checks", func() {
		worst := make(map[bool]float64)
		reports := make(map[bool]uint64)
		for _, noEarlyReports := range []bool{false, true} {
			for at := time.Duration(0); at < checkInterval; at += 20 * time.Millisecond {
				s := newCapSim(29, false)
				s.noEarlyReports = noEarlyReports
				run(s, 0.55*capRate, 6*time.Second+at)
				before := s.gateways[0].caps.ReportCount()
				run(s, 7.5*capRate, 10*time.Second)
				worst[noEarlyReports] = max(worst[noEarlyReports], s.excess())
				reports[noEarlyReports] = s.gateways[0].caps.ReportCount() - before
			}
		}
		Expect(worst[false]).To(BeNumerically("<", 0.5), "%v", worst)
		Expect(worst[true]).To(BeNumerically(">", 0.9), "%v", worst)
		Expect(reports[false]).To(BeNumerically("<", reports[true]+15), "%v", reports)
	})

	It("refuses nothing below the cap if a team's callers are spread unevenly, unlike equal shares", func() {
		refused := make(map[bool]int64)
		for _, shares := range []bool{false, true} {
			s := newCapSim(26, shares)
			run(s, 0.3*capRate, 2*time.Second)
			s.refused = 0
			for i, g := range s.gateways {
				g.weight = float64(1 + i%5*3) // 1 to 13
			}
			run(s, 0.7*capRate, 8*time.Second)
			refused[shares] = s.refused
		}
		Expect(refused[false]).To(BeZero())
		Expect(refused[true]).To(BeNumerically(">", capRate/4))
	})

	It("gives an isolated gateway an equal share of the cap", func() {
		s := newCapSim(10, false)
		run(s, 0.5*capRate, 3*time.Second)
		g := s.gateways[0]
		g.isolated = 1 << 30
		run(s, 0, 3*time.Second)
		taken := 0
		for range 200 {
			s.now = s.now.Add(capStep)
			if _, ok := g.caps.Charge(s.now, capTeam, capUnits); ok {
				taken += capUnits
			}
		}
		Expect(taken).To(BeNumerically("~", (2+1)*capRate/10, 3*capUnits))
	})

	It("admits a request larger than the burst and works its debt off", func() {
		s := newCapSim(1, false)
		c := s.gateways[0].caps
		s.now = s.now.Add(2 * time.Second)
		_, ok := c.Charge(s.now, capTeam, 3*capRate)
		Expect(ok).To(BeTrue())
		retryAfter, ok := c.Charge(s.now, capTeam, capUnits)
		Expect(ok).To(BeFalse())
		Expect(retryAfter).To(BeNumerically("~", 2*time.Second, 20*time.Millisecond))
		s.now = s.now.Add(retryAfter)
		_, ok = c.Charge(s.now, capTeam, capUnits)
		Expect(ok).To(BeTrue())
	})

	It("returns different retry delays to callers refused together", func() {
		s := newCapSim(1, false)
		c := s.gateways[0].caps
		s.now = s.now.Add(2 * time.Second)
		c.Charge(s.now, capTeam, capRate)
		one, _ := c.Charge(s.now, capTeam, capRate/10)
		two, _ := c.Charge(s.now, capTeam, capRate/10)
		Expect(two - one).To(BeNumerically("~", 100*time.Millisecond, time.Millisecond))
	})

	It("refunds units of requests that were not run, also at other gateways", func() {
		s := newCapSim(2, false)
		run(s, 0, 2*time.Second)
		a, b := s.gateways[0].caps, s.gateways[1].caps
		a.Charge(s.now, capTeam, capRate)
		run(s, 0, checkInterval+100*time.Millisecond)
		left := b.Remaining(s.now, capTeam)
		Expect(left).To(BeNumerically("<", 0.5))
		a.Refund(capTeam, capRate)
		run(s, 0, checkInterval+100*time.Millisecond)
		Expect(b.Remaining(s.now, capTeam)).To(BeNumerically("~", 1, 0.01))
	})

	It("refunds as much as was taken", func() {
		s := newCapSim(1, false)
		c := s.gateways[0].caps
		s.now = s.now.Add(2 * time.Second)
		c.Charge(s.now, capTeam, capRate/2)
		c.Charge(s.now, capTeam, capRate/4)
		c.Refund(capTeam, capRate/4)
		Expect(c.Remaining(s.now, capTeam)).To(BeNumerically("~", 0.5, 0.01))
	})

	It("applies a lower cap at once", func() {
		s := newCapSim(1, false)
		c := s.gateways[0].caps
		s.now = s.now.Add(5 * time.Second)
		c.SetTeams(s.now, []wardturn.Team{{
			ID: capTeam,
			Cap: wardturn.UsageCap{
				Rate:  capRate / 10,
				Burst: capRate / 10,
			},
		}})
		c.Charge(s.now, capTeam, capRate/10)
		_, ok := c.Charge(s.now, capTeam, 1)
		Expect(ok).To(BeFalse())
	})
})
