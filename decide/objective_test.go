package decide_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/decide"
)

var _ = Describe("Copies of an adapter for waiting prompts", func() {
	const longPrompt wardturn.Tokens = 8400 // 210 ms of prefill
	var x *fleetFixture
	BeforeEach(func() {
		x = newFleetFixture()
		x.setAdapters("n0", readyAdapter("hot", 1))
	})
	admit := func(id, adapter string, prompt wardturn.Tokens) {
		r := x.newRequest(id, adapter)
		r.Prompt = prompt
		x.f.Admit(x.now, r, &x.out)
	}

	It("are made for a long prompt that would miss its objective where its adapter is, and it waits for the copy", func() {
		admit("first", "hot", longPrompt)
		admit("second", "hot", longPrompt)
		// The two prompts take 420 ms of prefill, with an objective of 600 ms.
		Expect(x.assigned["second"].Member.ID).To(BeEquivalentTo("n0"))
		admit("third", "hot", longPrompt)
		Expect(x.assigned).NotTo(HaveKey("third"))
		Expect(x.out.LoadRequests).To(HaveLen(1))
		copyEngine := x.out.LoadRequests[0].Upstream
		Expect(copyEngine).NotTo(BeEquivalentTo("n0"))
		x.tick(250 * time.Millisecond)
		x.setAdapters(string(copyEngine), readyAdapter("hot", 1))
		Expect(x.assigned["third"].Member.ID).To(Equal(copyEngine))
	})

	It("are made while the load window has any space, however many gateways share it", func() {
		x.f.ApplyEngineUpdate(x.now, "n0", decide.EngineUpdate{
			Connected: true,
			Known:     true,
			Models:    []wardturn.BaseModel{"m"},
			Gateways:  26,
		}, &x.out)
		for i := range 3 {
			admit(fmt.Sprint("r", i), "hot", longPrompt)
		}
		Expect(x.assigned).To(HaveLen(2))
		Expect(x.out.LoadRequests).To(HaveLen(1))
	})

	It("are not made for an adapter with frequent requests and short prompts", func() {
		for i := range 4 {
			admit(fmt.Sprint("r", i), "hot", 500)
		}
		Expect(x.assigned).To(HaveLen(4))
		Expect(x.out.LoadRequests).To(BeEmpty())
	})

	It("are not waited for if the prompt would miss its objective there as well", func() {
		admit("first", "hot", longPrompt)
		admit("second", "hot", longPrompt)
		admit("huge", "hot", 20000) // 500 ms of prefill, and 300 ms for a load
		Expect(x.assigned["huge"].Member.ID).To(BeEquivalentTo("n0"))
		Expect(x.out.LoadRequests).To(BeEmpty())
	})

	It("have waiting prompts counted at the engine that loads the copy, until they stop waiting", func() {
		for i := range 3 {
			admit(fmt.Sprint("cold", i), "cold", 4500)
		}
		home := x.out.LoadRequests[0].Upstream
		Expect(x.f.PrefillReports()).To(Equal([]decide.PrefillReport{
			{
				Upstream: home,
				Tokens:   3 * 4500,
			},
		}))
		x.tick(400 * time.Millisecond) // none could meet its objective any more
		Expect(x.assigned).To(HaveLen(3))
		Expect(x.f.PrefillReports()).To(Equal([]decide.PrefillReport{
			{
				Upstream: home,
			},
		}))
	})
})
