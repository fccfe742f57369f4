package decide_test

import (
	"fmt"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/policy"
)

// An Agent is notified of events and returns orders for its driver.
func ExampleAgent() {
	now := time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	limit := decide.StoreLimit{
		Rate:     9,
		Parallel: 4,
	}
	agent := decide.NewAgent(now, decide.AgentConfig{
		Upstream:   "u1",
		Slots:      8,
		MaxRunning: 16,
	}, policy.Default{}, decide.NewStaticPermits(limit, 1))

	var out decide.Orders
	agent.Report(now, wardturn.EngineReport{
		At: now,
	}, &out) // the engine is empty

	id := wardturn.AttemptID{
		Entry: "e1",
		Seq:   1,
	}
	agent.Admit(now, decide.Work{
		Attempt: id,
		Adapter: wardturn.AdapterRef{
			Adapter: "fares",
			Version: 2,
		},
	}, &out)
	load := out.Load[0]
	fmt.Println("load", load.Adapter)

	out.Reset()
	agent.Loaded(now.Add(400*time.Millisecond), load.ID, decide.OrderDone, &out)
	fmt.Println("run", out.Run[0].Attempt, "after", out.Run[0].AdapterWait)
	// Output:
	// load fares@2
	// run e1-1 after 400ms
}

func ExampleQuota() {
	now := time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	q := decide.Quota{
		Rate:  2,
		Burst: 1,
	}
	_, ok := q.Acquire(now)
	fmt.Println(ok)
	after, ok := q.Acquire(now)
	fmt.Println(ok, after)
	// Output:
	// true
	// false 500ms
}
