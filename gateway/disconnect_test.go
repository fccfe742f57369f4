package gateway_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/standin"
)

// stopTimeout is the time within which an engine must stop a request whose caller has
// disconnected.
const stopTimeout = 500 * time.Millisecond

var _ = Describe("A request whose caller disconnects", func() {
	var x *rig
	active := func() int {
		n := 0
		for _, m := range append(x.engines, x.apps...) {
			n += m.Active()
		}
		return n
	}
	// call sends a request and, if read is positive, waits for that many bytes of the
	// response. The returned function closes the caller's connection.
	call := func(path, model string, read int) context.CancelFunc {
		ctx, disconnect := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, x.frontURL+path, strings.NewReader("prompt"))
		Expect(err).NotTo(HaveOccurred())
		req.Host = "h.example"
		req.Header.Set("X-Wardturn-Attempt-Id", "leaves")
		req.Header.Set("X-Wardturn-Deadline-Ms", "3000")
		if model != "" {
			req.Header.Set("X-Wardturn-Model", model)
		}
		client := &http.Client{
			Transport: &http.Transport{},
		}
		received := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			res, err := client.Do(req)
			if err != nil {
				return // disconnected
			}
			defer res.Body.Close()
			_, _ = io.ReadFull(res.Body, make([]byte, read))
			close(received)
			_, _ = io.Copy(io.Discard, res.Body)
		}()
		if read > 0 {
			Eventually(received, eventTimeout).Should(BeClosed())
		}
		DeferCleanup(disconnect)
		return disconnect
	}
	setAllFaults := func(f standin.WorkerFaults) {
		for _, m := range append(x.engines, x.apps...) {
			m.SetFaults(f)
		}
	}
	BeforeEach(func() {
		x = newRig()
	})

	for _, path := range []string{"/ask/x", "/resume/x", "/look/"} {
		It("is canceled at its upstream before the first byte, on "+path, func() {
			setAllFaults(standin.WorkerFaults{
				Think: eventTimeout,
			})
			model := "m0"
			if path == "/look/" {
				model = ""
			}
			disconnect := call(path, model, 0)
			Eventually(active, eventTimeout, pollInterval).Should(Equal(1))
			disconnect()
			Eventually(active, stopTimeout, pollInterval).Should(BeZero())
		})
	}

	It("is canceled at its engine in the middle of a stream", func() {
		setAllFaults(standin.WorkerFaults{
			Linger: eventTimeout,
		})
		disconnect := call("/ask/x", "m0", 5)
		Expect(active()).To(Equal(1))
		disconnect()
		Eventually(active, stopTimeout, pollInterval).Should(BeZero())
	})

	It("reaches no engine if its adapter is loaded later", func() {
		setAllFaults(standin.WorkerFaults{
			LoseOrders: true,
		})
		disconnect := call("/ask/x", "m0/late", 0)
		time.Sleep(100 * time.Millisecond)
		disconnect()
		time.Sleep(stopTimeout)
		setAllFaults(standin.WorkerFaults{})
		Consistently(func() int {
			return x.runs("leaves")
		}, stopTimeout, pollInterval).Should(BeZero())
	})
})
