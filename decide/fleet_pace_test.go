package decide_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/decide"
)

var _ = Describe("Prompts in a fleet", func() {
	var x *fleetRig
	BeforeEach(func() {
		x = newFleetRig()
	})

	Describe("with a slow engine", func() {
		const long = 9000 // tokens of a prompt
		admitLong := func(id string) {
			t := x.ticket(id, "a")
			t.Prompt = long
			x.f.Admit(x.now, t, &x.out)
		}
		pauses := func(longest time.Duration) {
			for range 64 {
				x.f.Paused(x.now, "n1", longest)
			}
		}
		BeforeEach(func() {
			pauses(350 * time.Millisecond) // 460 ms at the slow one, of 400
			for range 3 {
				x.f.Paced(x.now, "n0", 38*time.Millisecond)
				for _, id := range []wardturn.UpstreamID{"n1", "f0", "f1"} {
					x.f.Paced(x.now, id, 29*time.Millisecond)
				}
			}
			x.hold("n0", readyAdapter("a", 1))
			for i := range 3 {
				x.admit(fmt.Sprint("short", i), "a")
			}
			Expect(x.got["short2"].Member.ID).To(BeEquivalentTo("n0"))
			Expect(x.out.Asks).To(BeEmpty())
		})

		It("has the adapter of a long prompt loaded at a quicker one, and waits for it", func() {
			admitLong("long")
			Expect(x.got).NotTo(HaveKey("long"))
			Expect(x.out.Asks).To(HaveLen(1))
			Expect(x.out.Asks[0].Waiting).To(Equal(1))
			quicker := x.out.Asks[0].Upstream
			Expect(quicker).NotTo(BeEquivalentTo("n0"))
			x.tick(250 * time.Millisecond)
			x.hold(string(quicker), readyAdapter("a", 1))
			Expect(x.got["long"].Member.ID).To(Equal(quicker))
		})

		It("gives the long prompt to the slow one rather than refuse it", func() {
			admitLong("long")
			x.tick(430 * time.Millisecond)
			Expect(x.got["long"].Member.ID).To(BeEquivalentTo("n0"))
		})

		It("gives it to the slow one at once where few requests run", func() {
			x.f.Ended(x.now, "n0", adapterKey("a"), decide.EndedWell)
			admitLong("long")
			Expect(x.got["long"].Member.ID).To(BeEquivalentTo("n0"))
		})

		It("gives it to the slow one at once where pauses stay within what routes allow", func() {
			pauses(290 * time.Millisecond) // 380 ms at the slow one
			admitLong("long")
			Expect(x.got["long"].Member.ID).To(BeEquivalentTo("n0"))
		})

		It("believes in the pace no longer than streams show it", func() {
			x.now = x.now.Add(11 * time.Second)
			admitLong("long")
			Expect(x.got["long"].Member.ID).To(BeEquivalentTo("n0"))
		})
	})

	It("avoids an engine that reads a long prompt for another gateway, for a while", func() {
		reading := func(tokens int) {
			x.f.SetHolding(x.now, "n0", decide.Holding{
				Connected: true,
				Known:     true,
				Models:    []wardturn.BaseModel{"m"},
				Reading:   tokens,
			}, &x.out)
		}
		x.hold("n0", readyAdapter("a", 1))
		x.hold("n1", readyAdapter("a", 1))
		reading(9000)
		x.admit("there", "a")
		Expect(x.got["there"].Member.ID).To(BeEquivalentTo("n1"))
		x.f.Ended(x.now, "n1", adapterKey("a"), decide.EndedWell)
		x.now = x.now.Add(2 * time.Second)
		x.admit("later", "a")
		Expect(x.got["later"].Member.ID).To(BeEquivalentTo("n0"))
	})

	It("tells keepers of its long prompts, and does not take them for others'", func() {
		x.hold("n0", readyAdapter("a", 1))
		t := x.ticket("long", "a")
		t.Prompt = 9000
		x.f.Admit(x.now, t, &x.out)
		Expect(x.f.Readings()).To(Equal([]decide.ReadingNote{
			{
				Upstream: "n0",
				Tokens:   9000,
			},
		}))
		x.f.SetHolding(x.now, "n0", decide.Holding{
			Connected: true,
			Known:     true,
			Models:    []wardturn.BaseModel{"m"},
			Reading:   9000,
		}, &x.out)
		x.admit("short", "a")
		Expect(x.got["short"].Prefill).To(Equal(9000))
		x.f.Began("n0", 9000)
		Expect(x.f.Readings()).To(Equal([]decide.ReadingNote{
			{
				Upstream: "n0",
			},
		}))
		Expect(x.f.Readings()).To(BeEmpty())
	})

	It("has a copy that relieves a busy engine evict an adapter of less use", func() {
		list := fleetMembers()
		for i := range list {
			list[i].Slots = 32
		}
		x.f.SetMembers(x.now, list)
		x.hold("n0", readyAdapter("a", 1))
		for i := range 9 {
			x.admit(fmt.Sprint("r", i), "a")
		}
		Expect(x.out.Asks).To(HaveLen(1))
		Expect(x.out.Asks[0].Waiting).To(BeNumerically(">", 1))
	})
})
