package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/standin"
)

// Guards against streams whose origin is lost with the processes that hold it in memory, so
// that callers cannot resume them while new ones start.
var _ = Describe("Streams that callers resume while new ones start", func() {
	const streams = 24
	var x *rig
	start := func(software ...string) {
		x = newVersionedRig(software...)
		x.holdEverywhere("m0/a1")
	}
	// begin starts streams at the first gateway and returns the software versions that began
	// them, by attempt.
	begin := func() map[string]string {
		begun := make(map[string]string)
		var mu sync.Mutex
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() {
				defer GinkgoRecover()
				id := fmt.Sprintf("lost-%d", attempts.Add(1))
				software := x.beginStream(x.frontURL, id)
				mu.Lock()
				defer mu.Unlock()
				begun[id] = software
			})
		}
		wg.Wait()
		return begun
	}
	// expectResumed resumes streams at a gateway and starts as many new ones. None may go on
	// at another software version, and they must go on as often as new ones start.
	expectResumed := func(front string, begun map[string]string) {
		GinkgoHelper()
		var resumed, started atomic.Int64
		var wg sync.WaitGroup
		for id, software := range begun {
			wg.Go(func() {
				defer GinkgoRecover()
				if r := x.takeUp(front, id); r.status == http.StatusOK {
					resumed.Add(1)
					Expect(softwareOf(r.body)).To(HaveExactElements(software, software, software))
				}
			})
			wg.Go(func() {
				defer GinkgoRecover()
				res, err := x.client.Do(x.streamRequest(context.Background(), front, fmt.Sprintf("new-%d", attempts.Add(1))))
				Expect(err).NotTo(HaveOccurred())
				defer res.Body.Close()
				_, err = io.Copy(io.Discard, res.Body)
				Expect(err).NotTo(HaveOccurred())
				if res.StatusCode == http.StatusOK {
					started.Add(1)
				}
			})
		}
		wg.Wait()
		Expect(started.Load()).To(BeNumerically(">=", streams/2))
		Expect(resumed.Load()).To(BeNumerically(">=", started.Load()), "of %d", streams)
	}

	DescribeTable("go on after all hosts of gateways and keepers have lost power",
		func(software ...string) {
			start(software...)
			begun := begin()
			time.Sleep(time.Second) // the records are in the store by then
			x.gateway.Close()
			x.restartKeepers()
			_, front := x.startOther("after")
			expectResumed(front, begun)
		},
		Entry("with two software versions", "v1", "v2", "v1", "v2"),
		Entry("with one software version", "v1", "v1"),
	)

	It("go on after most engines have left the list, whose keepers live, while the store is down", func() {
		start("v1", "v2", "v1", "v2", "v1", "v2", "v1", "v2")
		_, front := x.startOther("other")
		begun := begin()
		left := x.engines[:6]
		for _, e := range left {
			x.putEntry(e, "llm", e.ID(), "draining")
		}
		for _, e := range left {
			Eventually(x.log.String, eventTimeout, pollInterval).Should(ContainSubstring("other: upstream leaving: upstream=" + e.ID()))
		}
		for _, e := range left {
			x.store.DeleteServer(e.ID())
		}
		for _, e := range left {
			Eventually(x.log.String, eventTimeout, pollInterval).Should(ContainSubstring("other: upstream left the list: upstream=" + e.ID()))
		}
		x.store.SetFaults(standin.MetaFaults{
			Unavailable: true,
		})
		x.gateway.Close()
		expectResumed(front, begun)
	})

	It("go on after half of the keepers and the first gateway are gone", func() {
		start("v1", "v2", "v1", "v2", "v1", "v2", "v1", "v2")
		_, front := x.startOther("other")
		begun := begin()
		time.Sleep(time.Second) // the records are in the store by then
		x.gateway.Close()
		for _, k := range x.keepers[:4] {
			k.Close()
		}
		Eventually(func() int {
			return strings.Count(x.log.String(), "other: keeper lost")
		}, eventTimeout, pollInterval).Should(Equal(4))
		expectResumed(front, begun)
	})
})
