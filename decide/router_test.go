package decide_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/decide"
	"wardturn/policy"
)

var _ = Describe("Router", func() {
	hosts := func(n int, region wardturn.Region) []wardturn.Host {
		var list []wardturn.Host
		for i := range n {
			list = append(list, wardturn.Host{
				Upstream: wardturn.UpstreamID(fmt.Sprintf("%s%d", region, i)),
				Region:   region,
			})
		}
		return list
	}
	router := func(list ...wardturn.Host) *decide.Router {
		r := decide.NewRouter(decide.RouterConfig{
			Region: "near",
		})
		r.SetHosts(list)
		return r
	}
	request := func(name string) decide.RouteRequest {
		return decide.RouteRequest{
			Adapter: wardturn.AdapterRef{
				Adapter: wardturn.AdapterID(name),
				Version: 1,
			},
		}
	}
	pick := func(r *decide.Router, now time.Time, req decide.RouteRequest) wardturn.UpstreamID {
		id, ok := r.Pick(now, req)
		Expect(ok).To(BeTrue())
		return id
	}

	It("prefers its own region and falls back to another", func() {
		r := router(append(hosts(3, "near"), hosts(3, "far")...)...)
		for i := range 50 {
			Expect(string(pick(r, start, request(fmt.Sprint("a", i))))).To(HavePrefix("near"))
		}
		near := hosts(3, "near")
		for i := range near {
			near[i].State = wardturn.HostLeaving
		}
		r.SetHosts(append(near, hosts(3, "far")...))
		Expect(string(pick(r, start, request("a1")))).To(HavePrefix("far"))
	})

	It("sends an adapter to the same upstream from every entry host", func() {
		x, y := router(hosts(9, "near")...), router(hosts(9, "near")...)
		for i := range 50 {
			req := request(fmt.Sprint("a", i))
			Expect(pick(x, start, req)).To(Equal(pick(y, start, req)))
		}
	})

	It("moves few adapters when a host is removed", func() {
		x, y := router(hosts(10, "near")...), router(hosts(9, "near")...)
		moved := 0
		for i := range 1000 {
			req := request(fmt.Sprint("a", i))
			if pick(x, start, req) != pick(y, start, req) {
				moved++
			}
		}
		Expect(moved).To(BeNumerically("~", 100, 50))
	})

	It("does not pick an upstream that hinted that it is leaving or that was already tried", func() {
		r := router(hosts(2, "near")...)
		first := pick(r, start, request("a"))
		req := request("a")
		req.Tried = []wardturn.UpstreamID{first}
		other := pick(r, start, req)
		Expect(other).NotTo(Equal(first))
		r.Hint(start, other, decide.Hint{
			Leaving: true,
		})
		_, ok := r.Pick(start, req)
		Expect(ok).To(BeFalse())
		Expect(pick(r, start, request("a"))).To(Equal(first))
	})

	It("gives an adapter whose home is overloaded another home", func() {
		r := router(hosts(3, "near")...)
		home := pick(r, start, request("hot"))
		for _, h := range hosts(3, "near") {
			hint := decide.Hint{
				Capacity:   16,
				SpareSlots: 4,
			}
			if h.Upstream == home {
				hint.Running = 16
				hint.Queued = 20
			}
			r.Hint(start, h.Upstream, hint)
		}
		Expect(pick(r, start, request("hot"))).NotTo(Equal(home))
	})

	It("avoids a failing upstream and tries it again later", func() {
		r := router(hosts(2, "near")...)
		first := pick(r, start, request("a"))
		for range 3 {
			r.RequestSent(first)
			r.RequestEnded(start, first, false)
		}
		Expect(pick(r, start, request("a"))).NotTo(Equal(first))
		// The adapter has a second home now, so the failing upstream is tried again only
		// for a new adapter whose first candidate it is.
		later := start.Add(time.Minute)
		tried := false
		for i := range 50 {
			tried = tried || pick(r, later, request(fmt.Sprint("b", i))) == first
		}
		Expect(tried).To(BeTrue())
	})

	It("tries upstreams with an open breaker if all breakers are open", func() {
		list := hosts(3, "near")
		r := router(list...)
		for _, h := range list {
			for range 3 {
				r.RequestSent(h.Upstream)
				r.RequestEnded(start, h.Upstream, false)
			}
		}
		pick(r, start, request("a"))
	})
})

var _ = Describe("RetryBudget", func() {
	It("allows a fraction of the requests and a few per second", func() {
		b := decide.NewRetryBudget(0.1, 1, 5)
		now := start
		retries := 0
		for range 1000 {
			b.Request(now)
			if b.Retry(now) {
				retries++
			}
		}
		Expect(retries).To(BeNumerically("~", 105, 2), "a tenth, and the burst at the start")
		now = now.Add(3 * time.Second)
		for range 10 {
			if b.Retry(now) {
				retries++
			}
		}
		Expect(retries).To(BeNumerically("~", 108, 2), "one a second without requests")
	})
})

var _ = Describe("Admission", func() {
	// congested returns an agent that received a grant with a backlog at its store.
	congested := func(backlog int, load float64) (*decide.Agent, *decide.Orders) {
		agent := decide.NewAgent(start, decide.AgentConfig{
			Upstream:   "u",
			Slots:      2,
			MaxRunning: 4,
		}, policy.Default{}, decide.NewAllocatedPermits(decide.StoreLimit{
			Rate:     10,
			Parallel: 4,
		}, 1))
		var out decide.Orders
		agent.Report(start, wardturn.EngineReport{
			At: start,
		}, &out)
		agent.Granted(start, decide.Grant{
			Upstream: "u",
			Epoch:    1,
			Interval: 100 * time.Millisecond,
			Backlog:  backlog,
			Load:     load,
		}, &out)
		return agent, &out
	}
	admit := func(a *decide.Agent, out *decide.Orders, at time.Time) bool {
		out.Reset()
		a.Admit(at, decide.Work{
			Attempt: wardturn.AttemptID{
				Entry: "e",
				Seq:   1,
			},
			Adapter: wardturn.AdapterRef{
				Adapter: "a",
				Version: 1,
			},
			Deadline: at.Add(10 * time.Second),
		}, out)
		return len(out.Refuse) == 0
	}

	It("admits requests while the store has capacity", func() {
		a, out := congested(20, 0.5)
		Expect(admit(a, out, start)).To(BeTrue())
	})

	It("refuses a request whose load would cost others more than it gains, with a retry time", func() {
		a, out := congested(40, 1.5)
		Expect(admit(a, out, start)).To(BeFalse())
		Expect(out.Refuse[0].Outcome.Kind).To(Equal(wardturn.NotRun))
		Expect(out.Refuse[0].Outcome.RetryAfter).To(BeNumerically(">", time.Second))
	})

	It("assumes that an old backlog has drained", func() {
		a, out := congested(40, 1.5)
		Expect(admit(a, out, start.Add(5*time.Second))).To(BeTrue())
	})
})
