package gateway_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/standin"
)

// newRunOnceRig is newOldVersionRig with another route whose requests may run only once.
func newRunOnceRig() *rig {
	x := newOldVersionRig()
	x.store.PutConfig(config(3, longRoute+longBufferedRoute+longOnceRoute))
	Eventually(func() int {
		return x.get("first-once", "/once/x", "m0/a1").status
	}, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
	return x
}

// expectResponse starts a request without a streamed response on a version that is retired
// before the response comes, and expects that response.
func (x *rig) expectResponse(id, path string, f standin.WorkerFaults) {
	f.Think = oldVersionLimit + time.Second
	f.LoseOrders = true // the newer version is never loaded
	x.setFaults(f)
	got := x.sendLong(id, path, "m0/a1")
	Eventually(func() int {
		return x.runs(id)
	}, eventTimeout, pollInterval).Should(Equal(1))
	x.publishNewer()
	Eventually(got, 4*eventTimeout).Should(Receive(haveStatus(http.StatusOK)))
	Expect(x.runs(id)).To(Equal(1))
}

var _ = Describe("A request without a streamed response that started before its version was retired", func() {
	It("gets its response after that, if it may run only once", func() {
		newRunOnceRig().expectResponse("begun-once", "/once/x", standin.WorkerFaults{})
	})

	It("gets its response after that, if its engine does not report its runs", func() {
		newRunOnceRig().expectResponse("begun-unnamed", "/once/x", standin.WorkerFaults{
			HideRuns: true,
		})
	})

	It("gets its response after that, if the headers have come and no keeper reports", func() {
		x := newRunOnceRig()
		x.setFaults(standin.WorkerFaults{
			Linger:     oldVersionLimit / 2, // between the parts of the body
			LoseOrders: true,                // the newer version is never loaded
		})
		got := x.sendLong("begun-head", "/once/x", "m0/a1")
		Eventually(func() int {
			return x.runs("begun-head")
		}, eventTimeout, pollInterval).Should(Equal(1))
		x.publishNewer()
		for _, k := range x.keepers {
			k.Close()
		}
		Eventually(got, 4*eventTimeout).Should(Receive(haveBody("piece 4")))
	})

	// The gateway cannot see the start of a request without a streamed response. If
	// running requests were aborted with the version, the engines' work would be lost,
	// and no engine could run them again.
	It("is not run again", func() {
		newRunOnceRig().expectResponse("begun-again", "/whole/x", standin.WorkerFaults{})
	})
})

// Only the keeper beside an engine can report what runs there. The keeper on a frozen or
// partitioned host is silent, and requests that are delayed on their way there start when
// the host resumes. So a request of which nothing is reported must count as not started.
var _ = Describe("A request without a streamed response that may run only once and is delayed where no keeper reports", func() {
	It("does not start after its version is retired", func() {
		x := newRunOnceRig()
		x.setFaults(standin.WorkerFaults{
			HoldUp:     oldVersionLimit + time.Second,
			LoseOrders: true, // the newer version is never loaded
		})
		got := x.sendLong("held-up-silent", "/once/x", "m0/a1")
		Eventually(x.delayed, eventTimeout, pollInterval).Should(Equal(1))
		x.publishNewer()
		for _, k := range x.keepers {
			k.Close()
		}
		Eventually(got, 4*eventTimeout).Should(Receive())
		Expect(x.runs("held-up-silent")).To(Equal(0))
	})
})
