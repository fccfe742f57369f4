package keeper_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/peer"
)

var _ = Describe("The origin of a stream", func() {
	origin := wardturn.StreamOrigin{
		Service:  "llm",
		Software: "v1",
	}
	starts := func(attempt string, d time.Duration) *peer.StreamStarts {
		return &peer.StreamStarts{
			Starts: []peer.StreamStart{
				{
					Attempt: attempt,
					Origin:  origin,
					For:     d,
				},
			},
		}
	}
	ask := func(g *gatewayClient, conn *peer.Conn, id uint64, attempt string) *peer.OriginReply {
		Expect(conn.Send(&peer.OriginQuery{
			ID:      id,
			Attempt: attempt,
		})).To(Succeed())
		return next[*peer.OriginReply](g)
	}

	It("that one gateway recorded is told to another, until it expires", func() {
		_, addr := startKeeper("k", emptyEngine())
		_, first := connect(addr)
		Expect(first.Send(starts("a", time.Minute))).To(Succeed())
		Expect(first.Send(starts("short", 20*time.Millisecond))).To(Succeed())
		g, second := connect(addr)
		Eventually(func() *peer.OriginReply {
			return ask(g, second, 7, "a")
		}, "2s").Should(Equal(&peer.OriginReply{
			ID:     7,
			Known:  true,
			Origin: origin,
		}))
		Eventually(func() bool {
			return ask(g, second, 8, "short").Known
		}, "2s").Should(BeFalse())
	})

	It("that nobody recorded is not known", func() {
		_, addr := startKeeper("k", emptyEngine())
		g, conn := connect(addr)
		Expect(ask(g, conn, 9, "a")).To(Equal(&peer.OriginReply{
			ID: 9,
		}))
	})
})
