package decide_test

import (
	"testing"
	"time"
)

// maxCapExcess is the allowed excess over a cap in the worst 8 s, in seconds of the cap's
// rate: the platform allows a tenth of 8 s and the burst, plus 110,000 tokens, which are
// 0.39 s of the largest team's rate.
const maxCapExcess = 0.1*(8+1) + 0.39

// When gateways are partitioned, each side uses the whole cap and the content of the
// bucket until it notices: a team that sent 4.2 times its cap from that moment on exceeded
// it by 2.4 to 5.6 s of its rate. maxCapExcess cannot be kept if a gateway that has been
// silent for 0.7 s still counts as reachable.
func TestTeamCapsApart(t *testing.T) {
	for _, parts := range []string{"9 of 26", "13 of 26", "one of two", "each of 26"} {
		expectBoundedExcess(t, parts, excessPartitioned)
	}
}

// Restarted gateways counted delayed messages of the previous processes as messages of
// additional gateways: with 26 gateways a team exceeded its cap by 5.2 to 5.9 s of its
// rate.
func TestTeamCapsBeginAnew(t *testing.T) {
	for _, restarted := range []string{"9 of 26", "each of 26"} {
		expectBoundedExcess(t, restarted, excessRestarted)
	}
}

// expectBoundedExcess checks that the excess over the cap stays within maxCapExcess for a
// range of times of the fault and of loads before it.
func expectBoundedExcess(t *testing.T, name string, excess func(name string, before float64, at time.Duration) float64) {
	t.Helper()
	for _, before := range []float64{0.3, 0.55, 0.8, 4.2} {
		worst, worstAt := 0.0, time.Duration(0)
		for at := 3900 * time.Millisecond; at <= 4400*time.Millisecond; at += 50 * time.Millisecond {
			if got := excess(name, before, at); got > worst {
				worst, worstAt = got, at
			}
		}
		t.Logf("%s, load %.2f of the cap before: excess of %.2f s of the rate, at %v", name, before, worst, worstAt)
		if worst > maxCapExcess {
			t.Errorf("%s, load %.2f of the cap before: excess of %.2f s of the rate, want at most %.2f (at %v)", name, before, worst, maxCapExcess, worstAt)
		}
	}
}

// excessPartitioned simulates gateways that are partitioned at a time, with a team that
// sends 4.2 times its cap from then on, and returns the excess over the cap.
func excessPartitioned(parts string, before float64, at time.Duration) float64 {
	n := 26
	if parts == "one of two" {
		n = 2
	}
	s := newCapSim(n, false)
	s.run(before*capRate, at)
	for i, g := range s.gateways {
		switch parts {
		case "9 of 26":
			if i < 9 {
				g.side = 1
			}
		case "13 of 26":
			g.side = i % 2
		default:
			g.side = i
		}
	}
	s.run(4.2*capRate, 12*time.Second)
	return s.excess()
}

// excessRestarted simulates gateways of which some restart at a time, each then
// partitioned from all others, and returns the excess over the cap.
func excessRestarted(restarted string, before float64, at time.Duration) float64 {
	const n = 26
	s := newCapSim(n, false)
	s.run(before*capRate, at)
	for i, g := range s.gateways {
		if restarted == "each of 26" || i < 9 {
			s.startProcess(g)
			g.caps.SetPreviousGateways(s.now, n)
			g.side = 1 + i
		}
	}
	s.run(4.2*capRate, 12*time.Second)
	return s.excess()
}

// Both sides of a partition reduce their use before the other side counts as unreachable:
// with a linear decline they take 0.97 s of the rate together in the last 0.7 s before
// reportTimeout, and 1.4 s if each side went on using the whole cap.
func TestTeamCapsFreshness(t *testing.T) {
	const most = 1.1 // s of the rate, including a message in transit
	s := newCapSim(2, false)
	s.run(4.2*capRate, 4*time.Second)
	for i, g := range s.gateways {
		g.side = i
	}
	s.run(4.2*capRate, 900*time.Millisecond)
	before := len(s.taken)
	s.run(4.2*capRate, 700*time.Millisecond)
	taken := int64(0)
	for _, n := range s.taken[before:] {
		taken += n
	}
	if got := float64(taken) / capRate; got > most {
		t.Errorf("%.2f s of the rate taken in 0.7 s, want at most %.2f", got, most)
	}
}

// A team below its cap gets almost no refusals while messages are lost or a keeper that
// relays them is gone.
func TestTeamCapsLostWords(t *testing.T) {
	const almostNone = 0.1 // s of the rate
	for _, part := range []float64{0.5, 0.7, 0.85} {
		s := newCapSim(26, false)
		s.run(part*capRate, 4*time.Second)
		s.refused = 0
		n := 0
		lost := func() bool { // 3%
			n++
			return n*7919%100 < 3
		}
		for range int(20 * time.Second / capStep) {
			s.step(part*capRate, usualDelay, lost)
		}
		if got := float64(s.refused) / capRate; got > almostNone {
			t.Errorf("3%% of the reports lost, load %.2f of the cap: %.2f s of the rate refused", part, got)
		}
		// All keepers of a failure domain fail at once: 9 gateways receive nothing for a
		// second.
		s.refused = 0
		for _, g := range s.gateways[:9] {
			g.isolated = int(time.Second / capStep)
		}
		s.run(part*capRate, 10*time.Second)
		if got := float64(s.refused) / capRate; got > almostNone {
			t.Errorf("no reports for a second, load %.2f of the cap: %.2f s of the rate refused", part, got)
		}
	}
}

// During a partition, keepers lose the gateways of the other side and after 5 s count only
// those of their own: each side then used the whole cap until the partition healed.
func TestTeamCapsKeepersApart(t *testing.T) {
	s := newCapSim(26, false)
	s.run(4.2*capRate, 4*time.Second)
	for i, g := range s.gateways {
		if i < 9 {
			g.side = 1
		}
	}
	s.run(4.2*capRate, 5*time.Second)
	s.countOwnSide = true
	s.run(4.2*capRate, 20*time.Second)
	if excess := s.excess(); excess > maxCapExcess {
		t.Errorf("keepers count their own side only: excess of %.2f s of the rate, want at most %.2f", excess, maxCapExcess)
	}
}

// The loss of a gateway for good costs a team that gateway's share of the cap only for a
// while, and costs nothing to a team whose use stays within the shares of the others.
func TestTeamCapsGatewayGone(t *testing.T) {
	s := newCapSim(26, false)
	s.run(0.85*capRate, 4*time.Second)
	s.gateways = s.gateways[1:]
	s.refused = 0
	s.run(0.85*capRate, 20*time.Second)
	if got := float64(s.refused) / capRate; got > 0.1 {
		t.Errorf("after the loss of a gateway: %.2f s of the rate refused at 0.85 of the cap", got)
	}
	s.run(0.99*capRate, 70*time.Second)
	s.refused = 0
	s.run(0.99*capRate, 10*time.Second)
	if got := float64(s.refused) / capRate; got > 0.1 {
		t.Errorf("long after the loss of a gateway: %.2f s of the rate refused at 0.99 of the cap", got)
	}
}
