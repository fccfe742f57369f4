package gateway_test

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/standin"
)

// Guards against an upstream that fills the memory of a gateway with the head of an answer.
var _ = Describe("An upstream that sends a head without end", func() {
	It("is read up to a bound", func() {
		x := newRigWithDrain(500*time.Millisecond, "d", "d")
		var written atomic.Int64
		s := &script{
			plays: make(map[string][]ending),
			sent:  make(map[string][]ending),
		}
		x.startScripted(s, 3)
		x.store.PutConfig(tailConfig())
		Eventually(func() int {
			return x.get("warm", "/tail/x", "").status
		}, eventTimeout, pollInterval).Should(Equal(200))
		endless := ending{
			name: "a head without end",
			play: func(w io.Writer, head string, _ int) bool {
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s", head)
				line := "X-Padding: " + strings.Repeat("p", 4<<10) + "\r\n"
				for range 64 << 10 {
					n, err := io.WriteString(w, line)
					written.Add(int64(n))
					if err != nil {
						return false
					}
				}
				return false
			},
		}
		id := fmt.Sprintf("endless-%d", attempts.Add(1))
		s.plays[id] = []ending{endless, endless, endless}
		begun := time.Now()
		r := x.send("POST", id, "/tail/x", "", "prompt")
		Expect(r.status).To(Equal(502))
		Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
		Expect(written.Load()).To(BeNumerically("<", 3*16<<20)) // the rest is in the sockets
	})
})

// Guards against requests that hold their answers for as long as a caller does not read them.
var _ = Describe("A caller that does not read its answer", func() {
	It("is waited for no longer than the time of the request and a grace period", func() {
		x := newRig()
		for _, m := range x.apps {
			m.SetFaults(standin.WorkerFaults{
				Padding: 250 << 10,
			})
		}
		writers := func() int {
			buf := make([]byte, 8<<20)
			return strings.Count(string(buf[:runtime.Stack(buf, true)]), ").forwardBuffered(")
		}
		for range 4 {
			c := x.dialFront()
			Expect(c.(*net.TCPConn).SetReadBuffer(1 << 10)).To(Succeed())
			for range 60 { // more than the buffers of the sockets take
				_, err := io.WriteString(c, lookRequest(fmt.Sprintf("unread-%d", attempts.Add(1)), ""))
				Expect(err).NotTo(HaveOccurred())
			}
		}
		Eventually(writers, eventTimeout, pollInterval).Should(Equal(4))
		Consistently(writers, "300ms", pollInterval).Should(Equal(4))
		Eventually(writers, 8*time.Second, 50*time.Millisecond).Should(BeZero())
	})
})
