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
	noID     = ": event %d\n" // a comment in place of the id
)

// bothHold has both engines hold the adapter and sets their troubles.
func (x *rig) bothHold(f standin.WorkerFaults) {
	Eventually(func() bool {
		x.get("hold", "/resume/x", "m0/a1")
		return x.engines[0].Adapters() > 0 || x.engines[1].Adapters() > 0
	}, soon, often).Should(BeTrue())
	for _, e := range x.engines {
		e.SetFaults(f)
	}
}

// misplaced counts the answers that did not go on where they should, by reason.
func (x *rig) misplaced(reason string) int64 {
	for _, c := range x.metrics.Snapshot().Counters() {
		if c.Name() == "streams_misplaced" && c.Tags()["reason"] == reason {
			return c.Value()
		}
	}
	return 0
}

// resumeFrom sends a request of a caller that has events up to one.
func (x *rig) resumeFrom(last string) reply {
	req, err := http.NewRequest("POST", x.front+"/resume/x", strings.NewReader("prompt"))
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

var _ = Describe("A stream that goes on elsewhere", func() {
	var x *rig
	BeforeEach(func() {
		x = newRig()
	})

	DescribeTable("is whole if the other engine repeats events that were passed on",
		func(shift int) {
			x.bothHold(standin.WorkerFaults{
				CutFresh: 2,
				Resumed: standin.StreamShape{
					Shift: shift,
				},
			})
			r := x.get("repeats", "/resume/x", "m0/a1")
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.body).To(Equal(wholeStream))
			Expect(x.misplaced("repeated")).To(BeEquivalentTo(1))
		},
		Entry("the last one", -1),
		Entry("all", -2),
	)

	DescribeTable("is cut visibly, after events that belong together",
		func(reason string, resumed standin.StreamShape) {
			x.bothHold(standin.WorkerFaults{
				CutFresh: 2,
				Resumed:  resumed,
			})
			r := x.get("elsewhere", "/resume/x", "m0/a1")
			Expect(r.status).To(Equal(http.StatusOK))
			Expect(r.err).To(HaveOccurred())
			Expect(r.body).To(Equal(firstTwo))
			Expect(x.misplaced(reason)).To(BeEquivalentTo(1))
		},
		Entry("an event is missing", "missing", standin.StreamShape{
			Shift: 1,
		}),
		Entry("it begins anew with other words", "other_run", standin.StreamShape{
			Shift: -2,
			Word:  "other",
		}),
		Entry("the last event comes again with other words", "other_run", standin.StreamShape{
			Shift: -1,
			Word:  "other",
		}),
		Entry("events have no id", "no_number", standin.StreamShape{
			IDLine: noID,
		}),
		Entry("ids are no numbers", "no_number", standin.StreamShape{
			IDLine: "id: e%d\n",
		}),
	)

	DescribeTable("is not asked for if nobody could tell where it has to go on",
		func(fresh standin.StreamShape) {
			x.bothHold(standin.WorkerFaults{
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
		Entry("ids are no numbers", standin.StreamShape{
			IDLine: "id: e%d\n",
		}),
		Entry("ids jump", standin.StreamShape{
			IDLine: "id: %d0\n",
		}),
	)
})

var _ = Describe("A stream that its caller resumes", func() {
	var x *rig
	BeforeEach(func() {
		x = newRig()
	})

	It("goes on after the caller's last event", func() {
		x.bothHold(standin.WorkerFaults{})
		r := x.resumeFrom("2")
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.body).To(Equal(lastTwo))
	})

	It("is passed on as it comes if the caller's last event has no number", func() {
		x.bothHold(standin.WorkerFaults{})
		r := x.resumeFrom("e2")
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.body).To(Equal(wholeStream))
	})

	DescribeTable("is cut before an event that does not follow the caller's last one",
		func(reason string, shift int) {
			x.bothHold(standin.WorkerFaults{
				Resumed: standin.StreamShape{
					Shift: shift,
				},
			})
			r := x.resumeFrom("2")
			Expect(r.err).To(HaveOccurred())
			Expect(r.body).To(BeEmpty())
			Expect(x.misplaced(reason)).To(BeEquivalentTo(2), "both engines are tried")
		},
		Entry("one is missing", "missing", 1),
		Entry("it begins anew", "other_run", -2),
	)

	It("goes on at another engine if the first begins elsewhere", func() {
		x.bothHold(standin.WorkerFaults{})
		tries := 0
		Eventually(func() int64 { // until the engine in trouble was asked first
			x.engines[tries%2].SetFaults(standin.WorkerFaults{})
			tries++
			x.engines[tries%2].SetFaults(standin.WorkerFaults{
				Resumed: standin.StreamShape{
					Shift: 1,
				},
			})
			r := x.resumeFrom("2")
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.body).To(Equal(lastTwo))
			return x.misplaced("missing")
		}, soon, often).Should(BeNumerically(">", 0))
	})
})
