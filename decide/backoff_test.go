package decide_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/decide"
)

// Upstreams that refuse requests have the lowest load: without a backoff each next request
// would be sent to them first.
var _ = Describe("An upstream that asked for a backoff", func() {
	var x *fleetFixture
	BeforeEach(func() {
		x = newFleetFixture()
	})
	backOffAll := func(d time.Duration) {
		for _, m := range fleetMembers() {
			x.f.BackOff(x.now, m.ID, d)
		}
	}

	It("has its adapters loaded elsewhere at the first request", func() {
		x.setAdapters("n0", readyAdapter("a", 1))
		x.f.BackOff(x.now, "n0", 3*time.Second)
		x.out.LoadRequests = nil
		x.admit("r", "a")
		Expect(x.out.LoadRequests).To(HaveLen(1))
		Expect(x.out.LoadRequests[0].Upstream).NotTo(BeEquivalentTo("n0"))
		x.setAdapters(string(x.out.LoadRequests[0].Upstream), readyAdapter("a", 1))
		x.tick(10 * time.Millisecond)
		Expect(x.assigned["r"].Member.ID).To(Equal(x.out.LoadRequests[0].Upstream))
	})

	It("keeps its backoff if it is missing from a list, asks for a shorter one, or restarts under its name", func() {
		x.setAdapters("n0", readyAdapter("a", 1))
		x.f.BackOff(x.now, "n0", 3*time.Second)
		x.f.BackOff(x.now, "n0", time.Second)
		x.f.SetMembers(x.now, fleetMembers()[1:])
		again := fleetMembers()
		again[0].ID = wardturn.NewUpstreamID("n0", 7)
		x.f.SetMembers(x.now, again)
		x.setAdapters(string(again[0].ID), readyAdapter("a", 1))
		x.now = x.now.Add(2900 * time.Millisecond)
		Expect(x.accepts(x.now, again[0].ID)).To(BeFalse())
		x.admit("during", "a")
		Expect(x.assigned).NotTo(HaveKey("during"))
		x.now = x.now.Add(101 * time.Millisecond)
		x.admit("after", "a")
		Expect(x.assigned["after"].Member.ID).To(Equal(again[0].ID))
	})

	It("gets one trial request after it, and the others once that is answered", func() {
		x.setAdapters("n0", readyAdapter("a", 1))
		x.f.BackOff(x.now, "n0", time.Second)
		x.now = x.now.Add(time.Second)
		sent := x.now
		x.admit("first", "a")
		Expect(x.assigned["first"].Member.ID).To(BeEquivalentTo("n0"))
		x.admit("second", "a")
		Expect(x.assigned).NotTo(HaveKey("second"))
		x.f.ClearBackoff("n0", sent.Add(-time.Millisecond))
		x.tick(10 * time.Millisecond)
		Expect(x.assigned).NotTo(HaveKey("second"), "a response to a request sent before the end of the backoff does not count")
		x.f.ClearBackoff("n0", sent)
		x.tick(10 * time.Millisecond)
		Expect(x.assigned["second"].Member.ID).To(BeEquivalentTo("n0"))
	})

	It("is as attractive after it as before its refusals", func() {
		x.setAdapters("n0", readyAdapter("a", 1))
		x.setAdapters("n1", readyAdapter("a", 1))
		for range 10 {
			x.f.RefusedAsFull(x.now, "n0", true)
			x.f.BackOff(x.now, "n0", 100*time.Millisecond)
		}
		x.now = x.now.Add(100 * time.Millisecond)
		x.f.ClearBackoff("n0", x.now)
		counts := make(map[wardturn.UpstreamID]int)
		for i := range 4 {
			id := fmt.Sprint("r", i)
			x.admit(id, "a")
			counts[x.assigned[id].Member.ID]++
		}
		Expect(counts["n0"]).To(Equal(2), "%v", counts)
	})

	It("makes new and waiting requests fail at once if all upstreams are backing off", func() {
		x.admit("waits", "a")
		Expect(x.assigned).NotTo(HaveKey("waits"))
		backOffAll(2 * time.Second)
		x.f.BackOff(x.now, "f1", time.Second)
		x.tick(10 * time.Millisecond)
		x.admit("comes", "b")
		for _, id := range []string{"waits", "comes"} {
			Expect(x.assigned[id].Reason).To(Equal(wardturn.ReasonBackoff))
			Expect(x.assigned[id].RetryAfter).To(BeNumerically("~", 2*time.Second, 20*time.Millisecond))
		}
	})

	It("gives callers different retry delays, also after a long backoff", func() {
		draw := 0.0
		f := decide.NewFleet(decide.FleetConfig{
			Domain: "near",
			Random: func() float64 { return draw },
		})
		f.SetTable(fleetTable(nil))
		f.SetMembers(x.now, fleetMembers())
		for _, m := range fleetMembers() {
			f.BackOff(x.now, m.ID, 20*time.Second)
		}
		retryDelay := func() (retryAfter time.Duration) {
			r := x.newRequest("plain", "")
			r.Assign = func(a decide.Assignment) {
				retryAfter = a.RetryAfter
			}
			f.Admit(x.now, r, &x.out)
			return retryAfter
		}
		Expect(retryDelay()).To(Equal(20 * time.Second))
		draw = 0.9
		Expect(retryDelay()).To(BeNumerically(">", 22*time.Second))
	})

	It("gets a backoff of at most one hour, and none if it asks for zero", func() {
		x.f.BackOff(x.now, "n0", 0)
		Expect(x.accepts(x.now, "n0")).To(BeTrue())
		x.f.BackOff(x.now, "n0", 1e8*time.Second)
		Expect(x.accepts(x.now.Add(59*time.Minute), "n0")).To(BeFalse())
		Expect(x.accepts(x.now.Add(61*time.Minute), "n0")).To(BeTrue())
	})
})
