package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"wardturn/platform"
	"wardturn/standin"
)

// callerConn is a caller's persistent connection.
type callerConn struct {
	net.Conn
	br *bufio.Reader
}

func openCallerConn(front string) *callerConn {
	nc, err := net.Dial("tcp", strings.TrimPrefix(front, "http://"))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(nc.Close)
	Expect(nc.SetDeadline(time.Now().Add(2 * eventTimeout))).To(Succeed())
	return &callerConn{
		Conn: nc,
		br:   bufio.NewReader(nc),
	}
}

func (c *callerConn) sendRequest(path, model string) {
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Wardturn-Attempt-Id: kept-%d\r\nX-Wardturn-Model: %s\r\nX-Wardturn-Deadline-Ms: 3000\r\nContent-Length: 6\r\n\r\nprompt", path, attempts.Add(1), model)
	Expect(err).NotTo(HaveOccurred())
}

func (c *callerConn) readResponse() reply {
	res, err := http.ReadResponse(c.br, nil)
	Expect(err).NotTo(HaveOccurred())
	if res.Close { // net/http removes the header
		res.Header.Set("Connection", "close")
	}
	data, err := io.ReadAll(res.Body)
	return reply{
		status: res.StatusCode,
		header: res.Header,
		body:   string(data),
		err:    err,
	}
}

// closed reports whether the gateway has closed the connection.
func (c *callerConn) closed() bool {
	Expect(c.SetReadDeadline(time.Now().Add(pollInterval))).To(Succeed())
	_, err := c.br.Peek(1)
	Expect(c.SetReadDeadline(time.Now().Add(2 * eventTimeout))).To(Succeed())
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

var _ = Describe("A gateway that leaves", func() {
	var x *rig
	var stopped chan struct{}
	BeforeEach(func() {
		x = newRig()
		x.shutdownDelay = 1500 * time.Millisecond
		x.gateway, x.frontURL, x.readyURL = x.startGateway("leaver", platform.NewStore(x.storeAddr, tally.NoopScope))
		Eventually(x.gateway.Ready, eventTimeout, pollInterval).Should(BeTrue())
		Eventually(func() int {
			return x.get("warm", "/ask/x", "m0/a1").status
		}, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
	})
	leave := func() {
		stopped = make(chan struct{})
		go func() {
			defer close(stopped)
			limit, cancel := context.WithTimeout(context.Background(), 2*eventTimeout)
			defer cancel()
			x.gateway.Shutdown(limit)
		}()
		Eventually(x.gateway.Ready, eventTimeout, pollInterval).Should(BeFalse())
		DeferCleanup(func() {
			Eventually(stopped, 2*eventTimeout, pollInterval).Should(BeClosed())
		})
	}
	expectNotReady := func() {
		res, err := x.client.Get(x.readyURL)
		Expect(err).NotTo(HaveOccurred())
		res.Body.Close()
		Expect(res.StatusCode).To(Equal(http.StatusServiceUnavailable))
	}
	usedConn := func() *callerConn {
		c := openCallerConn(x.frontURL)
		c.sendRequest("/charge/", "")
		Expect(c.readResponse().status).To(Equal(http.StatusOK))
		return c
	}

	It("serves persistent connections after the readiness check has failed", func() {
		first, second := usedConn(), usedConn()
		leave()
		for _, c := range []*callerConn{first, second} {
			expectNotReady()
			Consistently(c.closed, 300*time.Millisecond, pollInterval).Should(BeFalse())
			c.sendRequest("/charge/", "")
			r := c.readResponse()
			Expect(r.status).To(Equal(http.StatusOK))
			Expect(r.header.Get("Connection")).To(Equal("close"))
		}
	})

	It("completes an open stream after it has stopped accepting requests", func() {
		for _, e := range x.engines {
			e.SetFaults(standin.WorkerFaults{
				Linger: 600 * time.Millisecond,
			})
		}
		c := openCallerConn(x.frontURL)
		c.sendRequest("/ask/x", "m0/a1")
		_, err := c.br.Peek(1)
		Expect(err).NotTo(HaveOccurred())
		idle := usedConn()
		leave()
		Eventually(idle.closed, eventTimeout, pollInterval).Should(BeTrue())
		Expect(stopped).NotTo(BeClosed())
		r := c.readResponse()
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.body).To(Equal(completeStream))
	})
})
