package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/standin"
)

// Guards against a caller that closes its sending side, and still reads, being told an empty success, or
// that a part of a stream is the whole one.
var _ = Describe("A caller that closes its sending side after its request", func() {
	const receipt = "X-Wardturn-Server-Seal"
	DescribeTable("gets the upstream's whole answer or a visible end",
		func(path, version string, after time.Duration) {
			x := newRig()
			for _, m := range append(x.apps, x.engines...) {
				m.SetFaults(standin.WorkerFaults{
					Think:  60 * time.Millisecond,
					Linger: 60 * time.Millisecond,
				})
			}
			for range 5 {
				c := x.dialFront()
				_, err := fmt.Fprintf(c, "POST %s HTTP/%s\r\nHost: h.example\r\nX-Wardturn-Attempt-Id: half-%d\r\nX-Wardturn-Model: m0\r\nX-Wardturn-Deadline-Ms: 3000\r\nContent-Length: 6\r\n\r\nprompt", path, version, attempts.Add(1))
				Expect(err).NotTo(HaveOccurred())
				time.Sleep(after)
				Expect(c.(*net.TCPConn).CloseWrite()).To(Succeed())
				Expect(c.SetReadDeadline(time.Now().Add(eventTimeout))).To(Succeed())
				res, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					continue // closed without an answer
				}
				body, err := io.ReadAll(res.Body)
				if err != nil || res.StatusCode >= http.StatusMultipleChoices {
					continue // cut visibly, or a failure
				}
				Expect(res.Header.Get(receipt)).NotTo(BeEmpty(), "%d %q", res.StatusCode, body)
				if path == "/ask/x" || path == "/resume/x" {
					Expect(string(body)).To(Equal(completeStream))
				} else {
					Expect(string(body)).To(Equal("echo:prompt"))
				}
			}
		},
		Entry("may run once only, at once", "/charge/", "1.1", time.Duration(0)),
		Entry("may run once only, later", "/charge/", "1.1", 30*time.Millisecond),
		Entry("may run again, at once", "/look/x", "1.1", time.Duration(0)),
		Entry("may run again, later", "/look/x", "1.1", 30*time.Millisecond),
		Entry("stream, at once", "/ask/x", "1.1", time.Duration(0)),
		Entry("stream, within it", "/ask/x", "1.1", 150*time.Millisecond),
		Entry("stream that may be resumed, within it", "/resume/x", "1.1", 150*time.Millisecond),
		Entry("may run once only, HTTP/1.0", "/charge/", "1.0", 30*time.Millisecond),
		Entry("stream, within it, HTTP/1.0", "/ask/x", "1.0", 150*time.Millisecond),
	)
})
