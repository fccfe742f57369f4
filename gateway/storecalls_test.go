package gateway_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/platform"
	"wardturn/standin"
)

const (
	topicOperator = "keyed.op"
	topicServers  = "keyed.servers"
	topicCrashes  = "keyed.wardturn.crashes"
)

// Before upstreams are registered, gateways cannot receive each other's announcements. Each
// gateway then read the configuration and the crashes every 1.2 s, which cost twenty store
// calls for each host that started.
var _ = Describe("A gateway without upstreams", func() {
	It("reads the configuration rarely, and the crashes once there is an upstream", func() {
		x := newRig()
		store := standin.NewMetaStore()
		ln := listen("127.0.0.1:0")
		serve(ln, store)
		store.PutConfig(config(1, ""))
		x.startGateway("alone", platform.NewStore(ln.Addr().String(), x.metrics))
		time.Sleep(3 * time.Second)
		Expect(store.TopicReads(topicOperator)).To(BeNumerically("<=", 3))
		Expect(store.TopicReads(topicCrashes)).To(BeZero())
		store.PutConfig(config(2, newRoute))
		Eventually(x.log.String, 500*time.Millisecond, pollInterval).Should(ContainSubstring("configuration in force: version=2"), "a change is applied immediately")
		m := x.apps[0]
		store.PutServer(m.ID(), m.Entry("app", x.addrs[m], "d", "ready"))
		Eventually(func() int {
			return store.TopicReads(topicCrashes)
		}, eventTimeout, pollInterval).Should(Equal(1))
	})
})

// When a change was too long to be announced in full, all gateways that received the
// announcement read the list at once and announced the same change again: up to four reads per
// second and gateway while upstreams registered.
var _ = Describe("Gateways while many upstreams register", func() {
	It("read the list as scheduled", func() {
		const (
			drain         = 4 * time.Second // the list is read every half of that
			span          = 3 * time.Second
			extraGateways = 5
		)
		x := newRigWithDrain(drain, "d", "d")
		for i := range extraGateways {
			g, _, _ := x.startGateway(wardturn.Incarnation(fmt.Sprint("more", i)), platform.NewStore(x.storeAddr, x.metrics))
			Eventually(g.Ready, eventTimeout, pollInterval).Should(BeTrue())
		}
		time.Sleep(drain) // all have received announcements of the one that reads
		before := x.store.TopicReads(topicServers)
		n := 0
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for range 100 {
				x.store.PutServer(fmt.Sprint("u", n), fmt.Sprintf(`{"service":"other","address":"127.0.0.1:%d","zone":"d","slots":8,"state":"ready","seq":1}`, 10000+n))
				n++
			}
		}
		readsEach := int(span/(drain/2)) + 1
		Expect(x.store.TopicReads(topicServers) - before).To(BeNumerically("<=", readsEach*(1+extraGateways)))
	})
})
