package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/platform"
	"wardturn/standin"
)

// configWithTeams returns the rig's configuration with teams and a public route.
func configWithTeams(version int, teams string) string {
	plain := config(version, `,{"name":"open","host":"h.example","path_prefix":"/open/","type":"idempotent","timeout_ms":1000,"slo_ms":150,"service":"app","max_attempts":2,"public":true}`)
	return strings.TrimSuffix(plain, "}") + `,"tenants":[` + teams + `]}`
}

const (
	clerks = `{"name":"clerks","api_keys":["key-a","key-b"],"priority":1}`
	robots = `{"name":"robots","api_keys":["key-c"],"priority":7}`
)

// sendWithHeaders sends a request with the given headers, without canonicalizing their names.
func (x *rig) sendWithHeaders(front, path, model string, headers http.Header) (id string, r reply) {
	id = fmt.Sprintf("keyed-%d", attempts.Add(1))
	req, err := http.NewRequest("POST", front+path, strings.NewReader("prompt"))
	Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	req.Header.Set("X-Wardturn-Attempt-Id", id)
	req.Header.Set("X-Wardturn-Deadline-Ms", "3000")
	if model != "" {
		req.Header.Set("X-Wardturn-Model", model)
	}
	for name, values := range headers {
		req.Header[name] = values
	}
	res, err := x.client.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return id, reply{
		status: res.StatusCode,
		header: res.Header,
		body:   string(body),
		err:    err,
	}
}

func bearerHeader(keys ...string) http.Header {
	h := http.Header{}
	for _, k := range keys {
		h["Authorization"] = append(h["Authorization"], "Bearer "+k)
	}
	return h
}

var _ = Describe("Keys of teams", func() {
	var x *rig
	status := func(path string, h http.Header) int {
		_, r := x.sendWithHeaders(x.frontURL, path, "", h)
		return r.status
	}
	BeforeEach(func() {
		x = newRig()
		x.store.PutConfig(configWithTeams(2, clerks+","+robots))
		Eventually(func() int {
			return status("/look/a", nil)
		}, eventTimeout, pollInterval).Should(Equal(http.StatusUnauthorized))
	})

	It("are required: a request without a valid one is refused and not forwarded", func() {
		for _, h := range []http.Header{
			nil,
			bearerHeader("key-x"),
			bearerHeader("key"),
			bearerHeader("key-a " + "key-b"),
			bearerHeader("key-a", "key-a"),
			{"Authorization": {"Basic key-a"}},
			{"Authorization": {"Bearer"}},
			{"Authorization": {"key-a"}},
			{"X-Wardturn-Tenant": {"clerks"}},
		} {
			id, r := x.sendWithHeaders(x.frontURL, "/look/a", "", h)
			Expect(r.status).To(Equal(http.StatusUnauthorized), "%v", h)
			Expect(r.header.Get("WWW-Authenticate")).To(Equal("Bearer"))
			Expect(x.runs(id)).To(BeZero())
		}
	})

	It("determine the team and priority headers, whatever the caller sends, and are not forwarded", func() {
		h := bearerHeader("key-c")
		h["authorization"] = nil
		h["X-Wardturn-Tenant"] = []string{"clerks", "other"}
		h["x-wardturn-tenant"] = []string{"clerks"}
		h["Priority"] = []string{"0"}
		id, r := x.sendWithHeaders(x.frontURL, "/ask/a", "m0", h)
		Expect(r.status).To(Equal(http.StatusOK))
		got := x.headersOf(id)
		Expect(got.Values("X-Wardturn-Tenant")).To(Equal([]string{"robots"}))
		Expect(got.Values("Authorization")).To(BeEmpty())
		Expect(got.Values("Priority")).To(Equal([]string{"9"})) // the least urgent that upstreams accept
		Expect(x.log.String()).NotTo(ContainSubstring("key-c"))
	})

	It("are not forwarded on a public route, and set no team there", func() {
		h := bearerHeader("key-a")
		h["X-Wardturn-Tenant"] = []string{"clerks"}
		id, r := x.sendWithHeaders(x.frontURL, "/open/a", "", h)
		Expect(r.status).To(Equal(http.StatusOK))
		Expect(x.headersOf(id).Values("Authorization")).To(BeEmpty())
		Expect(x.headersOf(id).Values("X-Wardturn-Tenant")).To(BeEmpty())
	})

	It("order requests by the team's priority before the route's", func() {
		first, _ := x.sendWithHeaders(x.frontURL, "/ask/a", "m0", bearerHeader("key-b"))
		Expect(x.headersOf(first).Get("Priority")).To(Equal("3")) // team priority 1 with two route levels, plus route priority 1
	})

	It("set the team header also when a stream resumes at another upstream", func() {
		for _, m := range x.engines {
			m.SetFaults(standin.WorkerFaults{
				CutFresh: 2,
			})
		}
		id, r := x.sendWithHeaders(x.frontURL, "/resume/a", "m0", bearerHeader("key-b"))
		Expect(r.status).To(Equal(http.StatusOK))
		Expect(x.runs(id)).To(Equal(2))
		for _, m := range x.engines {
			Expect(m.Headers(id).Values("X-Wardturn-Tenant")).To(Equal([]string{"clerks"}))
			Expect(m.Headers(id).Values("Authorization")).To(BeEmpty())
		}
	})

	It("are valid once added, and no longer once revoked", func() {
		Expect(status("/look/a", bearerHeader("key-a"))).To(Equal(http.StatusOK))
		x.store.PutConfig(configWithTeams(3, `{"name":"clerks","api_keys":["key-b","key-n"]}`))
		Eventually(func() int {
			return status("/look/a", bearerHeader("key-n"))
		}, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
		Expect(status("/look/a", bearerHeader("key-a"))).To(Equal(http.StatusUnauthorized))
		Expect(status("/look/a", bearerHeader("key-c"))).To(Equal(http.StatusUnauthorized))
	})

	It("stay valid if other fields of their team's record are malformed", func() {
		x.store.PutConfig(configWithTeams(3, `{"name":"clerks","api_keys":["key-n",7,"key-b"],"rate_per_s":"many"},{"api_keys":["key-z"]},`+robots))
		Eventually(func() int {
			return status("/look/a", bearerHeader("key-n"))
		}, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
		Expect(status("/look/a", bearerHeader("key-b"))).To(Equal(http.StatusOK))
		Expect(status("/look/a", bearerHeader("key-c"))).To(Equal(http.StatusOK))
		Expect(status("/look/a", bearerHeader("key-z"))).To(Equal(http.StatusUnauthorized))
		Expect(x.log.String()).To(ContainSubstring("field of a team passed over"))
		Expect(x.log.String()).NotTo(ContainSubstring("key-n"))
	})
})

var _ = Describe("Keys of a gateway that cannot reach the store", func() {
	It("are accepted until they may have been revoked too long ago; then requests are refused as not run", func() {
		x := newRig()
		x.store.PutConfig(configWithTeams(2, clerks))
		x.keyBound = 2 * time.Second
		g, front, _ := x.startGateway("late", platform.NewStore(x.storeAddr, x.metrics))
		Eventually(g.Ready, eventTimeout, pollInterval).Should(BeTrue())
		status := func() int {
			_, r := x.sendWithHeaders(front, "/look/a", "", bearerHeader("key-a"))
			return r.status
		}
		Eventually(status, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
		x.store.SetFaults(standin.MetaFaults{
			Unavailable: true,
		})
		unavailableSince := time.Now()
		lastServed := unavailableSince
		Eventually(func() int {
			s := status()
			if s == http.StatusOK {
				lastServed = time.Now()
			}
			return s
		}, eventTimeout, pollInterval).Should(Equal(http.StatusServiceUnavailable))
		Expect(lastServed.Sub(unavailableSince)).To(BeNumerically("<", x.keyBound))
		id, r := x.sendWithHeaders(front, "/look/a", "", bearerHeader("key-x"))
		Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(x.runs(id)).To(BeZero())
		x.store.SetFaults(standin.MetaFaults{})
		Eventually(status, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
	})
})
