package decide_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/decide"
)

var _ = Describe("Fleet with upstreams that announce a limit", func() {
	var x *fleetFixture
	var limits *decide.Limits
	announce := func(ids ...wardturn.UpstreamID) {
		for _, id := range ids {
			limits.Observe(x.now, id, 2)
		}
	}
	BeforeEach(func() {
		limits = decide.NewLimits(start, "p")
		limits.SetGateways(start, 1)
		x = newLimitedFixture(limits)
	})

	It("sends a request to another upstream that holds its adapter", func() {
		x.setAdapters("n0", readyAdapter("a", 1))
		x.setAdapters("f0", readyAdapter("a", 1))
		announce("n0")
		x.admit("r", "a")
		Expect(x.assigned["r"].Member.ID).To(BeEquivalentTo("f0"))
	})

	It("loads an adapter elsewhere if only limited upstreams hold it", func() {
		x.setAdapters("n0", readyAdapter("a", 1))
		announce("n0")
		x.admit("r", "a")
		Expect(x.assigned).To(BeEmpty())
		Expect(x.out.LoadRequests).To(HaveLen(1))
		Expect(x.out.LoadRequests[0].Upstream).NotTo(BeEquivalentTo("n0"))
	})

	It("sends requests up to the limit", func() {
		x.setAdapters("n0", readyAdapter("a", 1))
		announce("n0", "n1", "f0", "f1")
		sent := 0
		for i := range 400 {
			r := fmt.Sprint("r", i)
			x.admit(r, "a")
			x.tick(10 * time.Millisecond)
			for _, a := range x.assigned {
				if a.Member.ID == "n0" {
					sent++
					x.f.ResponseStarted("n0", 0)
					x.f.RequestEnded(x.now, "n0", adapterKey("a"), decide.OutcomeOK)
				}
			}
			clear(x.assigned)
		}
		Expect(sent).To(BeNumerically("~", 8, 1))
	})

	It("refuses at once if all upstreams have reached their limits, and returns when the first may be sent a request", func() {
		x.setAdapters("n0", readyAdapter("a", 1))
		announce("n0", "n1", "f0", "f1")
		x.admit("r", "a")
		Expect(x.assigned["r"].Reason).To(Equal(wardturn.ReasonLimited))
		Expect(x.assigned["r"].RetryAfter).To(BeNumerically("~", 500*time.Millisecond, 10*time.Millisecond))
		x.admit("later", "a")
		Expect(x.assigned["later"].RetryAfter).To(BeNumerically("~", 500*time.Millisecond, 10*time.Millisecond), "reserved at another upstream")
		for range 4 {
			x.admit("last", "a")
		}
		Expect(x.assigned["last"].RetryAfter).To(BeNumerically("~", time.Second, 10*time.Millisecond))
		x.tick(510 * time.Millisecond)
		x.admit("again", "a")
		Expect(x.assigned["again"].Member.ID).To(BeEquivalentTo("n0"))
	})
})
