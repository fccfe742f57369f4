package decide_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/decide"
)

var _ = Describe("An upstream that was seen leaving", func() {
	It("gets no more requests, whatever later lists contain", func() {
		x := newFleetFixture()
		ready := fleetMembers()
		for _, m := range ready {
			x.setAdapters(string(m.ID), readyAdapter("a", 1))
		}
		leaving := fleetMembers()
		leaving[0].Draining = true
		leaving[1].Draining = true
		gone := leaving[2:]
		for _, list := range [][]wardturn.Member{leaving, ready, gone, ready} {
			x.f.SetMembers(x.now, list)
			for _, m := range list {
				x.setAdapters(string(m.ID), readyAdapter("a", 1))
			}
			x.admit("r", "a")
			Expect(string(x.assigned["r"].Member.ID)).To(HavePrefix("f"))
			x.f.RequestEnded(x.now, x.assigned["r"].Member.ID, adapterKey("a"), 0)
		}
	})
})

var _ = Describe("An upstream that announces that it is leaving", func() {
	It("gets no requests and no loads for the rest of its lifetime, whatever lists contain", func() {
		x := newFleetFixture()
		x.setAdapters("n0", readyAdapter("a", 1))
		x.admit("r0", "a")
		Expect(x.assigned["r0"].Member.ID).To(BeEquivalentTo("n0"))
		Expect(x.takes(x.now, "n0")).To(BeTrue())
		x.f.MarkLeaving(x.now, "n0", &x.out)
		Expect(x.out.Leaving).To(ConsistOf(wardturn.UpstreamID("n0")))
		Expect(x.takes(x.now, "n0")).To(BeFalse(), "a request assigned just before")
		for _, list := range [][]wardturn.Member{fleetMembers(), fleetMembers()[1:], fleetMembers()} {
			x.f.SetMembers(x.now, list)
			Expect(x.takes(x.now, "n0")).To(BeFalse())
			x.out.LoadRequests = nil
			x.admit("r1", "a")
			x.tick(afterLoadRequestInterval)
			for _, r := range x.out.LoadRequests {
				Expect(r.Upstream).NotTo(BeEquivalentTo("n0"))
			}
			Expect(x.assigned["r1"].Member.ID).NotTo(BeEquivalentTo("n0"))
		}
	})

	It("gets no request that was assigned to it before its failure domain was evacuated", func() {
		x := newFleetFixture()
		for _, list := range [][]wardturn.Member{fleetMembers(), fleetMembers()[1:]} {
			x.f.SetEvacuated(x.now, nil, &x.out)
			x.f.SetMembers(x.now, list)
			Expect(x.takes(x.now, "n0")).To(BeTrue())
			x.f.SetEvacuated(x.now, wardturn.Evacuations{
				"near": true,
			}, &x.out)
			Expect(x.takes(x.now, "n0")).To(BeFalse())
		}
	})

	It("gets requests in its next lifetime", func() {
		x := newFleetFixture()
		x.f.MarkLeaving(x.now, "n0", &x.out)
		list := fleetMembers()
		list[0].ID = wardturn.NewUpstreamID("n0", 1)
		list[0].Position = 1
		x.f.SetMembers(x.now, list)
		Expect(x.takes(x.now, list[0].ID)).To(BeTrue())
		x.setAdapters(string(list[0].ID), readyAdapter("a", 1))
		x.admit("r", "a")
		Expect(x.assigned["r"].Member.ID).To(Equal(list[0].ID))
	})

	It("is recognized by its keeper's report alone", func() {
		x := newFleetFixture()
		x.f.ApplyEngineUpdate(x.now, "n0", decide.EngineUpdate{
			Connected: true,
			Known:     true,
			Leaving:   true,
		}, &x.out)
		Expect(x.takes(x.now, "n0")).To(BeFalse())
	})
})

// afterLoadRequestInterval is longer than the interval between two load requests for one
// adapter.
const afterLoadRequestInterval = 400 * time.Millisecond
