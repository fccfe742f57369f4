package gateway_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/platform"
	"wardturn/standin"
)

// arrivalsAfter counts the requests that reached a worker after a time.
func arrivalsAfter(m *standin.ModelWorker, after time.Time) int {
	n := 0
	for _, a := range m.Arrivals() {
		if a.At.After(after) {
			n++
		}
	}
	return n
}

// Without the header in answers, a leaving upstream gets requests until the list says so,
// which takes as long as the store is silent.
var _ = Describe("An upstream whose answers say that it leaves", func() {
	// settled is by when each gateway has had such an answer and its requests under way
	// have arrived.
	const settled = 500 * time.Millisecond
	var x *rig
	var fronts []string
	BeforeEach(func() {
		x = newRig()
		g, second, _ := x.startGateway("second", platform.NewStore(x.storeAddr, x.metrics))
		Eventually(g.Ready, soon, often).Should(BeTrue())
		fronts = []string{x.front, second}
	})
	leaves := func(m *standin.ModelWorker) time.Time {
		m.SetFaults(standin.WorkerFaults{
			Leaving: true,
		})
		return time.Now().Add(settled)
	}

	It("gets no more requests, though the list has it as ready", func() {
		after := leaves(x.apps[0])
		statuses := x.callAll(fronts, "/look/a", "", 4, 20*time.Millisecond, 2*time.Second)
		Expect(arrivalsAfter(x.apps[0], after)).To(BeZero())
		Expect(statuses[http.StatusOK]).To(BeNumerically(">", 200))
		Expect(statuses[http.StatusServiceUnavailable]).To(BeZero(), "%v", statuses)
	})
})
