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
	limitGrace  = 500 * time.Millisecond // after an answer that names a limit
)

// limitAllows returns how many requests an upstream that names a limit may get in any
// limitWindow.
func limitAllows(rate float64) int {
	return int(1.5*rate*limitWindow.Seconds()) + 5
}

// mostWithin returns the most arrivals that lie within a span, of those after a time.
func mostWithin(list []standin.Arrival, after time.Time, span time.Duration) int {
	list = slices.DeleteFunc(list, func(a standin.Arrival) bool {
		return a.At.Before(after)
	})
	most, first := 0, 0
	for i, a := range list {
		for a.At.Sub(list[first].At) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// callAll has callers at each front send requests one after another for a while, and
// returns how many there were of each status.
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
					_, r := x.with(front, path, model, nil)
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

// Unread, the limit that an upstream in need names leaves it with its usual load from all
// gateways together.
var _ = Describe("An upstream that names a limit", func() {
	var x *rig
	var fronts []string
	BeforeEach(func() {
		x = newRig()
		g, second, _ := x.startGateway("second", platform.NewStore(x.storeAddr, x.metrics))
		Eventually(g.Ready, soon, often).Should(BeTrue())
		fronts = []string{x.front, second}
	})
	// expectKept expects that a worker gets as much as it says, once it has told, and not
	// much less.
	expectKept := func(m *standin.ModelWorker, named time.Time, rate float64) {
		GinkgoHelper()
		got := mostWithin(m.Arrivals(), named.Add(limitGrace), limitWindow)
		Expect(got).To(BeNumerically("<=", limitAllows(rate)))
		Expect(got).To(BeNumerically(">=", int(rate*limitWindow.Seconds())/2), "what it takes is used")
	}

	It("gets no more than that from all gateways together, and the others serve the rest", func() {
		x.apps[0].SetFaults(standin.WorkerFaults{
			Limit: "4",
		})
		named := time.Now()
		statuses := x.callAll(fronts, "/look/a", "", 4, 30*time.Millisecond, 6*time.Second)
		expectKept(x.apps[0], named, 4)
		Expect(statuses[http.StatusOK]).To(BeNumerically(">", 500))
		Expect(statuses[http.StatusServiceUnavailable]).To(BeZero(), "%v", statuses)
	})

	It("gets no more than that where it streams", func() {
		x.engines[0].SetFaults(standin.WorkerFaults{
			Limit: "5.5",
		})
		named := time.Now()
		statuses := x.callAll(fronts, "/ask/a", "m0", 3, 30*time.Millisecond, 5*time.Second)
		expectKept(x.engines[0], named, 5.5)
		Expect(statuses[http.StatusServiceUnavailable]).To(BeZero(), "%v", statuses)
	})

	It("gets no more than that if it names it only in answers that no caller gets", func() {
		x.apps[0].SetFaults(standin.WorkerFaults{
			Limit: "4",
			Full:  true,
		})
		named := time.Now()
		x.callAll(fronts, "/look/a", "", 4, 30*time.Millisecond, 5*time.Second)
		got := mostWithin(x.apps[0].Arrivals(), named.Add(limitGrace), limitWindow)
		Expect(got).To(BeNumerically("<=", limitAllows(4)))
	})

	It("gets no more than that if some of its figures are garbled, and one that names nothing else gets its share", func() {
		x.apps[0].SetFaults(standin.WorkerFaults{
			Limit: "4",
		})
		x.apps[1].SetFaults(standin.WorkerFaults{
			Limit: "0x0.1p-3",
		})
		named := time.Now()
		x.callAll(fronts, "/look/a", "", 4, 30*time.Millisecond, 2*time.Second)
		x.apps[0].SetFaults(standin.WorkerFaults{
			Limit: "4000000000.-",
		})
		statuses := x.callAll(fronts, "/look/a", "", 4, 30*time.Millisecond, 4*time.Second)
		expectKept(x.apps[0], named, 4)
		Expect(statuses[http.StatusServiceUnavailable]).To(BeZero(), "%v", statuses)
		Expect(x.log.String()).To(ContainSubstring("limit of an upstream not understood"))
	})

	It("is told to others by a gateway that had such an answer", func() {
		x.apps[0].SetFaults(standin.WorkerFaults{
			Limit: "2",
		})
		x.callAll(fronts[:1], "/look/a", "", 2, 20*time.Millisecond, 500*time.Millisecond)
		Eventually(x.log.String, soon, often).Should(ContainSubstring("limit of an upstream heard"))
		before := len(x.apps[0].Arrivals())
		x.callAll(fronts[1:], "/look/a", "", 4, 20*time.Millisecond, time.Second)
		Expect(len(x.apps[0].Arrivals()) - before).To(BeNumerically("<=", 3))
	})

	It("has requests refused at once where all upstreams do, and when to come back", func() {
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
			id, refused = x.with(x.front, "/charge/a", "", nil)
			took = time.Since(began)
			return refused.status
		}, soon, often).Should(Equal(http.StatusServiceUnavailable))
		Expect(refused.body).To(Equal("upstream_limit"))
		Expect(took).To(BeNumerically("<", 500*time.Millisecond))
		Expect(x.runs(id)).To(BeZero())
		back, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(back).To(BeNumerically(">", 0))
	})

	It("gets its usual share again once its answers name none", func() {
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

	It("is kept through the start of another gateway", func() {
		x.apps[0].SetFaults(standin.WorkerFaults{
			Limit: "4",
		})
		named := time.Now()
		x.callAll(fronts, "/look/a", "", 2, 20*time.Millisecond, time.Second)
		g, third, _ := x.startGateway("third", platform.NewStore(x.storeAddr, x.metrics))
		Eventually(g.Ready, soon, often).Should(BeTrue())
		x.callAll(append(fronts, third), "/look/a", "", 2, 20*time.Millisecond, 4*time.Second)
		expectKept(x.apps[0], named, 4)
	})
})
