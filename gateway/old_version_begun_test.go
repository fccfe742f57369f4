package gateway_test

import (
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/standin"
)

var _ = Describe("A stream that began on an old version in time", func() {
	It("goes on to its end after the version's time", func() {
		x := newRig()
		x.store.PutConfig(config(2, longRoute))
		Eventually(func() int {
			return x.get("first", "/long/x", "m0/a1").status
		}, soon, often).Should(Equal(http.StatusOK))
		for _, e := range x.engines {
			e.SetFaults(standin.WorkerFaults{
				Linger:     oldVersionLimit / 2,
				LoseOrders: true, // the newer version does not come
			})
		}
		whole := make(chan string, 1)
		go func() {
			req, err := http.NewRequest(http.MethodPost, x.front+"/long/x", strings.NewReader("prompt"))
			if err != nil {
				return
			}
			req.Host = "h.example"
			req.Header.Set("X-Wardturn-Attempt-Id", "begun")
			req.Header.Set("X-Wardturn-Deadline-Ms", "20000")
			req.Header.Set("X-Wardturn-Model", "m0/a1")
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				return
			}
			defer res.Body.Close()
			if body, err := io.ReadAll(res.Body); err == nil {
				whole <- string(body)
			}
		}()
		Eventually(func() int {
			return x.runs("begun")
		}, soon, often).Should(Equal(1))
		x.store.Put("keyed.op", "version/m0.a1", []byte(`{"model":"m0","adapter":"a1","version":2}`))
		Eventually(whole, 4*soon).Should(Receive(ContainSubstring("piece 4")))
	})
})
