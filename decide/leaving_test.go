package decide_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
)

var _ = Describe("An upstream that was seen leaving", func() {
	It("gets no requests any more, whatever a list tells later", func() {
		x := newFleetRig()
		ready := fleetMembers()
		for _, m := range ready {
			x.hold(string(m.ID), readyAdapter("a", 1))
		}
		leaving := fleetMembers()
		leaving[0].Draining = true
		leaving[1].Draining = true
		gone := leaving[2:]
		for _, list := range [][]wardturn.Member{leaving, ready, gone, ready} {
			x.f.SetMembers(x.now, list)
			for _, m := range list {
				x.hold(string(m.ID), readyAdapter("a", 1))
			}
			x.admit("r", "a")
			Expect(string(x.got["r"].Member.ID)).To(HavePrefix("f"))
			x.f.Ended(x.now, x.got["r"].Member.ID, adapterKey("a"), 0)
		}
	})
})
