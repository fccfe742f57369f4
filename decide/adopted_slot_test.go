package decide_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/decide"
	"wardturn/policy"
)

var _ = Describe("An adapter that an engine reports while a slot is being unloaded for it", func() {
	It("keeps the slot in which it was reported", func() {
		now := start
		agent := decide.NewAgent(now, decide.AgentConfig{
			Upstream:   "u",
			Slots:      2,
			MaxRunning: 4,
		}, policy.Default{}, decide.NewStaticPermits(decide.StoreLimit{
			Rate:     100,
			Parallel: 4,
		}, 1))
		ref := func(name wardturn.AdapterID) wardturn.AdapterRef {
			return wardturn.AdapterRef{
				Adapter: name,
				Version: 1,
			}
		}
		report := func(names ...wardturn.AdapterID) wardturn.EngineReport {
			rep := wardturn.EngineReport{
				At: now,
			}
			for _, n := range names {
				rep.Resident = append(rep.Resident, wardturn.ResidentAdapter{
					Adapter: ref(n),
				})
			}
			return rep
		}
		var out decide.Orders
		agent.Report(now, report("old", "other"), &out)
		now = now.Add(time.Second)
		agent.Report(now, report("old", "other"), &out) // no requests run on the adapters
		agent.Admit(now, decide.Work{
			Attempt: wardturn.AttemptID{
				Entry: "e",
				Seq:   1,
			},
			Adapter: ref("new"),
		}, &out)
		Expect(out.Unload).To(HaveLen(1))
		unload := out.Unload[0]
		unloading := unload.Adapter.Adapter

		// The engine drops the other adapter by itself, and a delayed load ordered by an
		// earlier agent loads the requested one.
		now = now.Add(time.Second)
		agent.Report(now, report(unloading), &out)
		now = now.Add(time.Second)
		agent.Report(now, report(unloading, "new"), &out)
		now = now.Add(time.Second)
		out.Reset()
		agent.Unloaded(now, unload.ID, decide.OrderDone, &out)
		agent.Admit(now, decide.Work{
			Attempt: wardturn.AttemptID{
				Entry: "e",
				Seq:   2,
			},
			Adapter: ref("new"),
		}, &out)
		Expect(out.Load).To(BeEmpty(), "the engine holds it already")
		Expect(out.Run).To(HaveLen(1))
		held := 0
		for _, s := range agent.Slots() {
			if s.State != decide.SlotEmpty && s.Adapter == ref("new") {
				held++
			}
		}
		Expect(held).To(Equal(1))
	})
})
