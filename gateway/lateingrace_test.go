package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"wardturn"
	"wardturn/platform"
	"wardturn/standin"
)

// Guards against requests that a gateway takes while it stops, passes on and cuts at its end without an
// answer.
var _ = Describe("A request late in the grace of a planned stop", func() {
	const (
		accepts = 300 * time.Millisecond // from the stop on
		limit   = 1500 * time.Millisecond
		late    = time.Second // when late requests are sent
	)
	var (
		x       *rig
		stopped chan struct{}
		began   time.Time
	)
	BeforeEach(func() {
		x = newRig()
		x.shutdownDelay, x.shutdownLimit = accepts, limit
		x.gateway, x.frontURL, x.readyURL = x.startGateway("leaver", platform.NewStore(x.storeAddr, tally.NoopScope))
		Eventually(x.gateway.Ready, eventTimeout, pollInterval).Should(BeTrue())
		for _, path := range []string{"/ask/x", "/charge/"} {
			Eventually(func() int {
				return x.get("warm", path, "m0").status
			}, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
		}
		x.client.CloseIdleConnections()
	})
	// stop stops the gateway as the daemon does.
	stop := func() {
		g := x.gateway
		stopped = make(chan struct{})
		began = time.Now()
		go func() {
			defer close(stopped)
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			g.Shutdown(ctx)
			g.Close()
		}()
		DeferCleanup(func() {
			Eventually(stopped, eventTimeout, pollInterval).Should(BeClosed())
			Expect(time.Since(began)).To(BeNumerically("<", limit+eventTimeout))
		})
	}
	at := func(d time.Duration) {
		time.Sleep(time.Until(began.Add(d)))
	}
	request := func(id, path, deadline string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Wardturn-Attempt-Id: %s\r\nX-Wardturn-Model: m0\r\nX-Wardturn-Deadline-Ms: %s\r\nContent-Length: 6\r\n\r\n", path, id, deadline)
	}
	write := func(c *callerConn, s string) {
		GinkgoHelper()
		_, err := io.WriteString(c, s)
		Expect(err).NotTo(HaveOccurred())
	}
	expectNotRun := func(c *callerConn, id string) {
		GinkgoHelper()
		r := c.readResponse()
		Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		Expect(r.body).To(Equal(string(wardturn.ReasonLeaving)))
		Expect(r.header.Get("Connection")).To(Equal("close"))
		Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
		Eventually(stopped, eventTimeout, pollInterval).Should(BeClosed())
		Expect(x.runs(id)).To(BeZero())
	}
	slowApps := func(think time.Duration) {
		for _, m := range x.apps {
			m.SetFaults(standin.WorkerFaults{
				Think: think,
			})
		}
	}

	It("is not read on a connection on which nothing has come before", func() {
		c := openCallerConn(x.frontURL)
		slowApps(800 * time.Millisecond)
		stop()
		at(late)
		write(c, request("late-1", "/charge/", "3000")+"prompt")
		Eventually(c.closed, 200*time.Millisecond, pollInterval).Should(BeTrue())
		Eventually(stopped, eventTimeout, pollInterval).Should(BeClosed())
		Expect(x.runs("late-1")).To(BeZero())
	})

	It("is told so if its body came late", func() {
		c := openCallerConn(x.frontURL)
		slowApps(800 * time.Millisecond)
		stop()
		write(c, request("late-2", "/ask/x", "3000")+"pro")
		at(late)
		write(c, "mpt")
		expectNotRun(c, "late-2")
	})

	It("is told so if it has waited for an upstream since before", func() {
		for _, e := range x.engines {
			e.SetFaults(standin.WorkerFaults{
				LoseOrders: true,
			})
		}
		c := openCallerConn(x.frontURL)
		stop()
		write(c, strings.Replace(request("late-3", "/ask/x", "3000"), "Model: m0", "Model: m0/a9", 1)+"prompt")
		at(accepts + 200*time.Millisecond)
		expectNotRun(c, "late-3")
	})

	It("is served if its deadline comes before the end", func() {
		c := openCallerConn(x.frontURL)
		stop()
		write(c, request("late-4", "/charge/", "900")+"pro")
		at(accepts + 200*time.Millisecond)
		write(c, "mpt")
		Expect(c.readResponse().status).To(Equal(http.StatusOK))
	})

	It("is told at the end that its outcome is not known, if it was passed on before", func() {
		for _, e := range x.engines {
			e.SetFaults(standin.WorkerFaults{
				Think: eventTimeout,
			})
		}
		c := openCallerConn(x.frontURL)
		stop()
		write(c, request("late-5", "/ask/x", "3000")+"prompt")
		r := c.readResponse()
		Expect(r.status).To(Equal(http.StatusBadGateway))
		Expect(time.Since(began)).To(BeNumerically("~", limit, 200*time.Millisecond))
	})

	It("is cut visibly at the end, if the caller has a part of the answer", func() {
		for _, e := range x.engines {
			e.SetFaults(standin.WorkerFaults{
				Linger: eventTimeout,
			})
		}
		c := openCallerConn(x.frontURL)
		stop()
		write(c, request("late-6", "/ask/x", "3000")+"prompt")
		r := c.readResponse()
		Expect(r.status).To(Equal(http.StatusOK))
		Expect(r.err).To(HaveOccurred())
	})
})
