package gateway_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/standin"
)

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
