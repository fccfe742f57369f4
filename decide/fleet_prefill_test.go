package decide_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/decide"
)

var _ = Describe("Prefill in a fleet", func() {
	var x *fleetFixture
	BeforeEach(func() {
		x = newFleetFixture()
	})

	It("avoids an engine that prefills a long prompt of another gateway, for a limited time", func() {
		reportPrefill := func(tokens int) {
			x.f.ApplyEngineUpdate(x.now, "n0", decide.EngineUpdate{
				Connected:     true,
				Known:         true,
				Models:        []wardturn.BaseModel{"m"},
				PrefillTokens: tokens,
			}, &x.out)
		}
		x.setAdapters("n0", readyAdapter("a", 1))
		x.setAdapters("n1", readyAdapter("a", 1))
		reportPrefill(9000)
		x.admit("there", "a")
		Expect(x.assigned["there"].Member.ID).To(BeEquivalentTo("n1"))
		x.f.RequestEnded(x.now, "n1", adapterKey("a"), decide.OutcomeOK)
		x.now = x.now.Add(2 * time.Second)
		x.admit("later", "a")
		Expect(x.assigned["later"].Member.ID).To(BeEquivalentTo("n0"))
	})

	It("reports its long prompts to keepers, and does not count them as those of others", func() {
		x.setAdapters("n0", readyAdapter("a", 1))
		r := x.newRequest("long", "a")
		r.Prompt = 9000
		x.f.Admit(x.now, r, &x.out)
		Expect(x.f.PrefillReports()).To(Equal([]decide.PrefillReport{
			{
				Upstream: "n0",
				Tokens:   9000,
			},
		}))
		x.f.ApplyEngineUpdate(x.now, "n0", decide.EngineUpdate{
			Connected:     true,
			Known:         true,
			Models:        []wardturn.BaseModel{"m"},
			PrefillTokens: 9000,
		}, &x.out)
		x.admit("short", "a")
		Expect(x.assigned["short"].Prefill).To(Equal(9000))
		x.f.ResponseStarted("n0", 9000)
		Expect(x.f.PrefillReports()).To(Equal([]decide.PrefillReport{
			{
				Upstream: "n0",
			},
		}))
		Expect(x.f.PrefillReports()).To(BeEmpty())
	})

	// Engines that prefill more slowly than assumed would receive prompt after prompt,
	// and the streams beside them would pause, while engines with many streams prefill
	// nothing.
	It("weighs prompts by the measured prefill rate", func() {
		list := fleetMembers()
		for i := range list {
			list[i].Slots = 64
		}
		x.f.SetMembers(x.now, list)
		choose := func(id string) wardturn.UpstreamID {
			for at, u := range map[wardturn.UpstreamID]decide.EngineUpdate{
				"n0": {
					Running: 25,
				},
				"n1": {
					Running:       1,
					PrefillTokens: 2400,
				},
			} {
				u.Connected = true
				u.Known = true
				u.Full = true
				u.Models = []wardturn.BaseModel{"m"}
				u.Adapters = []decide.HeldVersion{readyAdapter("a", 1)}
				x.f.ApplyEngineUpdate(x.now, at, u, &x.out)
			}
			x.admit(id, "a")
			at := x.assigned[id].Member.ID
			x.f.RequestEnded(x.now, at, adapterKey("a"), decide.OutcomeOK)
			return at
		}
		Expect(choose("before")).To(BeEquivalentTo("n1"))
		for range 50 {
			x.f.PrefillMeasured("llm", 2400, 125*time.Millisecond)
		}
		Expect(choose("after")).To(BeEquivalentTo("n0"))
	})

	It("has a copy that relieves a busy engine evict a less used adapter", func() {
		list := fleetMembers()
		for i := range list {
			list[i].Slots = 32
		}
		x.f.SetMembers(x.now, list)
		x.setAdapters("n0", readyAdapter("a", 1))
		for i := range 9 {
			x.admit(fmt.Sprint("r", i), "a")
		}
		Expect(x.out.LoadRequests).To(HaveLen(1))
		Expect(x.out.LoadRequests[0].Waiting).To(BeNumerically(">", 1))
	})
})
