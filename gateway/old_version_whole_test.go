package gateway_test

import (
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/standin"
)

// longWholeRoute is a route to engines whose answers are no streams.
const longWholeRoute = `,{"name":"whole","host":"h.example","path_prefix":"/whole/","type":"idempotent","timeout_ms":20000,"slo_ms":1500,"priority":1,"service":"llm","max_attempts":2}`

var _ = Describe("A request for a whole answer that is held up on its way to an old version", func() {
	It("does not begin after the version's time", func() {
		x := newRig()
		x.store.PutConfig(config(2, longWholeRoute))
		Eventually(func() int {
			return x.get("held", "/whole/x", "m0/a1").status
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
			req, err := http.NewRequest(http.MethodPost, x.front+"/whole/x", strings.NewReader("prompt"))
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
