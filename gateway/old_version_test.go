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

// oldVersionLimit is how long after the name of a newer version a request may begin
// on an older one.
const oldVersionLimit = 5 * time.Second

// longRoute is a route whose requests may take longer than that.
const longRoute = `,{"name":"long","host":"h.example","path_prefix":"/long/","type":"streaming","timeout_ms":20000,"slo_ms":1500,"priority":1,"service":"llm","max_attempts":1}`

// longWholeRoute is one whose answers are no streams.
const longWholeRoute = `,{"name":"whole","host":"h.example","path_prefix":"/whole/","type":"idempotent","timeout_ms":20000,"slo_ms":1500,"priority":1,"service":"llm","max_attempts":2}`

// newOldVersionRig returns a rig with routes of long requests, and an engine that holds
// version 1 of adapter a1.
func newOldVersionRig() *rig {
	x := newRig()
	x.store.PutConfig(config(2, longRoute+longWholeRoute))
	Eventually(func() int {
		return x.get("first", "/long/x", "m0/a1").status
	}, soon, often).Should(Equal(http.StatusOK))
	return x
}

// nameNewer names version 2 of adapter a1.
func (x *rig) nameNewer() {
	x.store.Put("keyed.op", "version/m0.a1", []byte(`{"model":"m0","adapter":"a1","version":2}`))
}

// fault sets the troubles of both engines.
func (x *rig) fault(f standin.WorkerFaults) {
	for _, e := range x.engines {
		e.SetFaults(f)
	}
}

// held returns how many requests have arrived at engines and not begun.
func (x *rig) held() int {
	return x.engines[0].Held() + x.engines[1].Held()
}

// configAge returns how old the gateway's knowledge of the configuration was when it was
// last counted, in seconds.
func (x *rig) configAge() float64 {
	return x.metrics.Snapshot().Gauges()["store_age_seconds+record=configuration"].Value()
}

// sendLong sends a request that may take 20 s, and returns where its answer comes.
func (x *rig) sendLong(id, path, model string) <-chan reply {
	req, err := http.NewRequest(http.MethodPost, x.front+path, strings.NewReader("prompt"))
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

// expectNoLateBegin holds a request up for longer than its version may serve once a
// newer one was named, and expects that it does not run.
func (x *rig) expectNoLateBegin(id, path string) {
	x.fault(standin.WorkerFaults{
		HoldUp:     oldVersionLimit + time.Second,
		LoseOrders: true, // the newer version does not come
	})
	ended := x.sendLong(id, path, "m0/a1")
	Eventually(x.held, soon, often).Should(Equal(1))
	x.nameNewer()
	Eventually(ended, 4*soon).Should(Receive())
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

// A request that is sent in time may be held up by a frozen host or an engine's queue, and
// start on an old version after its end.
var _ = Describe("A request that is held up on its way to an old version", func() {
	It("does not begin after the version's time", func() {
		x := newOldVersionRig()
		x.expectNoLateBegin("held-up", "/long/x")
	})
})

var _ = Describe("A request for a whole answer that is held up on its way to an old version", func() {
	It("does not begin after the version's time, if it may run again", func() {
		x := newOldVersionRig()
		x.expectNoLateBegin("held-up-whole", "/whole/x")
	})
})

// While the store is away nothing tells how long a newer version has been there, so its
// bound counts as passed when it is heard of. Broken off then, requests that wait at an
// engine would be lost though the version may have been named only just now.
var _ = Describe("A request that waits at an engine when a store that was away names a newer version", func() {
	It("is not lost", func() {
		x := newOldVersionRig()
		x.store.SetFaults(standin.MetaFaults{
			Away: true,
		})
		Eventually(x.configAge, 3*soon, often).Should(BeNumerically(">", oldVersionLimit.Seconds()))
		x.fault(standin.WorkerFaults{
			HoldUp:     2 * time.Second, // gateways read again each second at least
			LoseOrders: true,
		})
		got := x.sendLong("waits-away", "/long/x", "m0/a1")
		Eventually(x.held, soon, often).Should(Equal(1))
		x.store.SetFaults(standin.MetaFaults{})
		x.nameNewer()
		Eventually(got, 2*soon).Should(Receive(haveStatus(http.StatusOK)))
		Expect(x.runs("waits-away")).To(Equal(1))
		// What comes after that waits for the newer version.
		x.fault(standin.WorkerFaults{
			LoseOrders: true,
		})
		r := x.send("POST", "after-away", "/long/x", "m0/a1", "prompt")
		Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		Expect(x.runs("after-away")).To(Equal(0))
	})
})

var _ = Describe("A stream that began on an old version in time", func() {
	It("goes on to its end after the version's time", func() {
		x := newOldVersionRig()
		x.fault(standin.WorkerFaults{
			Linger:     oldVersionLimit / 2,
			LoseOrders: true, // the newer version does not come
		})
		got := x.sendLong("begun", "/long/x", "m0/a1")
		Eventually(func() int {
			return x.runs("begun")
		}, soon, often).Should(Equal(1))
		x.nameNewer()
		Eventually(got, 4*soon).Should(Receive(haveBody("piece 4")))
	})
})

// An engine whose requests were broken off because their version serves no more has not
// failed: nothing is known against it.
var _ = Describe("Engines whose requests were broken off with the end of an old version", func() {
	It("go on taking other requests at once", func() {
		x := newOldVersionRig()
		x.fault(standin.WorkerFaults{
			HoldUp:     oldVersionLimit + time.Second,
			LoseOrders: true, // the newer version does not come
		})
		const sent = 24
		for i := range sent {
			x.sendLong(fmt.Sprint("held-up-", i), "/long/x", "m0/a1")
		}
		Eventually(x.held, soon, often).Should(BeNumerically(">", 2))
		spread := []int{x.engines[0].Held(), x.engines[1].Held()}
		x.nameNewer()
		Eventually(x.held, 4*soon, often).Should(Equal(0))
		for i, e := range x.engines {
			// The other one is full, so that they have to go to this one.
			e.SetFaults(standin.WorkerFaults{
				Full: spread[i] == 0,
			})
		}
		statuses := make(map[int]int)
		for i := range 10 {
			r := <-x.sendLong(fmt.Sprint("after-", i), "/long/x", "m0")
			statuses[r.status]++
		}
		Expect(statuses).To(HaveKeyWithValue(http.StatusOK, 10), fmt.Sprint("held ", spread, " ", statuses))
	})
})

var _ = Describe("A request that waits at an engine with the newest version", func() {
	It("is not broken off when the versions before serve no more", func() {
		x := newOldVersionRig()
		for _, e := range x.engines {
			e.Name("a1", 2)
		}
		x.nameNewer()
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
		x.fault(standin.WorkerFaults{
			HoldUp: oldVersionLimit,
		})
		got := x.sendLong("waits-newest", "/long/x", "m0/a1")
		Eventually(got, 2*oldVersionLimit+soon).Should(Receive(haveStatus(http.StatusOK)))
	})
})

// longOnceRoute is a route to engines whose answers are no streams and whose requests
// may run once.
const longOnceRoute = `,{"name":"once","host":"h.example","path_prefix":"/once/","type":"mutating","timeout_ms":20000,"slo_ms":1500,"priority":1,"service":"llm","max_attempts":1}`

// The begin of a whole answer does not show, so a gateway cannot tell a request that is
// held up from one that runs, and may not lose the answer of one that runs. Its engine's
// report names what runs there.
var _ = Describe("A request for a whole answer that may run once and is held up on its way to an old version", func() {
	It("does not begin after the version's time", func() {
		x := newOldVersionRig()
		x.store.PutConfig(config(3, longRoute+longOnceRoute))
		Eventually(func() int {
			return x.get("first-once", "/once/x", "m0/a1").status
		}, soon, often).Should(Equal(http.StatusOK))
		x.expectNoLateBegin("held-up-once", "/once/x")
	})
})
