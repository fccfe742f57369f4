package decide_test

import (
	"testing"
	"time"

	"wardturn"
	"wardturn/decide"
)

const plainService = wardturn.ServiceName("app")

// newEvacuationFixture is newFleetFixture with a rate limit for cold engines and a plain
// service whose only upstream is in the failure domain near.
func newEvacuationFixture() (x *fleetFixture, members []wardturn.Member) {
	limits := decide.NewLimits(start, "p")
	x = newLimitedFixture(limits)
	table := fleetTable(&wardturn.EngineSpec{
		Batch:        4,
		AdapterSlots: 4,
		Models: []wardturn.ModelSpec{
			{
				Name: "m",
			},
		},
	})
	spec := table.Services[fleetService]
	spec.ColdRate = 2
	table.Services[fleetService] = spec
	table.Services[plainService] = wardturn.ServiceSpec{
		Name: plainService,
	}
	x.f.SetTable(table)
	members = append(fleetMembers(), wardturn.Member{
		ID:      "p0",
		Service: plainService,
		Addr:    "p0:1",
		Domain:  "near",
		Slots:   4,
	})
	x.f.SetMembers(x.now, members)
	limits.SetGateways(x.now, 1)
	return x, members
}

// admitFor admits a request and returns its assignment if it was decided at once.
func (x *fleetFixture) admitFor(service wardturn.ServiceName, key wardturn.ModelAdapter, regions wardturn.Regions) (a decide.Assignment, decided bool) {
	x.f.Admit(x.now, &decide.PendingRequest{
		Service:   service,
		Key:       key,
		Arrived:   x.now,
		Objective: 600 * time.Millisecond,
		Deadline:  x.now.Add(5 * time.Second),
		Regions:   regions,
		Assign: func(got decide.Assignment) {
			a = got
			decided = true
		},
	}, &x.out)
	return a, decided
}

// holdEverywhere makes all engines report an adapter as ready.
func (x *fleetFixture) holdEverywhere(name string) {
	for _, id := range []wardturn.UpstreamID{"n0", "n1", "f0", "f1"} {
		x.f.ApplyEngineUpdate(x.now, id, decide.EngineUpdate{
			Connected: true,
			Known:     true,
			Models:    []wardturn.BaseModel{"m"},
			Full:      true,
			Adapters:  []decide.HeldVersion{readyAdapter(name, 1)},
			FreeSlots: 2,
			Gateways:  1,
		}, &x.out)
	}
}

// An evacuated failure domain gets no requests and no loads. The operator's evacuation list
// used to be ignored.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	x, members := newEvacuationFixture()
	x.holdEverywhere("a")
	near := wardturn.Evacuations{
		"near": true,
	}
	x.f.SetEvacuated(x.now, near, &x.out)
	for round := range 2 {
		for range 6 {
			a, ok := x.admitFor(fleetService, adapterKey("a"), nil)
			if !ok || a.Member.Domain != "far" {
				t.Fatalf("round %d: request was sent to %q in %q", round, a.Member.ID, a.Member.Domain)
			}
			x.f.RequestEnded(x.now, a.Member.ID, adapterKey("a"), decide.OutcomeOK)
		}
		x.out.LoadRequests = nil
		x.admitFor(fleetService, adapterKey("b"), nil)
		for _, r := range x.out.LoadRequests {
			if id := r.Upstream; id == "n0" || id == "n1" {
				t.Errorf("load requested at the evacuated engine %s", id)
			}
		}
		a, ok := x.admitFor(plainService, wardturn.ModelAdapter{}, nil)
		if !ok || a.Reason != wardturn.ReasonEvacuated {
			t.Errorf("plain service: %+v, want a refusal at once with reason %s", a, wardturn.ReasonEvacuated)
		}
		x.f.SetMembers(x.now, members) // a new list changes nothing
	}
	x.f.SetEvacuated(x.now, wardturn.Evacuations{
		"near": true,
		"far":  true,
	}, &x.out)
	if a, _ := x.admitFor(fleetService, adapterKey("a"), nil); a.Reason != wardturn.ReasonEvacuated {
		t.Errorf("all failure domains evacuated: %+v", a)
	}
	x.f.SetEvacuated(x.now, wardturn.Evacuations{}, &x.out)
	if a, ok := x.admitFor(plainService, wardturn.ModelAdapter{}, nil); !ok || a.Member.ID != "p0" {
		t.Errorf("evacuation withdrawn: %+v", a)
	}
}

// Requests that wait for an adapter are refused as soon as no engine is eligible for them.
func TestEvacuationEndsHopelessWaits(t *testing.T) {
	x, _ := newEvacuationFixture()
	x.holdEverywhere("a")
	refused := false
	x.f.Admit(x.now, &decide.PendingRequest{
		Service:   fleetService,
		Key:       adapterKey("b"),
		Arrived:   x.now,
		Objective: time.Second,
		Deadline:  x.now.Add(5 * time.Second),
		Assign: func(a decide.Assignment) {
			refused = a.Reason == wardturn.ReasonEvacuated
		},
	}, &x.out)
	x.f.SetEvacuated(x.now, wardturn.Evacuations{
		"near": true,
		"far":  true,
	}, &x.out)
	x.f.Tick(x.now, &x.out)
	if !refused {
		t.Error("request still waits although no engine is eligible")
	}
}

// Engines of a failure domain whose evacuation is withdrawn may have become cold since
// their entries were written.
func TestTakenBackCountsAsCold(t *testing.T) {
	x, members := newEvacuationFixture()
	x.holdEverywhere("a")
	count := func() (near int) {
		for range 8 {
			a, ok := x.admitFor(fleetService, adapterKey("a"), nil)
			if ok && a.Member.Domain == "near" {
				near++
			}
			x.f.RequestEnded(x.now, a.Member.ID, adapterKey("a"), decide.OutcomeOK)
		}
		return near
	}
	if got := count(); got != 8 {
		t.Fatalf("%d of 8 requests in the gateway's failure domain before the evacuation", got)
	}
	x.f.SetEvacuated(x.now, wardturn.Evacuations{
		"near": true,
	}, &x.out)
	x.f.SetEvacuated(x.now, wardturn.Evacuations{}, &x.out)
	if got := count(); got > 2 {
		t.Errorf("%d requests at once to engines presumed cold", got)
	}
	for i := range members { // written before they turned cold
		members[i].Position = 7
	}
	x.f.SetMembers(x.now, members)
	if got := count(); got > 2 {
		t.Errorf("%d requests at once after an entry that may be out of date", got)
	}
	x.now = x.now.Add(4 * time.Second)
	if got := count(); got != 8 {
		t.Errorf("%d of 8 requests once the engines are warm", got)
	}
}

// The cold time in an entry counts from when the entry was first read. Reading it again, in
// another list or from another gateway, does not extend it.
func TestColdByEntry(t *testing.T) {
	x, members := newEvacuationFixture()
	x.holdEverywhere("a")
	cold := func(seen wardturn.Position, left time.Duration) {
		for i := range members {
			members[i].Position = seen
			members[i].ColdFor = left
		}
		x.f.SetMembers(x.now, members)
	}
	served := func() int {
		n := 0
		for range 16 {
			if a, ok := x.admitFor(fleetService, adapterKey("a"), nil); ok && a.Member.ID != "" {
				n++
				x.f.RequestEnded(x.now, a.Member.ID, adapterKey("a"), decide.OutcomeOK)
			}
		}
		return n
	}
	cold(5, 2*time.Second)
	if got := served(); got > 4 {
		t.Errorf("%d requests at once to four cold engines", got)
	}
	x.now = x.now.Add(1500 * time.Millisecond)
	cold(5, 2*time.Second) // the same entry
	x.now = x.now.Add(600 * time.Millisecond)
	if got := served(); got != 16 {
		t.Errorf("%d of 16 requests served by warm engines", got)
	}
	cold(9, 2*time.Second)
	cold(12, 0)
	cold(9, 2*time.Second) // an older entry that arrives late
	if got := served(); got != 16 {
		t.Errorf("%d of 16 requests served after an older entry", got)
	}
	x.f.ObserveCold(x.now, "n0", time.Second)
	x.f.ObserveCold(x.now, "n1", time.Second)
	if a, _ := x.admitFor(fleetService, adapterKey("a"), nil); a.Member.Domain == "near" {
		t.Errorf("a request was sent to %s, which has just reported that it is cold", a.Member.ID)
	}
}

// Adapters in use in an evacuated failure domain are loaded elsewhere at once. Otherwise
// the next requests for all of them would wait for loads that begin at the same time.
func TestAdaptersInUseAreLoadedElsewhere(t *testing.T) {
	x, _ := newEvacuationFixture()
	x.setAdapters("n0", readyAdapter("used", 1), readyAdapter("idle", 1), readyAdapter("spread", 1))
	x.setAdapters("f0", readyAdapter("spread", 1))
	for _, name := range []string{"used", "spread"} {
		if a, _ := x.admitFor(fleetService, adapterKey(name), nil); a.Member.ID != "n0" {
			t.Fatalf("%s: %+v", name, a)
		}
	}
	x.out.LoadRequests = nil
	x.f.SetEvacuated(x.now, wardturn.Evacuations{
		"near": true,
	}, &x.out)
	if len(x.out.LoadRequests) != 1 || x.out.LoadRequests[0].Adapter.Adapter != "used" {
		t.Fatalf("requested %+v, want only the adapter that is in use and held nowhere else", x.out.LoadRequests)
	}
	home := x.out.LoadRequests[0].Upstream
	if home != "f0" && home != "f1" {
		t.Errorf("load requested at %s", home)
	}
	x.setAdapters(string(home), readyAdapter("used", 1))
	if a, ok := x.admitFor(fleetService, adapterKey("used"), nil); !ok || a.Member.ID != home {
		t.Errorf("next request: %+v", a)
	}
	x.tick(10 * time.Second)
	if len(x.out.LoadRequests) != 1 {
		t.Errorf("requested again: %+v", x.out.LoadRequests)
	}
}
