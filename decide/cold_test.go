package decide_test

import (
	"fmt"
	"testing"
	"time"

	"wardturn"
	"wardturn/decide"
)

const (
	coldRate    = 7.9 // requests a second
	coldOverage = 1.5
	coldSlack   = 5
)

// coldSim simulates gateways that each have more requests for a cold upstream than it may
// get.
type coldSim struct {
	now         time.Time
	gateways    []*decide.Limits
	started     int
	sent        []int      // by step, of all gateways
	partitioned bool       // no messages between gateways
	counted     func() int // number of gateways counted by keepers; nil: all
}

func newColdSim(n int) *coldSim {
	s := &coldSim{
		now: start,
	}
	for range n {
		s.gateways = append(s.gateways, s.startProcess())
	}
	return s
}

// startProcess starts a gateway's process.
func (s *coldSim) startProcess() *decide.Limits {
	s.started++
	l := decide.NewLimits(s.now, wardturn.Incarnation(fmt.Sprint("p", s.started)))
	l.SetColdConfig(decide.ColdConfig{
		Overage: coldOverage,
		Slack:   coldSlack,
	})
	return l
}

// step advances time by one step, in which each gateway sends as much as it may.
func (s *coldSim) step() {
	s.now = s.now.Add(capStep)
	sent := 0
	for _, g := range s.gateways {
		for g.Allows(s.now, limitID) {
			g.Sent(s.now, limitID)
			sent++
			if sent > 10000 {
				break // sending is not bounded
			}
		}
	}
	s.sent = append(s.sent, sent)
	if s.now.Sub(start)%checkInterval != 0 {
		return
	}
	for _, g := range s.gateways {
		counted := len(s.gateways)
		if s.counted != nil {
			counted = min(counted, s.counted())
		}
		g.SetGateways(s.now, counted)
		msg, _, due := g.Gossip(s.now)
		if !due || s.partitioned {
			continue
		}
		for _, o := range s.gateways {
			o.Receive(s.now, msg)
		}
	}
}

func (s *coldSim) run(d time.Duration) {
	for range int(d / capStep) {
		s.step()
	}
}

// cold tells all gateways that the upstream is cold for a duration.
func (s *coldSim) cold(d time.Duration) {
	for _, g := range s.gateways {
		g.SetCold(s.now, limitID, coldRate, s.now.Add(d))
	}
}

// maxPerSecond returns the highest number of requests in any second from a step on.
func (s *coldSim) maxPerSecond(from int) int {
	second := int(time.Second / capStep)
	highest := 0
	for i := from; i+second <= len(s.sent); i++ {
		n := 0
		for _, k := range s.sent[i : i+second] {
			n += k
		}
		highest = max(highest, n)
	}
	return highest
}

func (s *coldSim) expectBound(t *testing.T, name string, from int) {
	t.Helper()
	const bound = coldRate*coldOverage + coldSlack
	if got := s.maxPerSecond(from); float64(got) > bound {
		t.Errorf("%s: %d requests in a second, want at most %.1f", name, got, bound)
	}
}

// When a failure domain comes back, its engines are idle and all gateways prefer them at
// once. Together they keep within the bound of a cold upstream and use it.
func TestColdUpstream(t *testing.T) {
	for _, n := range []int{1, 2, 5, 9, 22, 107, 470} {
		s := newColdSim(n)
		for _, g := range s.gateways {
			g.SetGateways(s.now, n)
			g.ExpectCold(true)
		}
		s.cold(20 * time.Second)
		s.run(5 * time.Second)
		name := fmt.Sprintf("%d gateways", n)
		s.expectBound(t, name, 0)
		if got := s.maxPerSecond(len(s.sent) - int(3*time.Second/capStep)); float64(got) < coldRate-1 {
			t.Errorf("%s: %d requests in a second of the %.1f allowed", name, got, coldRate)
		}
	}
}

// After a loss of all processes, keepers count only the gateways that are back so far.
// Without the number from before the loss, each gateway would assume that it is the only
// one.
func TestColdUpstreamAfterALossOfAll(t *testing.T) {
	for _, n := range []int{2, 9, 22} {
		s := newColdSim(n)
		s.counted = func() int {
			return 1 + int(s.now.Sub(start)/(100*time.Millisecond))
		}
		for _, g := range s.gateways {
			g.SetGateways(s.now, 1)
			g.SetPreviousGateways(s.now, n)
		}
		s.cold(10 * time.Second)
		s.run(5 * time.Second)
		s.expectBound(t, fmt.Sprintf("%d gateways", n), 0)
	}
}

// Gateways that receive no messages, and restarted processes, keep within the bound by the
// number of gateways alone.
func TestColdUpstreamApart(t *testing.T) {
	for _, n := range []int{2, 9, 22} {
		s := newColdSim(n)
		for _, g := range s.gateways {
			g.SetGateways(s.now, n)
			g.ExpectCold(true)
		}
		s.run(2 * time.Second) // warm
		s.cold(20 * time.Second)
		s.run(2 * time.Second)
		from := len(s.sent)
		s.partitioned = true
		s.run(2 * time.Second)
		for i := range s.gateways {
			s.gateways[i] = s.startProcess()
		}
		s.cold(16 * time.Second)
		s.run(2 * time.Second)
		s.partitioned = false
		s.run(4 * time.Second)
		s.expectBound(t, fmt.Sprintf("%d gateways", n), from)
	}
}

func TestColdUpstreamWarms(t *testing.T) {
	l := newColdSim(1).gateways[0]
	l.SetGateways(start, 1)
	l.SetCold(start, limitID, coldRate, start.Add(time.Second))
	if !l.Bounded(start, limitID) {
		t.Error("cold upstream is not bounded")
	}
	l.SetCold(start, limitID, coldRate, start.Add(3*time.Second))
	if at := start.Add(2 * time.Second); !l.Bounded(at, limitID) {
		t.Error("the later time was not applied")
	}
	if at := start.Add(3 * time.Second); l.Bounded(at, limitID) || !l.Allows(at, limitID) {
		t.Error("warm upstream is still bounded")
	}
	l.SetCold(start, "other", 0, start.Add(time.Second))
	if l.Bounded(start, "other") {
		t.Error("upstream with a cold rate of zero is bounded")
	}
}
