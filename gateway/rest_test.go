package gateway_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/platform"
	"wardturn/standin"
)

// Without the time in its refusals, an upstream that turns everything away is the cheapest
// there is, and gets more requests than before.
var _ = Describe("An upstream that asks for a rest", func() {
	const (
		// restGrace is what the requests under way may take to arrive.
		restGrace = 500 * time.Millisecond
		// restAllowed is how many requests of one gateway may come in the rest after that.
		restAllowed = 2
	)
	var x *rig
	var fronts []string
	BeforeEach(func() {
		x = newRig()
		g, second, _ := x.startGateway("second", platform.NewStore(x.storeAddr, x.metrics))
		Eventually(g.Ready, soon, often).Should(BeTrue())
		fronts = []string{x.front, second}
	})
	rests := func(m *standin.ModelWorker, texts ...string) time.Time {
		m.SetFaults(standin.WorkerFaults{
			Full:       true,
			RetryAfter: texts,
		})
		return time.Now().Add(restGrace)
	}

	It("gets none until that is over, and the others serve the rest", func() {
		after := rests(x.engines[0], "3")
		statuses := x.callAll(fronts, "/ask/a", "m0", 4, 20*time.Millisecond, 2500*time.Millisecond)
		Expect(arrivalsAfter(x.engines[0], after)).To(BeNumerically("<=", restAllowed*len(fronts)))
		Expect(statuses[http.StatusOK]).To(BeNumerically(">", 200))
	})
})
