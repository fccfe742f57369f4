package soak

import (
	"strings"
	"testing"
	"time"

	"wardturn/standin"
)

func TestStreamShareCheckDetectsViolations(t *testing.T) {
	for _, c := range []struct {
		pairs, resumed, begun int
		lost                  bool
	}{
		{
			pairs:   minStreamPairs,
			resumed: 9,
			begun:   18,
		},
		{
			pairs:   minStreamPairs,
			resumed: 9,
			begun:   19,
			lost:    true,
		},
		{
			pairs: minStreamPairs - 1,
			begun: minStreamPairs - 1,
		},
		{
			pairs: minStreamPairs,
			begun: 1,
			lost:  true,
		},
	} {
		s := newTestSoak(t, 1, 0)
		for i := range c.pairs {
			s.streams.record(true, i < c.resumed, i < c.begun)
			s.streams.record(false, false, true)
		}
		for across, compared := range []bool{false, true} {
			s.requests.violations = nil
			s.lossStreams.add(compared, &s.streams)
			s.checkStreams()
			if n := len(s.requests.violations); c.lost && n != 1+across || !c.lost && n != 0 {
				t.Errorf("%d resumed and %d begun of %d, compared %v: violations %q", c.resumed, c.begun, c.pairs, compared, s.requests.violations)
			}
		}
	}
}

func TestStreamCheckDetectsMixedVersions(t *testing.T) {
	s := newTestSoak(t, 1, 0)
	rest := eventOf("v1", 3) + eventOf("v1", 4)
	if last := s.checkResumed("right", "v1", 2, rest+"id: 5\ndata: v"); last != 4 || len(s.requests.violations) != 0 {
		t.Fatalf("goes on until event %d, violations %q", last, s.requests.violations)
	}
	if last := s.checkResumed("mixed", "v1", 2, eventOf("v2", 3)); last != 2 || len(s.requests.violations) != 1 {
		t.Fatalf("goes on until event %d, violations %q", last, s.requests.violations)
	}
}

func TestVersionIsUpWhileAnEngineServesIt(t *testing.T) {
	s := newTestSoak(t, 2, 0)
	u := s.world.upstreams[0] // the only one of its version
	s.world.upstreams[1].domain = "e"
	want := func(up bool) {
		t.Helper()
		if s.isVersionUp(softwareVersions[0]) != up || !s.isVersionUp(softwareVersions[1]) {
			t.Fatalf("want %v for %s and true for the other", up, softwareVersions[0])
		}
	}
	want(true)
	u.setFaults(standin.WorkerFaults{
		Full: true,
	})
	want(false)
	u.setFaults(standin.WorkerFaults{})
	u.setState("draining")
	want(false)
	u.setState("ready")
	s.evacuations.begin(u.domain)
	want(false)
	s.evacuations.end(u.domain)
	want(true)
}

// newTestSoak returns a soak without daemons.
func newTestSoak(t *testing.T, engines, services int) *soak {
	t.Helper()
	w, err := newWorld(engines, services)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.close)
	return &soak{
		cfg: Config{
			Engines:       engines,
			Services:      services,
			FaultDuration: time.Second,
			Log:           &strings.Builder{},
		},
		world: w,
		requests: &requestChecker{
			world: w,
		},
		evacuations: evacuations{
			active: make(map[string]bool),
		},
	}
}
