package peer_test

import (
	"fmt"
	"testing"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
)

// TestPlainLoadBytes guards against reports on plain services that take more than the
// bandwidth that a gateway has for them, also among many gateways.
func TestPlainLoadBytes(t *testing.T) {
	const maxBytesPerSecond = 17_000
	for _, gateways := range []int{29, 120, 470} {
		rate := plainReportRate(t, gateways)
		t.Logf("%d gateways: %.0f bytes per second", gateways, rate)
		if rate > maxBytesPerSecond {
			t.Errorf("%d gateways: %.0f bytes per second, want at most %d", gateways, rate, maxBytesPerSecond)
		}
	}
}

// plainReportRate returns the bytes per second of the reports of all gateways of an
// overloaded service with three upstreams.
func plainReportRate(t *testing.T, gateways int) float64 {
	now := time.Unix(1_700_000_000, 0)
	p := decide.NewPlainLoads(now, "0123456789abcdef")
	f := decide.NewFleet(decide.FleetConfig{
		Plain: p,
	})
	f.SetTable(&wardturn.RouteTable{
		Services: map[wardturn.ServiceName]wardturn.ServiceSpec{
			"bookings": {
				Name: "bookings",
			},
		},
	})
	var list []wardturn.Member
	for i := range 3 {
		list = append(list, wardturn.Member{
			ID:      wardturn.UpstreamID(fmt.Sprint("u", i)),
			Service: "bookings",
			Addr:    fmt.Sprint("u", i, ":1"),
			Slots:   6,
		})
	}
	f.SetMembers(now, list)
	p.SetGateways(now, gateways)
	const span = 40 * time.Second
	const step = 10 * time.Millisecond
	bytes := 0
	for i := range int(span / step) {
		now = now.Add(step)
		if i%25 == 0 {
			serveOverloaded(f, now, i)
		}
		r, due := p.Report(now)
		if !due {
			continue
		}
		frame, err := peer.AppendFrame(nil, &peer.PlainLoadReports{
			Reports: []decide.PlainLoadReport{r},
		})
		if err != nil {
			t.Fatal(err)
		}
		bytes += len(frame)
	}
	return float64(bytes*gateways) / span.Seconds()
}

// serveOverloaded has a request served by an upstream that first rejects it.
func serveOverloaded(f *decide.Fleet, now time.Time, i int) {
	f.Admit(now, &decide.PendingRequest{
		Service:    "bookings",
		Arrived:    now,
		Objective:  time.Second,
		Deadline:   now.Add(time.Second),
		Repeatable: i%50 == 0,
		Content:    wardturn.ContentID(fmt.Sprintf("%032x", i)),
		Urgency: decide.Urgency{
			Rank: 2,
		},
		Assign: func(a decide.Assignment) {
			f.RefusedAsFull(now, a.Member.ID, false)
			f.ResponseTimed(now, a.Member.ID, 60*time.Millisecond)
			f.RequestEnded(now, a.Member.ID, wardturn.ModelAdapter{}, decide.OutcomeOK)
		},
	}, &decide.Actions{})
}
