package decide_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/decide"
)

var _ = Describe("The home of an adapter that no engine holds", func() {
	var x *fleetFixture
	// report applies a keeper's update with an engine's free slots, its tokens in prefill
	// and the adapters that it has unloaded.
	report := func(id wardturn.UpstreamID, free, prefill int, unloaded ...wardturn.ModelAdapter) {
		x.f.ApplyEngineUpdate(x.now, id, decide.EngineUpdate{
			Connected:     true,
			Known:         true,
			Models:        []wardturn.BaseModel{"m"},
			FreeSlots:     free,
			PrefillTokens: prefill,
			Unloaded:      unloaded,
		}, &x.out)
	}
	// homeOf returns the engine that is asked to load an adapter.
	homeOf := func(adapter string) wardturn.UpstreamID {
		before := len(x.out.LoadRequests)
		x.admit("for "+adapter, adapter)
		Expect(x.out.LoadRequests).To(HaveLen(before + 1))
		return x.out.LoadRequests[before].Upstream
	}
	BeforeEach(func() {
		x = newFleetFixture()
	})

	It("is the one of two engines with fewer tokens in prefill", func() {
		first := homeOf("a")
		x = newFleetFixture()
		report(first, decide.MaxFreeSlots, 20000)
		second := homeOf("a")
		Expect(second).NotTo(Equal(first))
		x = newFleetFixture()
		for _, m := range fleetMembers() {
			if m.ID != first && m.ID != second {
				continue
			}
			report(m.ID, decide.MaxFreeSlots, 20000)
		}
		// It is not a third one, on which gateways may disagree.
		Expect(homeOf("a")).To(BeElementOf(first, second))
	})

	It("has a free slot if any engine has one", func() {
		for i := range 8 {
			x = newFleetFixture()
			spared := fleetMembers()[i%4].ID
			for _, m := range fleetMembers() {
				if m.ID != spared {
					report(m.ID, 0, 0)
				}
			}
			Expect(homeOf(fmt.Sprint("a", i))).To(Equal(spared))
		}
	})

	It("does not assign one slot to two adapters", func() {
		for n := range 10 {
			x = newFleetFixture()
			for _, m := range fleetMembers() {
				report(m.ID, 1, 0)
			}
			homes := make(map[wardturn.UpstreamID]bool)
			for i := range 4 {
				homes[homeOf(fmt.Sprintf("a%d-%d", n, i))] = true
			}
			Expect(homes).To(HaveLen(4))
		}
	})

	It("is the engine that held it before, even if the load window is full", func() {
		x.setAdapters("f1", readyAdapter("old", 1))
		report("f1", decide.MaxFreeSlots, 0, adapterKey("old"))
		for i := range 4 { // fills the window
			homeOf(fmt.Sprint("a", i))
		}
		Expect(homeOf("old")).To(BeEquivalentTo("f1"))
	})

	It("is not the engine that held it before if its prefill takes longer than a load", func() {
		x.setAdapters("f1", readyAdapter("old", 1))
		report("f1", decide.MaxFreeSlots, 20000, adapterKey("old")) // 500 ms
		Expect(homeOf("old")).NotTo(BeEquivalentTo("f1"))
	})

	It("is reported with the cause of the load", func() {
		causes := func(adapter string, id wardturn.UpstreamID) decide.LoadCause {
			x.out.CompletedLoads = nil
			x.now = x.now.Add(250 * time.Millisecond)
			x.setAdapters(string(id), readyAdapter(adapter, 1))
			Expect(x.out.CompletedLoads).To(HaveLen(1))
			return x.out.CompletedLoads[0].Cause
		}
		Expect(causes("a", homeOf("a"))).To(Equal(decide.LoadFirst))
		for _, m := range fleetMembers() {
			x.setAdapters(string(m.ID)) // all have unloaded it
		}
		Expect(causes("a", homeOf("a"))).To(Equal(decide.LoadHeldBefore))
		for _, m := range fleetMembers() {
			x.setAdapters(string(m.ID))
		}
		held := x.out.LoadRequests[0].Upstream
		report(held, 0, 20000)
		Expect(causes("a", homeOf("a"))).To(Equal(decide.LoadMoved))
	})
})
