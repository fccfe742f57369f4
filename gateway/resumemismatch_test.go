package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/standin"
)

const (
	firstTwo = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
	lastTwo  = "id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"
	noID     = ": event %d\n" // a comment line in place of the id line
)

// loadAndSetFaults waits until the adapter is loaded and sets the faults of both engines.
func (x *rig) loadAndSetFaults(f standin.WorkerFaults) {
	Eventually(func() bool {
		x.get("hold", "/resume/x", "m0/a1")
		return x.engines[0].AdapterCount() > 0 || x.engines[1].AdapterCount() > 0
	}, eventTimeout, pollInterval).Should(BeTrue())
	for _, e := range x.engines {
		e.SetFaults(f)
	}
}

// resumeMismatches returns how often a resumed stream did not continue after the last
// event, for a reason.
func (x *rig) resumeMismatches(reason string) int64 {
	for _, c := range x.metrics.Snapshot().Counters() {
		if c.Name() == "streams_misplaced" && c.Tags()["reason"] == reason {
			return c.Value()
		}
	}
	return 0
}

// resumeFrom sends a request of a caller that has the events up to last.
func (x *rig) resumeFrom(last string) reply {
	req, err := http.NewRequest("POST", x.frontURL+"/resume/x", strings.NewReader("prompt"))
	Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	req.Header.Set("X-Wardturn-Attempt-Id", fmt.Sprintf("caller-%d", attempts.Add(1)))
	req.Header.Set("X-Wardturn-Deadline-Ms", "3000")
	req.Header.Set("X-Wardturn-Model", "m0/a1")
	req.Header.Set("Last-Event-Id", last)
	res, err := x.client.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return reply{
		status: res.StatusCode,
		body:   string(data),
		err:    err,
	}
}

var _ = Describe("A stream that is resumed at another engine", func() {
	var x *rig
	BeforeEach(func() {
		x = newRig()
	})

	DescribeTable("is complete if the other engine repeats events that were forwarded",
		func(shift int) {
			x.loadAndSetFaults(standin.WorkerFaults{
				CutFresh: 2,
				Resumed: standin.StreamShape{
					Shift: shift,
				},
			})
			r := x.get("repeats", "/resume/x", "m0/a1")
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.body).To(Equal(completeStream))
			Expect(x.resumeMismatches("repeated")).To(BeEquivalentTo(1))
		},
		Entry("the last one", -1),
		Entry("all", -2),
	)

	DescribeTable("is truncated visibly after the last valid event",
		func(reason string, resumed standin.StreamShape) {
			x.loadAndSetFaults(standin.WorkerFaults{
				CutFresh: 2,
				Resumed:  resumed,
			})
			r := x.get("elsewhere", "/resume/x", "m0/a1")
			Expect(r.status).To(Equal(http.StatusOK))
			Expect(r.err).To(HaveOccurred())
			Expect(r.body).To(Equal(firstTwo))
			Expect(x.resumeMismatches(reason)).To(BeEquivalentTo(1))
		},
		Entry("an event is missing", "missing", standin.StreamShape{
			Shift: 1,
		}),
		Entry("it starts over with other data", "other_run", standin.StreamShape{
			Shift: -2,
			Text:  "other",
		}),
		Entry("the last event is repeated with other data", "other_run", standin.StreamShape{
			Shift: -1,
			Text:  "other",
		}),
		Entry("events have no id", "no_number", standin.StreamShape{
			IDLine: noID,
		}),
		Entry("ids are not numbers", "no_number", standin.StreamShape{
			IDLine: "id: e%d\n",
		}),
	)

	DescribeTable("is not resumed if the position to resume from is not known",
		func(fresh standin.StreamShape) {
			x.loadAndSetFaults(standin.WorkerFaults{
				CutFresh: 2,
				Fresh:    fresh,
			})
			id := fmt.Sprintf("untold-%d", attempts.Add(1))
			r := x.send("POST", id, "/resume/x", "m0/a1", "prompt")
			Expect(r.err).To(HaveOccurred())
			Expect(r.body).To(Equal(string(fresh.Event(1)) + string(fresh.Event(2))))
			Expect(x.runs(id)).To(Equal(1))
		},
		Entry("events have no id", standin.StreamShape{
			IDLine: noID,
		}),
		Entry("ids are not numbers", standin.StreamShape{
			IDLine: "id: e%d\n",
		}),
		Entry("ids are not consecutive", standin.StreamShape{
			IDLine: "id: %d0\n",
		}),
	)
})

var _ = Describe("A stream that its caller resumes", func() {
	var x *rig
	BeforeEach(func() {
		x = newRig()
	})

	It("continues after the caller's last event", func() {
		x.loadAndSetFaults(standin.WorkerFaults{})
		r := x.resumeFrom("2")
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.body).To(Equal(lastTwo))
	})

	It("is forwarded unchecked if the id of the caller's last event is not a number", func() {
		x.loadAndSetFaults(standin.WorkerFaults{})
		r := x.resumeFrom("e2")
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.body).To(Equal(completeStream))
	})

	DescribeTable("is truncated before an event that does not follow the caller's last one",
		func(reason string, shift int) {
			x.loadAndSetFaults(standin.WorkerFaults{
				Resumed: standin.StreamShape{
					Shift: shift,
				},
			})
			r := x.resumeFrom("2")
			Expect(r.err).To(HaveOccurred())
			Expect(r.body).To(BeEmpty())
			Expect(x.resumeMismatches(reason)).To(BeEquivalentTo(2), "both engines are tried")
		},
		Entry("an event is missing", "missing", 1),
		Entry("it starts over", "other_run", -2),
	)

	It("is resumed at another engine if the first does not continue after the last event", func() {
		x.loadAndSetFaults(standin.WorkerFaults{})
		faulty := 0
		Eventually(func() int64 { // until the faulty engine was the first to get the request
			x.engines[faulty%2].SetFaults(standin.WorkerFaults{})
			faulty++
			x.engines[faulty%2].SetFaults(standin.WorkerFaults{
				Resumed: standin.StreamShape{
					Shift: 1,
				},
			})
			r := x.resumeFrom("2")
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.body).To(Equal(lastTwo))
			return x.resumeMismatches("missing")
		}, eventTimeout, pollInterval).Should(BeNumerically(">", 0))
	})
})
