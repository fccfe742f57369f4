package decide_test

import (
	"testing"

	"wardturn"
	"wardturn/decide"
)

// newRegionFixture is newFleetFixture with a region for each failure domain.
func newRegionFixture() *fleetFixture {
	x := newFleetFixture()
	x.f = decide.NewFleet(decide.FleetConfig{
		Domain: "near",
		Regions: map[wardturn.FailureDomain]wardturn.Region{
			"near": "north",
			"far":  "south",
		},
		Random: func() float64 { return 0 },
		Window: decide.WindowConfig{
			Start: 4,
			Max:   4,
		},
	})
	x.f.SetTable(fleetTable(&wardturn.EngineSpec{
		Batch:        4,
		AdapterSlots: 4,
		Models: []wardturn.ModelSpec{
			{
				Name: "m",
			},
		},
	}))
	x.f.SetMembers(x.now, fleetMembers())
	return x
}

// A request that may be served in one region only used to be sent to the upstream of the
// least cost in any region.
func TestRegionsOfRequests(t *testing.T) {
	x := newRegionFixture()
	x.holdEverywhere("a")
	for range 4 {
		a, ok := x.admitFor(fleetService, adapterKey("a"), wardturn.Regions{"south"})
		if !ok || a.Member.Domain != "far" {
			t.Fatalf("request was sent to %q in %q", a.Member.ID, a.Member.Domain)
		}
	}
	for _, none := range []wardturn.Regions{{"east"}, {}} {
		if a, ok := x.admitFor(fleetService, adapterKey("a"), none); !ok || a.Reason != wardturn.ReasonRegions {
			t.Errorf("%v: %+v, want a refusal at once with reason %s", none, a, wardturn.ReasonRegions)
		}
	}
}

// An adapter that two requests need in different regions is loaded in both.
func TestRegionsOfLoads(t *testing.T) {
	x := newRegionFixture()
	x.holdEverywhere("a")
	x.out.LoadRequests = nil
	x.admitFor(fleetService, adapterKey("b"), wardturn.Regions{"south"})
	x.admitFor(fleetService, adapterKey("b"), wardturn.Regions{"north"})
	asked := make(map[byte]int)
	for _, r := range x.out.LoadRequests {
		asked[r.Upstream[0]]++
	}
	if asked['f'] != 1 || asked['n'] != 1 {
		t.Errorf("loads requested: %v, want one in each region", x.out.LoadRequests)
	}
}
