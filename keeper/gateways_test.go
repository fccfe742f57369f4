package keeper_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/peer"
)

var _ = Describe("The number of gateways in state updates", func() {
	It("is sent soon after a change, but not for each gateway that connects", func() {
		const more = 20
		_, addr := startKeeper("k", emptyEngine())
		heard, conn := connect(addr)
		Expect(conn.Send(engineNotice(false))).To(Succeed())
		Expect(next[*peer.Holding](heard).Full).To(BeTrue())
		for range more {
			_, c := connect(addr)
			Expect(c.Send(engineNotice(true))).To(Succeed())
		}
		words := 0
		Eventually(func() int {
			words++
			return next[*peer.Holding](heard).Gateways
		}, soon).Should(Equal(1 + more))
		Consistently(heard.all, "300ms").ShouldNot(Receive())
		Expect(words).To(BeNumerically("<=", 4))
	})

	It("counts processes of one host once, because one may have ended without notice", func() {
		_, addr := startKeeper("k", emptyEngine())
		heard, conn := connect(addr)
		Expect(conn.Send(engineNotice(false))).To(Succeed())
		gateways := func() int {
			return next[*peer.Holding](heard).Gateways
		}
		Eventually(gateways, soon).Should(Equal(1))
		for _, host := range []string{"h", "h", "other"} {
			_, c := connectFrom(host, addr)
			Expect(c.Send(engineNotice(true))).To(Succeed())
		}
		Eventually(gateways, soon).Should(Equal(3))
		Consistently(heard.all, "300ms").ShouldNot(Receive())
	})
})
