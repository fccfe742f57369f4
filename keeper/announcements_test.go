package keeper_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/peer"
)

var _ = Describe("A keeper that gets an announcement of a store read", func() {
	var (
		addr         string
		senderConn   *peer.Conn // of the gateway that sends the announcement
		sender       *gatewayClient
		receiver     *gatewayClient // a gateway that gets announcements from this keeper
		receiverConn *peer.Conn
		other        *gatewayClient // a gateway that gets them from other keepers
	)
	connectGateway := func(announcements bool) (*gatewayClient, *peer.Conn) {
		g, c := connect(addr)
		cfg := engineConfig(true)
		cfg.Announcements = announcements
		Expect(c.Send(cfg)).To(Succeed())
		return g, c
	}
	// sync waits until everything sent to a gateway before has arrived.
	sync := func(g *gatewayClient, c *peer.Conn) {
		Expect(c.Send(&peer.Subscribe{})).To(Succeed())
		next[*peer.EngineUpdate](g)
	}
	announce := func(position wardturn.Position) {
		Expect(senderConn.Send(&peer.ReadAnnouncement{
			Reader: "reader",
			Config: position,
		})).To(Succeed())
	}
	BeforeEach(func() {
		var otherConn *peer.Conn
		_, addr = startKeeper("k", emptyEngine())
		receiver, receiverConn = connectGateway(true)
		other, otherConn = connectGateway(false)
		sender, senderConn = connectGateway(true)
		sync(receiver, receiverConn)
		sync(other, otherConn)
		sync(sender, senderConn)
	})

	It("forwards it to the gateways that get announcements from it, except the sender, and to no other", func() {
		announce(7)
		Expect(next[*peer.ReadAnnouncement](receiver).Config).To(BeEquivalentTo(7))
		Consistently(func() bool {
			return gotAnnouncement(other) || gotAnnouncement(sender)
		}, "200ms").Should(BeFalse())
	})

	It("applies a gateway's change of whether it gets announcements from this keeper", func() {
		cfg := engineConfig(true)
		Expect(receiverConn.Send(cfg)).To(Succeed())
		sync(receiver, receiverConn)
		announce(7)
		Consistently(func() bool {
			return gotAnnouncement(receiver)
		}, "200ms").Should(BeFalse())
		cfg.Announcements = true
		Expect(receiverConn.Send(cfg)).To(Succeed())
		sync(receiver, receiverConn)
		announce(8)
		Expect(next[*peer.ReadAnnouncement](receiver).Config).To(BeEquivalentTo(8))
	})
})

// gotAnnouncement reports whether an announcement of a store read has arrived.
func gotAnnouncement(g *gatewayClient) bool {
	for {
		select {
		case m := <-g.messages:
			if _, ok := m.(*peer.ReadAnnouncement); ok {
				return true
			}
		default:
			return false
		}
	}
}
