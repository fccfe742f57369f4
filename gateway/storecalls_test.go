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

// Before the upstreams have entered themselves no gateway hears another: each read the
// configuration and the crashes each 1.2 s, twenty calls of the store for each host that
// starts.
var _ = Describe("A gateway that knows no upstream", func() {
	It("asks the store little, and for crashes once there is one", func() {
		x := newRig()
		store := standin.NewMetaStore()
		ln := listen("127.0.0.1:0")
		serve(ln, store)
		store.PutConfig(config(1, ""))
		x.startGateway("alone", platform.NewStore(ln.Addr().String(), x.metrics))
		time.Sleep(3 * time.Second)
		Expect(store.ReadsOf(topicOperator)).To(BeNumerically("<=", 3))
		Expect(store.ReadsOf(topicCrashes)).To(BeZero())
		store.PutConfig(config(2, newRoute))
		Eventually(x.log.String, 500*time.Millisecond, often).Should(ContainSubstring("configuration in force: version=2"), "a change is seen at once")
		m := x.apps[0]
		store.PutServer(m.ID(), m.Entry("app", x.addrs[m], "d", "ready"))
		Eventually(func() int {
			return store.ReadsOf(topicCrashes)
		}, soon, often).Should(Equal(1))
	})
})

// A change of more upstreams than are told had all that heard of it read at once, and tell
// the same: up to four readings a second of each gateway, while upstreams enter the list.
var _ = Describe("Gateways before which many upstreams enter the list", func() {
	It("read it in turn", func() {
		const (
			drain = 4 * time.Second // it is read each half of that
			span  = 3 * time.Second
			more  = 5
		)
		x := newRigDraining(drain, "d", "d")
		for i := range more {
			g, _, _ := x.startGateway(wardturn.Incarnation(fmt.Sprint("more", i)), platform.NewStore(x.storeAddr, x.metrics))
			Eventually(g.Ready, soon, often).Should(BeTrue())
		}
		time.Sleep(drain) // all have heard the one that reads
		before := x.store.ReadsOf(topicServers)
		n := 0
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for range 100 {
				x.store.PutServer(fmt.Sprint("u", n), fmt.Sprintf(`{"service":"other","address":"127.0.0.1:%d","zone":"d","slots":8,"state":"ready","seq":1}`, 10000+n))
				n++
			}
		}
		each := int(span/(drain/2)) + 1
		Expect(x.store.ReadsOf(topicServers) - before).To(BeNumerically("<=", each*(1+more)))
	})
})
