package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/standin"
)

var _ = Describe("Headers of a caller", func() {
	var x *rig
	BeforeEach(func() {
		x = newRig()
	})

	// sendRaw sends a request whose header lines are written verbatim.
	sendRaw := func(id, path string, lines ...string) int {
		c, err := net.Dial("tcp", strings.TrimPrefix(x.frontURL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Wardturn-Attempt-Id: %s\r\nContent-Length: 4\r\n%s\r\n\r\nbody", path, id, strings.Join(lines, "\r\n"))
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		res.Body.Close()
		return res.StatusCode
	}
	receivedHeaders := func(id string) http.Header {
		for _, m := range append(x.engines, x.apps...) {
			if h := m.Headers(id); h != nil {
				return h
			}
		}
		Fail("no upstream ran " + id)
		return nil
	}
	paths := []string{"/ask/x", "/resume/x", "/charge/x", "/look/x"}

	It("that callers may not send reach no upstream on any route, in any spelling", func() {
		for i, name := range []string{"Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Kv-Fetch", "Wait-Ms"} {
			for n, path := range paths {
				id := fmt.Sprintf("reserved-%d-%d", i, n)
				status := sendRaw(id, path,
					"X-Wardturn-Model: m0",
					"Connection: keep-alive, "+name,
					name+": 10.0.0.1:80/x",
					strings.ToLower(name)+": 4000",
					strings.ToUpper(name)+":5",
				)
				Expect(status).To(Equal(http.StatusOK))
				Expect(receivedHeaders(id)).NotTo(HaveKey(name))
				Expect(receivedHeaders(id)).NotTo(HaveKey("Connection"))
			}
		}
	})

	It("that the gateway sets itself are replaced", func() {
		for n, path := range paths {
			id := fmt.Sprintf("own-%d", n)
			sendRaw(id, path,
				"X-Wardturn-Model: m0",
				"X-Wardturn-Deadline-Ms: 700",
				"priority: 0",
				"Priority: 9",
				"expect-version: 77",
				"X-Wardturn-Expect-Instance: other",
			)
			h := receivedHeaders(id)
			Expect(h.Values("X-Wardturn-Deadline-Ms")).To(HaveLen(1))
			Expect(h.Values("X-Wardturn-Expect-Instance")).To(HaveLen(1))
			Expect(h.Get("X-Wardturn-Expect-Instance")).NotTo(Equal("other"))
			Expect(h).NotTo(HaveKey("Expect-Version"))
			Expect(h["Priority"]).NotTo(ContainElement("9"))
		}
	})

	It("that are neither reserved nor set by the gateway are forwarded", func() {
		sendRaw("kept", "/ask/x",
			"X-Wardturn-Model: m0",
			"X-Wardturn-Token-Count: 12,4",
			"X-Wardturn-Prompt-Prefix: 5c1e07a2:8,91bd3f06:4",
			"Length-Hint: 4",
			"X-Own: a",
			"X-Own: b",
		)
		h := receivedHeaders("kept")
		Expect(h.Get("X-Wardturn-Token-Count")).To(Equal("12,4"))
		Expect(h.Get("X-Wardturn-Prompt-Prefix")).To(Equal("5c1e07a2:8,91bd3f06:4"))
		Expect(h.Get("Length-Hint")).To(Equal("4"))
		Expect(h.Values("X-Own")).To(Equal([]string{"a", "b"}))
	})

	It("with malformed counts are forwarded and do no harm", func() {
		for n, count := range []string{"", "x,y", "-5,3", "99999999999999999999,1", "4"} {
			id := fmt.Sprintf("count-%d", n)
			status := sendRaw(id, "/ask/x",
				"X-Wardturn-Model: m0",
				"X-Wardturn-Token-Count: "+count,
				"X-Wardturn-Prompt-Prefix: ,,:zz,5:,"+count,
				"X-Wardturn-Deadline-Ms: soon",
			)
			Expect(status).To(Equal(http.StatusOK))
			Expect(receivedHeaders(id).Get("X-Wardturn-Token-Count")).To(Equal(count))
		}
	})
})

// Guards against deadlines that overflow, with which a request is refused or has no time.
var _ = Describe("A deadline beyond all ranges", func() {
	It("leaves the request the time of its route", func() {
		x := newRig()
		for _, m := range x.apps {
			m.SetFaults(standin.WorkerFaults{
				Think: 100 * time.Millisecond,
			})
		}
		for _, deadline := range []string{"3600001", "10000000000000", "18446744073710", "9223372036854775807", "99999999999999999999"} {
			req, err := http.NewRequest(http.MethodPost, x.frontURL+"/look/x", strings.NewReader("prompt"))
			Expect(err).NotTo(HaveOccurred())
			req.Host = "h.example"
			req.Header.Set("X-Wardturn-Attempt-Id", fmt.Sprintf("far-%d", attempts.Add(1)))
			req.Header.Set("X-Wardturn-Deadline-Ms", deadline)
			Expect(x.do(req).status).To(Equal(http.StatusOK), deadline)
		}
	})
})
