package gateway_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/standin"
)

// newStartedRig is newOldVersionRig with a route of requests that may run once.
func newStartedRig() *rig {
	x := newOldVersionRig()
	x.store.PutConfig(config(3, longRoute+longWholeRoute+longOnceRoute))
	Eventually(func() int {
		return x.get("first-once", "/once/x", "m0/a1").status
	}, soon, often).Should(Equal(http.StatusOK))
	return x
}

// expectWhole has a request for a whole answer begin on a version that is old by the
// time of the answer, and expects that answer.
func (x *rig) expectWhole(id, path string, f standin.WorkerFaults) {
	f.Think = oldVersionLimit + time.Second
	f.LoseOrders = true // the newer version does not come
	x.fault(f)
	got := x.sendLong(id, path, "m0/a1")
	Eventually(func() int {
		return x.runs(id)
	}, soon, often).Should(Equal(1))
	x.nameNewer()
	Eventually(got, 4*soon).Should(Receive(haveStatus(http.StatusOK)))
	Expect(x.runs(id)).To(Equal(1))
}

var _ = Describe("A request for a whole answer that began on an old version in time", func() {
	It("has its answer after the version's time, if it may run once", func() {
		newStartedRig().expectWhole("begun-once", "/once/x", standin.WorkerFaults{})
	})

	It("has its answer after the version's time, if its engine does not name its runs", func() {
		newStartedRig().expectWhole("begun-unnamed", "/once/x", standin.WorkerFaults{
			HideRuns: true,
		})
	})

	It("has its answer after the version's time, if its head has come and no keeper tells", func() {
		x := newStartedRig()
		x.fault(standin.WorkerFaults{
			Linger:     oldVersionLimit / 2, // between the parts of the body
			LoseOrders: true,                // the newer version does not come
		})
		got := x.sendLong("begun-head", "/once/x", "m0/a1")
		Eventually(func() int {
			return x.runs("begun-head")
		}, soon, often).Should(Equal(1))
		x.nameNewer()
		for _, k := range x.keepers {
			k.Close()
		}
		Eventually(got, 4*soon).Should(Receive(haveBody("piece 4")))
	})

	// The start of a whole answer does not show. Broken off with the version, requests that
	// run lose what their engines have made, and have nowhere to run again.
	It("is not run again", func() {
		newStartedRig().expectWhole("begun-again", "/whole/x", standin.WorkerFaults{})
	})
})

// Only the keeper beside an engine can say what runs there. A host that is frozen or
// cut off has a keeper that says nothing, and requests that are held up on their way
// there start when it wakes. So a request of which nothing is heard counts as not started.
var _ = Describe("A request for a whole answer that may run once and is held up where no keeper tells what runs", func() {
	It("does not begin after its version's time", func() {
		x := newStartedRig()
		x.fault(standin.WorkerFaults{
			HoldUp:     oldVersionLimit + time.Second,
			LoseOrders: true, // the newer version does not come
		})
		ended := x.sendLong("held-up-silent", "/once/x", "m0/a1")
		Eventually(x.held, soon, often).Should(Equal(1))
		x.nameNewer()
		for _, k := range x.keepers {
			k.Close()
		}
		Eventually(ended, 4*soon).Should(Receive())
		Expect(x.runs("held-up-silent")).To(Equal(0))
	})
})
