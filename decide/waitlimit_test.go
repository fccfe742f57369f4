package decide_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/decide"
)

var _ = Describe("The wait of a request", func() {
	var x *fleetFixture
	BeforeEach(func() {
		x = newFleetFixture()
	})
	loading := func(name string) decide.HeldVersion {
		return decide.HeldVersion{
			Adapter: adapterVersion(name, 1),
			Loading: true,
		}
	}

	It("ends with a retry delay when a load that has not begun would be too late", func() {
		x.admit("r", "a")
		x.tick(290 * time.Millisecond) // a load typically takes 300 ms, the objective is 600 ms
		Expect(x.assigned).To(BeEmpty())
		x.tick(20 * time.Millisecond)
		Expect(x.assigned["r"].Member.ID).To(BeEmpty())
		Expect(x.assigned["r"].Reason).To(Equal(wardturn.ReasonLoading))
		Expect(x.assigned["r"].RetryAfter).To(BeNumerically(">=", 150*time.Millisecond))
		x.setAdapters(string(x.out.LoadRequests[0].Upstream), readyAdapter("a", 1))
		x.admit("again", "a")
		Expect(x.assigned["again"].Member.ID).To(Equal(x.out.LoadRequests[0].Upstream))
	})

	It("is shorter for a long prompt, which takes time to prefill", func() {
		r := x.newRequest("long", "a")
		r.Prompt = 8000 // 200 ms of prefill
		x.f.Admit(x.now, r, &x.out)
		x.tick(90 * time.Millisecond)
		Expect(x.assigned).To(BeEmpty())
		x.tick(20 * time.Millisecond)
		Expect(x.assigned["long"].Reason).To(Equal(wardturn.ReasonLoading))
	})

	It("continues beyond the objective while the load is in progress", func() {
		x.admit("r", "a")
		home := x.out.LoadRequests[0].Upstream
		x.setAdapters(string(home), loading("a"))
		x.tick(900 * time.Millisecond)
		Expect(x.assigned).To(BeEmpty())
		x.setAdapters(string(home), readyAdapter("a", 1))
		Expect(x.assigned["r"].Member.ID).To(Equal(home))
	})

	It("ends before the deadline in any case", func() {
		r := x.newRequest("r", "a")
		r.Deadline = x.now.Add(time.Second)
		x.f.Admit(x.now, r, &x.out)
		x.setAdapters(string(x.out.LoadRequests[0].Upstream), loading("a"))
		x.tick(890 * time.Millisecond)
		Expect(x.assigned).To(BeEmpty())
		x.tick(20 * time.Millisecond)
		Expect(x.assigned["r"].Reason).To(Equal(wardturn.ReasonLoading))
	})

	It("continues when all engines are empty, until their slots have had time to fill", func() {
		withoutAdapters := func(model ...wardturn.BaseModel) {
			for _, m := range fleetMembers() {
				x.f.ApplyEngineUpdate(x.now, m.ID, decide.EngineUpdate{
					Connected: true,
					Known:     true,
					Full:      true,
					Models:    model,
				}, &x.out)
			}
		}
		withoutAdapters()
		x.admit("r", "a")
		for range 8 {
			x.tick(100 * time.Millisecond)
		}
		Expect(x.assigned).To(BeEmpty())
		withoutAdapters("m")
		x.admit("later", "b") // adapter slots are still being filled
		x.tick(2500 * time.Millisecond)
		Expect(x.assigned).To(BeEmpty())
		x.tick(700 * time.Millisecond)
		Expect(x.assigned["r"].Reason).To(Equal(wardturn.ReasonLoading))
		Expect(x.assigned["later"].Reason).To(Equal(wardturn.ReasonLoading))
	})

	It("does not move a load in progress to another engine, however long it takes", func() {
		x.admit("r", "a")
		home := x.out.LoadRequests[0].Upstream
		x.setAdapters(string(home), loading("a"))
		for range 30 {
			x.tick(100 * time.Millisecond)
		}
		for _, r := range x.out.LoadRequests {
			Expect(r.Upstream).To(Equal(home))
		}
	})

	It("ends with a longer retry delay the more adapters are missing", func() {
		for i := range 4 {
			x.admit(fmt.Sprint("first", i), fmt.Sprint("a", i)) // fill the window
		}
		x.admit("few", "b0")
		x.tick(310 * time.Millisecond)
		few := x.assigned["few"].RetryAfter
		Expect(few).To(BeNumerically(">", 300*time.Millisecond))
		x.tick(3 * time.Second)
		x = newFleetFixture()
		for i := range 4 {
			x.admit(fmt.Sprint("first", i), fmt.Sprint("a", i))
		}
		for i := range 12 {
			x.admit(fmt.Sprint("many", i), fmt.Sprint("b", i))
		}
		x.tick(310 * time.Millisecond)
		Expect(x.assigned["many0"].RetryAfter).To(BeNumerically(">", few))
	})
})
