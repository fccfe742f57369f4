package gateway_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/gateway"
	"wardturn/platform"
)

var _ = Describe("State of an engine in another failure domain", func() {
	var (
		x     *rig
		other *gateway.Gateway // in the engine's failure domain
		front string           // address of other
	)
	updates := func(way string) int64 {
		c := x.metrics.Snapshot().Counters()["keeper_words+way="+way]
		if c == nil {
			return 0
		}
		return c.Value()
	}
	loads := 0
	// loadAdapters requests new adapters through the other gateway; some are loaded at the
	// remote engine.
	loadAdapters := func() {
		own := x.frontURL
		x.frontURL = front
		defer func() {
			x.frontURL = own
		}()
		for range 4 {
			loads++
			Expect(x.get("load", "/ask/x", fmt.Sprintf("m0/l%d", loads)).err).NotTo(HaveOccurred())
		}
	}
	BeforeEach(func() {
		x = newRigIn("d", "f")
		own := x.frontURL
		x.domain = "f"
		// Separate metrics, so that x.metrics counts only the first gateway's updates.
		metrics := x.metrics
		x.metrics = newTestScope()
		other, front, _ = x.startGateway("second", platform.NewStore(x.storeAddr, x.metrics))
		x.metrics = metrics
		x.frontURL = own
		Eventually(other.Ready, eventTimeout, pollInterval).Should(BeTrue())
	})

	It("is received through a relay in the gateway's failure domain", func() {
		Eventually(func() int64 {
			loadAdapters()
			return updates("relay")
		}, eventTimeout, pollInterval).Should(BeNumerically(">", 5))
	})

	It("is received directly when the relay is unreachable", func() {
		Eventually(func() int64 {
			loadAdapters()
			return updates("relay")
		}, eventTimeout, pollInterval).Should(BeNumerically(">", 0))
		x.keeperProxy.Block(true)
		before := updates("direct")
		Eventually(func() int64 {
			loadAdapters()
			return updates("direct")
		}, eventTimeout, pollInterval).Should(BeNumerically(">", before+3))
	})

	It("is received directly when the relay is frozen", func() {
		Eventually(func() int64 {
			loadAdapters()
			return updates("relay")
		}, eventTimeout, pollInterval).Should(BeNumerically(">", 0))
		x.keeperProxy.Freeze(true)
		frozen := time.Now()
		before := updates("direct")
		Eventually(func() int64 {
			loadAdapters()
			// Use an adapter that one of the engines holds.
			x.get("use", "/ask/x", fmt.Sprintf("m0/l%d", loads))
			return updates("direct")
		}, eventTimeout, pollInterval).Should(BeNumerically(">", before+3))
		// A missing heartbeat is noticed only after 5 s.
		Expect(time.Since(frozen)).To(BeNumerically("<", 3*time.Second))
	})

	It("is received through the relay again once it is reachable", func() {
		x.keeperProxy.Block(true)
		loadAdapters()
		x.keeperProxy.Block(false)
		before := updates("relay")
		Eventually(func() int64 {
			loadAdapters()
			return updates("relay")
		}, 2*eventTimeout, pollInterval).Should(BeNumerically(">", before+3))
		Expect(x.get("after", "/ask/x", "m0").status).To(Equal(http.StatusOK))
	})
})
