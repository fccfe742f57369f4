package decide_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/decide"
	"wardturn/policy"
)

var _ = Describe("A request past its deadline", func() {
	const (
		timeout = time.Second
		pause   = 5 * time.Second // no tick occurs in this time
	)
	var out decide.Orders
	limit := decide.StoreLimit{
		Rate:     100,
		Parallel: 4,
	}
	attempt := func(seq uint64) wardturn.AttemptID {
		return wardturn.AttemptID{
			Entry: "e",
			Seq:   seq,
		}
	}
	newAgent := func(slots int) *decide.Agent {
		out.Reset()
		return decide.NewAgent(start, decide.AgentConfig{
			Upstream:   "u",
			Slots:      slots,
			MaxRunning: 1,
		}, policy.Default{}, decide.NewStaticPermits(limit, 1))
	}
	refused := func(seq uint64) OmegaMatcher {
		return ConsistOf(decide.Refusal{
			Attempt: attempt(seq),
			Outcome: wardturn.Outcome{
				Kind:       wardturn.NotRun,
				Reason:     wardturn.ReasonDeadline,
				RetryAfter: out.Refuse[0].Outcome.RetryAfter,
			},
		})
	}

	It("does not start when the engine gets a free position before the next tick", func() {
		a := newAgent(0)
		a.Admit(start, decide.Work{
			Attempt: attempt(1),
		}, &out)
		a.Admit(start, decide.Work{
			Attempt:  attempt(2),
			Deadline: start.Add(timeout).Add(decide.DefaultServiceTime),
		}, &out)
		Expect(out.Run).To(HaveLen(1))
		out.Reset()
		a.Finished(start.Add(pause), attempt(1), &out)
		Expect(out.Run).To(BeEmpty())
		Expect(out.Refuse).To(refused(2))
		Expect(a.Idle()).To(BeTrue())
	})

	It("does not start when its adapter is loaded before the next tick", func() {
		a := newAgent(2)
		a.Report(start, wardturn.EngineReport{
			At: start,
		}, &out)
		a.Admit(start, decide.Work{
			Attempt: attempt(1),
			Adapter: wardturn.AdapterRef{
				Adapter: "a",
				Version: 1,
			},
			Deadline: start.Add(timeout),
		}, &out)
		Expect(out.Load).To(HaveLen(1))
		load := out.Load[0]
		out.Reset()
		a.Loaded(start.Add(pause), load.ID, decide.OrderDone, &out)
		Expect(out.Run).To(BeEmpty())
		Expect(out.Refuse).To(refused(1))
	})
})
