package decide_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/decide"
)

// An old version served without end when new versions followed each other quickly: each
// announcement postponed the single end kept for all old versions of an adapter, so with
// a new version every 2 s the first one never ended. Requests ran on versions replaced 5
// to 14 s before, where 5 s are allowed and the last request should be sent after 3 s.
// With announcements every 2 s, 347 of 655 requests on old versions were sent later than
// 3.2 s after the first newer version; with announcements 4 to 5.2 s apart, 186 of 1,215.
// The gateways logged
//
//	old version served: version=2 newer=3 sent=4.830943405s began=4.990043729s
//	old version served: version=5 newer=6 sent=6.837146631s began=6.961095237s
var _ = Describe("An old version that is superseded repeatedly", func() {
	It("stops serving after the first newer announcement", func() {
		x := newFleetFixture()
		x.setAdapters("n0", readyAdapter("a", 1))
		servedOldAt := make(map[time.Duration]bool)
		first := x.now
		for v := wardturn.Version(2); v < 6; v++ {
			x.f.VersionAnnounced(x.now, adapterVersion("a", v), x.now, &x.out)
			for range 4 {
				id := x.now.String()
				r := x.admit(id, "a")
				servedOldAt[x.now.Sub(first)] = x.assigned[id].Version == 1
				x.f.Withdraw(r)
				x.f.RequestEnded(x.now, x.assigned[id].Member.ID, adapterKey("a"), decide.OutcomeOK)
				x.now = x.now.Add(500 * time.Millisecond)
			}
		}
		Expect(servedOldAt).To(HaveKeyWithValue(time.Duration(0), true))
		for after, servedOld := range servedOldAt {
			if after >= 5*time.Second {
				Expect(servedOld).To(BeFalse(), "%v after version 2 was announced", after)
			}
		}
	})
})

var _ = Describe("The end of old versions", func() {
	var x *fleetFixture
	BeforeEach(func() {
		x = newFleetFixture()
		x.setAdapters("n0", readyAdapter("a", 1))
	})
	tick := func(d time.Duration) {
		x.now = x.now.Add(d)
		x.out = decide.Actions{}
		x.f.Tick(x.now, &x.out)
	}

	It("is counted from when the newer version was not announced yet, not from its receipt", func() {
		x.f.VersionAnnounced(x.now, adapterVersion("a", 2), x.now.Add(-1500*time.Millisecond), &x.out)
		x.now = x.now.Add(1400 * time.Millisecond)
		x.admit("in time", "a")
		Expect(x.assigned["in time"].Version).To(BeEquivalentTo(1))
		x.now = x.now.Add(200 * time.Millisecond)
		x.admit("late", "a")
		Expect(x.assigned).NotTo(HaveKey("late"))
	})

	It("is reported once for each announcement, 500 ms before the bound", func() {
		x.f.VersionAnnounced(x.now, adapterVersion("a", 2), x.now, &x.out)
		tick(2 * time.Second)
		x.f.VersionAnnounced(x.now, adapterVersion("a", 3), x.now, &x.out)
		tick(1990 * time.Millisecond)
		Expect(x.out.EnforcedVersions).To(BeEmpty())
		tick(10 * time.Millisecond)
		Expect(x.out.EnforcedVersions).To(ConsistOf(adapterVersion("a", 2)))
		tick(1990 * time.Millisecond)
		Expect(x.out.EnforcedVersions).To(BeEmpty())
		tick(10 * time.Millisecond)
		Expect(x.out.EnforcedVersions).To(ConsistOf(adapterVersion("a", 3)))
	})

	It("is not postponed by any number of later announcements", func() {
		for v := wardturn.Version(2); v < 40; v++ {
			x.f.VersionAnnounced(x.now, adapterVersion("a", v), x.now, &x.out)
			tick(300 * time.Millisecond)
		}
		Expect(x.f.VersionInUse(x.now, adapterKey("a"), 1)).To(BeFalse())
		Expect(x.f.VersionInUse(x.now, adapterKey("a"), 38)).To(BeTrue())
	})

	It("has an ended version replaced while another old version still serves", func() {
		x.setAdapters("n1", readyAdapter("a", 2))
		x.f.VersionAnnounced(x.now, adapterVersion("a", 2), x.now, &x.out)
		tick(2 * time.Second)
		x.f.VersionAnnounced(x.now, adapterVersion("a", 3), x.now, &x.out)
		x.out = decide.Actions{}
		tick(2 * time.Second)
		Expect(x.out.LoadRequests).To(ContainElement(HaveField("Upstream", BeEquivalentTo("n0"))))
	})
})

var _ = Describe("A long prompt for an old version", func() {
	It("is not sent to an engine that would not prefill it before the version's end", func() {
		x := newFleetFixture()
		x.setAdapters("n0", readyAdapter("a", 1))
		x.f.VersionAnnounced(x.now, adapterVersion("a", 2), x.now, &x.out)
		x.now = x.now.Add(2500 * time.Millisecond)
		long := x.newRequest("long", "a")
		long.Prompt = 24000 // 600 ms of prefill
		x.f.Admit(x.now, long, &x.out)
		Expect(x.assigned).NotTo(HaveKey("long"))
		x.admit("short", "a")
		Expect(x.assigned["short"].Version).To(BeEquivalentTo(1))
	})
})
