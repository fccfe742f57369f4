package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/peer"
	"wardturn/standin"
)

// refusalTime bounds the time to a refusal of a stream whose origin nobody knows: the wait for
// keepers and what a busy machine adds.
const refusalTime = 500 * time.Millisecond

// expectRefused checks that a resumption was refused as not run for a reason, at once.
func (x *rig) expectRefused(resume func() reply, reason string) {
	GinkgoHelper()
	runs := x.totalRuns()
	sent := time.Now()
	r := resume()
	Expect(time.Since(sent)).To(BeNumerically("<", refusalTime))
	Expect(r.status).To(Equal(http.StatusServiceUnavailable))
	Expect(r.body).To(Equal(reason))
	Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
	Expect(x.totalRuns()).To(Equal(runs))
}

// keeperKnowsOrigin asks a keeper where the stream of an attempt began and reports whether it knows.
func (x *rig) keeperKnowsOrigin(keeper int, attempt string) bool {
	c, err := net.Dial("tcp", net.JoinHostPort(fmt.Sprintf("127.0.0.%d", firstEngineHost+keeper), x.keeperPort))
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	Expect(c.SetDeadline(time.Now().Add(eventTimeout))).To(Succeed())
	for _, m := range []peer.Message{
		&peer.Hello{
			Protocol: peer.Protocol,
			Role:     peer.RoleAgent,
			Process:  "test",
		},
		&peer.OriginQuery{
			Attempt: attempt,
		},
	} {
		frame, err := peer.AppendFrame(nil, m)
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Write(frame)
		Expect(err).NotTo(HaveOccurred())
	}
	for {
		m, _, err := peer.ReadFrame(c, nil)
		Expect(err).NotTo(HaveOccurred())
		if r, ok := m.(*peer.OriginReply); ok {
			return r.Known
		}
	}
}

func (x *rig) totalRuns() int {
	n := 0
	for _, e := range x.engines {
		n += e.TotalRuns()
	}
	return n
}

// engineOf returns the engine of a software version and its index.
func (x *rig) engineOf(software string, versions ...string) (*standin.ModelWorker, int) {
	i := slices.Index(versions, software)
	return x.engines[i], i
}

var _ = Describe("A stream that its caller resumes at another gateway", func() {
	var x *rig
	var other string
	begin := func() (id, software string) {
		id = fmt.Sprintf("begun-%d", attempts.Add(1))
		return id, x.beginStream(x.frontURL, id)
	}
	start := func(software ...string) {
		x = newVersionedRig(software...)
		x.holdEverywhere("m0/a1")
		_, other = x.startOther("other")
	}

	It("goes on after the gateway where it began is gone", func() {
		start("v1", "v2")
		id, software := begin()
		x.gateway.Close()
		Expect(softwareOf(x.takeUp(other, id).body)).To(HaveExactElements(software, software, software))
	})

	DescribeTable("goes on while a keeper is gone",
		func(lost int) {
			start("v1", "v2")
			id, software := begin()
			x.keepers[lost].Close()
			Eventually(func() []string { // until the other engine's keeper tells what it holds
				return softwareOf(x.takeUp(other, id).body)
			}, eventTimeout, pollInterval).Should(HaveExactElements(software, software, software))
		},
		Entry("the first", 0),
		Entry("the second", 1),
	)

	It("goes on over several attempts, whichever of them its caller names", func() {
		start("v1", "v2")
		id, software := begin()
		for range 3 {
			id2 := fmt.Sprintf("again-%d", attempts.Add(1))
			req := x.streamRequest(context.Background(), other, id2)
			req.Header.Set("Last-Event-Id", "1")
			req.Header.Set("Resumes", id)
			res, err := x.client.Do(req)
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(res.Body)
			Expect(err).NotTo(HaveOccurred())
			res.Body.Close()
			Expect(softwareOf(string(body))).To(HaveExactElements(software, software, software))
			id = id2
		}
	})

	It("is refused if nobody knows where it began", func() {
		start("v1", "v2")
		x.expectRefused(func() reply {
			return x.takeUp(other, "never-begun")
		}, "unknown_origin")
	})

	It("is refused if its caller names no attempt and two versions serve", func() {
		start("v1", "v2")
		begin()
		x.expectRefused(func() reply {
			return x.takeUp(other, "")
		}, "unknown_origin")
	})

	It("is refused if its attempt began at two versions", func() {
		start("v1", "v2")
		id := fmt.Sprintf("twice-%d", attempts.Add(1))
		for i := range x.engines {
			x.engines[1-i].SetFaults(standin.WorkerFaults{
				Full: true,
			})
			x.engines[i].SetFaults(standin.WorkerFaults{})
			x.beginStream(x.frontURL, id)
			// Gateways queue origins for keepers. A keeper that has the first alone takes it for the
			// only one; once it has both, it knows none.
			for k := range x.keepers {
				Eventually(func() bool {
					return x.keeperKnowsOrigin(k, id)
				}, eventTimeout, pollInterval).Should(Equal(i == 0))
			}
		}
		x.engines[0].SetFaults(standin.WorkerFaults{})
		x.expectRefused(func() reply {
			return x.takeUp(other, id)
		}, "unknown_origin")
	})

	It("is refused while no upstream of its version is listed", func() {
		start("v1", "v2")
		id, software := begin()
		engine, i := x.engineOf(software, "v1", "v2")
		x.putEntry(engine, "llm", fmt.Sprintf("e%d", i), "draining")
		Eventually(func() string {
			return x.takeUp(other, id).body
		}, eventTimeout, pollInterval).Should(Equal("no_upstream_of_software"))
		x.expectRefused(func() reply {
			return x.takeUp(other, id)
		}, "no_upstream_of_software")
	})

	It("goes on at another engine of its version, which loads its adapter for it", func() {
		x = newVersionedRig("v1", "v1", "v2")
		_, other = x.startOther("other")
		x.engines[2].SetFaults(standin.WorkerFaults{
			Full: true,
		})
		id, software := begin()
		Expect(software).To(Equal("v1"))
		x.engines[2].SetFaults(standin.WorkerFaults{})
		began := x.engines[slices.IndexFunc(x.engines, func(e *standin.ModelWorker) bool {
			return e.Runs(id) > 0
		})]
		began.SetFaults(standin.WorkerFaults{
			Full: true,
		})
		Eventually(func() []string {
			return softwareOf(x.takeUp(other, id).body)
		}, eventTimeout, pollInterval).Should(HaveExactElements(software, software, software))
	})

	It("goes on as often as new streams begin", func() {
		start("v1", "v2", "v1", "v2")
		var wg sync.WaitGroup
		for range 24 {
			wg.Go(func() {
				defer GinkgoRecover()
				id, software := begin()
				r := x.takeUp(other, id)
				Expect(r.status).To(Equal(http.StatusOK))
				Expect(softwareOf(r.body)).To(HaveExactElements(software, software, software))
			})
		}
		wg.Wait()
	})

	It("goes on without a name for its attempt if there is one version only", func() {
		start("v1", "v1")
		begin()
		Expect(softwareOf(x.takeUp(other, "").body)).To(HaveExactElements("v1", "v1", "v1"))
		x.expectRefused(func() reply { // may have begun at another version, which has left since
			return x.takeUp(other, "never-begun")
		}, "unknown_origin")
	})

	It("goes on where no version is stated if it began there, beside upstreams that state one", func() {
		start("", "v2")
		x.engines[1].SetFaults(standin.WorkerFaults{
			Full: true,
		})
		ctx, disconnect := context.WithCancel(context.Background())
		var id string
		var res *http.Response
		Eventually(func() int { // a full engine may have been tried in vain
			id = fmt.Sprintf("begun-%d", attempts.Add(1))
			var err error
			res, err = x.client.Do(x.streamRequest(ctx, x.frontURL, id))
			Expect(err).NotTo(HaveOccurred())
			return res.StatusCode
		}, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
		_, err := io.ReadFull(res.Body, make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		disconnect()
		res.Body.Close()
		x.engines[1].SetFaults(standin.WorkerFaults{})
		x.engines[0].SetFaults(standin.WorkerFaults{
			Full: true,
		})
		Expect(x.takeUp(other, id).status).To(Equal(http.StatusServiceUnavailable))
		x.engines[0].SetFaults(standin.WorkerFaults{})
		Eventually(func() string {
			return x.takeUp(other, id).body
		}, eventTimeout, pollInterval).Should(HaveSuffix(lastTwo))
	})

	It("goes on at any upstream if none states a version", func() {
		x = newRig()
		x.loadAndSetFaults(standin.WorkerFaults{})
		Expect(x.takeUp(x.frontURL, "never-begun").body).To(HaveSuffix(lastTwo))
	})
})

var _ = Describe("A stream that the only engine of its version cuts", func() {
	It("ends at once", func() {
		x := newVersionedRig("v1", "v2")
		x.holdEverywhere("m0/a1")
		for _, e := range x.engines {
			e.SetFaults(standin.WorkerFaults{
				CutFresh: 2,
			})
		}
		sent := time.Now()
		r := x.get("cut", "/resume/x", "m0/a1")
		Expect(r.err).To(HaveOccurred())
		Expect(time.Since(sent)).To(BeNumerically("<", refusalTime))
	})

	It("is refused at once if that engine refuses to resume it", func() {
		x := newVersionedRig("v1", "v2")
		x.holdEverywhere("m0/a1")
		id := fmt.Sprintf("begun-%d", attempts.Add(1))
		engine, _ := x.engineOf(x.beginStream(x.frontURL, id), "v1", "v2")
		engine.SetFaults(standin.WorkerFaults{
			Full: true,
		})
		x.expectRefused(func() reply {
			return x.takeUp(x.frontURL, id)
		}, "queue_full")
	})
})

var _ = Describe("A stream that is cut before its first event", func() {
	It("may begin at another software version", func() {
		x := newVersionedRig("v1", "v2")
		x.holdEverywhere("m0/a1")
		x.engines[0].SetFaults(standin.WorkerFaults{
			Unframed: true,
			Empty:    true,
		})
		for range 4 {
			r := x.get("empty", "/resume/x", "m0/a1")
			Expect(r.err).NotTo(HaveOccurred())
			Expect(softwareOf(r.body)).To(HaveExactElements("v2", "v2", "v2", "v2"))
		}
	})
})
