package decide_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/decide"
)

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

var _ = Describe("Allocator", func() {
	limit := decide.StoreLimit{
		Rate:     10,
		Parallel: 4,
	}
	newRequest := func(id wardturn.UpstreamID, value float64) decide.PermitRequest {
		return decide.PermitRequest{
			Upstream: id,
			Value:    value,
			Pending:  1,
		}
	}

	It("gives a scarce permit to the most valuable request", func() {
		l := decide.NewAllocator(limit, 1)
		for _, id := range []wardturn.UpstreamID{"w", "x", "y", "z"} {
			l.Request(start, newRequest(id, 1), nil) // takes the burst and all parallel loads
		}
		l.Request(start, newRequest("low", 2), nil)
		l.Request(start, newRequest("high", 3), nil)
		now := start.Add(100 * time.Millisecond)
		Expect(l.Tick(now, nil)).To(BeEmpty(), "all parallel loads are in use")
		grants := l.Request(now, decide.PermitRequest{
			Upstream: "w",
			Epoch:    1,
			Used:     1,
		}, nil)
		Expect(grants).NotTo(BeEmpty())
		Expect(grants[0].Upstream).To(Equal(wardturn.UpstreamID("high")))
		Expect(grants[0].Total).To(Equal(uint64(1)))
	})

	It("leaves permits and parallel loads for interactive work", func() {
		l := decide.NewAllocator(limit, 1)
		first := l.Request(start, newRequest("interactive", 1), nil)
		Expect(first[0].Total).To(Equal(uint64(1)))
		batch := newRequest("batch", 100)
		batch.Class = wardturn.Batch
		grants := l.Request(start, batch, nil)
		Expect(grants[0].Total).To(BeZero(), "the bucket is not full")
		grants = l.Request(start.Add(time.Second), batch, nil)
		Expect(grants[0].Total).To(Equal(uint64(1)))
	})

	It("continues the count of an agent that was silent for long", func() {
		l := decide.NewAllocator(limit, 7)
		p := decide.NewAllocatedPermits(limit, 1)
		now := start
		load := func() bool {
			if !p.Take(now, newRequest("a", 1)) {
				r, due := p.Pending(now)
				Expect(due).To(BeTrue())
				r.Upstream = "a"
				for _, g := range l.Request(now, r, nil) {
					p.Granted(now, g)
				}
				return p.Take(now, newRequest("a", 1))
			}
			return true
		}
		finish := func() {
			p.Finished(now, decide.OrderDone)
			p.Withdraw(now)
			if r, due := p.Pending(now); due {
				r.Upstream = "a"
				l.Request(now, r, nil)
			}
		}
		Expect(load()).To(BeTrue())
		finish()
		now = now.Add(time.Minute)
		l.Tick(now, nil) // forgets the silent agent
		Expect(load()).To(BeTrue(), "the first permit after the silence must be usable at once")
	})

	It("slows down when the store refuses loads within its limit", func() {
		l := decide.NewAllocator(limit, 1)
		r := newRequest("a", 1)
		l.Request(start, r, nil)
		r.Busy = 3
		grants := l.Request(start.Add(time.Second), r, nil)
		Expect(grants[0].Interval).To(BeNumerically(">", 100*time.Millisecond))
	})
})

var _ = Describe("AllocatorOf", func() {
	host := func(id wardturn.UpstreamID) wardturn.Host {
		return wardturn.Host{
			Upstream: id,
			Model:    "m",
			Region:   "r",
			State:    wardturn.HostLive,
		}
	}
	chosen := func(hosts []wardturn.Host) wardturn.UpstreamID {
		h, ok := decide.AllocatorOf(hosts, "m", "r")
		Expect(ok).To(BeTrue())
		return h.Upstream
	}

	It("is the same host for any order of the list", func() {
		hosts := []wardturn.Host{host("a"), host("b"), host("c"), host("d")}
		first := chosen(hosts)
		slices.Reverse(hosts)
		Expect(chosen(hosts)).To(Equal(first))
	})

	It("skips hosts of other models and regions and hosts that are not live", func() {
		elsewhere, other, leaving := host("a"), host("b"), host("c")
		elsewhere.Region = "s"
		other.Model = "n"
		leaving.State = wardturn.HostLeaving
		hosts := []wardturn.Host{elsewhere, other, leaving}
		_, ok := decide.AllocatorOf(hosts, "m", "r")
		Expect(ok).To(BeFalse())
		Expect(chosen(append(hosts, host("d")))).To(BeEquivalentTo("d"))
	})
})
