package decide_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/decide"
)

var _ = Describe("Fleet", func() {
	var x *fleetFixture
	BeforeEach(func() {
		x = newFleetFixture()
	})

	It("sends a request to an engine that holds its adapter, preferring its own failure domain", func() {
		x.setAdapters("f0", readyAdapter("a", 1))
		x.admit("r1", "a")
		Expect(x.assigned["r1"].Member.ID).To(BeEquivalentTo("f0"))
		x.setAdapters("n1", readyAdapter("a", 1))
		x.admit("r2", "a")
		Expect(x.assigned["r2"].Member.ID).To(BeEquivalentTo("n1"))
		Expect(x.out.LoadRequests).To(BeEmpty())
	})

	It("sends requests again to an engine that refused a connection after a while", func() {
		x.setAdapters("n0", readyAdapter("a", 1))
		x.f.ConnectionRefused(x.now, "n0")
		x.admit("r", "a")
		Expect(x.assigned).To(BeEmpty())
		x.tick(410 * time.Millisecond)
		Expect(x.assigned["r"].Member.ID).To(BeEquivalentTo("n0"))
	})

	It("skips engines that leave or whose address another lifetime answers at", func() {
		x.setAdapters("n0", readyAdapter("a", 1))
		x.setAdapters("n1", readyAdapter("a", 1))
		x.f.IncarnationReplaced("n0")
		x.admit("r1", "a")
		Expect(x.assigned["r1"].Member.ID).To(BeEquivalentTo("n1"))
		list := fleetMembers()
		list[1].Draining = true
		x.f.SetMembers(x.now, list)
		x.admit("r2", "a")
		Expect(x.assigned).NotTo(HaveKey("r2"))
	})

	It("uses the entry written last for an address", func() {
		list := fleetMembers()
		again := list[0]
		again.ID = "n0-again"
		again.Position = 9
		list[0].Position = 8
		x.f.SetMembers(x.now, append(list, again))
		x.setAdapters("n0", readyAdapter("a", 1))
		x.setAdapters("n0-again", readyAdapter("a", 1))
		x.admit("r", "a")
		Expect(x.assigned["r"].Member.ID).To(BeEquivalentTo("n0-again"))
	})

	// Guards against entries of another writer that take live upstreams out of use.
	It("is not displaced at its address by an entry of a service that is not configured", func() {
		list := fleetMembers()
		x.f.SetTable(&wardturn.RouteTable{
			Services: map[wardturn.ServiceName]wardturn.ServiceSpec{
				list[0].Service: {},
			},
		})
		foreign := list[0]
		foreign.ID = "foreign"
		foreign.Service = "foreign"
		foreign.Position = 9
		list[0].Position = 8
		x.f.SetMembers(x.now, append(list[:1], foreign))
		x.setAdapters("n0", readyAdapter("a", 1))
		x.admit("r", "a")
		Expect(x.assigned["r"].Member.ID).To(BeEquivalentTo("n0"))
	})

	It("ignores a keeper's update for a moment after its engine refused a request as not held", func() {
		x.setAdapters("n0", readyAdapter("a", 1))
		x.f.NotHeld(x.now, "n0", adapterKey("a"))
		x.admit("r", "a")
		Expect(x.assigned).To(BeEmpty())
		x.tick(310 * time.Millisecond)
		Expect(x.assigned["r"].Member.ID).To(BeEquivalentTo("n0"))
	})

	It("applies incremental engine updates", func() {
		x.setAdapters("n0", readyAdapter("a", 1), readyAdapter("b", 1))
		x.f.ApplyEngineUpdate(x.now, "n0", decide.EngineUpdate{
			Connected: true,
			Known:     true,
			Models:    []wardturn.BaseModel{"m"},
			Adapters:  []decide.HeldVersion{readyAdapter("c", 1)},
			Unloaded:  []wardturn.ModelAdapter{adapterKey("a")},
		}, &x.out)
		x.admit("b", "b")
		x.admit("c", "c")
		x.admit("a", "a")
		Expect(x.assigned).To(HaveLen(2))
	})

	It("withdraws a request whose caller has gone", func() {
		r := x.admit("r", "a")
		x.f.Withdraw(r)
		x.setAdapters(string(x.out.LoadRequests[0].Upstream), readyAdapter("a", 1))
		Expect(x.assigned).To(BeEmpty())
		Expect(x.f.Usage(x.out.LoadRequests[0].Upstream)).To(BeEmpty())
	})

	It("reports each change in the use of adapters once", func() {
		x.setAdapters("n0", readyAdapter("a", 1))
		x.admit("r", "a")
		counts := x.f.Usage("n0")
		Expect(counts).To(HaveLen(1))
		Expect(counts[0].Started).To(Equal(1))
		Expect(counts[0].Running).To(Equal(1))
		Expect(x.f.Usage("n0")).To(BeEmpty())
		x.f.RequestEnded(x.now, "n0", adapterKey("a"), decide.OutcomeOK)
		Expect(x.f.Usage("n0")[0].Running).To(BeZero())
	})

	Context("for a plain service", func() {
		BeforeEach(func() {
			x.f.SetTable(fleetTable(nil))
		})

		It("uses the upstreams of its own failure domain until they are full, then the others", func() {
			for i := range 8 {
				x.admit(fmt.Sprint("r", i), "")
				Expect(string(x.assigned[fmt.Sprint("r", i)].Member.ID)).To(HavePrefix("n"))
			}
			x.admit("more", "")
			Expect(string(x.assigned["more"].Member.ID)).To(HavePrefix("f"))
		})

		It("avoids an upstream that responds slowly, and tries it again later", func() {
			ids := func() map[wardturn.UpstreamID]int {
				n := make(map[wardturn.UpstreamID]int)
				for range 20 {
					x.admit("r", "")
					id := x.assigned["r"].Member.ID
					n[id]++
					took := 30 * time.Millisecond
					if string(id)[0] == 'n' {
						took = 200 * time.Millisecond
					}
					x.f.ResponseTimed(x.now, id, took)
					x.f.RequestEnded(x.now, id, adapterKey(""), decide.OutcomeOK)
				}
				return n
			}
			ids()
			n := ids()
			Expect(n["n0"] + n["n1"]).To(BeZero())
			x.now = x.now.Add(10 * time.Second)
			n = ids()
			Expect(n["n0"] + n["n1"]).NotTo(BeZero())
		})

		It("avoids an upstream that fails more often than others", func() {
			for range 30 {
				x.admit("r", "")
				id := x.assigned["r"].Member.ID
				outcome := decide.OutcomeOK
				if id == "n0" {
					outcome = decide.OutcomeError
				}
				x.f.RequestEnded(x.now, id, adapterKey(""), outcome)
			}
			for range 5 {
				x.admit("r", "")
				Expect(x.assigned["r"].Member.ID).NotTo(BeEquivalentTo("n0"))
				x.f.RequestEnded(x.now, x.assigned["r"].Member.ID, adapterKey(""), decide.OutcomeOK)
			}
		})

		It("refuses requests with different reasons if all upstreams are full and if there are none", func() {
			for i := range 32 {
				x.admit(fmt.Sprint("r", i), "")
			}
			x.admit("over", "")
			Expect(x.assigned["over"].Reason).To(Equal(wardturn.ReasonQueueFull))
			x.f.SetMembers(x.now, nil)
			x.admit("none", "")
			Expect(x.assigned["none"].Reason).To(Equal(wardturn.ReasonNoUpstream))
		})
	})
})
