package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/platform"
	"wardturn/standin"
)

// Guards against shares of a limit that stay with gateways which get no more connections, so
// that the gateway which gets them all refuses requests that there is room for.
var _ = Describe("Most new connections at one gateway", func() {
	const (
		gateways  = 4
		rate      = 60 // requests per second of each kind
		contact   = time.Second
		measured  = 2 * time.Second
		leastPart = 0.75 // of the share served before
	)
	type kind struct {
		path, model string
	}
	kinds := []kind{
		{
			path: "/look/a",
		},
		{
			path: "/charge/a",
		},
		{
			path:  "/ask/a",
			model: "m0/a1",
		},
	}
	var x *rig
	var fronts []string
	BeforeEach(func() {
		x = newRig()
		x.client.Transport.(*http.Transport).DisableKeepAlives = true
		x.store.PutConfig(configWithTeams(2, capped))
		fronts = []string{x.frontURL}
		for i := 1; i < gateways; i++ {
			_, front, _ := x.startGateway(wardturn.Incarnation(fmt.Sprint("gateway-", i)), platform.NewStore(x.storeAddr, x.metrics))
			fronts = append(fronts, front)
		}
	})
	// served sends each kind of request to gateways in turn for a time, and returns the share
	// of each kind that is served at the first attempt.
	served := func(fronts []string, span time.Duration) map[kind]float64 {
		GinkgoHelper()
		sent := int(rate * span.Seconds())
		done := make(map[kind]int)
		var mu sync.Mutex
		var wg sync.WaitGroup
		for n := range sent {
			for _, k := range kinds {
				wg.Go(func() {
					defer GinkgoRecover()
					h := bearerHeader("key-a")
					h["X-Wardturn-Token-Count"] = []string{"3,1"} // 720 of the team's 1,000 a second
					_, r := x.sendWithHeaders(fronts[n%len(fronts)], k.path, k.model, h)
					if r.status == http.StatusOK {
						mu.Lock()
						done[k]++
						mu.Unlock()
					}
				})
			}
			time.Sleep(time.Second / rate)
		}
		wg.Wait()
		share := make(map[kind]float64)
		for k, n := range done {
			share[k] = float64(n) / float64(sent)
		}
		return share
	}

	It("is served as before from shortly after the change on", func() {
		for _, m := range x.apps {
			m.SetFaults(standin.WorkerFaults{
				Think: 30 * time.Millisecond,
			})
		}
		served(fronts, measured) // until all know the configuration and each other's usage
		before := served(fronts, measured)
		served(fronts[1:2], contact)
		after := served(fronts[1:2], measured)
		for _, k := range kinds {
			Expect(before[k]).To(BeNumerically(">=", leastPart), "%v", k)
			Expect(after[k]).To(BeNumerically(">=", leastPart*before[k]), "%v: %v before", k, before[k])
		}
	})
})
