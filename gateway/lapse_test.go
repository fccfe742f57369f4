package gateway_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/standin"
)

// Entries that lapsed were looked at only when the list was read or told, up to 2.1 s
// after their time where leaving upstreams must get no requests after 3 s. A request
// reached an engine 3,310 ms after its entry had gone, 1.08 s after the time of the
// lapse; the gateway logged
//
//	13.3351 upstream left the list: upstream=i-a5fa1fe0d7 store_was_away=true
//	16.615  (the request came; the next word on the list came at 16.986)
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
