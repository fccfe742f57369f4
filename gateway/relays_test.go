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

var _ = Describe("What a far engine holds", func() {
	var (
		x     *rig
		other *gateway.Gateway // in the far engine's failure domain
		front string           // of the other
	)
	words := func(way string) int64 {
		c := x.metrics.Snapshot().Counters()["keeper_words+way="+way]
		if c == nil {
			return 0
		}
		return c.Value()
	}
	// load has the other gateway bring adapters to the engines; some go to the far one.
	loads := 0
	load := func() {
		own := x.front
		x.front = front
		defer func() {
			x.front = own
		}()
		for range 4 {
			loads++
			Expect(x.get("load", "/ask/x", fmt.Sprintf("m0/l%d", loads)).err).NotTo(HaveOccurred())
		}
	}
	BeforeEach(func() {
		x = newRigIn("d", "f")
		own := x.front
		x.domain = "f"
		// Its metrics are apart, so that the words are those of the first gateway.
		metrics := x.metrics
		x.metrics = newTestScope()
		other, front, _ = x.startGateway("second", platform.NewStore(x.storeAddr, x.metrics))
		x.metrics = metrics
		x.front = own
		Eventually(other.Ready, soon, often).Should(BeTrue())
	})

	It("is told by a relay in the own failure domain", func() {
		Eventually(func() int64 {
			load()
			return words("relay")
		}, soon, often).Should(BeNumerically(">", 5))
	})

	It("is told directly when the relay is gone", func() {
		Eventually(func() int64 {
			load()
			return words("relay")
		}, soon, often).Should(BeNumerically(">", 0))
		x.way.Block(true)
		before := words("direct")
		Eventually(func() int64 {
			load()
			return words("direct")
		}, soon, often).Should(BeNumerically(">", before+3))
	})

	It("is told directly when the relay is frozen", func() {
		Eventually(func() int64 {
			load()
			return words("relay")
		}, soon, often).Should(BeNumerically(">", 0))
		x.way.Freeze(true)
		frozen := time.Now()
		before := words("direct")
		Eventually(func() int64 {
			load()
			x.get("use", "/ask/x", fmt.Sprintf("m0/l%d", loads)) // which one of the engines holds
			return words("direct")
		}, soon, often).Should(BeNumerically(">", before+3))
		Expect(time.Since(frozen)).To(BeNumerically("<", 3*time.Second)) // a heartbeat shows it after 5 s
	})

	It("is told by the relay again when that is back", func() {
		x.way.Block(true)
		load()
		x.way.Block(false)
		before := words("relay")
		Eventually(func() int64 {
			load()
			return words("relay")
		}, 2*soon, often).Should(BeNumerically(">", before+3))
		Expect(x.get("after", "/ask/x", "m0").status).To(Equal(http.StatusOK))
	})
})
