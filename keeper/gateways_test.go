package keeper_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/peer"
)

var _ = Describe("The number of gateways", func() {
	It("is told soon, but not with each gateway that comes", func() {
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

	It("counts the processes of one host once: one may not be known to have ended yet", func() {
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
