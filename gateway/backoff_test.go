package gateway_test

import (
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/platform"
	"wardturn/standin"
)

// An upstream that refuses all requests has the lowest load. If gateways ignored the
// Retry-After of its refusals, it would get more requests than before.
var _ = Describe("An upstream that responds with Retry-After", func() {
	const (
		// arrivalGrace is the time in which requests that are already sent arrive.
		arrivalGrace = 500 * time.Millisecond
		// backoffAllowed is how many requests of one gateway may arrive after that during
		// the backoff.
		backoffAllowed = 2
	)
	var x *rig
	var fronts []string
	BeforeEach(func() {
		x = newRig()
		g, second, _ := x.startGateway("second", platform.NewStore(x.storeAddr, x.metrics))
		Eventually(g.Ready, eventTimeout, pollInterval).Should(BeTrue())
		fronts = []string{x.frontURL, second}
	})
	setBackoff := func(m *standin.ModelWorker, values ...string) time.Time {
		m.SetFaults(standin.WorkerFaults{
			Full:       true,
			RetryAfter: values,
		})
		return time.Now().Add(arrivalGrace)
	}

	It("gets no requests until that is over, and the other upstreams serve them", func() {
		after := setBackoff(x.engines[0], "3")
		statuses := x.callAll(fronts, "/ask/a", "m0", 4, 20*time.Millisecond, 2500*time.Millisecond)
		Expect(arrivalsAfter(x.engines[0], after)).To(BeNumerically("<=", backoffAllowed*len(fronts)))
		Expect(statuses[http.StatusOK]).To(BeNumerically(">", 200))
	})

	It("gets none if all upstreams of the service back off, and callers get the remaining time", func() {
		after := setBackoff(x.apps[0], "3")
		setBackoff(x.apps[1], "2.5")
		x.callAll(fronts, "/charge/a", "", 4, 10*time.Millisecond, 400*time.Millisecond)
		began := time.Now()
		id, refused := x.sendWithHeaders(x.frontURL, "/charge/a", "", nil)
		Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
		Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.body).To(Equal("upstream_resting"))
		Expect(x.runs(id)).To(BeZero())
		retryAfter, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(retryAfter).To(BeNumerically("~", 2.3, 0.6))
		x.callAll(fronts, "/charge/a", "", 4, 10*time.Millisecond, 1200*time.Millisecond)
		for _, m := range x.apps {
			Expect(arrivalsAfter(m, after)).To(BeNumerically("<=", backoffAllowed*len(fronts)))
		}
	})

	It("causes requests that wait for an engine to be refused at once if all engines back off", func() {
		after := setBackoff(x.engines[0], "3")
		setBackoff(x.engines[1], "3")
		x.callAll(fronts, "/ask/a", "m0", 3, 10*time.Millisecond, 400*time.Millisecond)
		for _, model := range []string{"m0", "m0/a1"} {
			began := time.Now()
			_, refused := x.sendWithHeaders(x.frontURL, "/ask/a", model, nil)
			Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
			Expect(refused.body).To(Equal("upstream_resting"))
		}
		x.callAll(fronts, "/ask/a", "m0/a1", 3, 10*time.Millisecond, time.Second)
		for _, m := range x.engines {
			Expect(arrivalsAfter(m, after)).To(BeNumerically("<=", backoffAllowed*len(fronts)))
		}
	})

	It("gets none until the longest of its times is over", func() {
		after := setBackoff(x.engines[0], "0.2", "2.5", "soon", "-7")
		x.callAll(fronts, "/ask/a", "m0", 3, 20*time.Millisecond, 300*time.Millisecond)
		setBackoff(x.engines[0], "0.1")
		x.callAll(fronts, "/ask/a", "m0", 3, 20*time.Millisecond, 2*time.Second)
		Expect(arrivalsAfter(x.engines[0], after)).To(BeNumerically("<=", backoffAllowed*len(fronts)))
	})

	It("gets none for a short time if the value is malformed", func() {
		setBackoff(x.engines[0], "Wed, 21 Oct 2026 07:28:00 GMT")
		x.callAll(fronts, "/ask/a", "m0", 3, 10*time.Millisecond, 200*time.Millisecond)
		before := len(x.engines[0].Arrivals())
		x.callAll(fronts, "/ask/a", "m0", 3, 10*time.Millisecond, 500*time.Millisecond)
		Expect(len(x.engines[0].Arrivals()) - before).To(BeNumerically("<=", backoffAllowed*len(fronts)))
		Expect(x.log.String()).To(ContainSubstring("not a number of seconds"))
	})

	It("gets its share again afterwards, and no burst while it is still overloaded", func() {
		setBackoff(x.engines[0], "0.6")
		x.callAll(fronts, "/ask/a", "m0", 6, 5*time.Millisecond, 2*time.Second)
		// After each backoff of 0.6 s each gateway sends one request.
		Expect(len(x.engines[0].Arrivals())).To(BeNumerically("<", 40))
		x.engines[0].SetFaults(standin.WorkerFaults{})
		before := len(x.engines[0].Arrivals())
		x.callAll(fronts, "/ask/a", "m0", 4, 10*time.Millisecond, 2*time.Second)
		Expect(len(x.engines[0].Arrivals()) - before).To(BeNumerically(">", 50))
	})

	It("is avoided only by the gateway that got the response", func() {
		setBackoff(x.apps[0], "5")
		x.callAll(fronts[:1], "/look/a", "", 4, 10*time.Millisecond, 300*time.Millisecond)
		x.apps[0].SetFaults(standin.WorkerFaults{})
		before := len(x.apps[0].Arrivals())
		x.callAll(fronts[1:], "/look/a", "", 4, 10*time.Millisecond, 300*time.Millisecond)
		Expect(len(x.apps[0].Arrivals())).To(BeNumerically(">", before))
	})
})

// An engine that refuses requests has no load. If engines were chosen by load alone, it
// would get the next requests first, and callers would be refused while other engines have
// capacity.
var _ = Describe("An engine that refuses requests without Retry-After", func() {
	It("gets few further requests", func() {
		x := newRig()
		x.engines[0].SetFaults(standin.WorkerFaults{
			Full: true,
		})
		statuses := x.callAll([]string{x.frontURL}, "/ask/a", "m0", 4, 5*time.Millisecond, 2*time.Second)
		Expect(statuses[http.StatusOK]).To(BeNumerically(">", 100))
		Expect(len(x.engines[0].Arrivals())).To(BeNumerically("<", statuses[http.StatusOK]/3), "%v", statuses)
	})
})
