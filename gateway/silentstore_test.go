package gateway_test

import (
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/platform"
	"wardturn/standin"
)

// contactBound is how long after a disturbance of its connections a gateway may miss
// configBound.
const contactBound = 3 * time.Second

// Former versions polled the store over one silent connection after the other.
var _ = Describe("A gateway whose open connections to the store go silent", func() {
	It("applies later configuration changes in time", func() {
		const conns = 4
		x := newRigWithDrain(4*time.Second, "d", "d") // the list is read every 2 s
		x.gateway.Close()
		proxy, err := standin.NewFaultProxy(x.storeAddr)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(proxy.Close)
		store := platform.NewStore(proxy.Addr(), x.metrics)
		x.gateway, x.frontURL, x.readyURL = x.startGateway("behind", store)
		Eventually(x.gateway.Ready, eventTimeout, pollInterval).Should(BeTrue())
		Eventually(func() int {
			return x.get("before", "/charge/", "").status
		}, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
		polls := x.store.TopicReads(topicOperator)
		Eventually(func() int {
			return x.store.TopicReads(topicOperator)
		}, eventTimeout, pollInterval).Should(BeNumerically(">", polls)) // a long poll has just started
		proxy.Delay(10 * time.Millisecond)
		var calls sync.WaitGroup
		for range conns {
			calls.Go(func() {
				defer GinkgoRecover()
				_, err := store.TakeFence("p")
				Expect(err).NotTo(HaveOccurred())
			})
		}
		calls.Wait()
		proxy.SilenceConns()
		time.Sleep(contactBound - configBound)
		x.store.PutConfig(config(2, newRoute))
		Eventually(func() int {
			return x.get("new", "/new/", "").status
		}, configBound, pollInterval).Should(Equal(http.StatusOK))
	})
})

// A gateway that relies on the reads of another one polls late: 1.4 to 1.7 s after the last
// read that it received.
var _ = Describe("A gateway that loses the reads of another one and its connections to the store", func() {
	It("applies later configuration changes in time", func() {
		x := newRigWithDrain(4*time.Second, "d", "d")
		proxy, err := standin.NewFaultProxy(x.storeAddr)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(proxy.Close)
		reader := x.gateway // its ID is lower
		x.gateway, x.frontURL, x.readyURL = x.startGateway("relying", platform.NewStore(proxy.Addr(), x.metrics))
		Eventually(x.gateway.Ready, eventTimeout, pollInterval).Should(BeTrue())
		time.Sleep(2 * configBound) // until it relies on the other one
		proxy.SilenceConns()
		reader.Close()
		time.Sleep(contactBound - configBound)
		x.store.PutConfig(config(2, newRoute))
		Eventually(func() int {
			return x.get("new", "/new/", "").status
		}, configBound, pollInterval).Should(Equal(http.StatusOK))
	})
})

// Before upstreams are registered, polls wait longer, and a silent connection is noticed only
// at the end of the wait.
var _ = Describe("A gateway without upstreams whose connection to the store goes silent", func() {
	It("applies later configuration changes in time", func() {
		x := newRig()
		store := standin.NewMetaStore()
		store.PutConfig(config(1, ""))
		ln := listen("127.0.0.1:0")
		serve(ln, store)
		proxy, err := standin.NewFaultProxy(ln.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(proxy.Close)
		x.startGateway("alone", platform.NewStore(proxy.Addr(), x.metrics))
		Eventually(func() int {
			return store.TopicReads(topicOperator)
		}, eventTimeout, pollInterval).Should(BeNumerically(">=", 2)) // a long poll has just started
		proxy.SilenceConns()
		time.Sleep(contactBound - configBound)
		store.PutConfig(config(2, newRoute))
		Eventually(x.log.String, configBound, pollInterval).Should(ContainSubstring("configuration in force: version=2"))
	})
})
