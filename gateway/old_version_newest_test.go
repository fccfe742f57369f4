package gateway_test

import (
	"fmt"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/standin"
)

var _ = Describe("A request that waits at an engine with the newest version", func() {
	It("is not broken off when the versions before serve no more", func() {
		x := newRig()
		x.store.PutConfig(config(2, longRoute))
		Eventually(func() int {
			return x.get("first", "/long/x", "m0/a1").status
		}, soon, often).Should(Equal(http.StatusOK))
		for _, e := range x.engines {
			e.Name("a1", 2)
		}
		x.store.Put("keyed.op", "version/m0.a1", []byte(`{"model":"m0","adapter":"a1","version":2}`))
		n := 0
		Eventually(func() string {
			n++
			id := fmt.Sprint("newest-", n)
			x.send("POST", id, "/long/x", "m0/a1", "prompt")
			for _, e := range x.engines {
				if h := e.Headers(id); h != nil {
					return h.Get("Expect-Version")
				}
			}
			return ""
		}, soon, often).Should(Equal("2"))
		for _, e := range x.engines {
			e.SetFaults(standin.WorkerFaults{
				HoldUp: oldVersionLimit,
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
		Eventually(status, 2*oldVersionLimit+soon).Should(Receive(Equal(http.StatusOK)))
	})
})
