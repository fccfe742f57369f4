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
	request := decide.PermitRequest{
		Upstream: "u",
		Pending:  2,
	}
	// takeAll takes all available permits and returns their number.
	takeAll := func(p *decide.AllocatedPermits, now time.Time) int {
		n := 0
		for n < 100 && p.Take(now, request) {
			n++
		}
		return n
	}

	It("are not counted again when an earlier allocator returns", func() {
		p := decide.NewAllocatedPermits(limit, 4)
		now := start
		for total := range uint64(50) {
			p.Granted(now, decide.Grant{
				Epoch: 1,
				Total: total + 1,
			})
			Expect(takeAll(p, now)).To(Equal(1))
		}
		p.Granted(now, decide.Grant{
			Epoch: 2,
			Total: 1,
		})
		Expect(takeAll(p, now)).To(Equal(1))

		By("a late grant of the first allocator, or its return")
		p.Granted(now, decide.Grant{
			Epoch: 1,
			Total: 50,
		})
		Expect(takeAll(p, now)).To(BeZero())
		p.Granted(now, decide.Grant{
			Epoch: 1,
			Total: 51,
		})
		Expect(takeAll(p, now)).To(Equal(1))

		By("the second allocator again")
		p.Granted(now, decide.Grant{
			Epoch: 2,
			Total: 2,
		})
		Expect(takeAll(p, now)).To(Equal(1))
	})
})
