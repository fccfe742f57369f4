package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/standin"
)

// crlf is the format of the id line of events whose lines end with CRLF.
const crlf = "id: %d\r\n"

// streamEnds returns how many streams of upstreams had a framing and ended in a place.
func (x *rig) streamEnds(framing, end string) int64 {
	for _, c := range x.metrics.Snapshot().Counters() {
		if c.Name() == "stream_ends" && c.Tags()["framing"] == framing && c.Tags()["end"] == end {
			return c.Value()
		}
	}
	return 0
}

var _ = Describe("A stream whose connection ends inside an event", func() {
	It("is not framed as complete for its caller", func() {
		x := newRig()
		x.loadAndSetFaults(standin.WorkerFaults{
			CutAfter: 2,
			Unframed: true,
		})
		for _, path := range []string{"/ask/x", "/resume/x"} {
			r := x.get("truncated", path, "m0/a1")
			Expect(r.status).To(Equal(http.StatusOK))
			Expect(r.body).To(HavePrefix(firstTwo))
			Expect(r.err).To(HaveOccurred(), path)
		}
	})
})

var _ = Describe("A stream that ends inside an event", func() {
	DescribeTable("is not framed as complete, whatever its own framing",
		func(framing string, f standin.WorkerFaults) {
			x := newRig()
			f.CutAfter = 2
			x.loadAndSetFaults(f)
			r := x.get("truncated", "/ask/x", "m0/a1")
			Expect(r.status).To(Equal(http.StatusOK))
			Expect(r.body).To(HavePrefix(firstTwo))
			Expect(r.err).To(HaveOccurred())
			Expect(x.streamEnds(framing, "inside_event")).To(BeEquivalentTo(1))
		},
		Entry("none", "close", standin.WorkerFaults{
			Unframed: true,
		}),
		Entry("chunks", "chunked", standin.WorkerFaults{
			CutFramed: standin.FramedByChunks,
		}),
		Entry("a length", "length", standin.WorkerFaults{
			CutFramed: standin.FramedByLength,
		}),
	)

	It("ends with a reset for a caller that speaks HTTP/1.0", func() {
		x := newRig()
		x.loadAndSetFaults(standin.WorkerFaults{
			CutAfter: 2,
		})
		c, err := net.Dial("tcp", strings.TrimPrefix(x.frontURL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		fmt.Fprint(c, "POST /ask/x HTTP/1.0\r\nHost: h.example\r\nX-Wardturn-Attempt-Id: old-protocol\r\nX-Wardturn-Model: m0/a1\r\nContent-Length: 6\r\n\r\nprompt")
		_, err = io.ReadAll(c)
		Expect(err).To(MatchError(syscall.ECONNRESET))
	})

	DescribeTable("goes on at another engine if it may be resumed",
		func(f standin.WorkerFaults) {
			x := newRig()
			f.CutFresh = 2
			x.loadAndSetFaults(f)
			id := fmt.Sprintf("truncated-%d", attempts.Add(1))
			r := x.send("POST", id, "/resume/x", "m0/a1", "prompt")
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.body).To(Equal(completeStream))
			Expect(x.runs(id)).To(Equal(2))
		},
		Entry("no framing", standin.WorkerFaults{
			Unframed: true,
		}),
		Entry("chunks", standin.WorkerFaults{
			CutFramed: standin.FramedByChunks,
		}),
	)
})

var _ = Describe("A stream that ends with its connection", func() {
	DescribeTable("is complete if it ends between two events",
		func(path string, shape standin.StreamShape) {
			x := newRig()
			x.loadAndSetFaults(standin.WorkerFaults{
				Unframed: true,
				Fresh:    shape,
			})
			want := ""
			for i := 1; i <= 4; i++ {
				want += string(shape.Event(i))
			}
			r := x.get("unframed", path, "m0/a1")
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.body).To(Equal(want))
			Expect(x.streamEnds("close", "between_events")).To(BeEquivalentTo(1))
		},
		Entry("may run once", "/ask/x", standin.StreamShape{}),
		Entry("may be resumed", "/resume/x", standin.StreamShape{}),
		Entry("lines end with CRLF", "/ask/x", standin.StreamShape{
			IDLine: crlf,
			End:    "\r\n\r\n",
		}),
		Entry("may be resumed, lines end with CRLF", "/resume/x", standin.StreamShape{
			IDLine: crlf,
			End:    "\r\n\r\n",
		}),
	)

	It("goes on after its last complete event if the lines end with CRLF", func() {
		x := newRig()
		shape := standin.StreamShape{
			IDLine: crlf,
			End:    "\r\n\r\n",
		}
		x.loadAndSetFaults(standin.WorkerFaults{
			Unframed: true,
			CutFresh: 2,
			Fresh:    shape,
		})
		r := x.get("crlf", "/resume/x", "m0/a1")
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.body).To(Equal(string(shape.Event(1)) + string(shape.Event(2)) + lastTwo))
	})

	It("has failed if it is empty", func() {
		x := newRig()
		x.loadAndSetFaults(standin.WorkerFaults{
			Unframed: true,
			Empty:    true,
		})
		Expect(x.get("empty", "/ask/x", "m0/a1").status).To(Equal(http.StatusBadGateway))
		Expect(x.get("empty", "/resume/x", "m0/a1").status).To(Equal(http.StatusBadGateway))
	})

	It("is complete without an event if its caller has the last one", func() {
		x := newRig()
		x.loadAndSetFaults(standin.WorkerFaults{
			Unframed: true,
		})
		r := x.resumeFrom("4")
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.status).To(Equal(http.StatusOK))
		Expect(r.body).To(BeEmpty())
	})
})

// Guards against a stream that ends as complete at an answer without events and without a length, behind
// a run that was broken off.
var _ = Describe("A stream whose later run is empty and ends with its connection", func() {
	empty := ending{
		name: "empty, ends with its connection",
		play: func(w io.Writer, head string, _ int) bool {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s%s%sConnection: close\r\n\r\n", head, headReceipt, headEvents)
			return false
		},
	}
	brokenOff := func(after int, half string) ending {
		return ending{
			name: "broken off",
			play: func(w io.Writer, head string, _ int) bool {
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s%s%sConnection: close\r\n\r\n%s%s", head, headReceipt, headEvents, scriptedStream(1, after), half)
				return false
			},
		}
	}
	DescribeTable("ends visibly broken",
		func(list ...ending) {
			x, s := newScriptedRig(8, tailConfig(), "/tail/x")
			for i := range 5 {
				id := fmt.Sprintf("empty-run-%d", attempts.Add(1))
				s.plan(id, list...)
				r := x.send("POST", id, "/tail/x", "", "prompt")
				Expect(r.err != nil || r.body == wholeStream()).To(BeTrue(), "%d: status %d, %q", i, r.status, r.body)
			}
		},
		Entry("behind half an event", brokenOff(2, "id: 3\ndata: ev"), empty, empty),
		Entry("behind the first half of the first one", brokenOff(0, "id: 1\ndata"), empty, empty),
		Entry("and another one behind that", brokenOff(2, "id: 3"), empty, brokenOff(0, "id: 3\nda")),
	)
})

var _ = Describe("A response that ends with its connection", func() {
	It("is delivered, whether its request may run again or not", func() {
		x := newRig()
		for _, a := range x.apps {
			a.SetFaults(standin.WorkerFaults{
				Unframed: true,
			})
		}
		for _, path := range []string{"/charge/x", "/look/x"} {
			r := x.get("unframed", path, "")
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.status).To(Equal(http.StatusOK))
			Expect(r.body).To(Equal("echo:prompt"))
		}
	})
})

var _ = Describe("A response that is too long to be buffered", func() {
	DescribeTable("is delivered",
		func(unframed bool) {
			const size = 1 << 20
			x := newRig()
			for _, a := range x.apps {
				a.SetFaults(standin.WorkerFaults{
					Unframed: unframed,
					Padding:  size,
				})
			}
			for _, path := range []string{"/charge/x", "/look/x"} {
				r := x.get("long", path, "")
				Expect(r.err).NotTo(HaveOccurred())
				Expect(r.status).To(Equal(http.StatusOK))
				Expect(len(r.body)).To(Equal(len("echo:prompt") + size))
			}
		},
		Entry("without a length", true),
		Entry("in chunks", false),
	)
})
