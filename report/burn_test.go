package report_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"wardturn/report"
	"wardturn/standin"
)

var stall = report.Objective{
	Name:      "stall",
	Team:      "t",
	Indicator: report.LoadStall,
	Threshold: time.Second,
	Target:    0.9,
	Window:    30 * 24 * time.Hour,
}

var key = report.Key{
	Indicator: report.LoadStall,
	Team:      "t",
	Policy:    "p",
}

// countEvents returns the counts of a process with good and bad events in each of the last
// minutes, and the time at the end of them.
func countEvents(minutes, good, bad int) (report.Batch, time.Time) {
	clock := standin.NewClock()
	r := report.NewRecorder(clock, "p")
	for range minutes {
		for range good {
			r.Add(key, 100*time.Millisecond)
		}
		for range bad {
			r.Add(key, 5*time.Second)
		}
		clock.Advance(time.Minute)
	}
	b := r.Batch(time.Time{})
	return b, clock.Now()
}

func TestBurnRate(t *testing.T) {
	b, at := countEvents(60, 80, 20)
	burn := report.Compute(at, []report.Objective{stall}, []report.Batch{b, b}, nil)
	fast := burn.Lines[0].Alerts[0]
	if fast.Long.Events != 2*60*100 || fast.Long.Bad != 2*60*20 {
		t.Fatalf("%+v", fast.Long)
	}
	if d := fast.Long.Burn - 2; d > 1e-9 || d < -1e-9 {
		t.Fatalf("burn %v, want 2: 20%% bad with 10%% allowed", fast.Long.Burn)
	}
	if fast.Long.Known != 1 || fast.Fires {
		t.Fatalf("%+v", fast)
	}
}

func TestAlertNeedsBothWindows(t *testing.T) {
	objective := stall
	objective.Target = 0.99
	burning, at := countEvents(60, 80, 20)
	if b := report.Compute(at, []report.Objective{objective}, []report.Batch{burning}, nil); !b.Lines[0].Alerts[0].Fires {
		t.Fatalf("burn %v over both windows does not fire", b.Lines[0].Alerts[0].Long.Burn)
	}
	// The same hour without bad events in the last ten minutes.
	var recovered report.Batch
	recovered.Started = burning.Started
	recovered.At = burning.At
	for _, w := range burning.Windows {
		if w.Start.After(at.Add(-11 * time.Minute)) {
			w.Histogram = report.Histogram{}
			w.Add(time.Millisecond)
		}
		recovered.Windows = append(recovered.Windows, w)
	}
	if b := report.Compute(at, []report.Objective{objective}, []report.Batch{recovered}, nil); b.Lines[0].Alerts[0].Fires {
		t.Fatal("the alert still fires after the burn rate of the short window fell")
	}
}

// TestGapsAreUnknown checks a report with one of two processes missing: the burn rate is
// that of the other process, and half of the minutes are unknown. Counting them as
// minutes without bad events would halve the burn rate.
func TestGapsAreUnknown(t *testing.T) {
	b, at := countEvents(60, 80, 20)
	burn := report.Compute(at, []report.Objective{stall}, []report.Batch{b}, []string{"gone"})
	long := burn.Lines[0].Alerts[0].Long
	if long.Known != 0.5 || long.Burn < 1.99 {
		t.Fatalf("known %v, burn %v; want 0.5 and 2", long.Known, long.Burn)
	}
	empty := report.Compute(at, []report.Objective{stall}, nil, []string{"gone"})
	if s := empty.Lines[0].Alerts[0].Long; !s.NoData {
		t.Fatalf("%+v, want no data", s)
	}
	var text bytes.Buffer
	if err := empty.WriteText(&text); err != nil || !strings.Contains(text.String(), "unknown") {
		t.Fatalf("%v %s", err, text.String())
	}
}

func TestBadEventsAreNeverGood(t *testing.T) {
	clock := standin.NewClock()
	r := report.NewRecorder(clock, "p")
	k := key
	k.Indicator = report.Answered
	r.AddBad(k)
	r.Add(k, time.Hour)
	clock.Advance(time.Minute)
	answered := stall
	answered.Indicator = report.Answered
	answered.Threshold = 0
	burn := report.Compute(clock.Now(), []report.Objective{answered}, []report.Batch{r.Batch(time.Time{})}, nil)
	if s := burn.Lines[0].Alerts[0].Long; s.Events != 2 || s.Bad != 1 {
		t.Fatalf("%+v", s)
	}
}

func TestHTMLStandsAlone(t *testing.T) {
	b, at := countEvents(60, 80, 20)
	var page bytes.Buffer
	if err := report.Compute(at, []report.Objective{stall}, []report.Batch{b}, nil).WriteHTML(&page); err != nil {
		t.Fatal(err)
	}
	html := page.String()
	for _, want := range []string{"<svg", "t: stall", "2.00"} {
		if !strings.Contains(html, want) {
			t.Errorf("page lacks %q", want)
		}
	}
	for _, forbidden := range []string{"<script", "<link", " src="} {
		if strings.Contains(html, forbidden) {
			t.Errorf("page has %q", forbidden)
		}
	}
}
