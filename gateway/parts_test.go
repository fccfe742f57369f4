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

var _ = Describe("A gateway whose list of upstreams comes in parts", func() {
	var (
		x      *rig
		late   *gateway.Gateway
		rest   atomic.Bool // the second part may come
		config atomic.Bool // the configuration may come
	)
	// start starts a gateway to which the engine e0 comes with the plain upstreams, and
	// e1 with the second part.
	start := func() {
		ln := listen("127.0.0.1:0")
		serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			q := r.URL.Query()
			for q.Get("after") != "" && !rest.Load() || q.Get("topic") == "keyed.op" && !config.Load() {
				time.Sleep(often)
			}
			x.store.ServeHTTP(w, r)
		}))
		x.store.SetPage(3)
		late, x.front, x.ready = x.startGateway("late", platform.NewStore(ln.Addr().String(), tally.NoopScope))
	}
	status := func(path, model string) func() int {
		return func() int {
			return x.get("part", path, model).status
		}
	}
	BeforeEach(func() {
		x = newRig()
		rest.Store(false)
		config.Store(true)
		DeferCleanup(func() { // calls that are held back end
			rest.Store(true)
			config.Store(true)
		})
	})

	It("serves plain requests before the rest is there", func() {
		start()
		Eventually(status("/charge/", ""), soon, often).Should(Equal(http.StatusOK))
		Expect(late.Ready()).To(BeFalse())
	})

	It("does so also if the configuration comes later", func() {
		config.Store(false)
		start()
		time.Sleep(100 * time.Millisecond)
		config.Store(true)
		Eventually(status("/charge/", ""), soon, often).Should(Equal(http.StatusOK))
		Expect(late.Ready()).To(BeFalse())
	})

	It("uses no engine before it knows them all", func() {
		start()
		Eventually(status("/charge/", ""), soon, often).Should(Equal(http.StatusOK))
		before := x.engines[0].Total()
		Expect(status("/ask/x", "m0")()).NotTo(Equal(http.StatusOK))
		Expect(x.engines[0].Total()).To(Equal(before))
		rest.Store(true)
		Eventually(late.Ready, soon, often).Should(BeTrue())
		Eventually(status("/ask/x", "m0"), soon, often).Should(Equal(http.StatusOK))
	})
})
