package gateway_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/platform"
)

// Guards against keys of other writers that keep a process from reading what it needs to start.
var _ = Describe("A gateway that starts while the store holds keys of other writers", func() {
	// keys are keys with bytes that have a meaning in a query, a header, a record or JSON.
	keys := []string{"a02%#", "a05+", "a b", "a&after=zz", "a\r\nX-Other: 1", "a\x00b", "a\xffb", "~7", "", "zz%"}

	DescribeTable("serves",
		func(topic string, pageSize int) {
			x := newRig()
			x.store.SetPageSize(pageSize)
			for i, key := range keys {
				entry := fmt.Sprintf(`{"service":"other","address":"127.0.0.1:%d","zone":"d","version":"1","slots":1,"state":"ready","seq":1,"at_ms":1}`, i+1)
				x.store.Put(topic, key, []byte(entry))
			}
			late, front, _ := x.startGateway("late", platform.NewStore(x.storeAddr, x.metrics))
			x.frontURL = front
			Eventually(late.Ready, eventTimeout, pollInterval).Should(BeTrue())
			for _, path := range []string{"/charge/", "/look/x"} {
				Eventually(func() int {
					return x.get("late", path, "").status
				}, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
			}
			Eventually(func() int {
				return x.get("late", "/ask/x", "m0").status
			}, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
			before := x.store.TopicReads(topic)
			time.Sleep(500 * time.Millisecond)
			Expect(x.store.TopicReads(topic) - before).To(BeNumerically("<", 100))
		},
		Entry("the operator's, on pages of one", "keyed.op", 1),
		Entry("the operator's, on pages of three", "keyed.op", 3),
		Entry("upstreams, on pages of one", "keyed.servers", 1),
		Entry("upstreams, on pages of three", "keyed.servers", 3),
		Entry("records of crashes, on pages of one", "keyed.wardturn.crashes", 1),
		Entry("facts of the fleet, on pages of one", "keyed.wardturn", 1),
	)

	It("sends no header that a key contains", func() {
		x := newRig()
		injected := make(chan string, 100)
		ln := listen("127.0.0.1:0")
		serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if v := r.Header.Get("X-Other"); v != "" {
				injected <- v
			}
			w.WriteHeader(http.StatusInternalServerError)
		}))
		x.store.PutServer("other\r\nX-Other: 1", x.apps[0].Entry("app", ln.Addr().String(), "d", "ready"))
		time.Sleep(2 * x.drain) // the list has been read
		for range 40 {
			x.get("injected", "/look/x", "")
		}
		Expect(injected).To(BeEmpty())
	})
})
