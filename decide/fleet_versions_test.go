package decide_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Versions in a fleet", func() {
	var x *fleetFixture
	BeforeEach(func() {
		x = newFleetFixture()
	})

	It("does not use an old version if the newer one may have been announced before the gateway started", func() {
		x.setAdapters("n0", readyAdapter("a", 1))
		x.f.VersionAnnounced(x.now, adapterVersion("a", 2), time.Time{}, &x.out)
		Expect(x.out.LoadRequests).To(HaveLen(1))
		Expect(x.out.LoadRequests[0].Adapter).To(Equal(adapterVersion("a", 2)))
		Expect(x.out.LoadRequests[0].Upstream).To(BeEquivalentTo("n0"))
		x.admit("r", "a")
		Expect(x.assigned).To(BeEmpty())
		x.setAdapters("n0", readyAdapter("a", 2))
		Expect(x.assigned["r"].Version).To(BeEquivalentTo(2))
	})

	It("loads a new version on another engine, moves the requests there, and then replaces the old version", func() {
		x.setAdapters("n0", readyAdapter("a", 1))
		x.f.VersionAnnounced(x.now, adapterVersion("a", 2), x.now, &x.out)
		Expect(x.out.LoadRequests).To(HaveLen(1))
		newEngine := x.out.LoadRequests[0].Upstream
		Expect(newEngine).NotTo(BeEquivalentTo("n0"))
		x.admit("old", "a")
		Expect(x.assigned["old"].Version).To(BeEquivalentTo(1))
		x.setAdapters(string(newEngine), readyAdapter("a", 2))
		x.admit("new", "a")
		Expect(x.assigned["new"].Member.ID).To(Equal(newEngine))
		Expect(x.assigned["new"].Version).To(BeEquivalentTo(2))
		Expect(x.out.LoadRequests[len(x.out.LoadRequests)-1].Upstream).To(BeEquivalentTo("n0"))
	})

	It("does not use an old version after its end", func() {
		x.setAdapters("n0", readyAdapter("a", 1))
		x.f.VersionAnnounced(x.now, adapterVersion("a", 2), x.now, &x.out)
		x.now = x.now.Add(3 * time.Second)
		x.admit("r", "a")
		Expect(x.assigned).To(BeEmpty())
	})
})
