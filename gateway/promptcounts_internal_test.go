package gateway

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
)

var _ = Describe("Counts of prompt sizes", func() {
	It("have buckets that start at most an eighth below their sizes", func() {
		for _, size := range []int{1, 2, 3, 7, 8, 9, 15, 16, 17, 100, 1023, 1024, 1025, 9153, 39600, 1 << 30} {
			bucket := promptBucket(size)
			Expect(bucket).To(BeNumerically("<=", size), "%d", size)
			Expect(size-bucket).To(BeNumerically("<=", size/8), "%d", size)
			Expect(promptBucket(bucket)).To(Equal(bucket), "%d", size)
		}
	})

	It("have buckets that rise with the size", func() {
		last := 0
		for size := 1; size < 5000; size++ {
			bucket := promptBucket(size)
			Expect(bucket).To(BeNumerically(">=", last), "%d", size)
			last = bucket
		}
	})

	It("hold what was added since the last reset", func() {
		p := newPromptCounts()
		for _, size := range []wardturn.Tokens{9153, 700, 9100, 0, 3} {
			p.add("r", size)
		}
		p.add("plain", 0)
		got := p.reset()
		Expect(got).To(HaveLen(1))
		Expect(formatPromptCounts(got["r"])).To(Equal("3:1,640:1,8192:2"))
		Expect(p.reset()).To(BeEmpty())
	})

	It("hold a bounded number of routes", func() {
		p := newPromptCounts()
		for i := range 3 * maxPromptRoutes {
			p.add(fmt.Sprint(i), 100)
		}
		Expect(p.reset()).To(HaveLen(maxPromptRoutes))
	})
})
