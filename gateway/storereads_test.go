package gateway_test

import (
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/gateway"
	"wardturn/platform"
)

var _ = Describe("Gateways that share a store", func() {
	var (
		x           *rig
		other       *gateway.Gateway
		unavailable atomic.Bool // the store is unavailable to the other gateway
	)
	BeforeEach(func() {
		x = newRig()
		unavailable.Store(false)
		ln := listen("127.0.0.1:0")
		serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if unavailable.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			x.store.ServeHTTP(w, r)
		}))
		// Its ID is higher, so the first gateway reads for both.
		other, x.frontURL, x.readyURL = x.startGateway("second", platform.NewStore(ln.Addr().String(), x.metrics))
		Eventually(other.Ready, eventTimeout, pollInterval).Should(BeTrue())
		Eventually(func() int {
			return x.get("ready", "/ask/x", "m0").status
		}, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
	})

	It("read it about as often as a single gateway", func() {
		time.Sleep(1500 * time.Millisecond) // both have received announcements of each other
		operator, servers := x.store.KeyedReads()
		time.Sleep(3 * time.Second)
		operatorNow, serversNow := x.store.KeyedReads()
		// In 3 s, one gateway alone makes 2.5 configuration and 12 list reads, two 5 and 24.
		Expect(operatorNow - operator).To(BeNumerically("<=", 4))
		Expect(serversNow - servers).To(BeNumerically("<=", 16))
		announced := x.metrics.Snapshot().Counters()["store_reads+record=upstreams,result=by_another"]
		Expect(announced.Value()).To(BeNumerically(">", 0))
		causes := x.metrics.Snapshot().Counters()
		Expect(causes["store_read_causes+cause=for_all,record=upstreams"].Value()).To(BeNumerically(">", 0))
	})

	It("learn from each other that an upstream is draining", func() {
		time.Sleep(600 * time.Millisecond)
		unavailable.Store(true)
		time.Sleep(300 * time.Millisecond)
		x.putEntry(x.apps[0], "app", "a0", "draining")
		Eventually(func() int {
			before := x.apps[0].TotalRuns()
			for range 4 {
				x.get("leave", "/charge/", "")
			}
			return x.apps[0].TotalRuns() - before
		}, eventTimeout, pollInterval).Should(BeZero())
		Expect(x.apps[1].TotalRuns()).To(BeNumerically(">", 0))
	})

	It("apply a configuration change immediately", func() {
		time.Sleep(100 * time.Millisecond)
		x.store.PutConfig(config(2, newRoute))
		Eventually(func() int {
			return x.get("new", "/new/", "").status
		}, 400*time.Millisecond, pollInterval).Should(Equal(http.StatusOK))
	})

	It("read the store themselves if they receive no announcements", func() {
		time.Sleep(600 * time.Millisecond)
		x.gateway.Close()
		x.store.PutConfig(config(2, newRoute))
		Eventually(func() int {
			return x.get("new", "/new/", "").status
		}, 2*time.Second, pollInterval).Should(Equal(http.StatusOK))
	})
})
