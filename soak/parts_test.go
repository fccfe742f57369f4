package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

func TestPartCheckDetectsViolations(t *testing.T) {
	s := newTestSoak(t, 1, 0)
	u := s.world.upstreams[0]
	fifth := time.Now().Add(-maxPartDelay)
	for i := range partCrashLimit {
		s.world.parts.crashes["bad00"] = append(s.world.parts.crashes["bad00"], fifth.Add(-time.Duration(i)*time.Second))
		if i > 0 {
			s.world.parts.crashes["bad01"] = append(s.world.parts.crashes["bad01"], fifth)
		}
	}
	addSound := func(shared, other bool) {
		for range minStreamPairs / 2 {
			s.world.parts.sound = append(s.world.parts.sound, soundPair{
				part:   "bad00",
				sentAt: time.Now(),
				shared: shared,
				other:  other,
			})
		}
	}
	for i := range maxLateParts {
		sendDirect(t, u, fmt.Sprint("bad00-", i))
		sendDirect(t, u, fmt.Sprint("bad01-", i))
	}
	sendDirect(t, u, "bad01-more")
	addSound(true, true)
	if s.checkParts(); len(s.requests.violations) != 0 {
		t.Fatalf("allowed requests are reported: %q", s.requests.violations)
	}
	sendDirect(t, u, "bad00-more")
	if s.checkParts(); len(s.requests.violations) != 1 {
		t.Fatalf("one request too many is not detected: %q", s.requests.violations)
	}
	s.requests.violations = nil
	addSound(false, true)
	addSound(false, true)
	if s.checkParts(); len(s.requests.violations) != 2 {
		t.Fatalf("sound requests that are refused are not detected: %q", s.requests.violations)
	}
}

func TestBadPartCrashesEngine(t *testing.T) {
	s := newTestSoak(t, 1, 0)
	s.limits, s.responses = newLimitChecker(), newResponseChecker()
	u := s.world.upstreams[0]
	u.worker.Hold("a0")
	id := u.id
	g := &gatewayProcess{
		daemon: &daemon{},
		addr:   u.addr,
	}
	send := func(id string, parts ...string) string {
		body, _ := s.sendStream(http.DefaultClient, g, streamAttempt{
			id:      id,
			adapter: "m0/a0",
			path:    partsPath + "/bad00/1",
			prompt:  prompt(1, parts...),
		})
		return body
	}
	if body := send("sound", sharedPart); !isCompleteStream(body) {
		t.Fatalf("a sound request gets %q", body)
	}
	if body := send("bad00-1", sharedPart, "bad00"); body != "" {
		t.Errorf("a request that crashes its engine gets %q", body)
	}
	if n := len(s.world.parts.crashes["bad00"]); n != 1 || s.world.parts.noCrashesSince(time.Now().Add(-time.Minute)) {
		t.Errorf("%d crashes were recorded, want 1", n)
	}
	time.Sleep(2 * partDowntime)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.id == id {
		t.Error("the engine is not back as a new lifetime")
	}
}
