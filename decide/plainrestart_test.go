package decide_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/decide"
)

// An upstream that has just restarted answers the requests for its predecessor at once. Former
// versions derived a time per request of zero from that, and sent it no requests for seconds.
var _ = Describe("A plain upstream whose first responses take no time", func() {
	It("gets requests", func() {
		x := newPlainBench(3, 2)
		var inFlight []wardturn.UpstreamID
		var assigned wardturn.UpstreamID
		x.r.Assign = func(a decide.Assignment) {
			assigned = a.Member.ID
		}
		endOldest := func() {
			x.f.ResponseTimed(x.now, inFlight[0], replayMeanTime)
			x.f.RequestEnded(x.now, inFlight[0], wardturn.ModelAdapter{}, decide.OutcomeOK)
			inFlight = inFlight[1:]
		}
		admit := func() wardturn.UpstreamID {
			assigned = ""
			x.now = x.now.Add(replayMeanTime / 2)
			if len(inFlight) == 2 {
				endOldest()
			}
			x.r.Arrived = x.now
			x.r.Deadline = x.now.Add(replayHold)
			x.f.Admit(x.now, &x.r, &x.out)
			if assigned != "" {
				inFlight = append(inFlight, assigned)
			}
			return assigned
		}
		for range 20 {
			Expect(admit()).NotTo(BeEmpty())
		}
		Expect(x.p.Levels()[0].Shared).To(BeTrue())
		for len(inFlight) > 0 {
			endOldest()
		}
		list := plainBenchMembers(2)
		list[0].Draining = true
		list[1].ID = "restarted"
		x.f.SetMembers(x.now, list)
		for range 6 {
			x.f.ResponseTimed(x.now, "restarted", 0)
		}
		for range 20 {
			Expect(admit()).To(BeEquivalentTo("restarted"))
		}
	})
})
