package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"wardturn/standin"
)

// oldVersionLimit is how long after a newer version is published requests may start on an
// older one.
const oldVersionLimit = 5 * time.Second

// longRoute is a route with streamed responses whose requests may take longer than
// oldVersionLimit.
const longRoute = `,{"name":"long","host":"h.example","path_prefix":"/long/","type":"streaming","timeout_ms":20000,"slo_ms":1500,"priority":1,"service":"llm","max_attempts":1}`

// longBufferedRoute is the same without streamed responses.
const longBufferedRoute = `,{"name":"whole","host":"h.example","path_prefix":"/whole/","type":"idempotent","timeout_ms":20000,"slo_ms":1500,"priority":1,"service":"llm","max_attempts":2}`

// newOldVersionRig returns a rig with routes for long requests, and an engine that holds
// version 1 of adapter a1.
func newOldVersionRig() *rig {
	x := newRig()
	x.store.PutConfig(config(2, longRoute+longBufferedRoute))
	Eventually(func() int {
		return x.get("first", "/long/x", "m0/a1").status
	}, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
	return x
}

// publishNewer publishes version 2 of adapter a1.
func (x *rig) publishNewer() {
	x.store.Put("keyed.op", "version/m0.a1", []byte(`{"model":"m0","adapter":"a1","version":2}`))
}

// setFaults sets the faults of both engines.
func (x *rig) setFaults(f standin.WorkerFaults) {
	for _, e := range x.engines {
		e.SetFaults(f)
	}
}

// delayed returns the number of requests that have arrived at the engines and not started.
func (x *rig) delayed() int {
	return x.engines[0].Delayed() + x.engines[1].Delayed()
}

// configAge returns the age of the gateway's configuration in seconds, as last recorded in
// its metric.
func (x *rig) configAge() float64 {
	return x.metrics.Snapshot().Gauges()["store_age_seconds+record=configuration"].Value()
}

// sendLong sends a request with a deadline of 20 s. The response arrives on the channel.
func (x *rig) sendLong(id, path, model string) <-chan reply {
	req, err := http.NewRequest(http.MethodPost, x.frontURL+path, strings.NewReader("prompt"))
	Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	req.Header.Set("X-Wardturn-Attempt-Id", id)
	req.Header.Set("X-Wardturn-Deadline-Ms", "20000")
	req.Header.Set("X-Wardturn-Model", model)
	got := make(chan reply, 1)
	go func() {
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			got <- reply{
				err: err,
			}
			return
		}
		defer res.Body.Close()
		body, err := io.ReadAll(res.Body)
		got <- reply{
			status: res.StatusCode,
			body:   string(body),
			err:    err,
		}
	}()
	return got
}

// expectNoLateStart delays a request at the engine until after its version is retired, and
// expects that it does not run.
func (x *rig) expectNoLateStart(id, path string) {
	x.setFaults(standin.WorkerFaults{
		HoldUp:     oldVersionLimit + time.Second,
		LoseOrders: true, // the newer version is never loaded
	})
	got := x.sendLong(id, path, "m0/a1")
	Eventually(x.delayed, eventTimeout, pollInterval).Should(Equal(1))
	x.publishNewer()
	Eventually(got, 4*eventTimeout).Should(Receive())
	Expect(x.runs(id)).To(Equal(0))
}

func haveStatus(status int) types.GomegaMatcher {
	return WithTransform(func(r reply) int {
		return r.status
	}, Equal(status))
}

func haveBody(part string) types.GomegaMatcher {
	return WithTransform(func(r reply) string {
		return r.body
	}, ContainSubstring(part))
}

// A request that is sent in time may be delayed by a frozen host or in an engine's queue,
// and would then start on an old version after that was retired.
var _ = Describe("A request that is delayed on its way to an old version", func() {
	It("does not start after the version is retired", func() {
		x := newOldVersionRig()
		x.expectNoLateStart("held-up", "/long/x")
	})
})

var _ = Describe("A request without a streamed response that is delayed on its way to an old version", func() {
	It("does not start after the version is retired, if it may run again", func() {
		x := newOldVersionRig()
		x.expectNoLateStart("held-up-whole", "/whole/x")
	})
})

// When a gateway learns of a newer version after the store was unavailable, it cannot
// tell how long ago that was published, so the time for starts on older ones counts as
// over. If it aborted the requests that wait at engines then, they would be lost though
// the version may have been published only just now.
var _ = Describe("A request that waits at an engine when a newer version is read from a store that was unavailable", func() {
	It("is not lost", func() {
		x := newOldVersionRig()
		x.store.SetFaults(standin.MetaFaults{
			Unavailable: true,
		})
		Eventually(x.configAge, 3*eventTimeout, pollInterval).Should(BeNumerically(">", oldVersionLimit.Seconds()))
		x.setFaults(standin.WorkerFaults{
			HoldUp:     2 * time.Second, // gateways read again at least once a second
			LoseOrders: true,
		})
		got := x.sendLong("waits-away", "/long/x", "m0/a1")
		Eventually(x.delayed, eventTimeout, pollInterval).Should(Equal(1))
		x.store.SetFaults(standin.MetaFaults{})
		x.publishNewer()
		Eventually(got, 2*eventTimeout).Should(Receive(haveStatus(http.StatusOK)))
		Expect(x.runs("waits-away")).To(Equal(1))
		// Later requests wait for the newer version.
		x.setFaults(standin.WorkerFaults{
			LoseOrders: true,
		})
		r := x.send("POST", "after-away", "/long/x", "m0/a1", "prompt")
		Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		Expect(x.runs("after-away")).To(Equal(0))
	})
})

var _ = Describe("A stream that started on an old version in time", func() {
	It("continues to its end after the version is retired", func() {
		x := newOldVersionRig()
		x.setFaults(standin.WorkerFaults{
			Linger:     oldVersionLimit / 2,
			LoseOrders: true, // the newer version is never loaded
		})
		got := x.sendLong("begun", "/long/x", "m0/a1")
		Eventually(func() int {
			return x.runs("begun")
		}, eventTimeout, pollInterval).Should(Equal(1))
		x.publishNewer()
		Eventually(got, 4*eventTimeout).Should(Receive(haveBody("piece 4")))
	})
})

// An engine whose requests were aborted because their version was retired has not failed:
// the aborted requests must not count against it.
var _ = Describe("Engines whose requests were aborted when an old version was retired", func() {
	It("get other requests at once", func() {
		x := newOldVersionRig()
		x.setFaults(standin.WorkerFaults{
			HoldUp:     oldVersionLimit + time.Second,
			LoseOrders: true, // the newer version is never loaded
		})
		const sent = 24
		for i := range sent {
			x.sendLong(fmt.Sprint("held-up-", i), "/long/x", "m0/a1")
		}
		Eventually(x.delayed, eventTimeout, pollInterval).Should(BeNumerically(">", 2))
		perEngine := []int{x.engines[0].Delayed(), x.engines[1].Delayed()}
		x.publishNewer()
		Eventually(x.delayed, 4*eventTimeout, pollInterval).Should(Equal(0))
		for i, e := range x.engines {
			// An engine that got none of the requests is full, so that the next ones have
			// to go to the others.
			e.SetFaults(standin.WorkerFaults{
				Full: perEngine[i] == 0,
			})
		}
		statuses := make(map[int]int)
		for i := range 10 {
			r := <-x.sendLong(fmt.Sprint("after-", i), "/long/x", "m0")
			statuses[r.status]++
		}
		Expect(statuses).To(HaveKeyWithValue(http.StatusOK, 10), fmt.Sprint("held ", perEngine, " ", statuses))
	})
})

var _ = Describe("A request that waits at an engine with the newest version", func() {
	It("is not aborted when the older versions are retired", func() {
		x := newOldVersionRig()
		for _, e := range x.engines {
			e.SetNewestVersion("a1", 2)
		}
		x.publishNewer()
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
		}, eventTimeout, pollInterval).Should(Equal("2"))
		x.setFaults(standin.WorkerFaults{
			HoldUp: oldVersionLimit,
		})
		got := x.sendLong("waits-newest", "/long/x", "m0/a1")
		Eventually(got, 2*oldVersionLimit+eventTimeout).Should(Receive(haveStatus(http.StatusOK)))
	})
})

// longOnceRoute is a route to engines without streamed responses whose requests may run
// only once.
const longOnceRoute = `,{"name":"once","host":"h.example","path_prefix":"/once/","type":"mutating","timeout_ms":20000,"slo_ms":1500,"priority":1,"service":"llm","max_attempts":1}`

// Without a streamed response a gateway cannot tell a request that is delayed from one
// that runs, and must not lose the response of one that runs. The engine's report names
// the requests that run there.
var _ = Describe("A request without a streamed response that may run only once and is delayed on its way to an old version", func() {
	It("does not start after the version is retired", func() {
		x := newOldVersionRig()
		x.store.PutConfig(config(3, longRoute+longOnceRoute))
		Eventually(func() int {
			return x.get("first-once", "/once/x", "m0/a1").status
		}, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
		x.expectNoLateStart("held-up-once", "/once/x")
	})
})
