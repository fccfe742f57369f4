package capacity

import (
	"fmt"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
	"wardturn/policy"
	"wardturn/standin"
)

const (
	fleetService = wardturn.ServiceName("llm")
	fleetModel   = wardturn.BaseModel("m")
	// placesHeld is how many adapters each engine of a measurement holds.
	placesHeld = 16
)

// fleetKey returns one of the adapters of the size in two years.
func fleetKey(i int) wardturn.ModelAdapter {
	return wardturn.ModelAdapter{
		Model:   fleetModel,
		Adapter: ref(i).Adapter,
	}
}

// newFleet returns a gateway's view of n engines; engine e holds the adapters
// from placesHeld*e on.
func newFleet(now time.Time, n int) *decide.Fleet {
	f := decide.NewFleet(decide.FleetConfig{
		Domain:     "d0",
		CrossBytes: 28_000,
	})
	f.SetTable(&wardturn.RouteTable{
		Version: 1,
		Services: map[wardturn.ServiceName]wardturn.ServiceSpec{
			fleetService: {
				Name: fleetService,
				Engine: &wardturn.EngineSpec{
					Batch:        48,
					AdapterSlots: placesHeld,
				},
			},
		},
	})
	members := make([]wardturn.Member, 0, n)
	for i := range n {
		members = append(members, wardturn.Member{
			ID:      wardturn.UpstreamID(fmt.Sprintf("u%04d", i)),
			Service: fleetService,
			Addr:    fmt.Sprintf("10.0.%d.%d:1", i/256, i%256),
			Domain:  wardturn.FailureDomain(fmt.Sprintf("d%d", i%3)),
			Slots:   48,
		})
	}
	f.SetMembers(now, members)
	var out decide.Moves
	for i, m := range members {
		h := decide.Holding{
			Connected: true,
			Known:     true,
			Full:      true,
			Models:    []wardturn.BaseModel{fleetModel},
		}
		for j := range placesHeld {
			key := fleetKey(placesHeld*i + j)
			h.Adapters = append(h.Adapters, decide.HeldVersion{
				Adapter: wardturn.AdapterVersion{
					Model:   key.Model,
					Adapter: key.Adapter,
					Version: 1,
				},
				Ready: true,
			})
		}
		f.SetHolding(now, m.ID, h, &out)
	}
	return f
}

// FleetPlacing measures a gateway's decision for a request whose adapter is held,
// from its admission to its end, by the number of engines.
func FleetPlacing() Series {
	s := Series{
		Name: "gateway decisions for a request whose adapter is held",
		Size: "engines",
		Unit: "ns",
	}
	for _, n := range []int{18, 262, 1000, 2100} {
		now := standin.Epoch
		f := newFleet(now, n)
		cost := timed(func(i int) {
			now = now.Add(time.Millisecond)
			key := fleetKey((i * 7919) % (placesHeld * n))
			admitOnce(f, now, key)
		})
		s.Points = append(s.Points, Point{float64(n), cost})
	}
	return s
}

// admitOnce admits a request, and ends it if it was placed.
func admitOnce(f *decide.Fleet, now time.Time, key wardturn.ModelAdapter) {
	var out decide.Moves
	t := &decide.Ticket{
		Service:   fleetService,
		Key:       key,
		Arrived:   now,
		Objective: 600 * time.Millisecond,
		Deadline:  now.Add(5 * time.Second),
		Prompt:    600,
		Assign: func(a decide.Assignment) {
			if a.Member.ID != "" {
				f.Began(a.Member.ID, 600)
				f.Ended(now, a.Member.ID, key, decide.EndedWell)
			}
		},
	}
	f.Admit(now, t, &out)
	f.Withdraw(t)
}

// FleetAsking measures a gateway's decision for a request whose adapter is
// nowhere: it chooses the engine that loads it, by the number of engines.
func FleetAsking() Series {
	s := Series{
		Name: "gateway decisions for a request whose adapter is nowhere",
		Size: "engines",
		Unit: "ns",
	}
	for _, n := range []int{18, 262, 1000, 2100} {
		now := standin.Epoch
		f := newFleet(now, n)
		held := placesHeld * n
		cost := timed(func(i int) {
			if i%64 == 0 { // the wants of a burst are forgotten together
				now = now.Add(10 * time.Second)
				var out decide.Moves
				f.Tick(now, &out)
			}
			admitOnce(f, now, fleetKey(held+i%(adaptersLarge-held)))
		})
		s.Points = append(s.Points, Point{float64(n), cost})
	}
	return s
}

// KeeperChoosing measures how a keeper finds the order that is due, by the number
// of adapters that gateways wish for.
func KeeperChoosing() Series {
	s := Series{
		Name: "keeper's choice of an order",
		Size: "wishes",
		Unit: "ns",
	}
	for _, n := range []int{4, 64, 256} {
		now := standin.Epoch
		p := decide.NewPlaces(now, policy.Default{})
		p.SetSpec(wardturn.EngineSpec{
			AdapterSlots: placesHeld,
			Models: []wardturn.ModelSpec{
				{
					Name: fleetModel,
				},
			},
		})
		p.Report(now, wardturn.EngineState{
			Models: []wardturn.LoadedModel{
				{
					Name: fleetModel,
				},
			},
		})
		for i := range n {
			key := fleetKey(i)
			p.Wish(now, "g", wardturn.AdapterVersion{
				Model:   key.Model,
				Adapter: key.Adapter,
				Version: 1,
			}, 1+i%7, 0)
		}
		cost := timed(func(int) {
			p.Next(now)
		})
		s.Points = append(s.Points, Point{float64(n), cost})
	}
	return s
}

// StoreReads measures how often the list of upstreams is read in an hour by all
// gateways that share their readings, by their number, in virtual time. Words
// take 2 ms; one gateway in a hundred is replaced each minute.
func StoreReads() Series {
	s := Series{
		Name: "readings of the list of upstreams by all gateways",
		Size: "gateways",
		Unit: "reads/h",
	}
	for _, n := range []int{3, 28, 100, 470} {
		s.Points = append(s.Points, Point{float64(n), storeReads(n)})
	}
	return s
}

const (
	readEvery = time.Second
	readStep  = 2 * time.Millisecond // of virtual time; also how long a word takes
	readFor   = 10 * time.Minute
)

func storeReads(n int) float64 {
	now := standin.Epoch
	started := 0
	start := func() (wardturn.Incarnation, *decide.ReadTurn) {
		started++
		id := wardturn.Incarnation(fmt.Sprintf("%08x", uint32(started)*2654435761))
		return id, decide.NewReadTurn(now, id, decide.ReadTurnConfig{
			Every: readEvery,
			Pause: readEvery,
			Least: readEvery / 4,
		})
	}
	ids := make([]wardturn.Incarnation, n)
	turns := make([]*decide.ReadTurn, n)
	for i := range turns {
		ids[i], turns[i] = start()
	}
	reads := 0
	replaced := time.Minute / time.Duration(max(1, n/100))
	for ; now.Sub(standin.Epoch) < readFor; now = now.Add(readStep) {
		if now.Sub(standin.Epoch)%replaced < readStep {
			i := reads % n
			ids[i], turns[i] = start()
		}
		reads += readDue(now, ids, turns)
	}
	return float64(reads) * time.Hour.Hours() / readFor.Hours()
}

// readDue has the gateways read whose turn it is, and tells the others.
func readDue(now time.Time, ids []wardturn.Incarnation, turns []*decide.ReadTurn) int {
	var due []int
	for i, t := range turns {
		if !t.DueAt(now).After(now) {
			due = append(due, i)
		}
	}
	for _, i := range due {
		turns[i].Began(now)
		stamp := turns[i].Read(now)
		for j, t := range turns {
			if j != i {
				t.Heard(now.Add(readStep), ids[i], stamp)
			}
		}
	}
	return len(due)
}

// changeBytes is what one change of a holding costs on the wire to one gateway:
// the frame and what TCP and IP add to it and to its acknowledgement.
func changeBytes() (float64, error) {
	key := fleetKey(1)
	frame, err := peer.AppendFrame(nil, &peer.Holding{
		Known:    true,
		Upstream: "i-0123456789",
		Models:   []wardturn.BaseModel{fleetModel},
		Adapters: []peer.HeldAdapter{
			{
				Adapter: wardturn.AdapterVersion{
					Model:   key.Model,
					Adapter: key.Adapter,
					Version: 1,
				},
			},
		},
		Running:  12,
		Gateways: 59,
	})
	if err != nil {
		return 0, err
	}
	const headers = 2 * 66 // of the segment and of its acknowledgement
	return float64(len(frame) + headers), nil
}
