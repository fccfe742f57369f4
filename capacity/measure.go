package capacity

import (
	"fmt"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/policy"
	"wardturn/standin"
)

// perRun is how long each timed loop runs.
const perRun = 200 * time.Millisecond

// timed returns the nanoseconds that one call of f takes. It runs the loop three
// times and takes the fastest: the machine is shared.
func timed(f func(i int)) float64 {
	best := 0.0
	for range 3 {
		n := 0
		start := time.Now()
		for time.Since(start) < perRun {
			for range 64 {
				f(n)
				n++
			}
		}
		ns := float64(time.Since(start).Nanoseconds()) / float64(n)
		if best == 0 || ns < best {
			best = ns
		}
	}
	return best
}

const adaptersLarge = 45_000

func ref(i int) wardturn.AdapterRef {
	return wardturn.AdapterRef{
		Adapter: wardturn.AdapterID(fmt.Sprintf("a%05d", i%adaptersLarge)),
		Version: 1,
	}
}

func hosts(n int) []wardturn.Host {
	list := make([]wardturn.Host, 0, n)
	for i := range n {
		list = append(list, wardturn.Host{
			Upstream: wardturn.UpstreamID(fmt.Sprintf("u%04d", i)),
			Addr:     "127.0.0.1:1",
			Region:   "r",
			Domain:   wardturn.FailureDomain(fmt.Sprintf("d%d", i%3)),
			Model:    "m",
		})
	}
	return list
}

// Routing measures a routing decision with its bookkeeping, by the number of
// upstreams among which it chooses.
func Routing() Series {
	s := Series{
		Name: "routing decision",
		Size: "upstreams",
		Unit: "ns",
	}
	refs := make([]wardturn.AdapterRef, adaptersLarge)
	for i := range refs {
		refs[i] = ref(i)
	}
	for _, n := range []int{18, 262, 1000, 2100} {
		r := decide.NewRouter(decide.RouterConfig{
			Region: "r",
		})
		r.SetHosts(hosts(n))
		now := standin.Epoch
		cost := timed(func(i int) {
			now = now.Add(time.Millisecond)
			id, _ := r.Pick(now, decide.Ask{
				Adapter: refs[(i*7919)%len(refs)],
				Model:   "m",
			})
			r.Sent(id)
			r.Ended(now, id, true)
			r.Hint(now, id, decide.Hint{
				Capacity: 16,
				Spare:    4,
			})
		})
		s.Points = append(s.Points, Point{float64(n), cost})
	}
	return s
}

// Agent measures an agent's decisions for one request, from admission to end, by
// the number of adapters that it remembers.
func Agent() Series {
	s := Series{
		Name: "agent decisions for a request",
		Size: "adapters remembered",
		Unit: "ns",
	}
	for _, n := range []int{100, 1000, 5000} {
		s.Points = append(s.Points, Point{float64(n), agentCost(n)})
	}
	return s
}

func agentCost(adapters int) float64 {
	now := standin.Epoch
	a := decide.NewAgent(now, decide.AgentConfig{
		Upstream:   "u",
		Slots:      8,
		MaxRunning: 16,
	}, policy.Default{}, decide.NewStaticPermits(decide.StoreLimit{
		Rate:     1e9,
		Parallel: 8,
	}, 1))
	var out decide.Orders
	a.Report(now, wardturn.EngineReport{
		At: now,
	}, &out)
	var carry func()
	carry = func() {
		orders := out
		out = decide.Orders{}
		for _, o := range orders.Unload {
			a.Unloaded(now, o.ID, decide.OrderDone, &out)
			carry()
		}
		for _, o := range orders.Load {
			a.Loaded(now, o.ID, decide.OrderDone, &out)
			carry()
		}
		for _, st := range orders.Run {
			a.Finished(now, st.Attempt, &out)
			carry()
		}
	}
	return timed(func(i int) {
		now = now.Add(time.Millisecond)
		a.Admit(now, decide.Work{
			Attempt: wardturn.AttemptID{
				Entry: "e",
				Seq:   uint64(i) + 1,
			},
			Adapter: ref((i * 7919) % adapters),
		}, &out)
		carry()
	})
}

// Allocating measures the allocator's answer to one wish, by the number of
// agents that share the store.
func Allocating() Series {
	s := Series{
		Name: "allocator's answer to a wish",
		Size: "agents",
		Unit: "ns",
	}
	for _, n := range []int{18, 262, 1000, 2100} {
		l := decide.NewAllocator(decide.StoreLimit{
			Rate:     9,
			Parallel: 4,
		}, 1)
		hs := hosts(n)
		now := standin.Epoch
		var grants []decide.Grant
		cost := timed(func(i int) {
			now = now.Add(time.Millisecond)
			grants = l.Wish(now, decide.Wish{
				Upstream: hs[i%n].Upstream,
				Value:    float64(i % 97),
				Want:     1,
			}, grants[:0])
		})
		s.Points = append(s.Points, Point{float64(n), cost})
	}
	return s
}
