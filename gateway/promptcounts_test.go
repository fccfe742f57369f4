package gateway_test

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/standin"
)

// logBuffer is a buffer for logs that may be read while it is written.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// sendPrompt sends a request that states the size of its prompt, and returns the
// response's status.
func (x *rig) sendPrompt(id, model, tokens string) int {
	req, err := http.NewRequest(http.MethodPost, x.frontURL+"/ask/x", strings.NewReader("prompt"))
	Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	req.Header.Set("X-Wardturn-Attempt-Id", id)
	req.Header.Set("X-Wardturn-Deadline-Ms", "3000")
	req.Header.Set("X-Wardturn-Model", model)
	req.Header.Set("X-Wardturn-Token-Count", tokens)
	res, err := x.client.Do(req)
	Expect(err).NotTo(HaveOccurred())
	res.Body.Close()
	return res.StatusCode
}

var _ = Describe("Log lines about prompt sizes", func() {
	It("show the size of a refused request and of those that were served", func() {
		x := newRig()
		Expect(x.sendPrompt("in-time", "m0", "700,80")).To(Equal(http.StatusOK))
		for _, e := range x.engines {
			e.SetFaults(standin.WorkerFaults{
				LoseOrders: true, // the adapter is never loaded
			})
		}
		Expect(x.sendPrompt("lost", "m0/a1", "9153,80")).To(Equal(http.StatusServiceUnavailable))
		Expect(x.log.String()).To(MatchRegexp(`refused: id=lost reason=adapter_loading .* route=ask prompt=9153`))

		x.gateway.Shutdown(context.Background())
		Expect(x.log.String()).To(ContainSubstring(`prompts of a route: route=ask sizes="640:1,8192:1"`))
	})
})
