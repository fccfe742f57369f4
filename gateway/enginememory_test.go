package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against engines that fall because they are ordered to load more than their memory holds.
var _ = Describe("An engine whose memory holds fewer adapters than it has slots", func() {
	It("serves all adapters without an order beyond its memory", func() {
		sized := strings.Replace(config(1, ""), `"models":[{"name":"m0",`, `"weights_mb":170,"models":[{"name":"m0","weights_mb":100,"adapter_size_mb":50,`, 1)
		Expect(sized).To(ContainSubstring("weights_mb"))
		x := newRigOf(rigOptions{
			drain:       500 * time.Millisecond,
			domains:     []string{"d", "d"},
			memoryHolds: 1,
			config:      sized,
		})
		for round := range 2 {
			for i := range 6 {
				Eventually(func() int {
					return x.get("m", "/ask/x", fmt.Sprintf("m0/a%d", i)).status
				}, eventTimeout, pollInterval).Should(Equal(http.StatusOK), fmt.Sprint("round ", round))
			}
		}
		for _, e := range x.engines {
			Expect(e.SlotsExceeded()).To(BeFalse())
		}
	})
})
