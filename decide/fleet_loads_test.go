package decide_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/decide"
)

var _ = Describe("Loads requested by a fleet", func() {
	var x *fleetFixture
	BeforeEach(func() {
		x = newFleetFixture()
	})

	It("asks one engine for an adapter that no engine holds, and has all its requests wait", func() {
		for i := range 5 {
			x.admit(fmt.Sprint("r", i), "a")
		}
		Expect(x.out.LoadRequests).To(HaveLen(1))
		Expect(x.assigned).To(BeEmpty())
		x.now = x.now.Add(250 * time.Millisecond)
		x.setAdapters(string(x.out.LoadRequests[0].Upstream), readyAdapter("a", 1))
		Expect(x.assigned).To(HaveLen(4)) // the batch of the engine is full
		x.tick(100 * time.Millisecond)
		for _, a := range x.assigned {
			Expect(a.Member.ID).To(Equal(x.out.LoadRequests[0].Upstream))
		}
	})

	It("chooses the same engine as other gateways to load an adapter that no engine holds", func() {
		other := decide.NewFleet(decide.FleetConfig{
			Domain: "far",
		})
		other.SetTable(fleetTable(&wardturn.EngineSpec{
			Batch:        4,
			AdapterSlots: 2,
		}))
		other.SetMembers(x.now, fleetMembers())
		var otherActions decide.Actions
		for _, m := range fleetMembers() {
			other.ApplyEngineUpdate(x.now, m.ID, decide.EngineUpdate{
				Connected: true,
				Known:     true,
				Full:      true,
				Models:    []wardturn.BaseModel{"m"},
			}, &otherActions)
		}
		for i := range 4 {
			name := fmt.Sprint("a", i)
			x.admit(name, name)
			other.Admit(x.now, x.newRequest(name, name), &otherActions)
		}
		Expect(x.out.LoadRequests).To(HaveLen(4))
		Expect(otherActions.LoadRequests).To(Equal(x.out.LoadRequests))
	})

	It("asks first for the most recently requested adapter when loads are delayed", func() {
		for i := range 4 {
			x.admit(fmt.Sprint("r", i), fmt.Sprint("a", i))
		}
		x.admit("early", "early")
		x.now = x.now.Add(10 * time.Millisecond)
		x.admit("late", "late")
		Expect(x.out.LoadRequests).To(HaveLen(4))
		x.setAdapters(string(x.out.LoadRequests[0].Upstream), readyAdapter(string(x.out.LoadRequests[0].Adapter.Adapter), 1))
		Expect(x.out.LoadRequests).To(HaveLen(5))
		Expect(x.out.LoadRequests[4].Adapter.Adapter).To(BeEquivalentTo("late"))
	})

	It("gives up a load whose callers have not retried", func() {
		x.admit("r", "a")
		x.tick(430 * time.Millisecond)
		Expect(x.assigned["r"].Reason).To(Equal(wardturn.ReasonLoading))
		for range 4 {
			x.tick(300 * time.Millisecond)
		}
		Expect(x.f.Levels().LoadsInFlight).To(BeZero())
		requests := len(x.out.LoadRequests)
		x.tick(300 * time.Millisecond)
		Expect(x.out.LoadRequests).To(HaveLen(requests))
	})

	It("joins a load that another gateway requested", func() {
		for i, m := range fleetMembers() {
			name := fmt.Sprint("a", i)
			x.setAdapters(string(m.ID), decide.HeldVersion{
				Adapter: adapterVersion(name, 1),
				Loading: true,
			})
			x.admit(name, name)
			Expect(x.out.LoadRequests[i].Upstream).To(Equal(m.ID))
		}
	})

	It("keeps the home of an adapter that is loading other adapters", func() {
		x.admit("first", "a")
		home := x.out.LoadRequests[0].Upstream
		x.tick(2 * time.Second) // its request has ended
		x.f.ApplySettings(decide.FleetConfig{
			Window: decide.WindowConfig{
				Min: 2 * decide.MaxConcurrentLoads,
				Max: 2 * decide.MaxConcurrentLoads,
			},
		})
		x.out.LoadRequests = nil
		var loads []decide.HeldVersion
		for i := range decide.MaxConcurrentLoads {
			loads = append(loads, decide.HeldVersion{
				Adapter: adapterVersion(fmt.Sprint("b", i), 1),
				Loading: true,
			})
		}
		x.setAdapters(string(home), loads...)
		for range 4 {
			x.tick(time.Second)
		}
		x.admit("second", "a")
		Expect(x.out.LoadRequests[len(x.out.LoadRequests)-1].Upstream).To(Equal(home))
	})

	It("bounds its loads, and asks first for the adapter with the most waiting requests", func() {
		for i := range 4 {
			x.admit(fmt.Sprint("r", i), fmt.Sprint("a", i))
		}
		x.admit("one", "single")
		x.admit("two", "wanted")
		x.admit("three", "wanted")
		Expect(x.out.LoadRequests).To(HaveLen(4))
		x.setAdapters(string(x.out.LoadRequests[0].Upstream), readyAdapter(string(x.out.LoadRequests[0].Adapter.Adapter), 1))
		Expect(x.out.LoadRequests).To(HaveLen(5))
		Expect(x.out.LoadRequests[4].Adapter.Adapter).To(BeEquivalentTo("wanted"))
	})

	It("does not count a load from the engine's own memory in the load window", func() {
		x.setAdapters("n0", readyAdapter("a", 1))
		x.setAdapters("n1", readyAdapter("a", 1))
		x.setAdapters("f0", readyAdapter("a", 1))
		x.setAdapters("f1", readyAdapter("a", 1))
		for _, m := range fleetMembers() {
			x.setAdapters(string(m.ID))
		}
		for i := range 4 {
			x.admit(fmt.Sprint("r", i), fmt.Sprint("b", i))
		}
		x.admit("warm", "a")
		Expect(x.out.LoadRequests).To(HaveLen(5))
	})

	It("asks another engine when a load takes too long", func() {
		x.admit("r", "a")
		first := x.out.LoadRequests[0].Upstream
		for range 12 {
			x.tick(100 * time.Millisecond)
			x.admit("r", "a")
		}
		Expect(x.out.LoadRequests[len(x.out.LoadRequests)-1].Upstream).NotTo(Equal(first))
	})

	It("loads an adapter in its own failure domain once many bytes were sent to another one", func() {
		x.setAdapters("f0", readyAdapter("a", 1))
		for range 4 {
			r := x.admit("r", "a")
			x.f.RequestEnded(x.now, x.assigned["r"].Member.ID, r.Key, decide.OutcomeOK)
		}
		Expect(x.out.LoadRequests).To(BeEmpty())
		x.admit("r", "a")
		Expect(x.out.LoadRequests).To(HaveLen(1))
		Expect(string(x.out.LoadRequests[0].Upstream)).To(HavePrefix("n"))
	})

	It("keeps sending requests for held adapters to an engine whose keeper is lost, and asks it for no loads", func() {
		x.setAdapters("n0", readyAdapter("a", 1))
		x.f.KeeperLost("n0")
		x.admit("r", "a")
		Expect(x.assigned["r"].Member.ID).To(BeEquivalentTo("n0"))
		for i := range 20 {
			x.admit(fmt.Sprint("x", i), fmt.Sprint("x", i))
		}
		for _, r := range x.out.LoadRequests {
			Expect(r.Upstream).NotTo(BeEquivalentTo("n0"))
		}
	})
})
