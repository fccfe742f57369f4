package decide_test

import (
	"testing"
	"time"

	"wardturn"
	"wardturn/decide"
)

// Guards against a request that crashes an upstream again before the list shows its next lifetime, and whose
// crashes are counted as one.
func TestCrashesOfUnlistedLifetimes(t *testing.T) {
	const content = wardturn.ContentID("fatal")
	id := wardturn.NewUpstreamID("i-1", 1000)
	now := time.Unix(100, 0)
	c := decide.NewCrashTracker(decide.CrashConfig{
		Limit:  3,
		Memory: time.Hour,
	})
	for n := range 3 {
		if _, refused := c.Refuses(now, content); refused {
			t.Fatalf("refused after %d crashes", n)
		}
		lifetime := c.Lifetime(content, id, now)
		c.RequestBroke(now.Add(time.Millisecond), content, lifetime)
		c.UpstreamEnded(now.Add(20*time.Millisecond), id)
		c.UpstreamEnded(now.Add(20*time.Millisecond), lifetime)
		now = now.Add(2 * time.Second) // it is back, and listed as before
	}
	if _, refused := c.Refuses(now, content); !refused {
		t.Error("not refused after three crashes of an upstream that is listed as one lifetime")
	}
}

// Guards against a crash that is counted twice because requests of several connections broke under it.
func TestCrashWithSeveralConnectionsCountsOnce(t *testing.T) {
	const content = wardturn.ContentID("sound")
	id := wardturn.NewUpstreamID("i-1", 1000)
	now := time.Unix(100, 0)
	c := decide.NewCrashTracker(decide.CrashConfig{
		Limit:  2,
		Memory: time.Hour,
	})
	c.AddReported(now, []wardturn.Crash{ // observed by another gateway
		{
			Content:  content,
			Upstream: id,
		},
	})
	for i := range 5 {
		connected := now.Add(-time.Duration(i) * time.Second)
		if got := c.Lifetime(content, id, connected); got != id {
			t.Errorf("connection opened %v before the crash leads to %s", now.Sub(connected), got)
		}
		c.RequestBroke(now, content, c.Lifetime(content, id, connected))
	}
	c.UpstreamEnded(now.Add(20*time.Millisecond), id)
	if _, refused := c.Refuses(now.Add(time.Second), content); refused {
		t.Error("refused after one crash of two")
	}
}
