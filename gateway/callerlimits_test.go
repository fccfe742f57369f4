package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/platform"
)

// limitsConfig is a configuration with limits of callers' connections.
func limitsConfig(version, maxHeader, headerMS, idleMS int) string {
	c := config(version, "")
	c = strings.Replace(c, `"max_header_bytes":16384`, fmt.Sprintf(`"max_header_bytes":%d`, maxHeader), 1)
	c = strings.Replace(c, `"header_timeout_ms":3000`, fmt.Sprintf(`"header_timeout_ms":%d`, headerMS), 1)
	return strings.Replace(c, `"idle_timeout_ms":15000`, fmt.Sprintf(`"idle_timeout_ms":%d`, idleMS), 1)
}

// dialFront opens a connection to the gateway.
func (x *rig) dialFront() net.Conn {
	c, err := net.Dial("tcp", strings.TrimPrefix(x.frontURL, "http://"))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	return c
}

// openFor returns how long the gateway leaves a connection open on which it has been sent the
// given bytes, at most a time.
func openFor(c net.Conn, sent string, atMost time.Duration) time.Duration {
	_, err := io.WriteString(c, sent)
	Expect(err).NotTo(HaveOccurred())
	begun := time.Now()
	Expect(c.SetReadDeadline(begun.Add(atMost))).To(Succeed())
	_, _ = io.Copy(io.Discard, c) // ends with the connection or the time
	return time.Since(begun)
}

// lookRequest is a request on a connection that is kept.
func lookRequest(id string, header string) string {
	return "POST /look/x HTTP/1.1\r\nHost: h.example\r\nX-Wardturn-Attempt-Id: " + id + "\r\nX-Wardturn-Deadline-Ms: 900\r\n" + header + "Content-Length: 0\r\n\r\n"
}

// limitsBound is the time within which a version of the configuration must be in force.
const limitsBound = 2 * time.Second

// Guards against limits of a later version of the configuration that are never applied.
var _ = Describe("A limit of callers' connections in a later version of the configuration", func() {
	// open starts a rig with limits and keeps a connection open over their change.
	open := func(before, after func(version int) string) (x *rig, kept *http.Client) {
		x = newRigOf(rigOptions{
			drain:   500 * time.Millisecond,
			domains: []string{"d", "d"},
			config:  before(1),
		})
		kept = x.client
		Expect(x.get("kept", "/look/x", "").status).To(Equal(http.StatusOK))
		x.store.PutConfig(after(2))
		time.Sleep(limitsBound)
		return x, kept
	}
	withHeader := func(x *rig, n int) int {
		req := x.tailRequest(GinkgoT().Context(), x.frontURL, fmt.Sprintf("big-%d", attempts.Add(1)))
		req.URL.Path = "/look/x"
		req.Header.Set("X-Padding", strings.Repeat("p", n))
		return x.do(req).status
	}
	header := func(n int) func(int) string {
		return func(version int) string {
			return limitsConfig(version, n, 3000, 15000)
		}
	}
	timeouts := func(headerMS, idleMS int) func(int) string {
		return func(version int) string {
			return limitsConfig(version, 16384, headerMS, idleMS)
		}
	}

	It("allows larger headers once it is raised", func() {
		x, _ := open(header(16384), header(65536))
		Expect(withHeader(x, 32<<10)).To(Equal(http.StatusOK))
	})

	It("refuses larger headers once it is lowered", func() {
		x, _ := open(header(65536), header(16384))
		Expect(withHeader(x, 40<<10)).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		Expect(withHeader(x, 8<<10)).To(Equal(http.StatusOK))
	})

	It("gives a header the time of the new version", func() {
		x, _ := open(timeouts(300, 15000), timeouts(900, 15000))
		Expect(openFor(x.dialFront(), "POST /look/x HTTP/1.1\r\n", 3*time.Second)).To(BeNumerically("~", 900*time.Millisecond, 300*time.Millisecond))
		x, _ = open(timeouts(3000, 15000), timeouts(300, 15000))
		Expect(openFor(x.dialFront(), "POST /look/x HTTP/1.1\r\n", 3*time.Second)).To(BeNumerically("~", 300*time.Millisecond, 250*time.Millisecond))
	})

	It("leaves connections idle for the time of the new version", func() {
		x, _ := open(timeouts(3000, 15000), timeouts(3000, 400))
		Expect(openFor(x.dialFront(), lookRequest("idle-1", ""), 3*time.Second)).To(BeNumerically("~", 400*time.Millisecond, 300*time.Millisecond))
		x, _ = open(timeouts(3000, 300), timeouts(3000, 1500))
		Expect(openFor(x.dialFront(), lookRequest("idle-2", ""), 4*time.Second)).To(BeNumerically("~", 1500*time.Millisecond, 400*time.Millisecond))
	})

	It("applies if the first version comes after the gateway has begun to serve", func() {
		x := newRig()
		x.store.DeleteAll("keyed.op")
		_, front, _ := x.startGateway("late", platform.NewStore(x.storeAddr, x.metrics))
		time.Sleep(1500 * time.Millisecond) // it serves without a configuration after a second
		x.store.PutConfig(header(65536)(3))
		x.frontURL = front
		Eventually(func() int {
			return withHeader(x, 32<<10)
		}, limitsBound, 50*time.Millisecond).Should(Equal(http.StatusOK))
	})

	It("breaks no request off that is under way as it changes", func() {
		x := newRigOf(rigOptions{
			drain:   500 * time.Millisecond,
			domains: []string{"d", "d"},
			config:  header(16384)(1),
		})
		stop := make(chan struct{})
		failed := make(chan string, 1000)
		done := make(chan int)
		for range 4 {
			go func() {
				n := 0
				defer func() {
					done <- n
				}()
				for {
					select {
					case <-stop:
						return
					default:
					}
					if r := x.get("under-way", "/look/x", ""); r.err != nil || r.status != http.StatusOK {
						failed <- fmt.Sprint(r.status, r.err)
					}
					n++
				}
			}()
		}
		for v := range 6 {
			time.Sleep(200 * time.Millisecond)
			x.store.PutConfig(header(16384 + 1024*v)(2 + v))
		}
		time.Sleep(limitsBound)
		close(stop)
		sent := 0
		for range 4 {
			sent += <-done
		}
		close(failed)
		var list []string
		for f := range failed {
			list = append(list, f)
		}
		Expect(list).To(BeEmpty(), fmt.Sprintf("%d requests", sent))
	})
})
