package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/standin"
)

// An engine whose requests were broken off because their version serves no more has not
// failed: nothing is known against it.
var _ = Describe("Engines whose requests were broken off with the end of an old version", func() {
	It("go on taking other requests at once", func() {
		x := newRig()
		x.store.PutConfig(config(2, longRoute))
		Eventually(func() int {
			return x.get("first", "/long/x", "m0/a1").status
		}, soon, often).Should(Equal(http.StatusOK))
		for _, e := range x.engines {
			e.SetFaults(standin.WorkerFaults{
				HoldUp:     oldVersionLimit + time.Second,
				LoseOrders: true, // the newer version does not come
			})
		}
		const held = 24
		var all sync.WaitGroup
		send := func(id, model string) int {
			req, err := http.NewRequest(http.MethodPost, x.front+"/long/x", strings.NewReader("prompt"))
			if err != nil {
				return 0
			}
			req.Host = "h.example"
			req.Header.Set("X-Wardturn-Attempt-Id", id)
			req.Header.Set("X-Wardturn-Deadline-Ms", "20000")
			req.Header.Set("X-Wardturn-Model", model)
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				return 0
			}
			res.Body.Close()
			return res.StatusCode
		}
		for i := range held {
			all.Add(1)
			go func() {
				defer all.Done()
				send(fmt.Sprint("held-up-", i), "m0/a1")
			}()
		}
		Eventually(func() int {
			return x.engines[0].Held() + x.engines[1].Held()
		}, soon, often).Should(BeNumerically(">", 2))
		spread := []int{x.engines[0].Held(), x.engines[1].Held()}
		x.store.Put("keyed.op", "version/m0.a1", []byte(`{"model":"m0","adapter":"a1","version":2}`))
		Eventually(func() int {
			return x.engines[0].Held() + x.engines[1].Held()
		}, 4*soon, often).Should(Equal(0))
		for i, e := range x.engines {
			// The other one is full, so that they have to go to this one.
			e.SetFaults(standin.WorkerFaults{
				Full: spread[i] == 0,
			})
		}
		statuses := make(map[int]int)
		for i := range 10 {
			statuses[send(fmt.Sprint("after-", i), "m0")]++
		}
		Expect(statuses).To(HaveKeyWithValue(http.StatusOK, 10), fmt.Sprint("held ", spread, " ", statuses))
	})
})
