package decide_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/decide"
)

// loadReplay runs a fleet in virtual time with keepers that load every requested adapter
// within loadTime and unload it afterwards.
type loadReplay struct {
	*fleetFixture
	loadTime time.Duration
	begun    map[string]time.Time // start of the loads in progress, by adapter
	orders   map[string]decide.LoadRequest
	seen     int            // load requests handled
	loads    map[string]int // finished loads, by adapter
	refused  map[string]time.Duration
	served   map[string]time.Duration // wait of the requests that were assigned
}

func newLoadReplay() *loadReplay {
	x := &loadReplay{
		fleetFixture: newRankedFixture(),
		loadTime:     300 * time.Millisecond,
		begun:        make(map[string]time.Time),
		orders:       make(map[string]decide.LoadRequest),
		loads:        make(map[string]int),
		refused:      make(map[string]time.Duration),
		served:       make(map[string]time.Duration),
	}
	return x
}

// admit admits a request of a rank and a deadline, which continues a stream of a software
// version if one is given. It has left its engine when it was assigned.
func (x *loadReplay) admit(id, adapter string, rank int, deadline time.Duration, software ...wardturn.SoftwareVersion) {
	r := x.newRequest(id, adapter)
	r.Software = software
	arrived := x.now
	r.Deadline = arrived.Add(deadline)
	r.Urgency = decide.Urgency{
		Rank:     rank,
		Since:    arrived,
		LateAt:   arrived.Add(r.Objective),
		Deadline: r.Deadline,
	}
	r.Assign = func(a decide.Assignment) {
		if a.Member.ID == "" {
			x.refused[id] = x.now.Sub(arrived)
			return
		}
		x.served[id] = x.now.Sub(arrived)
		x.f.RequestEnded(x.now, a.Member.ID, r.Key, decide.OutcomeOK)
	}
	x.f.Admit(x.now, r, &x.out)
}

// run advances the time in steps of 10 ms and calls each at every step.
func (x *loadReplay) run(d time.Duration, each func()) {
	for end := x.now.Add(d); x.now.Before(end); {
		if each != nil {
			each()
		}
		x.tick(10 * time.Millisecond)
		x.startLoads()
		x.finishLoads()
	}
}

func (x *loadReplay) startLoads() {
	for ; x.seen < len(x.out.LoadRequests); x.seen++ {
		r := x.out.LoadRequests[x.seen]
		name := string(r.Adapter.Adapter)
		if _, loading := x.begun[name]; loading {
			continue
		}
		x.begun[name] = x.now
		x.orders[name] = r
		x.reportAdapter(r, decide.HeldVersion{
			Adapter: adapterVersion(name, 1),
			Loading: true,
		})
	}
}

func (x *loadReplay) finishLoads() {
	for name, at := range x.begun {
		if x.now.Sub(at) < x.loadTime {
			continue
		}
		delete(x.begun, name)
		x.loads[name]++
		x.reportAdapter(x.orders[name], readyAdapter(name, 1))
	}
}

var _ = Describe("Requests whose deadline allows a late response", func() {
	var x *loadReplay
	BeforeEach(func() {
		x = newLoadReplay()
	})

	// Guards against refusals of requests whose callers would wait for 12 s, when more
	// adapters are wanted for a moment than the window allows.
	It("wait for their loads after a burst of missing adapters", func() {
		for i := range 10 {
			x.admit(fmt.Sprint("r", i), fmt.Sprint("a", i), 2, 12*time.Second)
		}
		x.run(5*time.Second, nil)
		Expect(x.refused).To(BeEmpty())
		Expect(x.served).To(HaveLen(10))
	})

	// Guards against refusals of resumed streams whose adapters only engines of another version
	// hold, where new streams are served.
	It("wait for their loads if only engines that may not run them hold their adapters", func() {
		members := fleetMembers()
		for i, m := range members {
			members[i].Software = "v1"
			if m.Domain == "far" {
				members[i].Software = "v2"
			}
		}
		x.f.SetMembers(x.now, members)
		var held []decide.HeldVersion
		for i := range 10 {
			held = append(held, readyAdapter(fmt.Sprint("a", i), 1))
		}
		x.setAdapters("f0", held...)
		for i := range 10 {
			x.admit(fmt.Sprint("r", i), fmt.Sprint("a", i), 2, 12*time.Second, "v1")
		}
		x.run(5*time.Second, nil)
		Expect(x.refused).To(BeEmpty())
		Expect(x.served).To(HaveLen(10))
	})

	It("are refused at once if their deadline is near", func() {
		for i := range 10 {
			x.admit(fmt.Sprint("r", i), fmt.Sprint("a", i), 2, 1200*time.Millisecond)
		}
		x.run(5*time.Second, nil)
		Expect(x.refused).NotTo(BeEmpty())
		for _, waited := range x.refused {
			Expect(waited).To(BeNumerically("<=", 600*time.Millisecond))
		}
	})

	// Guards against refusals whose log line can't be compared with what happened.
	It("name rank, team and the predicted wait when they are refused", func() {
		x.fillWindow()
		for i := range 10 {
			x.admitRanked(fmt.Sprint("r", i), fmt.Sprint("a", i), 2, "team")
		}
		for range 300 {
			x.tick(10 * time.Millisecond) // no load ends
		}
		for i := range 10 {
			a := x.assigned[fmt.Sprint("r", i)]
			Expect(a.Reason).To(Equal(wardturn.ReasonLoading))
			Expect(a.Rank).To(Equal(2))
			Expect(a.Team).To(BeEquivalentTo("team"))
		}
		Expect(x.assigned["r9"].Predicted).To(BeNumerically(">", 300*time.Millisecond))
	})

	It("are refused as before where requests have one rank", func() {
		x.f.SetTable(fleetTable(x.f.Engine(fleetService)))
		for i := range 20 {
			x.admit(fmt.Sprint("r", i), fmt.Sprint("a", i), 2, 12*time.Second)
		}
		x.run(5*time.Second, nil)
		Expect(x.refused).NotTo(BeEmpty())
	})

	// Guards against late requests that are held for long and then refused, and that take
	// loads from those in time: 18 adapters a second are wanted and 13 can be loaded.
	It("neither delay requests in time nor wait in vain when loads are short for long", func() {
		serve := func(deadline time.Duration) (urgent int) {
			x = newLoadReplay()
			n := 0
			x.run(6*time.Second, func() {
				n++
				if n%10 == 0 {
					x.admit(fmt.Sprint("urgent", n), fmt.Sprint("u", n), 0, 5*time.Second)
				}
				if n%12 == 0 {
					x.admit(fmt.Sprint("low", n), fmt.Sprint("l", n), 2, deadline)
				}
			})
			for id, waited := range x.served {
				if id[0] == 'u' && waited <= 600*time.Millisecond {
					urgent++
				}
			}
			return urgent
		}
		without := serve(700 * time.Millisecond) // no late response is possible
		with := serve(12 * time.Second)
		Expect(with).To(BeNumerically(">=", without-1))
		for id, waited := range x.refused {
			Expect(waited).To(BeNumerically("<=", 1500*time.Millisecond), id)
		}
	})

	It("are not more than can be served before their deadlines", func() {
		for i := range 200 {
			x.admit(fmt.Sprint("r", i), fmt.Sprint("a", i), 2, 12*time.Second)
		}
		x.run(time.Second, nil)
		waiting := x.f.Levels().Waiting
		Expect(waiting).To(BeNumerically(">", 0))
		x.run(12*time.Second, nil)
		late := 0 // refused after they had waited beyond their objective
		for _, waited := range x.refused {
			if waited > 600*time.Millisecond {
				late++
			}
		}
		Expect(late).To(BeNumerically("<=", waiting/5))
	})

	It("are not more for one adapter than a batch of its engine", func() {
		for i := range 8 {
			x.admit(fmt.Sprint("filler", i), fmt.Sprint("f", i), 0, 5*time.Second)
			x.admit(fmt.Sprint("second", i), fmt.Sprint("f", i), 0, 5*time.Second)
		}
		for i := range 12 {
			x.admit(fmt.Sprint("r", i), "wanted", 5, 12*time.Second)
		}
		x.run(5*time.Second, nil)
		Expect(x.refused).To(HaveLen(8)) // 12 less a batch
	})

	// Guards against requests that wait for most of their deadline for a weight store that has
	// stalled.
	It("are refused when the loads in flight do not end and no others start", func() {
		x.fillWindow()
		for i := range 4 {
			x.admit(fmt.Sprint("r", i), fmt.Sprint("a", i), 2, 12*time.Second)
		}
		for range 100 {
			x.tick(10 * time.Millisecond)
		}
		Expect(x.refused).To(HaveLen(4))
	})

	// Guards against late requests that wait until their deadline without any prediction since
	// further requests for their adapter could be in time.
	It("are refused when no load is predicted, also while others for their adapter could be in time", func() {
		x.fillWindow()
		x.admit("control", "single", 2, 12*time.Second)
		for i := range 300 {
			if i%20 == 0 {
				x.admit(fmt.Sprint("r", i), "wanted", 2, 12*time.Second)
			}
			x.tick(10 * time.Millisecond) // no load ends
		}
		for _, id := range []string{"control", "r0", "r20", "r40", "r60"} {
			Expect(x.refused).To(HaveKeyWithValue(id, BeNumerically("<=", 700*time.Millisecond)))
		}
	})

	// Guards against requests that wait for most of their deadline for an engine with room.
	It("are refused when no engine can take the load", func() {
		for _, m := range fleetMembers() {
			x.f.ApplyEngineUpdate(x.now, m.ID, decide.EngineUpdate{
				Connected: true,
				Known:     true,
				Full:      true,
				Models:    []wardturn.BaseModel{"m"},
				Running:   4,
			}, &x.out)
		}
		x.admit("r", "wanted", 2, 12*time.Second)
		for range 200 {
			x.tick(10 * time.Millisecond)
		}
		Expect(x.out.LoadRequests).To(BeEmpty())
		Expect(x.refused).To(HaveKeyWithValue("r", BeNumerically("<=", time.Second)))
	})

	It("are refused at once when a configuration gives all routes the same rank", func() {
		for i := range 10 {
			x.admit(fmt.Sprint("r", i), fmt.Sprint("a", i), 2, 12*time.Second)
		}
		x.run(700*time.Millisecond, nil)
		Expect(x.f.Levels().Waiting).To(BeNumerically(">", len(x.begun)))
		x.f.SetTable(fleetTable(x.f.Engine(fleetService)))
		x.tick(10 * time.Millisecond)
		x.tick(10 * time.Millisecond)
		Expect(x.f.Levels().Waiting).To(Equal(len(x.begun))) // those whose adapters are being loaded
	})

	It("are served by other engines after keepers were lost", func() {
		for i := range 10 {
			x.admit(fmt.Sprint("r", i), fmt.Sprint("a", i), 2, 12*time.Second)
		}
		x.f.KeeperLost("n0")
		x.f.KeeperLost("f0")
		x.run(8*time.Second, nil)
		Expect(x.refused).To(BeEmpty())
		Expect(x.served).To(HaveLen(10))
	})

	It("are refused when the engines that are asked do not load", func() {
		for i := range 10 {
			x.admit(fmt.Sprint("r", i), fmt.Sprint("a", i), 2, 12*time.Second)
		}
		for range 400 {
			x.tick(10 * time.Millisecond)
		}
		Expect(x.refused).To(HaveLen(10))
	})
})
