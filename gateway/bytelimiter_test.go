package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// openSlowBodies opens n connections that announce a body of the given size and send a
// part of it. It returns a function that closes them.
func (x *rig) openSlowBodies(n, size int, chunked bool) (closeAll func()) {
	front, err := url.Parse(x.frontURL)
	Expect(err).NotTo(HaveOccurred())
	var conns []net.Conn
	for i := range n {
		c, err := net.Dial("tcp", front.Host)
		Expect(err).NotTo(HaveOccurred())
		conns = append(conns, c)
		length := fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
		part := strings.Repeat("x", size/2)
		if chunked {
			length = "Transfer-Encoding: chunked\r\n\r\n"
			part = fmt.Sprintf("%x\r\n%s", size, part)
		}
		_, err = fmt.Fprintf(c, "POST /look/a HTTP/1.1\r\nHost: h.example\r\nX-Wardturn-Attempt-Id: slow-%d\r\nX-Wardturn-Deadline-Ms: 3000\r\n%s%s", i, length, part)
		Expect(err).NotTo(HaveOccurred())
	}
	return func() {
		for _, c := range conns {
			c.Close()
		}
	}
}

// Without a limit, callers that send long bodies slowly exhaust the memory of the process.
var _ = Describe("The request bodies that a gateway buffers", func() {
	for _, chunked := range []bool{false, true} {
		It(fmt.Sprintf("are limited (chunked: %v); requests beyond the limit are refused as not run, and served again once the others are gone", chunked), func() {
			x := newRig()
			closeAll := x.openSlowBodies(8, 60<<10, chunked)
			body := strings.Repeat("y", 60<<10)
			Eventually(func() string {
				return x.send("POST", fmt.Sprintf("big-%d", attempts.Add(1)), "/look/a", "", body).body
			}, eventTimeout, pollInterval).Should(Equal("queue_full"))
			id := fmt.Sprintf("big-%d", attempts.Add(1))
			r := x.send("POST", id, "/look/a", "", body)
			Expect(r.status).To(Equal(http.StatusServiceUnavailable))
			Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
			Expect(x.runs(id)).To(BeZero())
			closeAll()
			Eventually(func() int {
				return x.send("POST", fmt.Sprintf("big-%d", attempts.Add(1)), "/look/a", "", body).status
			}, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
		})
	}
})
