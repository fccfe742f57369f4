package decide_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/decide"
	"wardturn/policy"
)

var _ = Describe("Placement", func() {
	var (
		p   *decide.Placement
		now time.Time
	)
	key := func(name string) wardturn.ModelAdapter {
		return wardturn.ModelAdapter{
			Model:   "m",
			Adapter: wardturn.AdapterID(name),
		}
	}
	version := func(name string, v wardturn.Version) wardturn.AdapterVersion {
		return wardturn.AdapterVersion{
			Model:   "m",
			Adapter: wardturn.AdapterID(name),
			Version: v,
		}
	}
	report := func(loading []string, held ...string) {
		st := wardturn.EngineState{
			Models: []wardturn.LoadedModel{
				{
					Name: "m",
				},
			},
		}
		for _, name := range held {
			st.Models[0].Adapters = append(st.Models[0].Adapters, version(name, 1))
		}
		for _, name := range loading {
			st.Loading = append(st.Loading, version(name, 1))
		}
		p.Report(now, st)
	}
	request := func(name string, waiting int) {
		p.RequestLoad(now, "g1", version(name, 1), waiting, 0)
	}
	next := func() (decide.PlacementOrder, bool) {
		return p.Next(now)
	}
	expectNone := func() {
		GinkgoHelper()
		_, ok := next()
		Expect(ok).To(BeFalse())
	}
	expectOrder := func(o decide.PlacementOrder) {
		GinkgoHelper()
		got, ok := next()
		Expect(ok).To(BeTrue())
		Expect(got).To(Equal(o))
	}
	advance := func(d time.Duration) {
		now = now.Add(d)
	}

	It("counts the slots that another adapter could take now", func() {
		Expect(p.FreeSlots(now)).To(Equal(decide.MaxFreeSlots)) // all three slots are empty
		report([]string{"c"}, "a", "b")
		Expect(p.FreeSlots(now)).To(BeZero()) // a and b were just loaded
		advance(time.Second)
		Expect(p.FreeSlots(now)).To(Equal(2)) // a and b are idle
		p.ReportUse(now, "g1", key("a"), 1, 1)
		p.ReportUse(now, "g1", key("b"), 1, 1)
		Expect(p.FreeSlots(now)).To(BeZero())
		p.ReportUse(now, "g1", key("a"), 0, 0)
		advance(time.Second)
		Expect(p.FreeSlots(now)).To(Equal(1)) // a may be evicted
		request("d", 1)
		Expect(p.FreeSlots(now)).To(BeZero()) // its slot is for d
	})

	It("counts two slots for an adapter that is being replaced", func() {
		report([]string{"a"}, "a", "b")
		request("c", 1)
		expectNone()
		advance(10 * time.Millisecond)
		expectNone() // nothing is evicted for c either
		report(nil, "a", "b")
		expectOrder(decide.PlacementOrder{
			Target:  key("c"),
			Version: 1,
		})
	})

	It("first loads the adapter with the most waiting requests over all gateways", func() {
		report(nil)
		for _, g := range []wardturn.Incarnation{"g1", "g2", "g3"} {
			p.RequestLoad(now, g, version("shared", 1), 2, 0)
		}
		request("single", 3)
		expectOrder(decide.PlacementOrder{
			Target:  key("shared"),
			Version: 1,
		})
	})

	BeforeEach(func() {
		now = start
		p = decide.NewPlacement(now, policy.Default{})
		p.SetSpec(wardturn.EngineSpec{
			AdapterSlots: 3,
			Models: []wardturn.ModelSpec{
				{
					Name: "m",
				},
			},
		})
	})

	It("gives no order before the engine has reported", func() {
		request("a", 1)
		expectNone()
	})

	It("loads the model into an empty engine, unless the engine is busy", func() {
		p.Report(now, wardturn.EngineState{})
		expectOrder(decide.PlacementOrder{
			Target: wardturn.ModelAdapter{
				Model: "m",
			},
		})
		p.Report(now, wardturn.EngineState{
			Busy: true,
		})
		expectNone()
	})

	It("loads a requested adapter into a free slot", func() {
		report(nil, "a")
		request("b", 1)
		expectOrder(decide.PlacementOrder{
			Target:  key("b"),
			Version: 1,
		})
	})

	It("counts loading adapters as occupying slots", func() {
		report([]string{"x", "y"}, "a")
		advance(time.Second)
		request("b", 1)
		_, ok := next()
		Expect(ok).To(BeFalse()) // the eviction is only announced
		advance(10 * time.Millisecond)
		got, ok := next()
		Expect(ok).To(BeTrue())
		Expect(got.Unload).To(BeTrue())
	})

	It("has no more than the allowed number of loads in progress", func() {
		p.SetSpec(wardturn.EngineSpec{
			AdapterSlots: 16,
			Models: []wardturn.ModelSpec{
				{
					Name: "m",
				},
			},
		})
		report([]string{"w", "x", "y", "z"})
		request("b", 1)
		expectNone()
	})

	It("evicts the least used adapter after announcing it to the gateways", func() {
		report(nil, "a", "b", "c")
		for range 10 {
			p.ReportUse(now, "g", key("a"), 1, 0)
			p.ReportUse(now, "g", key("c"), 1, 0)
		}
		advance(2 * time.Second)
		request("d", 1)
		expectNone()
		Expect(p.Leaving(key("b"))).To(BeTrue())
		advance(5 * time.Millisecond)
		expectOrder(decide.PlacementOrder{
			Unload: true,
			Target: key("b"),
		})
	})

	It("does not evict adapters that are in use or were just loaded", func() {
		report(nil, "a", "b", "c")
		for _, name := range []string{"a", "b", "c"} {
			p.ReportUse(now, "g", key(name), 1, 1)
		}
		advance(2 * time.Second)
		request("d", 1)
		expectNone()
		Expect(p.Leaving(key("a")) || p.Leaving(key("b")) || p.Leaving(key("c"))).To(BeFalse())
		p.GatewayLost("g")
		expectNone()
		Expect(p.Leaving(key("a")) || p.Leaving(key("b")) || p.Leaving(key("c"))).To(BeTrue())
	})

	// A partitioned gateway can't report its requests, so their adapters used to look
	// idle. An engine that is ordered to unload an adapter in use first waits for the
	// requests to end and refuses all other orders until then. Keeper logs of a network
	// partition show an engine that accepted no orders for up to 2 s.
	It("does not evict adapters that requests of a partitioned gateway may still use", func() {
		runs := func(n int) {
			st := p.State()
			st.Running = n
			p.Report(now, st)
		}
		report(nil, "a", "b", "c")
		for _, name := range []string{"a", "b"} {
			p.ReportUse(now, "g", key(name), 1, 1)
		}
		p.ReportUse(now, "other", key("c"), 1, 1)
		runs(3)
		advance(2 * time.Second)
		p.GatewayLost("g")
		runs(2) // one of the lost gateway's two requests has ended
		request("d", 1)
		expectNone()
		Expect(p.Leaving(key("a")) || p.Leaving(key("b"))).To(BeFalse())
		runs(1) // the remaining request is the other gateway's
		expectNone()
		Expect(p.Leaving(key("a")) || p.Leaving(key("b"))).To(BeTrue())
	})

	It("evicts adapters of a gateway that was partitioned for longer than its requests may take", func() {
		report(nil, "a", "b", "c")
		for _, name := range []string{"a", "b", "c"} {
			p.ReportUse(now, "g", key(name), 1, 1)
		}
		st := p.State()
		st.Running = 3
		p.Report(now, st)
		p.GatewayLost("g")
		advance(20 * time.Second)
		request("d", 1)
		expectNone()
		Expect(p.Leaving(key("a")) || p.Leaving(key("b")) || p.Leaving(key("c"))).To(BeTrue())
	})

	It("keeps an adapter that is requested after its eviction was announced", func() {
		report(nil, "a", "b", "c")
		p.ReportUse(now, "g", key("a"), 5, 0)
		p.ReportUse(now, "g", key("b"), 5, 0)
		advance(2 * time.Second)
		request("d", 1)
		expectNone()
		Expect(p.Leaving(key("c"))).To(BeTrue())
		request("c", 1)
		Expect(p.Leaving(key("c"))).To(BeFalse())
		advance(5 * time.Millisecond)
		expectNone() // the eviction of another one is announced first
		Expect(p.Leaving(key("c"))).To(BeFalse())
	})

	It("replaces an old version after announcing it to the gateways", func() {
		report(nil, "a")
		p.RequestLoad(now, "g1", version("a", 2), 1, 0)
		expectNone()
		Expect(p.Leaving(key("a"))).To(BeTrue())
		advance(5 * time.Millisecond)
		expectOrder(decide.PlacementOrder{
			Target:  key("a"),
			Version: 2,
		})
	})

	It("does not replace a version in use, and loads other adapters meanwhile", func() {
		report(nil, "a")
		advance(time.Second)
		p.ReportUse(now, "g1", key("a"), 1, 1)
		renew := func() {
			p.RequestLoad(now, "g1", version("a", 2), 5, 0)
		}
		renew()
		expectNone()
		Expect(p.Leaving(key("a"))).To(BeTrue())
		for range 10 {
			advance(300 * time.Millisecond)
			renew()
			expectNone()
			Expect(p.Leaving(key("a"))).To(BeTrue()) // so gateways send no new requests to it
		}
		request("b", 1)
		expectOrder(decide.PlacementOrder{
			Target:  key("b"),
			Version: 1,
		})
		p.ReportUse(now, "g1", key("a"), 0, 0)
		report([]string{"b"}, "a")
		expectOrder(decide.PlacementOrder{
			Target:  key("a"),
			Version: 2,
		})
	})

	It("gives no order and announces no eviction while the engine is busy with an order", func() {
		report(nil, "a", "b", "c")
		st := p.State()
		st.Busy = true
		p.Report(now, st)
		advance(time.Second)
		request("d", 1)
		expectNone()
		advance(10 * time.Millisecond)
		expectNone()
		for _, name := range []string{"a", "b", "c"} {
			Expect(p.Leaving(key(name))).To(BeFalse())
		}
		report(nil, "a", "b", "c")
		expectNone()
		advance(10 * time.Millisecond)
		got, ok := next()
		Expect(ok).To(BeTrue())
		Expect(got.Unload).To(BeTrue())
	})

	It("forgets load requests that are not repeated", func() {
		report(nil)
		request("a", 1)
		advance(time.Second)
		expectNone()
	})

	It("never exceeds the number of slots, whatever is requested and reported", func() {
		held := map[string]bool{}
		loading := map[string]bool{}
		state := func() {
			var h, c []string
			for name := range held {
				h = append(h, name)
			}
			for name := range loading {
				c = append(c, name)
			}
			report(c, h...)
		}
		for i := range 2000 {
			request(fmt.Sprint("a", i*7%23), 1+i%3)
			state()
			advance(7 * time.Millisecond)
			if o, ok := next(); ok {
				if o.Unload {
					delete(held, string(o.Target.Adapter))
				} else {
					loading[string(o.Target.Adapter)] = true
				}
			}
			if i%5 == 0 {
				for name := range loading {
					held[name] = true
				}
				clear(loading)
			}
			Expect(len(held) + len(loading)).To(BeNumerically("<=", 3))
		}
	})
})
