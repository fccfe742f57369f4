package decide_test

import (
	"time"

	"wardturn"
	"wardturn/decide"
)

// fleetService is the service of the engines of a fleetFixture.
const fleetService = wardturn.ServiceName("llm")

// fleetFixture is a Fleet with two engines in its own failure domain and two in another,
// and the results of its decisions.
type fleetFixture struct {
	f        *decide.Fleet
	now      time.Time
	assigned map[string]decide.Assignment // by request
	out      decide.Actions
}

func adapterKey(name string) wardturn.ModelAdapter {
	return wardturn.ModelAdapter{
		Model:   "m",
		Adapter: wardturn.AdapterID(name),
	}
}

func adapterVersion(name string, v wardturn.Version) wardturn.AdapterVersion {
	return wardturn.AdapterVersion{
		Model:   "m",
		Adapter: wardturn.AdapterID(name),
		Version: v,
	}
}

func readyAdapter(name string, v wardturn.Version) decide.HeldVersion {
	return decide.HeldVersion{
		Adapter: adapterVersion(name, v),
		Ready:   true,
	}
}

func fleetTable(engine *wardturn.EngineSpec) *wardturn.RouteTable {
	return &wardturn.RouteTable{
		Version: 1,
		Routes: []wardturn.Route{
			{
				Name:     "ask",
				MaxPause: 400 * time.Millisecond,
				Targets: []wardturn.RouteTarget{
					{
						Service: fleetService,
						Weight:  1,
					},
				},
			},
		},
		Services: map[wardturn.ServiceName]wardturn.ServiceSpec{
			fleetService: {
				Name:   fleetService,
				Engine: engine,
			},
		},
	}
}

func fleetMembers() []wardturn.Member {
	member := func(id, domain string) wardturn.Member {
		return wardturn.Member{
			ID:      wardturn.UpstreamID(id),
			Service: fleetService,
			Addr:    id + ":1",
			Domain:  wardturn.FailureDomain(domain),
			Slots:   4,
		}
	}
	return []wardturn.Member{
		member("n0", "near"),
		member("n1", "near"),
		member("f0", "far"),
		member("f1", "far"),
	}
}

// newFleetFixture returns a fleet whose engines hold no adapters.
func newFleetFixture() *fleetFixture {
	return newLimitedFixture(nil)
}

// newLimitedFixture is newFleetFixture with the request rate limits stated by upstreams.
func newLimitedFixture(limits *decide.Limits) *fleetFixture {
	x := &fleetFixture{
		now:      start,
		assigned: make(map[string]decide.Assignment),
		f: decide.NewFleet(decide.FleetConfig{
			Domain:              "near",
			MaxCrossDomainBytes: 5000,
			// The last request on an old version is sent 3 s after the newer one is
			// announced.
			VersionBound: 4500 * time.Millisecond,
			Limits:       limits,
			Random:       func() float64 { return 0 },
			Window: decide.WindowConfig{
				Start: 4,
				Max:   4,
			},
		}),
	}
	x.f.SetTable(fleetTable(&wardturn.EngineSpec{
		Batch:        4,
		AdapterSlots: 2,
	}))
	x.f.SetMembers(x.now, fleetMembers())
	for _, m := range fleetMembers() {
		x.setAdapters(string(m.ID))
	}
	return x
}

// setAdapters has an engine's keeper report all adapters that it holds.
func (x *fleetFixture) setAdapters(id string, adapters ...decide.HeldVersion) {
	x.f.ApplyEngineUpdate(x.now, wardturn.UpstreamID(id), decide.EngineUpdate{
		Connected: true,
		Known:     true,
		Full:      true,
		Models:    []wardturn.BaseModel{"m"},
		Adapters:  adapters,
		FreeSlots: decide.MaxFreeSlots,
	}, &x.out)
}

func (x *fleetFixture) newRequest(id, adapter string) *decide.PendingRequest {
	return &decide.PendingRequest{
		Service:   fleetService,
		Key:       adapterKey(adapter),
		Arrived:   x.now,
		Objective: 600 * time.Millisecond,
		Deadline:  x.now.Add(5 * time.Second),
		Bytes:     1000,
		Assign: func(a decide.Assignment) {
			x.assigned[id] = a
		},
	}
}

func (x *fleetFixture) admit(id, adapter string) *decide.PendingRequest {
	r := x.newRequest(id, adapter)
	x.f.Admit(x.now, r, &x.out)
	return r
}

func (x *fleetFixture) tick(d time.Duration) {
	x.now = x.now.Add(d)
	x.f.Tick(x.now, &x.out)
}

// accepts reports whether a request that was assigned to an engine may still be sent there.
func (x *fleetFixture) accepts(now time.Time, id wardturn.UpstreamID) bool {
	return x.f.Accepts(now, wardturn.Member{
		ID:     id,
		Domain: "near",
	})
}
