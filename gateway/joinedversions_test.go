package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/standin"
)

// Guards against streams that are joined from two software versions after all gateways were killed.
var _ = Describe("Streams that callers resume after all gateways were killed", func() {
	const streams = 24
	DescribeTable("hold events of one software version",
		func(oldLeft, named, keepersToo bool) {
			x := newVersionedRig("v1", "v2", "v1", "v2")
			x.holdEverywhere("m0/a1")
			other, otherFront := x.startOther("other")
			fronts := []string{x.frontURL, otherFront}
			begun := make(map[string]string)
			var mu sync.Mutex
			var wg sync.WaitGroup
			for i := range streams {
				wg.Go(func() {
					defer GinkgoRecover()
					id := fmt.Sprintf("joined-%d", attempts.Add(1))
					software := x.beginStream(fronts[i%2], id)
					mu.Lock()
					defer mu.Unlock()
					begun[id] = software
				})
			}
			wg.Wait()
			time.Sleep(time.Second) // the records are in the store by then
			if oldLeft {
				for i, e := range x.engines {
					if i%2 == 0 { // v1
						x.store.DeleteServer(e.ID())
						e.SetFaults(standin.WorkerFaults{
							Full: true,
						})
					}
				}
			}
			x.gateway.Close()
			other.Close()
			if keepersToo {
				x.restartKeepers()
			}
			_, front := x.startOther("after")
			var resumed, joined atomic.Int64
			for id, software := range begun {
				wg.Go(func() {
					defer GinkgoRecover()
					resumes := id
					if !named {
						resumes = ""
					}
					r := x.takeUp(front, resumes)
					if r.status != http.StatusOK {
						return
					}
					resumed.Add(1)
					for _, v := range softwareOf(r.body) {
						if v != software {
							joined.Add(1)
							return
						}
					}
				})
			}
			wg.Wait()
			Expect(joined.Load()).To(BeZero(), "of %d that went on", resumed.Load())
			left := 0
			for _, software := range begun {
				if !oldLeft || software == "v2" {
					left++
				}
			}
			if named {
				Expect(resumed.Load()).To(BeEquivalentTo(left), "all whose version serves")
			}
		},
		Entry("two serve", false, true, false),
		Entry("two serve, keepers were killed too", false, true, true),
		Entry("two serve, callers name no attempt", false, false, false),
		Entry("the old one has left", true, true, false),
		Entry("the old one has left, keepers were killed too", true, true, true),
		Entry("the old one has left, callers name no attempt", true, false, false),
	)
})
