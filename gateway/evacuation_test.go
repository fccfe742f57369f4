package gateway_test

import (
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/platform"
	"wardturn/standin"
)

// evacuationBound is the time after which upstreams of an evacuated failure domain must
// receive no requests.
const evacuationBound = 2500 * time.Millisecond

// evacuate evacuates a failure domain in the store. It returns the time from which its
// upstreams must receive no requests.
func (x *rig) evacuate(domain string) time.Time {
	x.store.SetEvacuated(domain, true)
	return time.Now().Add(evacuationBound)
}

func (x *rig) revokeEvacuation(domain string) {
	x.store.SetEvacuated(domain, false)
}

// domainArrivalsAfter counts the requests that reached workers of a failure domain after
// the given time.
func (x *rig) domainArrivalsAfter(domain string, after time.Time) int {
	n := 0
	for _, m := range append(x.engines, x.apps...) {
		for _, a := range m.Arrivals() {
			if x.domains[m] == domain && a.At.After(after) {
				n++
			}
		}
	}
	return n
}

// A gateway that does not apply an evacuation keeps sending requests to the domain's
// upstreams.
var _ = Describe("An evacuated failure domain", func() {
	var x *rig
	var fronts []string
	BeforeEach(func() {
		x = newRigIn("d", "e")
		g, second, _ := x.startGateway("second", platform.NewStore(x.storeAddr, x.metrics))
		Eventually(g.Ready, eventTimeout, pollInterval).Should(BeTrue())
		fronts = []string{x.frontURL, second}
	})
	// expectEmpty sends requests to all gateways and expects that none reach the upstreams of
	// a failure domain after the given time.
	expectEmpty := func(domain string, after time.Time, span time.Duration) {
		GinkgoHelper()
		statuses := x.callAll(fronts, "/look/a", "", 2, 20*time.Millisecond, span)
		Expect(statuses[http.StatusOK]).To(BeNumerically(">", 20))
		x.callAll(fronts, "/ask/a", "m0", 1, 20*time.Millisecond, span/2)
		Expect(x.domainArrivalsAfter(domain, after)).To(BeZero())
	}

	It("receives no requests after the bound, across a gateway start and a compaction of the store", func() {
		after := x.evacuate("d")
		expectEmpty("d", after, 3*time.Second)
		x.store.CompactConfig()
		g, third, _ := x.startGateway("third", platform.NewStore(x.storeAddr, x.metrics))
		Eventually(g.Ready, eventTimeout, pollInterval).Should(BeTrue())
		fronts = append(fronts, third)
		expectEmpty("d", after, time.Second)
	})

	It("receives none if the evacuation is revoked and repeated immediately", func() {
		x.evacuate("d")
		x.revokeEvacuation("d")
		after := x.evacuate("d")
		expectEmpty("d", after, 3*time.Second)
	})

	It("receives requests again once the evacuation is revoked", func() {
		x.evacuate("d")
		Eventually(x.log.String, eventTimeout, pollInterval).Should(ContainSubstring("evacuations in force: domains=[\"d\"]"))
		x.revokeEvacuation("d")
		back := time.Now()
		Eventually(func() int {
			x.callAll(fronts, "/look/a", "", 2, 10*time.Millisecond, 50*time.Millisecond)
			return x.domainArrivalsAfter("d", back)
		}, eventTimeout, pollInterval).Should(BeNumerically(">", 5))
	})

	It("has its requests rejected immediately if no other domain has upstreams", func() {
		x.evacuate("d")
		x.evacuate("e")
		var refused reply
		Eventually(func() int {
			_, refused = x.sendWithHeaders(x.frontURL, "/charge/a", "", nil)
			return refused.status
		}, eventTimeout, pollInterval).Should(Equal(http.StatusServiceUnavailable))
		Expect(refused.body).To(Equal("domains_evacuated"))
		began := time.Now()
		id, again := x.sendWithHeaders(x.frontURL, "/ask/a", "m0/a1", nil)
		Expect(again.status).To(Equal(http.StatusServiceUnavailable))
		Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
		Expect(x.runs(id)).To(BeZero())
	})

	It("does not receive a stream that is resumed at another upstream", func() {
		x.get("hold", "/resume/x", "m0/a1")
		var began atomic.Int64
		for _, e := range x.engines {
			e.SetFaults(standin.WorkerFaults{
				CutFresh: 2,
				Linger:   300 * time.Millisecond,
			})
		}
		after := x.evacuate("d")
		time.Sleep(time.Until(after))
		for range 4 {
			r := x.get("resume", "/resume/x", "m0/a1")
			if r.err == nil && r.status == http.StatusOK {
				began.Add(1)
			}
		}
		Expect(x.domainArrivalsAfter("d", after)).To(BeZero())
	})
})

// Routes and teams restrict the regions in which their requests may be served.
var _ = Describe("A route with allowed regions", func() {
	It("is served only there, and rejected with a specific reason if no upstream is there", func() {
		x := newRigIn("d", "e")
		x.regions = map[wardturn.FailureDomain]wardturn.Region{
			"d": "north",
			"e": "south",
		}
		const restricted = `,{"name":"local","host":"h.example","path_prefix":"/local/","type":"idempotent","timeout_ms":1000,"slo_ms":150,"service":"app","max_attempts":2,"regions_allowed":["south"]},
{"name":"none","host":"h.example","path_prefix":"/none/","type":"idempotent","timeout_ms":1000,"slo_ms":150,"service":"app","max_attempts":2,"regions_allowed":["west"]}`
		x.store.PutConfig(config(2, restricted))
		g, front, _ := x.startGateway("second", platform.NewStore(x.storeAddr, x.metrics))
		Eventually(g.Ready, eventTimeout, pollInterval).Should(BeTrue())
		began := time.Now()
		statuses := x.callAll([]string{front}, "/local/a", "", 2, 10*time.Millisecond, 500*time.Millisecond)
		Expect(statuses[http.StatusOK]).To(BeNumerically(">", 20))
		Expect(x.domainArrivalsAfter("d", began)).To(BeZero())
		id, r := x.sendWithHeaders(front, "/none/a", "", nil)
		Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		Expect(r.body).To(Equal("no_upstream_in_regions"))
		Expect(x.runs(id)).To(BeZero())
	})
})
