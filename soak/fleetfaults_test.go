package soak

import (
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"wardturn/standin"
)

func TestRolloutReplacesEnginesByAnotherVersion(t *testing.T) {
	s := newTestSoak(t, 3, 1)
	ids := make(map[string]bool)
	for _, u := range s.world.upstreams {
		ids[u.id] = true
	}
	f := s.rollout(rand.New(rand.NewPCG(1, 1)))
	f.begin()
	replaced := 0
	for _, u := range s.world.upstreams {
		if ids[u.id] {
			continue
		}
		replaced++
		if got := u.worker.Software(); got != f.target {
			t.Errorf("%s has the version %q, want %q", u.id, got, f.target)
		}
		if !strings.Contains(u.worker.Entry("llm", u.addr, "d", u.state), `"state":"ready"`) {
			t.Errorf("%s is not ready", u.id)
		}
	}
	if replaced != 2 {
		t.Errorf("%d engines were replaced, want 2", replaced)
	}
}

// Guards against a check of software versions that fails by the stand-in: a request which the
// old lifetime admitted must not get events of the new one.
func TestReplacedEngineEndsItsStreams(t *testing.T) {
	s := newTestSoak(t, 1, 0)
	u := s.world.upstreams[0]
	u.worker.Hold("a0")
	s.setLoad(u, standin.WorkerFaults{
		Linger: enginePause,
	})
	bodies := make(chan string, 1)
	go func() {
		g := &gatewayProcess{
			daemon: &daemon{},
			addr:   u.addr,
		}
		s.limits, s.responses = newLimitChecker(), newResponseChecker()
		body, _ := s.sendStream(http.DefaultClient, g, streamAttempt{
			id:      "old",
			adapter: "m0/a0",
		})
		bodies <- body
	}()
	for u.worker.Runs("old") == 0 {
		time.Sleep(time.Millisecond)
	}
	s.world.replace(u, "v3", 0)
	body := <-bodies
	if n, software := receivedEvents(body); n == streamEvents || software == "v3" {
		t.Errorf("%d events of %q reached the caller", n, software)
	}
}

// Guards against responses of the old lifetime that end like complete ones.
func TestReplacedEngineResetsUnframedStreams(t *testing.T) {
	s := newTestSoak(t, 1, 0)
	u := s.world.upstreams[0]
	s.setLoad(u, standin.WorkerFaults{
		Linger: enginePause,
	})
	u.setFaults(standin.WorkerFaults{
		Unframed: true,
	})
	res, err := http.Post("http://"+u.addr+resumePath, "", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	go s.world.replace(u, "v3", 0)
	if body, err := io.ReadAll(res.Body); err == nil {
		t.Errorf("a response that was cut ends as if it were complete: %q", body)
	}
}

func TestFleetFaultsOccur(t *testing.T) {
	s := newTestSoak(t, 2, 1)
	for _, u := range s.world.upstreams[:2] {
		s.keepers = append(s.keepers, &keeperProcess{
			daemon: &daemon{
				name: u.id,
			},
		})
	}
	s.gateways = []*gatewayProcess{
		{
			daemon: &daemon{
				name: "gateway-0",
			},
		},
	}
	r := rand.New(rand.NewPCG(1, 1))
	var names []string
	for range 100 {
		names = append(names, s.randomFleetFault(r).name)
	}
	slices.Sort(names)
	if names = slices.Compact(names); len(names) != 4 {
		t.Errorf("fleet faults %q, want 4", names)
	}
}
