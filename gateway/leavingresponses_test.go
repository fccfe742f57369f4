package gateway_test

import (
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/platform"
	"wardturn/standin"
)

// arrivalsAfter returns the number of requests that reached a worker after a time.
func arrivalsAfter(m *standin.ModelWorker, after time.Time) int {
	n := 0
	for _, a := range m.Arrivals() {
		if a.At.After(after) {
			n++
		}
	}
	return n
}

// Without the header in its responses, a leaving upstream would get requests until the
// list of upstreams shows that it leaves, which takes as long as the store does not
// respond.
var _ = Describe("An upstream whose responses say that it leaves", func() {
	// settled is the time in which each gateway gets such a response and its open requests
	// arrive.
	const settled = 500 * time.Millisecond
	var x *rig
	var fronts []string
	BeforeEach(func() {
		x = newRig()
		g, second, _ := x.startGateway("second", platform.NewStore(x.storeAddr, x.metrics))
		Eventually(g.Ready, eventTimeout, pollInterval).Should(BeTrue())
		fronts = []string{x.frontURL, second}
	})
	setLeaving := func(m *standin.ModelWorker) time.Time {
		m.SetFaults(standin.WorkerFaults{
			Leaving: "1",
		})
		return time.Now().Add(settled)
	}

	It("gets no more requests, though it is listed as ready", func() {
		after := setLeaving(x.apps[0])
		statuses := x.callAll(fronts, "/look/a", "", 4, 20*time.Millisecond, 2*time.Second)
		Expect(arrivalsAfter(x.apps[0], after)).To(BeZero())
		Expect(statuses[http.StatusOK]).To(BeNumerically(">", 200))
		Expect(statuses[http.StatusServiceUnavailable]).To(BeZero(), "%v", statuses)
	})

	It("gets no more streams", func() {
		after := setLeaving(x.engines[0])
		x.callAll(fronts, "/ask/a", "m0", 3, 20*time.Millisecond, 1500*time.Millisecond)
		x.callAll(fronts, "/ask/a", "m0/a1", 3, 20*time.Millisecond, time.Second)
		Expect(arrivalsAfter(x.engines[0], after)).To(BeZero())
	})

	It("gets no more requests if it says so only in refusals, which are not forwarded", func() {
		x.apps[0].SetFaults(standin.WorkerFaults{
			Leaving: "1",
			Full:    true,
		})
		after := time.Now().Add(settled)
		x.callAll(fronts, "/look/a", "", 4, 20*time.Millisecond, 2*time.Second)
		Expect(arrivalsAfter(x.apps[0], after)).To(BeZero())
	})

	It("gets none from a gateway without such a response, once the upstream's keeper knows", func() {
		x.engines[0].SetFaults(standin.WorkerFaults{
			Leaving: "1",
		})
		Eventually(func() int {
			return strings.Count(x.log.String(), "upstream says that it leaves")
		}, eventTimeout, pollInterval).Should(BeNumerically(">=", len(fronts)))
		before := len(x.engines[0].Arrivals())
		x.callAll(fronts, "/ask/a", "m0", 3, 20*time.Millisecond, 500*time.Millisecond)
		Expect(x.engines[0].Arrivals()).To(HaveLen(before))
	})

	It("gets none after further reads of the list, also if it is not listed for a while", func() {
		after := setLeaving(x.apps[0])
		x.callAll(fronts, "/look/a", "", 2, 20*time.Millisecond, 500*time.Millisecond)
		x.store.DeleteServer("a0")
		x.callAll(fronts, "/look/a", "", 2, 20*time.Millisecond, time.Second)
		x.putEntry(x.apps[0], "app", "a0", "ready")
		x.callAll(fronts, "/look/a", "", 2, 20*time.Millisecond, time.Second)
		Expect(arrivalsAfter(x.apps[0], after)).To(BeZero())
	})

	It("is used again after a restart under the same id and address", func() {
		setLeaving(x.apps[0])
		x.callAll(fronts, "/look/a", "", 2, 20*time.Millisecond, 500*time.Millisecond)
		x.apps[0].SetFaults(standin.WorkerFaults{})
		x.apps[0].RestartSameID(time.Now().UnixMilli())
		x.putEntry(x.apps[0], "app", "a0", "ready")
		before := len(x.apps[0].Arrivals())
		Eventually(func() int {
			x.callAll(fronts, "/look/a", "", 2, 20*time.Millisecond, 100*time.Millisecond)
			return len(x.apps[0].Arrivals())
		}, eventTimeout, pollInterval).Should(BeNumerically(">", before))
	})

	It("stays in use if the header is malformed", func() {
		x.apps[0].SetFaults(standin.WorkerFaults{
			Leaving: "0",
		})
		x.callAll(fronts, "/look/a", "", 2, 20*time.Millisecond, 500*time.Millisecond)
		before := len(x.apps[0].Arrivals())
		x.callAll(fronts, "/look/a", "", 2, 20*time.Millisecond, 500*time.Millisecond)
		Expect(len(x.apps[0].Arrivals())).To(BeNumerically(">", before))
	})
})
