package decide_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/decide"
)

var _ = Describe("Permits of an allocator", func() {
	limit := decide.StoreLimit{
		Rate:     10,
		Parallel: 4,
	}
	want := decide.Wish{
		Upstream: "u",
		Want:     2,
	}
	// taken counts the loads that the permits allow now.
	taken := func(p *decide.AllocatedPermits, now time.Time) int {
		n := 0
		for n < 100 && p.Take(now, want) {
			n++
		}
		return n
	}

	It("are not given anew by an allocator that was heard of before another", func() {
		p := decide.NewAllocatedPermits(limit, 4)
		now := start
		for total := range uint64(50) {
			p.Granted(now, decide.Grant{
				Epoch: 1,
				Total: total + 1,
			})
			Expect(taken(p, now)).To(Equal(1))
		}
		p.Granted(now, decide.Grant{
			Epoch: 2,
			Total: 1,
		})
		Expect(taken(p, now)).To(Equal(1))

		By("a word of the first one that comes late, or its return")
		p.Granted(now, decide.Grant{
			Epoch: 1,
			Total: 50,
		})
		Expect(taken(p, now)).To(BeZero())
		p.Granted(now, decide.Grant{
			Epoch: 1,
			Total: 51,
		})
		Expect(taken(p, now)).To(Equal(1))

		By("the second one again")
		p.Granted(now, decide.Grant{
			Epoch: 2,
			Total: 2,
		})
		Expect(taken(p, now)).To(Equal(1))
	})
})
