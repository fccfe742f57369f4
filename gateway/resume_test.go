package gateway_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/standin"
)

var _ = Describe("A stream that is resumed at an engine with a response to another request", func() {
	It("has every event once", func() {
		x := newRig()
		x.get("hold", "/resume/x", "m0/a1")
		for _, e := range x.engines {
			e.SetFaults(standin.WorkerFaults{
				CutAfter: 2,
			})
		}
		id := "stranger-resumed"
		go func() {
			for x.runs(id) == 0 {
				time.Sleep(time.Millisecond)
			}
			for _, e := range x.engines {
				if e.Runs(id) == 0 {
					e.SetFaults(standin.WorkerFaults{
						Stranger: true,
					})
				}
			}
		}()
		r := x.send("POST", id, "/resume/x", "m0/a1", "prompt")
		Expect(r.err).NotTo(HaveOccurred())
		Expect(x.runs(id)).To(Equal(2))
		Expect(r.body).To(Equal(completeStream))
	})
})
