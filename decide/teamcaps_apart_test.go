package decide_test

import (
	"testing"
	"time"
)

// capAim is how far over its cap, in seconds of its rate, a team may get in the worst 8 s:
// the platform allows a tenth of 8 s and the burst, and 110,000 tokens, which are 0.39 s of
// the largest team's rate.
const capAim = 0.1*(8+1) + 0.39

// Gateways that fall apart take the whole cap in each part until they notice, and what is
// left in the bucket: a team that sends 4.2 times its cap from that moment on got 2.4 to
// 5.6 s of its rate over. It can't be kept within the aim while a gateway that is silent for
// 0.7 s counts as heard.
func TestTeamCapsApart(t *testing.T) {
	for _, apart := range []string{"9 of 26", "13 of 26", "one of two", "each of 26"} {
		expectWithinAim(t, apart, overApart)
	}
}

// Gateways that began anew while words of the ones before were on their way took each for
// another gateway that they hear: 5.2 to 5.9 s of the rate over with 26 of them.
func TestTeamCapsBeginAnew(t *testing.T) {
	for _, anew := range []string{"9 of 26", "each of 26"} {
		expectWithinAim(t, anew, overAnew)
	}
}

// expectWithinAim expects that a team stays within the aim over moments of a case and by
// what it sent before.
func expectWithinAim(t *testing.T, name string, over func(name string, before float64, at time.Duration) float64) {
	t.Helper()
	for _, before := range []float64{0.3, 0.55, 0.8, 4.2} {
		worst, worstAt := 0.0, time.Duration(0)
		for at := 3900 * time.Millisecond; at <= 4400*time.Millisecond; at += 50 * time.Millisecond {
			if got := over(name, before, at); got > worst {
				worst, worstAt = got, at
			}
		}
		t.Logf("%s, at %.2f before: %.2f s of the rate over the cap, at %v", name, before, worst, worstAt)
		if worst > capAim {
			t.Errorf("%s, at %.2f before: %.2f s of the rate over the cap, at most %.2f (at %v)", name, before, worst, capAim, worstAt)
		}
	}
}

// overApart plays gateways that fall apart at a time, with a team that sends 4.2 times its
// cap from then on, and returns by how much it goes over.
func overApart(apart string, before float64, at time.Duration) float64 {
	n := 26
	if apart == "one of two" {
		n = 2
	}
	s := newCapSim(n, false)
	s.run(before*capRate, at)
	for i, g := range s.gateways {
		switch apart {
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
	return s.over()
}

// overAnew plays gateways of which some begin anew at a time and hear nobody else that
// does.
func overAnew(anew string, before float64, at time.Duration) float64 {
	const n = 26
	s := newCapSim(n, false)
	s.run(before*capRate, at)
	for i, g := range s.gateways {
		if anew == "each of 26" || i < 9 {
			s.begin(g)
			g.caps.Recall(s.now, n)
			g.side = 1 + i
		}
	}
	s.run(4.2*capRate, 12*time.Second)
	return s.over()
}

// Parts that fall apart take less and less before they notice: both together 0.97 s of the
// rate in the last 0.7 s before the lapse by a straight fall, and 1.4 s if each went on with
// the whole cap.
func TestTeamCapsFreshness(t *testing.T) {
	const most = 1.1 // s of the rate, with a word that was on its way
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
		t.Errorf("%.2f s of the rate taken in 0.7 s, at most %.2f", got, most)
	}
}

// A team below its cap is refused next to nothing while words get lost or a keeper that
// passes them on is gone.
func TestTeamCapsLostWords(t *testing.T) {
	const nextToNothing = 0.1 // s of the rate
	for _, part := range []float64{0.5, 0.7, 0.85} {
		s := newCapSim(26, false)
		s.run(part*capRate, 4*time.Second)
		s.refused = 0
		n := 0
		lost := func() bool { // three in a hundred
			n++
			return n*7919%100 < 3
		}
		for range int(20 * time.Second / capStep) {
			s.step(part*capRate, quick, lost)
		}
		if got := float64(s.refused) / capRate; got > nextToNothing {
			t.Errorf("three words in a hundred lost, at %.2f: %.2f s of the rate refused", part, got)
		}
		// All keepers of a domain go at once: a second in which 9 gateways hear nobody.
		s.refused = 0
		for _, g := range s.gateways[:9] {
			g.cut = int(time.Second / capStep)
		}
		s.run(part*capRate, 10*time.Second)
		if got := float64(s.refused) / capRate; got > nextToNothing {
			t.Errorf("no words for a second, at %.2f: %.2f s of the rate refused", part, got)
		}
	}
}

// Keepers on each side of a cut lose the gateways of the other side, and count their own
// ones only from 5 s on: each side then took the whole cap for as long as the cut lasted.
func TestTeamCapsKeepersApart(t *testing.T) {
	s := newCapSim(26, false)
	s.run(4.2*capRate, 4*time.Second)
	for i, g := range s.gateways {
		if i < 9 {
			g.side = 1
		}
	}
	s.run(4.2*capRate, 5*time.Second)
	s.ownSide = true
	s.run(4.2*capRate, 20*time.Second)
	if over := s.over(); over > capAim {
		t.Errorf("keepers that count their own side: %.2f s of the rate over the cap, at most %.2f", over, capAim)
	}
}

// A gateway that is gone for good costs a team its part of the cap for a while, not for
// ever, and nothing to a team that stays under what the others have.
func TestTeamCapsGatewayGone(t *testing.T) {
	s := newCapSim(26, false)
	s.run(0.85*capRate, 4*time.Second)
	s.gateways = s.gateways[1:]
	s.refused = 0
	s.run(0.85*capRate, 20*time.Second)
	if got := float64(s.refused) / capRate; got > 0.1 {
		t.Errorf("a gateway is gone: %.2f s of the rate refused at 0.85 of the cap", got)
	}
	s.run(0.99*capRate, 70*time.Second)
	s.refused = 0
	s.run(0.99*capRate, 10*time.Second)
	if got := float64(s.refused) / capRate; got > 0.1 {
		t.Errorf("a gateway was gone for long: %.2f s of the rate refused at 0.99 of the cap", got)
	}
}
