package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/platform"
	"wardturn/standin"
)

// beginAt starts a stream at an engine while the others are full.
func (x *rig) beginAt(engine *standin.ModelWorker) (id, software string) {
	GinkgoHelper()
	for _, e := range x.engines {
		e.SetFaults(standin.WorkerFaults{
			Full: e != engine,
		})
	}
	ctx, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	var body io.ReadCloser
	Eventually(func() int { // a full engine may have been tried in vain
		id = fmt.Sprintf("begun-%d", attempts.Add(1))
		res, err := x.client.Do(x.streamRequest(ctx, x.frontURL, id))
		Expect(err).NotTo(HaveOccurred())
		body = res.Body
		return res.StatusCode
	}, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
	defer body.Close()
	first := make([]byte, len("id: 1\ndata: v1 1\n"))
	_, err := io.ReadFull(body, first)
	Expect(err).NotTo(HaveOccurred())
	for _, e := range x.engines {
		e.SetFaults(standin.WorkerFaults{})
	}
	return id, softwareOf(string(first))[0]
}

var _ = Describe("A stream whose record in the store is lost", func() {
	It("does not go on at the version that was the only one before its own appeared", func() {
		x := newVersionedRig("v1", "v2")
		x.holdEverywhere("m0/a1")
		x.store.SetFaults(standin.MetaFaults{
			Unavailable: true, // until the gateway has lost power
		})
		id, software := x.beginAt(x.engines[1])
		Expect(software).To(Equal("v2"))
		x.gateway.Close()
		x.restartKeepers()
		x.store.SetFaults(standin.MetaFaults{})
		x.store.DeleteServer("e1") // back later than the other engine
		_, front := x.startOther("after")
		r := x.takeUp(front, id)
		Expect(softwareOf(r.body)).To(BeEmpty(), "began at v2, status %d", r.status)
	})

	It("does not go on at that version after the store was restored from a copy of before", func() {
		x := newVersionedRig("v1", "v2")
		x.holdEverywhere("m0/a1")
		x.store.DeleteServer("e1")
		before := x.store.Copy()
		x.putEntry(x.engines[1], "llm", "e1", "ready")
		id, software := x.beginAt(x.engines[1])
		Expect(software).To(Equal("v2"))
		time.Sleep(time.Second) // the record is in the store by then
		x.gateway.Close()
		x.restartKeepers()
		x.store.Restore(before)
		_, front := x.startOther("after")
		r := x.takeUp(front, id)
		Expect(softwareOf(r.body)).To(BeEmpty(), "began at v2, status %d", r.status)
	})
})

// Guards against attempts with long IDs whose streams cannot be resumed, or fill the memory of those that
// keep where they began.
var _ = Describe("A stream of an attempt with a long ID", func() {
	It("goes on after all hosts of gateways and keepers have lost power", func() {
		x := newVersionedRig("v1", "v2")
		x.holdEverywhere("m0/a1")
		id := fmt.Sprintf("long-%d-%s", attempts.Add(1), strings.Repeat("x", 12<<10))
		software := x.beginStream(x.frontURL, id)
		time.Sleep(time.Second) // the record is in the store by then
		x.gateway.Close()
		x.restartKeepers()
		_, front := x.startOther("after")
		Expect(softwareOf(x.takeUp(front, id).body)).To(HaveExactElements(software, software, software))
	})
})

var _ = Describe("A stream that is resumed before any upstream of its service is listed", func() {
	It("does not go on at another software version that appears first", func() {
		x := newVersionedRig("v1", "v2")
		x.holdEverywhere("m0/a1")
		id, software := x.beginAt(x.engines[1])
		Expect(software).To(Equal("v2"))
		x.gateway.Close()
		for _, e := range x.engines {
			x.store.DeleteServer(e.ID())
		}
		g, front, _ := x.startGateway("after", platform.NewStore(x.storeAddr, x.metrics))
		Eventually(g.Ready, eventTimeout, pollInterval).Should(BeTrue())
		var mu sync.Mutex
		var bodies []string
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() {
				defer GinkgoRecover()
				time.Sleep(time.Duration(i) * 50 * time.Millisecond)
				r := x.takeUp(front, id)
				mu.Lock()
				defer mu.Unlock()
				bodies = append(bodies, r.body)
			})
		}
		time.Sleep(500 * time.Millisecond)
		x.putEntry(x.engines[0], "llm", "e0", "ready")
		wg.Wait()
		mixed := 0
		for _, b := range bodies {
			if len(softwareOf(b)) > 0 && softwareOf(b)[0] != software {
				mixed++
			}
		}
		Expect(mixed).To(BeZero(), "of %d: %q", len(bodies), bodies)
	})
})

var _ = Describe("A stream whose route has moved to another service", func() {
	It("does not go on at the only version of that service", func() {
		x := newVersionedRig("v1", "v1")
		x.holdEverywhere("m0/a1")
		id, _ := x.beginAt(x.engines[0])
		x.gateway.Close()
		x.restartKeepers()
		x.store.DeleteServer("e1")
		x.putEntry(x.engines[1], "llm2", "e1", "ready")
		moved := strings.Replace(config(2, ""), `"service":"llm","max_attempts":2`, `"service":"llm2","max_attempts":2`, 1)
		x.store.PutConfig(strings.Replace(moved, `{"name":"llm",`, `{"name":"llm2","max_conns":50,"engine":{"slots":8,"adapter_slots":2,"models":[{"name":"m0","load_s":0.1}]}},{"name":"llm",`, 1))
		_, front := x.startOther("after")
		Expect(softwareOf(x.takeUp(front, id).body)).To(BeEmpty(), "began at service llm")
	})
})

var _ = Describe("A lookup of the origin of a stream", func() {
	It("reads the store again within its time after a call that failed", func() {
		x := newVersionedRig("v1", "v2")
		x.holdEverywhere("m0/a1")
		id, software := x.beginAt(x.engines[0])
		time.Sleep(time.Second) // the record is in the store by then
		x.gateway.Close()
		x.restartKeepers()
		_, front := x.startOther("after")
		x.store.SetFaults(standin.MetaFaults{
			Unavailable: true,
		})
		time.AfterFunc(300*time.Millisecond, func() {
			x.store.SetFaults(standin.MetaFaults{})
		})
		Expect(softwareOf(x.takeUp(front, id).body)).To(HaveExactElements(software, software, software))
	})

	It("uses a keeper's late reply while the store is silent", func() {
		x := newVersionedRig("v1")
		x.holdEverywhere("m0/a1")
		_, front := x.startOther("other")
		id, software := x.beginAt(x.engines[0])
		x.gateway.Close()
		x.store.SetFaults(standin.MetaFaults{
			NoResponse: true,
		})
		x.keeperProxy.Delay(250 * time.Millisecond) // in each direction
		Expect(softwareOf(x.takeUp(front, id).body)).To(HaveExactElements(software, software, software))
	})

	It("ends in the caller's time", func() {
		x := newVersionedRig("v1", "v2")
		x.holdEverywhere("m0/a1")
		_, front := x.startOther("other")
		x.store.SetFaults(standin.MetaFaults{
			NoResponse: true,
		})
		req := x.streamRequest(GinkgoT().Context(), front, fmt.Sprintf("taker-%d", attempts.Add(1)))
		req.Header.Set("Last-Event-Id", "1")
		req.Header.Set("Resumes", "never-begun")
		req.Header.Set("X-Wardturn-Deadline-Ms", "300")
		sent := time.Now()
		res, err := x.client.Do(req)
		Expect(err).NotTo(HaveOccurred())
		res.Body.Close()
		Expect(res.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(time.Since(sent)).To(BeNumerically("<", 550*time.Millisecond))
	})

	It("ends when its gateway is closed", func() {
		x := newVersionedRig("v1", "v2")
		x.holdEverywhere("m0/a1")
		x.keeperProxy.Freeze(true)
		defer x.keeperProxy.Freeze(false)
		go func() {
			req := x.streamRequest(GinkgoT().Context(), x.frontURL, "taker-closed")
			req.Header.Set("Last-Event-Id", "1")
			req.Header.Set("Resumes", "never-begun")
			if res, err := x.client.Do(req); err == nil {
				res.Body.Close()
			}
		}()
		lookups := func() int {
			buf := make([]byte, 8<<20)
			return strings.Count(string(buf[:runtime.Stack(buf, true)]), "(*origins).find(")
		}
		Eventually(lookups, time.Second, time.Millisecond).Should(Equal(1))
		x.gateway.Close()
		Eventually(lookups, 3*time.Second, pollInterval).Should(BeZero())
	})
})

var _ = Describe("A stream of a version that is listed late", func() {
	It("is refused by a gateway that has listed one version since its start", func() {
		x := newVersionedRig("v1", "v2")
		x.holdEverywhere("m0/a1")
		x.store.SetFaults(standin.MetaFaults{
			Unavailable: true, // until the gateway has lost power
		})
		id, software := x.beginAt(x.engines[1])
		Expect(software).To(Equal("v2"))
		x.gateway.Close()
		x.restartKeepers()
		x.store.SetFaults(standin.MetaFaults{})
		x.store.DeleteServer("e1") // back later than the other engine
		_, front := x.startOther("after")
		time.Sleep(time.Second) // the gateway has recorded that it lists one version
		r := x.takeUp(front, id)
		Expect(softwareOf(r.body)).To(BeEmpty(), "began at v2, status %d", r.status)
	})
})

var _ = Describe("Origins of streams that could not be written to the store", func() {
	It("are written once it is back", func() {
		x := newVersionedRig("v1", "v2")
		x.holdEverywhere("m0/a1")
		x.store.SetFaults(standin.MetaFaults{
			Unavailable: true,
		})
		id, software := x.beginAt(x.engines[0])
		time.Sleep(time.Second) // a write has failed
		x.store.SetFaults(standin.MetaFaults{})
		time.Sleep(1500 * time.Millisecond)
		x.gateway.Close()
		x.restartKeepers()
		_, front := x.startOther("after")
		Expect(softwareOf(x.takeUp(front, id).body)).To(HaveExactElements(software, software, software))
	})
})
