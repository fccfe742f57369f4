package keeper_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/peer"
)

var _ = Describe("The number of gateways in state updates", func() {
	It("is sent soon after a change, but not for each gateway that connects", func() {
		const others = 20
		_, addr := startKeeper("k", emptyEngine())
		gateway, conn := connect(addr)
		Expect(conn.Send(engineConfig(false))).To(Succeed())
		Expect(next[*peer.EngineUpdate](gateway).Full).To(BeTrue())
		for range others {
			_, c := connect(addr)
			Expect(c.Send(engineConfig(true))).To(Succeed())
		}
		updates := 0
		Eventually(func() int {
			updates++
			return next[*peer.EngineUpdate](gateway).Gateways
		}, eventTimeout).Should(Equal(1 + others))
		Consistently(gateway.messages, "300ms").ShouldNot(Receive())
		Expect(updates).To(BeNumerically("<=", 4))
	})

	It("counts processes of one host once, because one may have ended without notice", func() {
		_, addr := startKeeper("k", emptyEngine())
		gateway, conn := connect(addr)
		Expect(conn.Send(engineConfig(false))).To(Succeed())
		gateways := func() int {
			return next[*peer.EngineUpdate](gateway).Gateways
		}
		Eventually(gateways, eventTimeout).Should(Equal(1))
		for _, host := range []string{"h", "h", "other"} {
			_, c := connectFrom(host, addr)
			Expect(c.Send(engineConfig(true))).To(Succeed())
		}
		Eventually(gateways, eventTimeout).Should(Equal(3))
		Consistently(gateway.messages, "300ms").ShouldNot(Receive())
	})
})
