package gateway_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/standin"
)

// Looked at only with the next reading of the list, an entry that lapsed keeps its upstream
// in use beyond the time in which leaving ones must get no more requests.
var _ = Describe("Entries that lapsed while the store was away", func() {
	It("count as gone when their time is over, also if the list is not read just then", func() {
		x := newRigDraining(6*time.Second, "d", "d") // the list is read each 3 s
		x.store.SetFaults(standin.MetaFaults{
			Away: true,
		})
		Eventually(x.log.String, soon, often).Should(ContainSubstring("store away, the present list"))
		x.store.DropServer("a0")
		x.store.DropServer("a1")
		x.store.SetFaults(standin.MetaFaults{})
		Eventually(x.log.String, soon, often).Should(ContainSubstring("upstream left the list: upstream=a0"))
		Expect(x.get("lapsed", "/charge/", "").status).To(Equal(http.StatusOK))
		time.Sleep(lapseGrace + 200*time.Millisecond)
		Expect(x.get("lapsed", "/charge/", "").status).To(Equal(http.StatusServiceUnavailable))
	})
})
