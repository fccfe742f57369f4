package gateway_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/standin"
)

// If retained entries were removed only at the next read of the list, their upstreams would
// receive requests beyond the drain time.
var _ = Describe("Entries that expired while the store was unavailable", func() {
	It("are removed at the end of the grace period, without a read of the list", func() {
		x := newRigWithDrain(6*time.Second, "d", "d") // the list is read every 3 s
		x.store.SetFaults(standin.MetaFaults{
			Unavailable: true,
		})
		Eventually(x.log.String, eventTimeout, pollInterval).Should(ContainSubstring("store away, the present list"))
		x.store.DeleteServer("a0")
		x.store.DeleteServer("a1")
		x.store.SetFaults(standin.MetaFaults{})
		Eventually(x.log.String, eventTimeout, pollInterval).Should(ContainSubstring("upstream left the list: upstream=a0"))
		Expect(x.get("lapsed", "/charge/", "").status).To(Equal(http.StatusOK))
		time.Sleep(expiryGrace + 200*time.Millisecond)
		Expect(x.get("lapsed", "/charge/", "").status).To(Equal(http.StatusServiceUnavailable))
	})
})
