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

var key = report.SeriesKey{
	Indicator: report.LoadStall,
	Team:      "t",
	Policy:    "p",
}

// countEvents returns the counts of a process with good and bad events in each of the last
// minutes, and the time at the end of them.
func countEvents(minutes, good, bad int) (report.ProcessCounts, time.Time) {
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
	b := r.Counts(time.Time{})
	return b, clock.Now()
}

func TestBurnRate(t *testing.T) {
	b, at := countEvents(60, 80, 20)
	burn := report.ComputeBurn(at, []report.Objective{stall}, []report.ProcessCounts{b, b}, nil)
	fast := burn.Objectives[0].Alerts[0]
	if fast.Long.Events != 2*60*100 || fast.Long.Bad != 2*60*20 {
		t.Fatalf("%+v", fast.Long)
	}
	if d := fast.Long.BurnRate - 2; d > 1e-9 || d < -1e-9 {
		t.Fatalf("burn %v, want 2: 20%% bad with 10%% allowed", fast.Long.BurnRate)
	}
	if fast.Long.KnownFraction != 1 || fast.Firing {
		t.Fatalf("%+v", fast)
	}
}

func TestAlertNeedsBothWindows(t *testing.T) {
	objective := stall
	objective.Target = 0.99
	burning, at := countEvents(60, 80, 20)
	if b := report.ComputeBurn(at, []report.Objective{objective}, []report.ProcessCounts{burning}, nil); !b.Objectives[0].Alerts[0].Firing {
		t.Fatalf("burn %v over both windows does not fire", b.Objectives[0].Alerts[0].Long.BurnRate)
	}
	// The same hour without bad events in the last ten minutes.
	var recovered report.ProcessCounts
	recovered.Started = burning.Started
	recovered.Time = burning.Time
	for _, w := range burning.Windows {
		if w.Start.After(at.Add(-11 * time.Minute)) {
			w.Histogram = report.Histogram{}
			w.Add(time.Millisecond)
		}
		recovered.Windows = append(recovered.Windows, w)
	}
	if b := report.ComputeBurn(at, []report.Objective{objective}, []report.ProcessCounts{recovered}, nil); b.Objectives[0].Alerts[0].Firing {
		t.Fatal("the alert still fires after the burn rate of the short window fell")
	}
}

// TestMissingProcessIsUnknown checks a report with one of two processes missing: the burn
// rate is that of the other process, and half of the minutes are unknown. Counting them
// as minutes without bad events would halve the burn rate.
func TestMissingProcessIsUnknown(t *testing.T) {
	b, at := countEvents(60, 80, 20)
	burn := report.ComputeBurn(at, []report.Objective{stall}, []report.ProcessCounts{b}, []string{"gone"})
	long := burn.Objectives[0].Alerts[0].Long
	if long.KnownFraction != 0.5 || long.BurnRate < 1.99 {
		t.Fatalf("known %v, burn %v; want 0.5 and 2", long.KnownFraction, long.BurnRate)
	}
	empty := report.ComputeBurn(at, []report.Objective{stall}, nil, []string{"gone"})
	if s := empty.Objectives[0].Alerts[0].Long; !s.NoData {
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
	burn := report.ComputeBurn(clock.Now(), []report.Objective{answered}, []report.ProcessCounts{r.Counts(time.Time{})}, nil)
	if s := burn.Objectives[0].Alerts[0].Long; s.Events != 2 || s.Bad != 1 {
		t.Fatalf("%+v", s)
	}
}

func TestHTMLIsSelfContained(t *testing.T) {
	b, at := countEvents(60, 80, 20)
	var page bytes.Buffer
	if err := report.ComputeBurn(at, []report.Objective{stall}, []report.ProcessCounts{b}, nil).WriteHTML(&page); err != nil {
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
