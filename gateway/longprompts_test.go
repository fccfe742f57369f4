package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/standin"
)

// Guards against parts of long prompts that are not watched, so that each request with one that
// crashes upstreams ends another upstream.
var _ = Describe("A part of long prompts that crashes its upstreams", func() {
	const (
		fatal = "bad1"
		// contact is how long after the fifth crash requests with the part may reach upstreams,
		// and maxLate how many may do so later.
		contact = 3 * time.Second
		maxLate = 3
	)
	DescribeTable("is refused wherever it stands",
		func(sharedParts, place int) {
			x := newCrashRigOf(12)
			for _, m := range x.upstreams {
				m.downtime = time.Second
			}
			x.setAllFaults(standin.WorkerFaults{
				CrashOnPart: []string{fatal},
				Think:       30 * time.Millisecond,
			})
			shared := make([]string, sharedParts)
			for i := range shared {
				shared[i] = fmt.Sprintf("5c1e%04x", i)
			}
			bad := slices.Insert(slices.Clone(shared), place-1, fatal)
			traffic := &partTraffic{
				x:    x,
				stop: make(chan struct{}),
			}
			traffic.startSound(40, shared...)
			time.Sleep(500 * time.Millisecond)
			traffic.startFatal("fatal", 4, bad...)
			Eventually(func() time.Time {
				return x.crashAt(5)
			}, 2*eventTimeout, pollInterval).ShouldNot(BeZero())
			fifth := x.crashAt(5)
			time.Sleep(time.Until(fifth.Add(2*contact + time.Second)))
			close(traffic.stop)
			traffic.wg.Wait()
			GinkgoWriter.Printf("%d crashes\n", x.crashes())
			Expect(x.arrivalsAfter("fatal", fifth.Add(contact))).To(BeNumerically("<=", maxLate))
			for i := range x.fronts {
				r := x.sendWithParts(i, "/look/", "", bad...)
				Expect(r.status).To(Equal(http.StatusServiceUnavailable))
				Expect(r.body).To(Equal(string(wardturn.ReasonPromptPart)))
			}
			Expect(traffic.servedShare(fifth.Add(2*contact), time.Now())).To(BeNumerically(">=", 0.9))
		},
		Entry("as the 36th of 40", 38, 36),
		Entry("as the 390th of 400", 398, 390),
	)
})
