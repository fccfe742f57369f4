package gateway_test

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/platform"
	"wardturn/standin"
)

const (
	limitWindow = 4 * time.Second
	limitGrace  = 500 * time.Millisecond // after a response that carries a limit
)

// maxArrivals returns how many requests an upstream with a limit may receive in any
// limitWindow.
func maxArrivals(rate float64) int {
	return int(1.5*rate*limitWindow.Seconds()) + 5
}

// maxArrivalsWithin returns the maximum number of arrivals within any interval of length
// span, of those after the given time.
func maxArrivalsWithin(list []standin.Arrival, after time.Time, span time.Duration) int {
	list = slices.DeleteFunc(list, func(a standin.Arrival) bool {
		return a.At.Before(after)
	})
	maxCount, first := 0, 0
	for i, a := range list {
		for a.At.Sub(list[first].At) >= span {
			first++
		}
		maxCount = max(maxCount, i-first+1)
	}
	return maxCount
}

// callAll runs callers at each front that send sequential requests for the given span. It
// returns the number of responses by status.
func (x *rig) callAll(fronts []string, path, model string, callers int, pause, span time.Duration) map[int]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses := make(map[int]int)
	end := time.Now().Add(span)
	for _, front := range fronts {
		for range callers {
			wg.Go(func() {
				defer GinkgoRecover()
				for time.Now().Before(end) {
					_, r := x.sendWithHeaders(front, path, model, nil)
					mu.Lock()
					statuses[r.status]++
					mu.Unlock()
					time.Sleep(pause)
				}
			})
		}
	}
	wg.Wait()
	return statuses
}

// If gateways ignored the limit, an overloaded upstream would keep receiving its usual load
// from all of them.
var _ = Describe("An upstream that announces a limit", func() {
	var x *rig
	var fronts []string
	BeforeEach(func() {
		x = newRig()
		g, second, _ := x.startGateway("second", platform.NewStore(x.storeAddr, x.metrics))
		Eventually(g.Ready, eventTimeout, pollInterval).Should(BeTrue())
		fronts = []string{x.frontURL, second}
	})
	// expectWithinLimit expects that a worker receives no more than its limit after it
	// announced it, and not much less.
	expectWithinLimit := func(m *standin.ModelWorker, announcedAt time.Time, rate float64) {
		GinkgoHelper()
		got := maxArrivalsWithin(m.Arrivals(), announcedAt.Add(limitGrace), limitWindow)
		Expect(got).To(BeNumerically("<=", maxArrivals(rate)))
		Expect(got).To(BeNumerically(">=", int(rate*limitWindow.Seconds())/2), "the limit is used")
	}

	It("receives at most that from all gateways together, and other upstreams serve the rest", func() {
		x.apps[0].SetFaults(standin.WorkerFaults{
			Limit: "4",
		})
		announcedAt := time.Now()
		statuses := x.callAll(fronts, "/look/a", "", 4, 30*time.Millisecond, 6*time.Second)
		expectWithinLimit(x.apps[0], announcedAt, 4)
		Expect(statuses[http.StatusOK]).To(BeNumerically(">", 500))
		Expect(statuses[http.StatusServiceUnavailable]).To(BeZero(), "%v", statuses)
	})

	It("receives at most that for streaming requests", func() {
		x.engines[0].SetFaults(standin.WorkerFaults{
			Limit: "5.5",
		})
		announcedAt := time.Now()
		statuses := x.callAll(fronts, "/ask/a", "m0", 3, 30*time.Millisecond, 5*time.Second)
		expectWithinLimit(x.engines[0], announcedAt, 5.5)
		Expect(statuses[http.StatusServiceUnavailable]).To(BeZero(), "%v", statuses)
	})

	It("receives at most that if it announces the limit only in responses that are not forwarded", func() {
		x.apps[0].SetFaults(standin.WorkerFaults{
			Limit: "4",
			Full:  true,
		})
		announcedAt := time.Now()
		x.callAll(fronts, "/look/a", "", 4, 30*time.Millisecond, 5*time.Second)
		got := maxArrivalsWithin(x.apps[0].Arrivals(), announcedAt.Add(limitGrace), limitWindow)
		Expect(got).To(BeNumerically("<=", maxArrivals(4)))
	})

	It("receives at most that if some values are invalid, and one with only invalid values receives its share", func() {
		x.apps[0].SetFaults(standin.WorkerFaults{
			Limit: "4",
		})
		x.apps[1].SetFaults(standin.WorkerFaults{
			Limit: "0x0.1p-3",
		})
		announcedAt := time.Now()
		x.callAll(fronts, "/look/a", "", 4, 30*time.Millisecond, 2*time.Second)
		x.apps[0].SetFaults(standin.WorkerFaults{
			Limit: "4000000000.-",
		})
		statuses := x.callAll(fronts, "/look/a", "", 4, 30*time.Millisecond, 4*time.Second)
		expectWithinLimit(x.apps[0], announcedAt, 4)
		Expect(statuses[http.StatusServiceUnavailable]).To(BeZero(), "%v", statuses)
		Expect(x.log.String()).To(ContainSubstring("limit of an upstream not understood"))
	})

	It("is announced to other gateways by the one that received the response", func() {
		x.apps[0].SetFaults(standin.WorkerFaults{
			Limit: "2",
		})
		x.callAll(fronts[:1], "/look/a", "", 2, 20*time.Millisecond, 500*time.Millisecond)
		Eventually(x.log.String, eventTimeout, pollInterval).Should(ContainSubstring("limit of an upstream heard"))
		before := len(x.apps[0].Arrivals())
		x.callAll(fronts[1:], "/look/a", "", 4, 20*time.Millisecond, time.Second)
		Expect(len(x.apps[0].Arrivals()) - before).To(BeNumerically("<=", 3))
	})

	It("has requests rejected immediately with Retry-After if all upstreams are at their limits", func() {
		for _, m := range x.apps {
			m.SetFaults(standin.WorkerFaults{
				Limit: "2",
			})
		}
		x.callAll(fronts, "/charge/a", "", 4, 10*time.Millisecond, time.Second)
		var refused reply
		var id string
		var took time.Duration
		Eventually(func() int {
			began := time.Now()
			id, refused = x.sendWithHeaders(x.frontURL, "/charge/a", "", nil)
			took = time.Since(began)
			return refused.status
		}, eventTimeout, pollInterval).Should(Equal(http.StatusServiceUnavailable))
		Expect(refused.body).To(Equal("upstream_limit"))
		Expect(took).To(BeNumerically("<", 500*time.Millisecond))
		Expect(x.runs(id)).To(BeZero())
		retryAfter, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(retryAfter).To(BeNumerically(">", 0))
	})

	It("receives its usual share again once its responses carry no limit", func() {
		x.apps[0].SetFaults(standin.WorkerFaults{
			Limit: "4",
		})
		x.callAll(fronts, "/look/a", "", 2, 20*time.Millisecond, time.Second)
		x.apps[0].SetFaults(standin.WorkerFaults{})
		x.callAll(fronts, "/look/a", "", 2, 20*time.Millisecond, 3*time.Second)
		before := len(x.apps[0].Arrivals())
		x.callAll(fronts, "/look/a", "", 2, 20*time.Millisecond, time.Second)
		Expect(len(x.apps[0].Arrivals()) - before).To(BeNumerically(">", 20))
	})

	It("stays limited when another gateway starts", func() {
		x.apps[0].SetFaults(standin.WorkerFaults{
			Limit: "4",
		})
		announcedAt := time.Now()
		x.callAll(fronts, "/look/a", "", 2, 20*time.Millisecond, time.Second)
		g, third, _ := x.startGateway("third", platform.NewStore(x.storeAddr, x.metrics))
		Eventually(g.Ready, eventTimeout, pollInterval).Should(BeTrue())
		x.callAll(append(fronts, third), "/look/a", "", 2, 20*time.Millisecond, 4*time.Second)
		expectWithinLimit(x.apps[0], announcedAt, 4)
	})
})
