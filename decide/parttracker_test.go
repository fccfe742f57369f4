package decide_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"wardturn"
	"wardturn/decide"
)

// partTrackerTest drives a PartTracker in steps of virtual time.
type partTrackerTest struct {
	*decide.PartTracker
	t   *testing.T
	now time.Time
	n   int // upstreams that ended
}

func newPartTrackerTest(t *testing.T) *partTrackerTest {
	return &partTrackerTest{
		PartTracker: decide.NewPartTracker(decide.CrashConfig{
			Limit:  3,
			Memory: time.Hour,
		}),
		t:   t,
		now: time.Unix(1000, 0),
	}
}

// end ends an upstream under requests with the given parts, half a second after the previous
// one, and returns the parts refused since.
func (x *partTrackerTest) end(requests ...[]wardturn.ContentID) []wardturn.ContentID {
	return x.endAfter(500*time.Millisecond, requests...)
}

func (x *partTrackerTest) endAfter(d time.Duration, requests ...[]wardturn.ContentID) []wardturn.ContentID {
	x.now = x.now.Add(d)
	x.n++
	id := wardturn.UpstreamID(fmt.Sprint("u", x.n))
	for _, parts := range requests {
		x.CountRequest(parts)
		x.RequestBroke(x.now, parts, id)
	}
	x.UpstreamEnded(x.now, id)
	return x.Update(x.now)
}

func (x *partTrackerTest) refuses(parts ...wardturn.ContentID) wardturn.ContentID {
	return x.Decide(x.now, parts).Refused
}

const (
	partFirst = wardturn.ContentID("part-first")
	partBad   = wardturn.ContentID("part-bad")
	partOther = wardturn.ContentID("part-other")
)

func TestPartIsRefusedAfterThreeCrashes(t *testing.T) {
	x := newPartTrackerTest(t)
	parts := []wardturn.ContentID{partFirst, partBad}
	for range 2 {
		x.end(parts)
		x.Answered(x.now, []wardturn.ContentID{partFirst})
	}
	if got := x.refuses(parts...); got != "" {
		t.Errorf("%s is refused after two crashes", got)
	}
	if fresh := x.end(parts); !slices.Equal(fresh, []wardturn.ContentID{partBad}) {
		t.Errorf("refused after three crashes: %v", fresh)
	}
	if got := x.refuses(partFirst, partOther); got != "" {
		t.Errorf("%s, which was answered, is refused", got)
	}
	x.now = x.now.Add(time.Hour)
	if got := x.refuses(parts...); got != "" {
		t.Error("refused after the memory has ended")
	}
}

// A loss of power ends many upstreams at once, under requests that are sound.
func TestPartCrashesAtOneMomentCountOnce(t *testing.T) {
	x := newPartTrackerTest(t)
	for range 12 {
		x.endAfter(20*time.Millisecond, []wardturn.ContentID{partOther})
	}
	// 12 ends in 220 ms: the first, and one 200 ms later.
	if got := x.refuses(partOther); got != "" {
		t.Error("refused after one failure of many upstreams")
	}
	if crashes, _ := x.PendingWrites(x.now, false); len(crashes) != 2 {
		t.Errorf("%d crashes to record, want the two that count", len(crashes))
	}
}

// A part that was in requests beside the bad one has nothing to explain, so that its own
// requests pass, and their answers clear it.
func TestCrashesThatAnotherPartExplains(t *testing.T) {
	x := newPartTrackerTest(t)
	for range 3 {
		x.end([]wardturn.ContentID{partBad}, []wardturn.ContentID{partOther})
	}
	x.end([]wardturn.ContentID{partBad})
	if got := x.refuses(partOther); got != "" {
		t.Error("a part whose crashes another one explains is refused")
	}
	if got := x.refuses(partBad); got != partBad {
		t.Error("the part that explains all crashes is not refused")
	}
}

func TestTwoPartsThatCrash(t *testing.T) {
	x := newPartTrackerTest(t)
	for range 3 {
		x.end([]wardturn.ContentID{partBad}, []wardturn.ContentID{partFirst})
		x.end([]wardturn.ContentID{partOther}, []wardturn.ContentID{partFirst})
	}
	x.Answered(x.now, []wardturn.ContentID{partFirst})
	x.Update(x.now)
	for _, id := range []wardturn.ContentID{partBad, partOther} {
		if x.refuses(id) == "" {
			t.Errorf("%s is not refused", id)
		}
	}
}

// Of two parts that explain the same crashes, the one in fewer requests is refused.
func TestTiedPartsRarerIsRefused(t *testing.T) {
	x := newPartTrackerTest(t)
	for range 3 {
		x.end([]wardturn.ContentID{partBad, partFirst})
		x.CountRequest([]wardturn.ContentID{partFirst})
	}
	if got := x.refuses(partFirst, partOther); got != "" {
		t.Errorf("%s is refused", got)
	}
	if got := x.refuses(partFirst, partBad); got != partBad {
		t.Errorf("refused is %q, want the rarer part", got)
	}
}

// If a shared part is refused wrongly, nothing but a trial can clear it.
func TestTrialClearsPart(t *testing.T) {
	x := newPartTrackerTest(t)
	for range 3 {
		x.end([]wardturn.ContentID{partOther})
	}
	d := x.Decide(x.now, []wardturn.ContentID{partOther})
	if d.Refused != partOther || !d.Trial {
		t.Fatalf("no trial of the refused part: %+v", d)
	}
	x.StartTrial(x.now, partOther)
	if d := x.Decide(x.now, []wardturn.ContentID{partOther}); d.Trial || d.RetryAfter != 2*time.Second {
		t.Errorf("second trial: %+v, want one in 2 s", d)
	}
	if got := x.Answered(x.now, []wardturn.ContentID{partOther}); !slices.Equal(got, []wardturn.ContentID{partOther}) {
		t.Errorf("cleared: %v", got)
	}
	x.Update(x.now)
	if x.refuses(partOther) != "" {
		t.Error("refused after a trial was answered")
	}
}

func TestTrialsOfPartAreFew(t *testing.T) {
	x := newPartTrackerTest(t)
	for range 3 {
		x.end([]wardturn.ContentID{partBad})
	}
	refused := x.now
	var at []time.Duration
	for range 600 {
		if x.Decide(x.now, []wardturn.ContentID{partBad}).Trial {
			at = append(at, x.now.Sub(refused))
			x.StartTrial(x.now, partBad)
			x.StartTrial(x.now.Add(10*time.Millisecond), partBad) // from a second keeper
			x.endAfter(0, []wardturn.ContentID{partBad})
		}
		x.now = x.now.Add(time.Second)
	}
	if want := []time.Duration{0, 2 * time.Second, 12 * time.Second, 72 * time.Second}; !slices.Equal(at, want) {
		t.Errorf("trials at %v, want %v", at, want)
	}
}

// A crash of a trial must show which part caused it.
func TestNoTrialWithTwoSuspects(t *testing.T) {
	x := newPartTrackerTest(t)
	for range 3 {
		x.end([]wardturn.ContentID{partBad}, []wardturn.ContentID{partOther})
	}
	if d := x.Decide(x.now, []wardturn.ContentID{partBad, partOther}); d.Refused == "" || d.Trial {
		t.Errorf("request with two suspects: %+v", d)
	}
}

// A trial that no upstream ran shows nothing, but has reached an upstream.
func TestTrialNotRunIsRepeatedOnce(t *testing.T) {
	x := newPartTrackerTest(t)
	for range 3 {
		x.end([]wardturn.ContentID{partOther})
	}
	parts := []wardturn.ContentID{partOther}
	for i, want := range []time.Duration{time.Second, 2 * time.Second} {
		x.StartTrial(x.now, partOther)
		x.TrialNotRun(x.now, partOther)
		d := x.Decide(x.now, parts)
		if d.Trial || d.RetryAfter != want {
			t.Errorf("after trial %d: %+v, want the next one in %v", i+1, d, want)
		}
		x.now = x.now.Add(d.RetryAfter)
	}
}

// Each gateway that starts would otherwise try a part that is known to crash upstreams.
func TestPartReadFromStoreIsNotTriedAtOnce(t *testing.T) {
	for ends, want := range map[int]time.Duration{3: 2 * time.Second, 4: 10 * time.Second, 7: time.Hour} {
		x := newPartTrackerTest(t)
		var list []wardturn.RecordedCrash
		for i := range ends {
			list = append(list, wardturn.RecordedCrash{
				Crash: wardturn.Crash{
					Content:  partBad,
					Upstream: wardturn.UpstreamID(fmt.Sprint("u", i)),
				},
				At: x.now,
			})
		}
		x.AddRecorded(x.now, list)
		x.Update(x.now)
		if d := x.Decide(x.now, []wardturn.ContentID{partBad}); d.Refused != partBad || d.Trial || d.RetryAfter != want {
			t.Errorf("%d ends: %+v, want no trial for %v", ends, d, want)
		}
	}
}

// Gateways see different answers: one that has seen the part answered says so.
func TestReportOfAnsweredPartIsContradicted(t *testing.T) {
	x, other := newPartTrackerTest(t), newPartTrackerTest(t)
	x.Answered(x.now, []wardturn.ContentID{partFirst})
	report := []wardturn.Crash{{
		Content:  partFirst,
		Upstream: "u1",
	}}
	other.AddReported(x.now, report)
	answered := x.AddReported(x.now, report)
	if !slices.Equal(answered, []wardturn.ContentID{partFirst}) {
		t.Fatalf("contradicted: %v", answered)
	}
	other.ClearReported(x.now, answered)
	if suspected, _ := other.Levels(); suspected != 0 || !other.ClearedSince(x.now, partFirst) {
		t.Error("still suspected after another gateway has cleared it")
	}
	// Only answers of its own count: gateways would otherwise clear a part in turn for ever.
	if got := other.AddReported(x.now, report); len(got) > 0 {
		t.Error("contradicted by a gateway that saw no answer")
	}
}

// A part that many requests share is answered again soon. One that turns bad is not.
func TestEndsShortlyAfterAnAnswer(t *testing.T) {
	for _, answeredAgain := range []bool{false, true} {
		x := newPartTrackerTest(t)
		parts := []wardturn.ContentID{partOther}
		x.Answered(x.now, parts)
		for range 3 {
			if fresh := x.endAfter(300*time.Millisecond, parts); len(fresh) > 0 {
				t.Error("refused shortly after an answer")
			}
			if answeredAgain {
				x.Answered(x.now, parts)
			}
		}
		for range 8 {
			x.now = x.now.Add(250 * time.Millisecond)
			x.CountHeld(x.now)
		}
		x.Update(x.now)
		if refused := x.refuses(partOther) != ""; refused == answeredAgain {
			t.Errorf("answered again: %v, refused: %v", answeredAgain, refused)
		}
	}
}

// The gateway that wrote a record may not know that the part was answered elsewhere.
func TestRecordsOfAnsweredPartAreDeleted(t *testing.T) {
	x := newPartTrackerTest(t)
	x.Answered(x.now, []wardturn.ContentID{partFirst})
	list := []wardturn.RecordedCrash{{
		Crash: wardturn.Crash{
			Content:  partFirst,
			Upstream: "u1",
		},
		At: x.now.Add(-time.Second),
	}}
	refuted := x.AddRecorded(x.now, list)
	if len(refuted) != 1 || refuted[0] != list[0].Crash {
		t.Fatalf("refuted: %v", refuted)
	}
	x.DeleteRecords(refuted)
	if _, deletes := x.PendingWrites(x.now, false); !slices.Equal(deletes, refuted) {
		t.Errorf("records to delete: %v", deletes)
	}
	x.now = x.now.Add(3 * time.Second)
	list[0].At = x.now
	if refuted := x.AddRecorded(x.now, list); len(refuted) > 0 {
		t.Error("a record of a crash long after the answer is refuted")
	}
}
