package gateway_test

import (
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/standin"
)

// While the store is away nothing tells how long a newer version has been there, so the
// bound is taken to have passed when the first word after that names one. Requests that
// wait at an engine at that moment are broken off and lost, though the version may have
// been named only then.
var _ = Describe("A request that waits at an engine when a store that was away names a newer version", func() {
	It("is not lost", func() {
		x := newRig()
		x.store.PutConfig(config(2, longRoute))
		Eventually(func() int {
			return x.get("first", "/long/x", "m0/a1").status
		}, soon, often).Should(Equal(http.StatusOK))
		x.store.SetFaults(standin.MetaFaults{
			Away: true,
		})
		time.Sleep(oldVersionLimit)
		for _, e := range x.engines {
			e.SetFaults(standin.WorkerFaults{
				HoldUp:     2 * time.Second, // gateways read again each second at least
				LoseOrders: true,
			})
		}
		status := make(chan int, 1)
		go func() {
			req, err := http.NewRequest(http.MethodPost, x.front+"/long/x", strings.NewReader("prompt"))
			if err != nil {
				return
			}
			req.Host = "h.example"
			req.Header.Set("X-Wardturn-Attempt-Id", "waits")
			req.Header.Set("X-Wardturn-Deadline-Ms", "20000")
			req.Header.Set("X-Wardturn-Model", "m0/a1")
			if res, err := http.DefaultClient.Do(req); err == nil {
				res.Body.Close()
				status <- res.StatusCode
			}
		}()
		Eventually(func() int {
			return x.engines[0].Held() + x.engines[1].Held()
		}, soon, often).Should(Equal(1))
		x.store.SetFaults(standin.MetaFaults{})
		x.store.Put("keyed.op", "version/m0.a1", []byte(`{"model":"m0","adapter":"a1","version":2}`))
		Eventually(status, 2*soon).Should(Receive(Equal(http.StatusOK)))
	})
})
