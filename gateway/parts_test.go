package gateway_test

import (
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"wardturn/gateway"
	"wardturn/platform"
)

var _ = Describe("A gateway that receives the list of upstreams in pages", func() {
	var (
		x           *rig
		late        *gateway.Gateway
		secondPage  atomic.Bool // the second page may be returned
		configReady atomic.Bool // the configuration may be returned
	)
	// start starts a gateway that receives the engine e0 with the plain upstreams in the first
	// page and e1 in the second one.
	start := func() {
		ln := listen("127.0.0.1:0")
		serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			q := r.URL.Query()
			for q.Get("after") != "" && !secondPage.Load() || q.Get("topic") == "keyed.op" && !configReady.Load() {
				time.Sleep(pollInterval)
			}
			x.store.ServeHTTP(w, r)
		}))
		x.store.SetPageSize(3)
		late, x.frontURL, x.readyURL = x.startGateway("late", platform.NewStore(ln.Addr().String(), tally.NoopScope))
	}
	status := func(path, model string) func() int {
		return func() int {
			return x.get("part", path, model).status
		}
	}
	BeforeEach(func() {
		x = newRig()
		secondPage.Store(false)
		configReady.Store(true)
		DeferCleanup(func() { // let delayed calls complete
			secondPage.Store(true)
			configReady.Store(true)
		})
	})

	It("serves requests for plain services before the list is complete", func() {
		start()
		Eventually(status("/charge/", ""), eventTimeout, pollInterval).Should(Equal(http.StatusOK))
		Expect(late.Ready()).To(BeFalse())
	})

	It("does so if the configuration arrives later", func() {
		configReady.Store(false)
		start()
		time.Sleep(100 * time.Millisecond)
		configReady.Store(true)
		Eventually(status("/charge/", ""), eventTimeout, pollInterval).Should(Equal(http.StatusOK))
		Expect(late.Ready()).To(BeFalse())
	})

	It("uses no engine before the list is complete", func() {
		start()
		Eventually(status("/charge/", ""), eventTimeout, pollInterval).Should(Equal(http.StatusOK))
		before := x.engines[0].TotalRuns()
		Expect(status("/ask/x", "m0")()).NotTo(Equal(http.StatusOK))
		Expect(x.engines[0].TotalRuns()).To(Equal(before))
		secondPage.Store(true)
		Eventually(late.Ready, eventTimeout, pollInterval).Should(BeTrue())
		Eventually(status("/ask/x", "m0"), eventTimeout, pollInterval).Should(Equal(http.StatusOK))
	})
})
