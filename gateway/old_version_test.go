package gateway_test

import (
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/standin"
)

// oldVersionLimit is how long after the name of a newer version a request may begin
// on an older one.
const oldVersionLimit = 5 * time.Second

// longRoute is a route whose requests may take longer than that.
const longRoute = `,{"name":"long","host":"h.example","path_prefix":"/long/","type":"streaming","timeout_ms":20000,"slo_ms":1500,"priority":1,"service":"llm","max_attempts":1}`

// Requests that were sent in time began on an old version out of time. The bound was
// looked at when an engine was chosen; after that nothing stood between the request
// and its begin. Two reached their engines 2.4 and 3.0 s after they were sent, when a
// frozen host woke, and one waited in its engine's queue for 2.4 s. The gateways logged
//
//	old version served: version=2 newer=3 sent=2.848123707s began=5.520683515s
//	old version served: version=3 newer=4 sent=2.829875051s began=6.092301676s
//	old version served: version=3 newer=4 sent=2.702295683s began=5.075652123s
var _ = Describe("A request that is held up on its way to an old version", func() {
	It("does not begin after the version's time", func() {
		x := newRig()
		x.store.PutConfig(config(2, longRoute))
		Eventually(func() int {
			return x.get("held", "/long/x", "m0/a1").status
		}, soon, often).Should(Equal(http.StatusOK))
		for _, e := range x.engines {
			e.SetFaults(standin.WorkerFaults{
				HoldUp:     oldVersionLimit + time.Second,
				LoseOrders: true, // the newer version does not come
			})
		}
		id := "held-up"
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			req, err := http.NewRequest(http.MethodPost, x.front+"/long/x", strings.NewReader("prompt"))
			if err != nil {
				return
			}
			req.Host = "h.example"
			req.Header.Set("X-Wardturn-Attempt-Id", id)
			req.Header.Set("X-Wardturn-Deadline-Ms", "20000")
			req.Header.Set("X-Wardturn-Model", "m0/a1")
			if res, err := http.DefaultClient.Do(req); err == nil {
				res.Body.Close()
			}
		}()
		Eventually(func() int {
			return x.engines[0].Held() + x.engines[1].Held()
		}, soon, often).Should(Equal(1))
		x.store.Put("keyed.op", "version/m0.a1", []byte(`{"model":"m0","adapter":"a1","version":2}`))
		Eventually(ended, 4*soon).Should(BeClosed())
		Expect(x.runs(id)).To(Equal(0))
	})
})
