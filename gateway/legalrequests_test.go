package gateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/standin"
)

// The limits of the rig's configuration in bytes.
const (
	rigMaxHeader = 16384
	rigMaxBody   = 65536
)

// legalHead returns a request of exactly n bytes without a body, with lines of the given text in it.
func legalHead(n int, line string) string {
	head := fmt.Sprintf("POST /look/x HTTP/1.1\r\nHost: h.example\r\nX-Wardturn-Attempt-Id: legal-%d\r\nX-Wardturn-Deadline-Ms: 900\r\nContent-Length: 0\r\n", attempts.Add(1))
	if line != "" {
		head += strings.Repeat(line, (n-len(head)-len("p:\r\n\r\n"))/len(line))
	}
	return head + "p:" + strings.Repeat("x", n-len(head)-len("p:\r\n\r\n")) + "\r\n\r\n"
}

// exchangeRaw sends bytes on a new connection and returns the statuses of as many responses.
func (x *rig) exchangeRaw(parts []string, responses int) (statuses []int) {
	c := x.dialFront()
	_ = c.SetDeadline(time.Now().Add(eventTimeout))
	r := bufio.NewReader(c)
	go func() {
		for _, p := range parts {
			if _, err := io.WriteString(c, p); err != nil {
				return
			}
		}
	}()
	for range responses {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			return append(statuses, -1)
		}
		_, _ = io.Copy(io.Discard, res.Body)
		statuses = append(statuses, res.StatusCode)
	}
	return statuses
}

// Guards against requests inside the limits that are refused for their form.
var _ = Describe("A request inside the limits", func() {
	var x *rig
	BeforeEach(func() {
		x = newRig()
	})

	DescribeTable("is served to the last byte of its head",
		func(line string) {
			Expect(x.exchangeRaw([]string{legalHead(rigMaxHeader, line)}, 1)).To(Equal([]int{200}))
			Expect(x.exchangeRaw([]string{legalHead(rigMaxHeader+1, line)}, 1)).To(Equal([]int{431}))
		},
		Entry("of long lines", "X-Long: "+strings.Repeat("x", 1000)+"\r\n"),
		Entry("of the shortest lines", "a:\n"),
		Entry("of short lines", "a: b\r\n"),
		Entry("of lines without spaces", "ab:c\r\n"),
		Entry("of lines with many spaces", "a:      \t \r\n"),
		Entry("of continuation lines", "a: b\r\n c\r\n"),
	)

	It("is served if its target has the length that the head allows", func() {
		request := strings.Replace(legalHead(5000, ""), "/look/x", "/look/"+strings.Repeat("%41", 3700), 1)
		Expect(x.exchangeRaw([]string{request}, 1)).To(Equal([]int{200}))
	})

	It("is served if its head arrives byte by byte", func() {
		Expect(x.exchangeRaw(strings.Split(legalHead(600, "a: b\r\n"), ""), 1)).To(Equal([]int{200}))
	})

	DescribeTable("is served after empty lines",
		func(lines string) {
			request := legalHead(600, "a: b\r\n")
			Expect(x.exchangeRaw([]string{lines + request, lines + request}, 2)).To(Equal([]int{200, 200}))
		},
		Entry("none", ""),
		Entry("one", "\r\n"),
		Entry("several", "\r\n\r\n\n\r\n"),
	)

	It("is served if several are sent at once on a connection, with bodies and without", func() {
		with := func(header, body string) string {
			return strings.Replace(legalHead(600, "a: b\r\n"), "Content-Length: 0\r\n", header+"\r\n", 1) + body
		}
		requests := legalHead(rigMaxHeader, "a:\n") +
			with("Content-Length: 5", "a\n\n\nb") +
			with("Transfer-Encoding: chunked", "3;ext=1\r\n\r\n\n\r\n0\r\nTrailer: x\r\n\r\n") +
			legalHead(600, "a:\n") +
			legalHead(rigMaxHeader, "a: b\r\n")
		Expect(x.exchangeRaw([]string{requests}, 5)).To(Equal([]int{200, 200, 200, 200, 200}))
	})

	DescribeTable("is served to the last byte of its body",
		func(chunk int) {
			body := func(n int) string {
				head := legalHead(600, "a: b\r\n")
				if chunk == 0 {
					return strings.Replace(head, "Content-Length: 0", fmt.Sprintf("Content-Length: %d", n), 1) + strings.Repeat("x", n)
				}
				var b bytes.Buffer
				b.WriteString(strings.Replace(head, "Content-Length: 0", "Transfer-Encoding: chunked", 1))
				for n > 0 {
					size := min(n, chunk)
					fmt.Fprintf(&b, "%x\r\n%s\r\n", size, strings.Repeat("x", size))
					n -= size
				}
				b.WriteString("0\r\n\r\n")
				return b.String()
			}
			Expect(x.exchangeRaw([]string{body(rigMaxBody)}, 1)).To(Equal([]int{200}))
			Expect(x.exchangeRaw([]string{body(rigMaxBody + 1)}, 1)).To(Equal([]int{413}))
		},
		Entry("with a length", 0),
		Entry("in one chunk", rigMaxBody+1),
		Entry("in chunks of ten bytes", 10),
	)
})

// Guards against bodies that are waited for without an end.
var _ = Describe("A body that does not come", func() {
	It("is waited for until the deadline of its request, which is then refused and has not run", func() {
		x := newRig()
		id := fmt.Sprintf("unsent-%d", attempts.Add(1))
		head := "POST /look/x HTTP/1.1\r\nHost: h.example\r\nX-Wardturn-Attempt-Id: " + id + "\r\nContent-Length: 100\r\n\r\npart"
		Expect(x.exchangeRaw([]string{head}, 1)).To(Equal([]int{408}))
		Expect(x.runs(id)).To(BeZero())
	})

	It("does not keep a refusal back", func() {
		x := newRig()
		Expect(x.exchangeRaw([]string{"POST /none/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 100\r\n\r\npart"}, 1)).To(Equal([]int{404}))
	})

	It("leaves the connection open after a refusal if it comes", func() {
		x := newRig()
		refused := "POST /none/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n\r\n"
		Expect(x.exchangeRaw([]string{refused, "body", legalHead(600, "a: b\r\n")}, 2)).To(Equal([]int{404, 200}))
	})
})

// Guards against a response that is broken off by the deadline of an earlier body.
var _ = Describe("A request whose body was read", func() {
	It("may take longer than its body was waited for", func() {
		x := newRig()
		for _, app := range x.apps {
			app.SetFaults(standin.WorkerFaults{
				Think: 700 * time.Millisecond,
			})
		}
		request := strings.Replace(legalHead(600, "a: b\r\n"), "Content-Length: 0", "Content-Length: 4", 1) + "body"
		Expect(x.exchangeRaw([]string{request, request}, 2)).To(Equal([]int{200, 200}))
	})
})
