package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"wardturn/standin"
)

// TestSoak runs a short soak with the real daemons.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "wardturn-fleet")
	build := exec.Command("go", "build", "-o", binary, "wardturn/cmd/wardturn-fleet")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	rep, err := Run(context.Background(), Config{
		Binary:        binary,
		Seed:          1,
		FaultDuration: 5 * time.Second,
		Gateways:      2,
		Engines:       4,
		Services:      2,
		Callers:       6,
		MaxFaults:     2,
		Log:           io.Discard,
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range rep.Violations {
		t.Error(v)
	}
	if rep.Counts.Done == 0 {
		t.Error("no request was served")
	}
	if rep.Counts.OverCap == 0 {
		t.Error("no request exceeded the cap of its team")
	}
}

// sendDirect sends a request directly to an upstream, as a gateway would.
func sendDirect(t *testing.T, u *upstream, id string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+u.addr+"/charge/x", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Wardturn-Attempt-Id", id)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
}

func TestRequestCheckDetectsViolations(t *testing.T) {
	w, err := newWorld(0, 2)
	if err != nil {
		t.Fatal(err)
	}
	defer w.close()
	sendDirect(t, w.upstreams[0], "refused")
	sendDirect(t, w.upstreams[0], "twice")
	sendDirect(t, w.upstreams[1], "twice")
	sendDirect(t, w.upstreams[0], "right")
	c := &requestChecker{
		world:      w,
		notRun:     []string{"refused", "never"},
		atMostOnce: []string{"twice", "right"},
	}
	c.check()
	if len(c.violations) != 2 {
		t.Fatalf("%d violations, want one for refused and one for twice: %q", len(c.violations), c.violations)
	}
	s := &soak{
		requests: c,
	}
	s.checkResponse(requestKind{}, "other", &http.Response{
		StatusCode: http.StatusOK,
		Header: http.Header{
			"X-Wardturn-Server-Seal": {"seal-of-another"},
		},
	}, "not the answer")
	if len(c.violations) != 4 {
		t.Fatalf("a wrong receipt or a wrong body is not detected: %q", c.violations)
	}
	for i, delay := range []string{"0.001", "", "0", "0.000", "soon"} {
		s.checkResponse(requestKind{}, "right", &http.Response{
			StatusCode: []int{http.StatusTooManyRequests, http.StatusServiceUnavailable}[i%2],
			Header: http.Header{
				"Retry-After": {delay},
			},
		}, "")
	}
	if len(c.violations) != 8 {
		t.Fatalf("want a violation for each refusal without a delay above zero: %q", c.violations)
	}
	if c.check(); len(c.violations) != 8+2+5 {
		t.Fatalf("a request that ran and was refused with 429 or 503 is not detected: %q", c.violations)
	}
}

func TestEvacuationAndColdChecksDetectViolations(t *testing.T) {
	w, err := newWorld(0, 2)
	if err != nil {
		t.Fatal(err)
	}
	defer w.close()
	s := &soak{
		world: w,
		requests: &requestChecker{
			world: w,
		},
	}
	cold := w.upstreams[0]
	began := time.Now().Add(-maxEvacuationTime)
	for i := range int(coldOverage*coldRate) + coldSlack {
		sendDirect(t, cold, fmt.Sprint("r", i))
	}
	started := time.Now().Add(time.Second - coldDuration)
	s.checkCold(cold, started)
	s.checkEvacuated(w.upstreams[1].domain, began)
	if len(s.requests.violations) != 0 {
		t.Fatalf("violations for the allowed number of requests and none in the other domain: %q", s.requests.violations)
	}
	sendDirect(t, cold, "one more")
	s.checkCold(cold, started)
	s.checkEvacuated(cold.domain, began)
	if len(s.requests.violations) != 2 {
		t.Fatalf("want violations for one request too many and for those after an evacuation: %q", s.requests.violations)
	}
}

func TestKeyCheckDetectsViolations(t *testing.T) {
	w, err := newWorld(0, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer w.close()
	w.publishConfig() // removes the first key
	u := w.upstreams[0]
	sendDirect(t, u, "unknown")
	sendDirect(t, u, "late")
	sendDirect(t, u, "intime")
	c := &requestChecker{
		world: w,
		keyed: []keyedAttempt{
			{
				id:  "unknown",
				key: unknownKey,
			},
			{
				id:   "late",
				key:  rotatedKey(1),
				sent: time.Now().Add(maxKeyDelay + time.Second),
			},
			{
				id:   "intime",
				key:  rotatedKey(1),
				sent: time.Now(),
			},
		},
	}
	c.checkKeys()
	// Two ran without a valid key, and all three without the team header.
	if len(c.violations) != 5 {
		t.Fatalf("%d violations: %q", len(c.violations), c.violations)
	}
}

func TestLimitCheckDetectsViolations(t *testing.T) {
	w, err := newWorld(0, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer w.close()
	u := w.upstreams[0]
	s := &soak{
		cfg: Config{
			Log: io.Discard,
		},
		world: w,
		requests: &requestChecker{
			world: w,
		},
		limits: newLimitChecker(),
	}
	const limit = "0.500001"
	period := limitPeriod{
		upstream: u,
		limit:    limit,
		rate:     0.5,
		from:     time.Now(),
	}
	send := func(process string, count int) {
		for i := range count {
			id := fmt.Sprint(process, i)
			s.limits.recordSent(id, process)
			sendDirect(t, u, id)
		}
	}
	s.limits.recordResponse("told", limit)
	send("untold", 20)
	send("told", 20) // within limitGrace
	time.Sleep(limitGrace)
	send("told-later", 20)
	send("told", 8) // the allowed number
	period.to = time.Now()
	s.limits.periods = []limitPeriod{period}
	if s.checkLimits(); len(s.requests.violations) != 0 {
		t.Fatalf("allowed requests are reported: %q", s.requests.violations)
	}
	send("told", 1)
	s.limits.periods[0].to = time.Now()
	if s.checkLimits(); len(s.requests.violations) != 1 {
		t.Fatalf("one request too many is not detected: %q", s.requests.violations)
	}
	u.addExcused(period.from, time.Now())
	if s.checkLimits(); len(s.requests.violations) != 1 {
		t.Fatalf("a violation in an excused window is reported: %q", s.requests.violations)
	}
}

func TestResponseChecksDetectViolations(t *testing.T) {
	w, err := newWorld(0, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer w.close()
	u := w.upstreams[0]
	s := &soak{
		cfg: Config{
			Log: io.Discard,
		},
		world: w,
		requests: &requestChecker{
			world: w,
		},
		responses: newResponseChecker(),
	}
	send := func(process, id string) {
		s.responses.recordSent(id, process)
		sendDirect(t, u, id)
	}
	send("elsewhere", "resent") // resent to a leaving upstream, which answered
	s.responses.leavingAt["resent"] = time.Now().Add(-maxLeavingDelay)
	send("elsewhere", "allowed")
	u.setFaults(standin.WorkerFaults{
		Leaving: "1",
	})
	send("told", "leaves")
	s.responses.leavingAt["leaves"] = time.Now().Add(-maxLeavingDelay)
	send("untold", "other")
	if s.checkResponses(); len(s.requests.violations) != 0 {
		t.Fatalf("allowed requests are reported: %q", s.requests.violations)
	}
	send("told", "late")
	if s.checkResponses(); len(s.requests.violations) != 1 {
		t.Fatalf("a late request is not detected: %q", s.requests.violations)
	}
	s.requests.violations = nil
	s.responses.leavingAt = nil
	u.setFaults(backoffWorkerFaults())
	send("resting", "refused")
	time.Sleep(backoffGrace)
	for i := range backoffAllowed + 1 {
		send("other", fmt.Sprint("allowed", i)) // gets backoff requests too
		if i < backoffAllowed {
			send("resting", fmt.Sprint("in", i))
		}
	}
	if s.checkResponses(); len(s.requests.violations) != 0 {
		t.Fatalf("allowed requests are reported: %q", s.requests.violations)
	}
	send("resting", "over")
	if s.checkResponses(); len(s.requests.violations) != 1 {
		t.Fatalf("one request too many is not detected: %q", s.requests.violations)
	}
	s.responses.addExcused(time.Now().Add(-time.Second), time.Now())
	if s.checkResponses(); len(s.requests.violations) != 1 {
		t.Fatalf("a violation in an excused backoff is reported: %q", s.requests.violations)
	}
}
