package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/platform"
	"wardturn/standin"
)

const completeStream = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"

var _ = Describe("Gateway", func() {
	var x *rig
	BeforeEach(func() {
		x = newRig()
	})

	It("forwards a request and its response unchanged", func() {
		r := x.send("POST", "id-1", "/charge/a%2Fb?q=1", "", "body")
		Expect(r.status).To(Equal(http.StatusOK))
		Expect(r.body).To(Equal("echo:body"))
		Expect(r.header.Get("X-Wardturn-Server-Seal")).To(Equal("seal-id-1"))
		Expect(x.runs("id-1")).To(Equal(1))
	})

	It("has an adapter loaded and streams the response", func() {
		r := x.get("ask", "/ask/x", "m0/a7")
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.status).To(Equal(http.StatusOK))
		Expect(r.body).To(Equal(completeStream))
	})

	It("never asks an engine for more adapters than it has slots", func() {
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer GinkgoRecover()
				x.get("many", "/ask/x", fmt.Sprintf("m0/a%d", i))
			}()
		}
		wg.Wait()
		for _, e := range x.engines {
			Expect(e.SlotsExceeded()).To(BeFalse())
			Expect(e.AdapterCount()).To(BeNumerically("<=", 2))
		}
	})

	It("exceeds no engine's adapter slots when load orders are carried out late", func() {
		for _, e := range x.engines {
			e.SetFaults(standin.WorkerFaults{
				LateOrders: true,
			})
		}
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer GinkgoRecover()
				x.get("late", "/ask/x", fmt.Sprintf("m0/a%d", i))
			}()
		}
		time.Sleep(300 * time.Millisecond)
		for _, e := range x.engines {
			e.SetFaults(standin.WorkerFaults{})
		}
		wg.Wait()
		Expect(x.get("after", "/ask/x", "m0/a1").status).To(Equal(http.StatusOK))
		for _, e := range x.engines {
			Expect(e.SlotsExceeded()).To(BeFalse())
		}
	})

	It("responds 404 without a route and 400 without an attempt id", func() {
		Expect(x.get("none", "/other/", "").status).To(Equal(http.StatusNotFound))
		Expect(x.send("POST", "", "/charge/", "", "").status).To(Equal(http.StatusBadRequest))
	})

	It("refuses a body over the limit without sending it to a worker", func() {
		r := x.send("POST", "big", "/charge/", "", strings.Repeat("x", 65537))
		Expect(r.status).To(Equal(http.StatusRequestEntityTooLarge))
		Expect(x.runs("big")).To(BeZero())
	})

	It("runs a request that may not be repeated only once, and responds 502 if the response is lost", func() {
		for _, a := range x.apps {
			a.SetFaults(standin.WorkerFaults{
				LoseAnswers: true,
			})
		}
		r := x.send("POST", "once", "/charge/", "", "body")
		Expect(r.status).To(Equal(http.StatusBadGateway))
		Expect(x.runs("once")).To(Equal(1))
	})

	It("retries a repeatable request once after a lost response and after an error", func() {
		for i, f := range []standin.WorkerFaults{{LoseAnswers: true}, {Error: true}} {
			x.apps[0].SetFaults(f)
			for n := range 4 { // enough that both workers get some
				id := fmt.Sprintf("again-%d-%d", i, n)
				r := x.send("GET", id, "/look/", "", "")
				Expect(r.status).To(Equal(http.StatusOK))
				Expect(x.runs(id)).To(BeNumerically("<=", 2))
			}
		}
	})

	It("forwards a worker's error if the request may not run again", func() {
		for _, a := range x.apps {
			a.SetFaults(standin.WorkerFaults{
				Error: true,
			})
		}
		r := x.send("POST", "err", "/charge/", "", "body")
		Expect(r.status).To(Equal(http.StatusInternalServerError))
		Expect(r.header.Get("X-Wardturn-Server-Seal")).To(Equal("seal-err"))
		Expect(x.runs("err")).To(Equal(1))
	})

	It("responds with a Retry-After and does not run the request if every worker is full", func() {
		for _, a := range x.apps {
			a.SetFaults(standin.WorkerFaults{
				Full: true,
			})
		}
		r := x.send("POST", "full", "/charge/", "", "body")
		Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(after).To(BeNumerically(">", 0))
		Expect(x.runs("full")).To(BeZero())
	})

	It("skips a response to another request", func() {
		for _, a := range x.apps {
			a.SetFaults(standin.WorkerFaults{
				Stranger: true,
			})
		}
		r := x.send("POST", "mine", "/charge/", "", "body")
		Expect(r.body).To(Equal("echo:body"))
	})

	It("does not make a truncated stream look complete", func() {
		for _, e := range x.engines {
			e.SetFaults(standin.WorkerFaults{
				CutAfter: 2,
			})
		}
		r := x.get("cut", "/ask/x", "m0/a1")
		Expect(r.status).To(Equal(http.StatusOK))
		Expect(r.err).To(HaveOccurred())
	})

	It("resumes a resumable stream after its last complete event", func() {
		// Both engines hold the adapter; the first to run the request truncates its
		// stream.
		x.get("hold", "/resume/x", "m0/a1")
		for _, e := range x.engines {
			e.SetFaults(standin.WorkerFaults{
				CutAfter: 2,
			})
		}
		id := "resumed"
		go func() {
			for x.runs(id) == 0 {
				time.Sleep(time.Millisecond)
			}
			for _, e := range x.engines {
				if e.Runs(id) == 0 {
					e.SetFaults(standin.WorkerFaults{})
				}
			}
		}()
		r := x.send("POST", id, "/resume/x", "m0/a1", "prompt")
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.body).To(Equal(completeStream))
		Expect(r.header.Get("X-Wardturn-Server-Seal")).To(Equal("seal-" + id))
		Expect(x.runs(id)).To(Equal(2))
	})

	It("sends nothing to a draining worker", func() {
		x.putEntry(x.apps[0], "app", "a0", "draining")
		Eventually(func() int {
			before := x.apps[0].TotalRuns()
			for range 4 {
				x.get("drain", "/charge/", "")
			}
			return x.apps[0].TotalRuns() - before
		}, eventTimeout, pollInterval).Should(BeZero())
	})

	It("sends nothing to another worker at a reused address", func() {
		x.apps[0].Restart("other")
		for range 6 {
			Expect(x.get("reuse", "/charge/", "").status).To(Equal(http.StatusOK))
		}
		Expect(x.apps[0].TotalRuns()).To(BeZero())
	})

	It("applies a new configuration and keeps it while the store is unavailable", func() {
		Expect(x.get("new", "/new/", "").status).To(Equal(http.StatusNotFound))
		x.store.PutConfig(config(2, newRoute))
		Eventually(func() int {
			return x.get("new", "/new/", "").status
		}, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
		x.store.SetFaults(standin.MetaFaults{
			Unavailable: true,
		})
		time.Sleep(100 * time.Millisecond)
		Expect(x.get("new", "/new/", "").status).To(Equal(http.StatusOK))
	})

	It("learns of a change soon after a read of the store that never gets a response", func() {
		x.store.SetFaults(standin.MetaFaults{
			NoResponse: true,
		})
		x.store.PutConfig(config(2, "")) // ends the current long poll; the next one hangs
		time.Sleep(100 * time.Millisecond)
		x.store.SetFaults(standin.MetaFaults{})
		x.store.PutConfig(config(3, newRoute))
		Eventually(func() int {
			return x.get("new", "/new/", "").status
		}, 3*time.Second, pollInterval).Should(Equal(http.StatusOK))
	})

	It("keeps the last valid configuration when a new one cannot be parsed", func() {
		x.store.PutConfig(`{"version":3,"routes":[{"name":"bad","type":"what"}]}`)
		time.Sleep(50 * time.Millisecond)
		Expect(x.get("kept", "/charge/", "").status).To(Equal(http.StatusOK))
	})

	It("reads the configuration again after the store compacted its history", func() {
		x.store.Compact("keyed.op")
		x.store.Compact("keyed.servers")
		x.store.PutConfig(config(4, `,{"name":"late","host":"h.example","path_prefix":"/late/","type":"mutating","timeout_ms":1000,"slo_ms":150,"service":"app","max_attempts":1}`))
		Eventually(func() int {
			return x.get("late", "/late/", "").status
		}, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
	})

	It("keeps upstreams whose entries expired while the store was unavailable for a grace period", func() {
		x.store.SetFaults(standin.MetaFaults{
			Unavailable: true,
		})
		time.Sleep(400 * time.Millisecond) // a read has failed
		x.store.DeleteServer("a0")
		x.store.DeleteServer("a1")
		x.store.SetFaults(standin.MetaFaults{})
		time.Sleep(400 * time.Millisecond) // the list was read without them
		Expect(x.get("lapsed", "/charge/", "").status).To(Equal(http.StatusOK))
		Eventually(func() int {
			return x.get("lapsed", "/charge/", "").status
		}, eventTimeout, pollInterval).Should(Equal(http.StatusServiceUnavailable))
	})

	It("serves a new version of an adapter once it is published", func() {
		Expect(x.get("v", "/ask/x", "m0/a3").status).To(Equal(http.StatusOK))
		for _, e := range x.engines {
			e.SetNewestVersion("a3", 2)
		}
		x.store.Put("keyed.op", "version/m0.a3", []byte(`{"model":"m0","adapter":"a3","version":2}`))
		time.Sleep(50 * time.Millisecond)
		Expect(x.get("v", "/ask/x", "m0/a3").status).To(Equal(http.StatusOK))
	})

	It("loads model and adapter again after the engines restarted without them", func() {
		Expect(x.get("r", "/ask/x", "m0/a5").status).To(Equal(http.StatusOK))
		for i, e := range x.engines {
			e.Restart(fmt.Sprintf("e%d-again", i))
			x.store.DeleteServer(fmt.Sprintf("e%d", i))
			x.putEntry(e, "llm", fmt.Sprintf("e%d-again", i), "ready")
		}
		Eventually(func() int {
			return x.get("r", "/ask/x", "m0/a5").status
		}, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
	})

	It("uses an engine that restarted under the same id, and treats it as empty", func() {
		for i, e := range x.engines {
			e.RestartSameID(int64(1000 + i))
			x.putEntry(e, "llm", fmt.Sprintf("e%d", i), "ready")
		}
		Eventually(func() int {
			return x.get("b", "/ask/x", "m0/a5").status
		}, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
		for i, e := range x.engines {
			e.RestartSameID(int64(2000 + i))
			x.putEntry(e, "llm", fmt.Sprintf("e%d", i), "ready")
		}
		Eventually(func() bool {
			return strings.Count(x.log.String(), "upstream listed: upstream=e0~2000")+strings.Count(x.log.String(), "upstream listed: upstream=e1~2001") == 2
		}, eventTimeout, pollInterval).Should(BeTrue())
		r := x.get("b", "/ask/x", "m0/a5") // waits for the adapter, which no engine holds since the restart
		Expect(r.status).To(Equal(http.StatusOK))
	})

	It("starts with the window of adapter loads that earlier gateways had learned", func() {
		x.store.Put("keyed.wardturn", "loads", []byte(`{"window":77}`))
		x.startGateway("second", platform.NewStore(x.storeAddr, x.metrics))
		Eventually(x.log.String, eventTimeout, pollInterval).Should(ContainSubstring("window of loads recalled: window=77"))
		Eventually(func() bool {
			for _, g := range x.metrics.Snapshot().Gauges() {
				if g.Name() == "load_window" && g.Value() == 77 {
					return true
				}
			}
			return false
		}, eventTimeout, pollInterval).Should(BeTrue())
	})

	It("completes the open requests before it leaves, and is not ready meanwhile", func() {
		done := make(chan reply, 1)
		x.get("first", "/ask/x", "m0/a9")
		go func() {
			done <- x.get("last", "/ask/x", "m0/a9")
		}()
		time.Sleep(8 * time.Millisecond)
		limit, cancel := context.WithTimeout(context.Background(), eventTimeout)
		defer cancel()
		x.gateway.Shutdown(limit)
		Expect(x.gateway.Ready()).To(BeFalse())
		r := <-done
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.body).To(Equal(completeStream))
	})

	It("responds to readiness checks of the load balancer", func() {
		res, err := x.client.Get(x.readyURL)
		Expect(err).NotTo(HaveOccurred())
		res.Body.Close()
		Expect(res.StatusCode).To(Equal(http.StatusOK))
	})
})
