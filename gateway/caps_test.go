package gateway_test

import (
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/platform"
	"wardturn/standin"
)

const (
	// capped is a team that may use 1,000 tokens a second.
	capped = `{"name":"clerks","api_keys":["key-a"],"unit":"token_count","raw_tokens":100,"rate_per_s":1000,"burst":1000}`
	free   = `{"name":"robots","api_keys":["key-c"],"unit":"token_count","raw_tokens":100,"rate_per_s":0}`
)

var _ = Describe("Usage caps of teams", func() {
	var x *rig
	sendWithTokens := func(front, key, tokens string) (string, reply) {
		h := bearerHeader(key)
		h["X-Wardturn-Token-Count"] = []string{tokens}
		return x.sendWithHeaders(front, "/look/a", "", h)
	}
	BeforeEach(func() {
		x = newRig()
		x.store.PutConfig(configWithTeams(2, capped+","+free))
		Eventually(func() int {
			_, r := sendWithTokens(x.frontURL, "unknown", "1,1")
			return r.status
		}, eventTimeout, pollInterval).Should(Equal(http.StatusUnauthorized)) // the caps are in force
		Eventually(func() int {
			_, r := sendWithTokens(x.frontURL, "key-a", "1,1")
			return r.status
		}, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
	})

	It("reject requests over the cap with 429 and the time after which they are served", func() {
		Eventually(func() int {
			_, r := sendWithTokens(x.frontURL, "key-a", "1500,500")
			return r.status
		}, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
		id, r := sendWithTokens(x.frontURL, "key-a", "10,10")
		Expect(r.status).To(Equal(http.StatusTooManyRequests))
		Expect(r.body).To(Equal("quota"))
		Expect(x.runs(id)).To(BeZero())
		_, other := sendWithTokens(x.frontURL, "key-c", "9000,9000")
		Expect(other.status).To(Equal(http.StatusOK))
		retryAfter, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(retryAfter).To(BeNumerically(">", 0.1))
		time.Sleep(time.Duration((retryAfter + 0.01) * float64(time.Second)))
		_, again := sendWithTokens(x.frontURL, "key-a", "10,10")
		Expect(again.status).To(Equal(http.StatusOK))
		Expect(x.log.String()).To(ContainSubstring("beyond the cap"))
	})

	It("include the usage at other gateways", func() {
		store := platform.NewStore(x.storeAddr, x.metrics)
		_, second, _ := x.startGateway("second", store)
		status := func(front string) func() int {
			return func() int {
				_, r := sendWithTokens(front, "key-a", "1,0")
				return r.status
			}
		}
		Eventually(status(second), eventTimeout, pollInterval).Should(Equal(http.StatusOK))
		// Until both have received each other's messages and their buckets are full.
		time.Sleep(1200 * time.Millisecond)
		_, r := sendWithTokens(x.frontURL, "key-a", "9000,0")
		Expect(r.status).To(Equal(http.StatusOK))
		Eventually(status(second), eventTimeout, pollInterval).Should(Equal(http.StatusTooManyRequests))
		Consistently(status(second), 500*time.Millisecond, 50*time.Millisecond).Should(Equal(http.StatusTooManyRequests))
	})

	It("refund requests that no upstream ran", func() {
		time.Sleep(300 * time.Millisecond) // a gateway starts with an empty bucket
		for _, m := range x.apps {
			m.SetFaults(standin.WorkerFaults{
				Full: true,
			})
		}
		for range 5 {
			_, r := sendWithTokens(x.frontURL, "key-a", "700,700")
			Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		}
		for _, m := range x.apps {
			m.SetFaults(standin.WorkerFaults{})
		}
		Eventually(func() int {
			_, r := sendWithTokens(x.frontURL, "key-a", "1,1")
			return r.status
		}, 500*time.Millisecond, pollInterval).Should(Equal(http.StatusOK))
	})
})
